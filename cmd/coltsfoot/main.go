// Command coltsfoot is the command-line tool for operators of coltsfootlane.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitUnknown  = 5
)

const help = `Declares which target versions get traffic and shows the state of the mesh.

Exit codes: 0 done, 1 failed and nothing was changed, 2 wrong usage,
3 invalid files, 4 conflict with another operator's change, 5 outcome unknown.`

// command is one subcommand.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	app := kingpin.New("coltsfoot", help)
	app.Terminate(func(status int) {
		if status != 0 {
			status = exitUsage
		}
		os.Exit(status)
	})
	commands := []command{
		checkCommand(app),
		publishCommand(app),
		outcomeCommand(app),
		homesCommand(app),
		statusCommand(app),
		movesCommand(app),
		reportCommand(app),
		demoCommand(app),
		versionCommand(app),
	}
	commands = append(commands, zoneCommands(app)...)
	commands = append(commands, planCommands(app)...)
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "coltsfoot:", err)
			os.Exit(exitCode(err))
		}
	}
}

// codedError is an error with an exit code.
type codedError struct {
	error
	code int
}

// Unwrap returns the cause.
func (e codedError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var coded codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	var failure *classifier.Failure
	if errors.As(err, &failure) && failure.Verdict != classifier.NotRun {
		return exitUnknown
	}
	return exitFailed
}
