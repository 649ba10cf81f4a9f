package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
)

// homesTimeout is the timeout for publishing the list of home data centres.
const homesTimeout = 30 * time.Second

func homesCommand(app *kingpin.Application) command {
	clause := app.Command("homes", "Publishes the list of home data centres, which store Idempotency-Keys. Example: coltsfoot homes --platform http://127.0.0.1:9000 zilina martin")
	platform := platformFlag(clause)
	names := clause.Arg("dc", "Names of the data centres.").Required().Strings()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, homesTimeout)
			defer cancel()
			return publishHomes(ctx, openLog(*platform), *names)
		},
	}
}

// publishHomes commits the list, unless it equals the current one. If another
// writer commits first, it retries until ctx is done.
func publishHomes(ctx context.Context, log *committer.Log, names []string) error {
	slices.Sort(names)
	for {
		head, err := log.Load(ctx, &applier.State{})
		if err != nil {
			return err
		}
		former := head.Homes().DataCentres
		if slices.Equal(former, names) {
			fmt.Printf("revision %d stands: nothing differs\n", head.Revision())
			return nil
		}
		entry, err := log.Commit(ctx, head, applier.Change{Homes: &applier.Homes{
			DataCentres: names,
			Previous:    former,
			Published:   log.Clock.Now().UTC(),
		}})
		if errors.Is(err, committer.ErrRevisionTaken) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return withExitCode(err)
		}
		fmt.Printf("revision %d committed: %d home data centres\n", entry.Revision, len(names))
		return nil
	}
}
