package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/generator"
)

func callCommand(app *kingpin.Application) command {
	clause := app.Command("call", "Calls endpoints in turn at a fixed rate and prints their latencies.")
	rate := clause.Flag("rate", "Calls per second over all endpoints.").Default("137").Int()
	warmup := clause.Flag("warmup", "Duration of the warm-up, which is not measured.").Default("2s").Duration()
	duration := clause.Flag("duration", "Duration of the measurement.").Default("10s").Duration()
	seed := clause.Flag("seed", "Seed of the random intervals between calls.").Default("1").Uint64()
	connections := clause.Flag("connections", "Maximum number of idle connections per endpoint.").Default("128").Int()
	pids := clause.Flag("pid", "Process whose CPU usage is shown, as NAME=PID.").StringMap()
	endpoints := clause.Arg("way", "Endpoint as NAME=URL. Added latency is relative to the first endpoint.").Required().Strings()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			o := generator.Options{
				Rate:        *rate,
				Warmup:      *warmup,
				Duration:    *duration,
				Seed:        *seed,
				Connections: *connections,
			}
			for _, e := range *endpoints {
				name, url, ok := strings.Cut(e, "=")
				if !ok {
					return fmt.Errorf("way %q: want NAME=URL", e)
				}
				o.Endpoints = append(o.Endpoints, generator.Endpoint{Name: name, URL: url})
			}
			return runLoad(ctx, o, *pids)
		},
	}
}

func runLoad(ctx context.Context, o generator.Options, pids map[string]string) error {
	before, err := generator.CPUTimes(pids)
	if err != nil {
		return err
	}
	results := generator.Run(ctx, o)
	after, err := generator.CPUTimes(pids)
	if err != nil {
		return err
	}
	if err := generator.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	runTime := o.Warmup + o.Duration
	for name, t := range after {
		fmt.Printf("%s: %.2f%% of a core\n", name, 100*(t-before[name]).Seconds()/runTime.Seconds())
	}
	return nil
}
