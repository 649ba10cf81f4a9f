// Command coltsfootsim runs simulators of the systems around coltsfootlane: the
// platform's key-value service, targets and callers.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const help = `Simulators of the systems around coltsfootlane, for experiments and tests.

Examples:
  coltsfootsim platform --listen 127.0.0.1:9000
  coltsfootsim target --service renewal --target-version v1 --listen 127.0.0.1:9101 --daemon 127.0.0.1:7104
  coltsfootsim call --rate 2000 --duration 20s direct=http://127.0.0.1:9101/renewals/1 path=http://127.0.0.1:7101/renewals/1`

// command is one subcommand.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	app := kingpin.New("coltsfootsim", help)
	commands := []command{
		platformCommand(app),
		targetCommand(app),
		onehopCommand(app),
		callCommand(app),
		judgesCommand(app),
	}
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(ctx); err != nil {
			log.Fatal("failed", "command", selected, "err", err)
		}
	}
}

func listenFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("listen", "IP:port to listen on.").Required().String()
}

func platformCommand(app *kingpin.Application) command {
	clause := app.Command("platform", "Runs the platform's key-value service in memory.")
	listen := listenFlag(clause)
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			return serve(ctx, *listen, emulator.NewPlatform(timekeeper.System{}).Handler())
		},
	}
}

// shutdownTimeout is the timeout of a graceful shutdown, and of reading request
// headers.
const shutdownTimeout = 10 * time.Second

// serve serves requests until ctx is done and then shuts down gracefully.
func serve(ctx context.Context, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: shutdownTimeout,
	}
	shutdownErr := make(chan error, 1)
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdownErr <- srv.Shutdown(shutdownCtx)
	})
	log.Info("listening", "address", address)
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return <-shutdownErr
}
