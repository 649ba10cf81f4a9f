// Command coltsfootsoak runs soak tests: it injects faults into daemons that run
// as separate processes and checks their guarantees against what clients and
// targets observe.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

const help = `Injects faults into daemons that run as separate processes and checks their
guarantees against what clients and targets observe. The exit code is 1 if a
guarantee was violated. The settings and logs of seeds with violations are kept.

Example: coltsfootsoak --program bin/coltsfootd --first 1 --seeds 50 --jobs 3`

func main() {
	app := kingpin.New("coltsfootsoak", help)
	program := app.Flag("program", "Path of the coltsfootd binary.").Required().ExistingFile()
	first := app.Flag("first", "The first seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds to run.").Default("1").Int()
	concurrency := app.Flag("jobs", "Number of seeds to run concurrently.").Default("1").Int()
	daemons := app.Flag("daemons", "Number of daemons for each seed.").Default("6").Int()
	length := app.Flag("length", "Duration of the fault injection.").Default("20s").Duration()
	keys := app.Flag("keys", "Let each configuration remove a key, and check that it is refused everywhere.").Bool()
	dir := app.Flag("dir", "Directory for settings and logs.").Default("soak").String()
	events := app.Flag("events", "Print the injected faults of each seed.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results := make([]soaker.Result, *seeds)
	var group errgroup.Group
	group.SetLimit(*concurrency)
	for i := range results {
		group.Go(func() error {
			var err error
			results[i], err = runSeed(ctx, soaker.Options{
				Program: *program,
				Dir:     filepath.Join(*dir, fmt.Sprintf("seed-%d", *first+uint64(i))),
				Seed:    *first + uint64(i),
				Nodes:   *daemons,
				Length:  *length,
				Keys:    *keys,
			}, *events)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		log.Error("soak test failed", "err", err)
		os.Exit(1)
	}
	failed := 0
	for _, r := range results {
		if len(r.Violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", len(results), failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// maxViolations is the maximum number of violations printed for a seed.
const maxViolations = 8

// runSeed runs one seed and prints its result. It removes the directory of a seed
// without violations.
func runSeed(ctx context.Context, o soaker.Options, events bool) (soaker.Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return soaker.Result{}, fmt.Errorf("directory of seed %d: %w", o.Seed, err)
	}
	start := time.Now()
	r, err := soaker.Run(ctx, o)
	if err != nil {
		return r, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	var summary strings.Builder
	fmt.Fprintf(&summary, "seed %d: %d broken, %d requests, %d answered, %d refused or failed, %d unanswered, %d arrivals, %d events, %v\n",
		r.Seed, len(r.Violations), r.Counts.Requests, r.Counts.Answered, r.Counts.Refused, r.Counts.Unanswered, r.Counts.Arrivals, len(r.Events),
		time.Since(start).Round(time.Second))
	if events {
		for _, e := range r.Events {
			fmt.Fprintf(&summary, "  %7.3fs %s node %d %s %v\n", e.At.Seconds(), e.Kind, e.Node, e.Hop, e.Length.Round(time.Millisecond))
		}
	}
	for i, v := range r.Violations {
		if i == maxViolations {
			fmt.Fprintf(&summary, "  and %d more\n", len(r.Violations)-maxViolations)
			break
		}
		fmt.Fprintf(&summary, "  %s\n", v)
	}
	fmt.Print(summary.String())
	if len(r.Violations) == 0 {
		if err := os.RemoveAll(o.Dir); err != nil {
			return r, fmt.Errorf("logs of seed %d: %w", o.Seed, err)
		}
	}
	return r, nil
}
