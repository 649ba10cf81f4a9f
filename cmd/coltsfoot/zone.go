package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/requester"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

func zoneCommands(app *kingpin.Application) []command {
	clause := app.Command("zone", "Takes data centres out of service and brings them back.")
	return []command{
		zoneCommand(clause, "out", true, "Stops new requests to a data centre, also during a platform outage. Example: coltsfoot zone out zilina --daemon 127.0.0.1:7104"),
		zoneCommand(clause, "in", false, "Brings a data centre back with a gradual ramp. Example: coltsfoot zone in zilina --daemon 127.0.0.1:7104"),
	}
}

func zoneCommand(parent *kingpin.CmdClause, name string, out bool, help string) command {
	clause := parent.Command(name, help)
	daemon := daemonFlag(clause)
	dc := clause.Arg("dc", "Name of the data centre.").Required().String()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			address := "http://" + *daemon + "/v1/zones/" + url.PathEscape(*dc)
			setting := server.ZoneSetting{
				Evacuated: out,
				By:        operatorName(),
			}
			if err := requester.Do(ctx, http.MethodPut, address, setting, nil); err != nil {
				return err
			}
			fmt.Printf("data centre %s is %s; it takes effect everywhere within seconds\n", *dc, name)
			return nil
		},
	}
}
