package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/auditor"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

var errInvalidPlan = errors.New("the plan has errors")

func planCommands(app *kingpin.Application) []command {
	clause := app.Command("plan", "Checks plans for the users' platform.")
	return []command{planCheckCommand(clause)}
}

// planCheckCommand checks a plan before it is written to the store. It changes nothing.
func planCheckCommand(parent *kingpin.CmdClause) command {
	clause := parent.Command("check", "Checks a plan and shows what differs from the plan in force. Example: coltsfoot plan check plan.json --store 10.200.1.7:8142")
	file := clause.Arg("file", "File with the plan, as it is written to the store.").Required().ExistingFile()
	force := clause.Flag("force", "File with the plan in force.").ExistingFile()
	store := clause.Flag("store", "Address of the store that has the plan in force, as IP:port.").String()
	memory := clause.Flag("memory", "Memory of the smallest VM's daemon in MiB.").Int64()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			text, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			inForce, err := planInForce(ctx, *force, *store)
			if err != nil {
				return err
			}
			report, err := platform.CheckPlan(*file, text, inForce, *memory<<20)
			if err != nil {
				return err
			}
			return printReport(report, *asJSON)
		},
	}
}

// planInForce returns the plan in force from a file or a store, or nil if neither is named or
// the store has none.
func planInForce(ctx context.Context, file, store string) ([]byte, error) {
	switch {
	case file != "" && store != "":
		return nil, codedError{
			error: errors.New("want one of --force and --store"),
			code:  exitUsage,
		}
	case file != "":
		return os.ReadFile(file)
	case store != "":
		return platform.PlanInForce(ctx, store, platformTimeout)
	}
	return nil, nil
}

// printReport prints a report and returns an error if the plan has errors.
func printReport(r auditor.Report, asJSON bool) error {
	var err error
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	} else {
		err = r.WriteText(os.Stdout)
	}
	if err != nil {
		return err
	}
	for _, p := range r.Findings {
		if p.Level == auditor.Invalid {
			return codedError{
				error: errInvalidPlan,
				code:  exitInvalid,
			}
		}
	}
	return nil
}
