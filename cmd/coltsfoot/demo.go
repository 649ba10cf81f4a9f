package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/demonstrator"
)

func demoCommand(app *kingpin.Application) command {
	clause := app.Command("demo", "Runs a demonstration mesh in this process, on loopback, for less than a minute. Example: coltsfoot demo")
	verbose := clause.Flag("verbose", "Show the daemons' logs.").Bool()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			log := io.Discard
			if *verbose {
				log = io.Writer(os.Stderr)
			}
			err := demonstrator.Run(ctx, os.Stdout, log)
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil // interrupted by the user
			}
			return err
		},
	}
}
