package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/reporter"
)

func reportCommand(app *kingpin.Application) command {
	clause := app.Command("report", "Shows rollouts, error-budget burn and the capacity in use. Example: coltsfoot report --daemon 127.0.0.1:7104 --format html > report.html")
	daemon := daemonFlag(clause)
	format := clause.Flag("format", "Format: text, json or html.").Default("text").Enum("text", "json", "html")
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			var r reporter.Report
			if err := fetch(ctx, "http://"+*daemon+"/v1/report", &r); err != nil {
				return err
			}
			switch *format {
			case "json":
				return json.NewEncoder(os.Stdout).Encode(r)
			case "html":
				return r.WriteHTML(os.Stdout)
			default:
				return r.WriteText(os.Stdout)
			}
		},
	}
}

// daemonFlag defines the daemon flag of the commands that query a daemon.
func daemonFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("daemon", "Operator address of a daemon.").Required().Envar("COLTSFOOT_DAEMON").String()
}
