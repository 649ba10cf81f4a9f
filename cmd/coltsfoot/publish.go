package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// platformTimeout is the timeout of one call to the platform.
const platformTimeout = 5 * time.Second

func checkCommand(app *kingpin.Application) command {
	clause := app.Command("check", "Checks operator files without calling the platform. Example: coltsfoot check services/")
	folders := clause.Arg("folder", "Folders with operator files.").Required().ExistingDirs()
	return command{
		clause: clause,
		run: func(context.Context) error {
			files, err := collect(*folders)
			if err != nil {
				return err
			}
			services := files.services()
			if _, err := new(applier.State).NewEntry("check", "", time.Time{}, applier.Change{Services: services}); err != nil {
				return codedError{
					error: files.addFile(err),
					code:  exitInvalid,
				}
			}
			fmt.Printf("%d services, no errors\n", len(services))
			return nil
		},
	}
}

// operatorFiles are the services of one publication, with their files.
type operatorFiles []parser.Source

func collect(folders []string) (operatorFiles, error) {
	sources, err := parser.CollectSources(folders...)
	if err != nil {
		return nil, codedError{
			error: err,
			code:  exitInvalid,
		}
	}
	return sources, nil
}

func (f operatorFiles) services() []parser.Service {
	services := make([]parser.Service, 0, len(f))
	for _, src := range f {
		services = append(services, src.Service)
	}
	return services
}

// addFile converts an applier.ValidationError about a service into a FileError for
// the service's file. It returns other errors unchanged.
func (f operatorFiles) addFile(err error) error {
	var invalid *applier.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for _, src := range f {
		if src.Service.Name == invalid.Service {
			return &parser.FileError{
				File:   src.Path,
				Reason: invalid.Reason,
			}
		}
	}
	return err
}

// publishOptions are the flags of the publish command.
type publishOptions struct {
	platform *string
	folders  *[]string
	prune    *bool
	base     *uint64
	timeout  *time.Duration
	asJSON   *bool
}

func platformFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("platform", "Base URL of the platform's key-value service.").Required().Envar("COLTSFOOT_PLATFORM").String()
}

func publishCommand(app *kingpin.Application) command {
	clause := app.Command("publish", "Publishes the changed services of operator files as one log entry. Example: coltsfoot publish --platform http://127.0.0.1:9000 services/")
	o := publishOptions{
		platform: platformFlag(clause),
		prune:    clause.Flag("prune", "Remove the services that have no file in the folders.").Bool(),
		base:     clause.Flag("base", "Revision on which the files are based; a service that has changed since is a conflict.").Uint64(),
		timeout:  clause.Flag("timeout", "Time limit for retries while other operators publish.").Default("30s").Duration(),
		asJSON:   clause.Flag("json", "Print the committed entry as JSON.").Bool(),
		folders:  clause.Arg("folder", "Folders with operator files.").Required().ExistingDirs(),
	}
	return command{
		clause: clause,
		run:    o.publish,
	}
}

func (o publishOptions) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, *o.timeout)
	defer cancel()
	files, err := collect(*o.folders)
	if err != nil {
		return err
	}
	published, err := openLog(*o.platform).Publish(ctx, committer.Publication{
		Services: files.services(),
		Prune:    *o.prune,
		Base:     *o.base,
	})
	if err != nil {
		return withExitCode(files.addFile(err))
	}
	if *o.asJSON {
		return json.NewEncoder(os.Stdout).Encode(published)
	}
	printPublished(published)
	return nil
}

func printPublished(published committer.PublishResult) {
	if published.Unchanged {
		fmt.Printf("revision %d stands: nothing differs\n", published.Revision)
		return
	}
	fmt.Printf("revision %d committed: %d services changed, %d removed\n",
		published.Revision, len(published.Change.Services), len(published.Change.Removed))
}

func openLog(platform string) *committer.Log {
	return &committer.Log{
		Platform: storer.NewHTTP(platform, platformTimeout),
		Clock:    timekeeper.System{},
		Author:   operatorName(),
	}
}

// withExitCode adds the exit code to an error of a publication.
func withExitCode(err error) error {
	var conflict *committer.ConflictError
	var file *parser.FileError
	var invalid *applier.ValidationError
	switch {
	case errors.Is(err, committer.ErrRevisionTaken), errors.As(err, &conflict):
		return codedError{
			error: err,
			code:  exitConflict,
		}
	case errors.As(err, &file), errors.As(err, &invalid):
		return codedError{
			error: err,
			code:  exitInvalid,
		}
	default:
		return err
	}
}

func outcomeCommand(app *kingpin.Application) command {
	clause := app.Command("outcome", "Shows the outcome of a publication whose response was lost. Example: coltsfoot outcome --platform http://127.0.0.1:9000 12.0b5d")
	platform := platformFlag(clause)
	ticket := clause.Arg("ticket", "Ticket that publish printed.").Required().String()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			t, err := committer.ParseTicket(*ticket)
			if err != nil {
				return codedError{
					error: err,
					code:  exitUsage,
				}
			}
			return printOutcome(ctx, openLog(*platform), t)
		},
	}
}

func printOutcome(ctx context.Context, log *committer.Log, t committer.Ticket) error {
	verdict, err := log.Outcome(ctx, t)
	switch {
	case err != nil:
		return codedError{
			error: err,
			code:  exitUnknown,
		}
	case verdict == classifier.Ran:
		fmt.Printf("revision %d committed\n", t.Revision)
		return nil
	case verdict == classifier.NotRun:
		return codedError{
			error: fmt.Errorf("revision %d was committed by another operator; nothing was changed", t.Revision),
			code:  exitConflict,
		}
	default:
		return codedError{
			error: fmt.Errorf("revision %d: outcome unknown", t.Revision),
			code:  exitUnknown,
		}
	}
}

// operatorName returns the operator's name for the log entries that the command
// commits.
func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}
