package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/requester"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

// statusOutput is the JSON output of the status command.
type statusOutput struct {
	Daemon      server.Status   `json:"daemon"`
	DataCentres []server.Survey `json:"dcs"`
}

func statusCommand(app *kingpin.Application) command {
	clause := app.Command("status", "Shows the configuration in force in each data centre and the daemons that lag behind it. Example: coltsfoot status --daemon 127.0.0.1:7104")
	daemon := daemonFlag(clause)
	members := clause.Flag("members", "List the members in the daemon's membership table.").Bool()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			var output statusOutput
			var surveys server.Surveys
			if err := fetch(ctx, "http://"+*daemon+"/v1/status", &output.Daemon); err != nil {
				return err
			}
			if err := fetch(ctx, "http://"+*daemon+"/v1/survey", &surveys); err != nil {
				return err
			}
			output.DataCentres = surveys.DataCentres
			if *asJSON {
				return json.NewEncoder(os.Stdout).Encode(output)
			}
			if err := printStatus(output); err != nil || !*members {
				return err
			}
			return printMembers(output.Daemon.Members)
		},
	}
}

// fetch decodes the JSON document at the URL into v.
func fetch(ctx context.Context, url string, v any) error {
	return requester.Do(ctx, http.MethodGet, url, nil, v)
}

func printStatus(output statusOutput) error {
	s := output.Daemon
	fmt.Printf("%s in %s: revision %d, digest %s, ready %t %s\n", s.Name, s.DC, s.Revision, s.Digest, s.Ready, s.Reason)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DC\tDAEMONS\tREVISION\tDIGEST\tBEHIND\tDIVERGED\tSILENT\tLAGGARDS")
	for _, dc := range output.DataCentres {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%s\n",
			dc.DC, dc.Daemons, dc.Revision, dc.Digest, dc.Behind, dc.Diverged, dc.Silent, formatLaggards(dc))
	}
	return w.Flush()
}

// formatLaggards formats the daemons that are behind as "ID@REVISION".
func formatLaggards(s server.Survey) string {
	items := make([]string, 0, len(s.Laggards))
	for _, l := range s.Laggards {
		items = append(items, fmt.Sprintf("%s@%d", l.ID, l.Revision))
	}
	return strings.Join(items, " ")
}

func printMembers(members []prober.Member) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tDC\tSTATUS\tSERVICE\tVERSION\tSLOTS")
	for _, m := range members {
		if m.Target == nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t-\t-\t-\n", m.ID, m.DC, m.Status)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", m.ID, m.DC, m.Status, m.Target.Service, m.Target.Version, m.Target.Slots)
	}
	return w.Flush()
}

func versionCommand(app *kingpin.Application) command {
	clause := app.Command("version", "Shows the version of the command.")
	return command{
		clause: clause,
		run: func(context.Context) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			fmt.Println("coltsfoot", version)
			return nil
		},
	}
}
