package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/comparer"
)

func judgesCommand(app *kingpin.Application) command {
	clause := app.Command("judges", "Simulates rollouts of good and bad versions with the judge and with a fixed threshold, and prints a table.")
	good := clause.Flag("good", "Simulated rollouts for each scenario with a good version.").Default("1000").Int()
	bad := clause.Flag("bad", "Simulated rollouts for each scenario with a bad version.").Default("200").Int()
	threshold := clause.Flag("threshold", "Simulated rollouts for each scenario with the fixed threshold.").Default("200").Int()
	return command{
		clause: clause,
		run: func(context.Context) error {
			rows := comparer.Compare(comparer.RolloutCounts{
				Good:      *good,
				Bad:       *bad,
				Threshold: *threshold,
			})
			return comparer.WriteTable(os.Stdout, rows)
		},
	}
}
