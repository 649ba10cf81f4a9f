// Command coltsfootsoak injects faults into daemons that run as processes of
// their own, and checks what clients and targets see.
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

const help = `Injects faults into daemons that run as processes, and checks what clients and
targets see. It ends with 1 if a promise was broken; settings and logs of the
seeds that broke one are kept.

Example: coltsfootsoak --program bin/coltsfootd --first 1 --seeds 50 --jobs 3`

func main() {
	app := kingpin.New("coltsfootsoak", help)
	program := app.Flag("program", "The daemon's program.").Required().ExistingFile()
	first := app.Flag("first", "The first seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "How many seeds to run.").Default("1").Int()
	jobs := app.Flag("jobs", "How many to run at a time.").Default("1").Int()
	nodes := app.Flag("daemons", "How many daemons each has.").Default("6").Int()
	length := app.Flag("length", "How long faults are injected.").Default("20s").Duration()
	dir := app.Flag("dir", "Where settings and logs are kept.").Default("soak").String()
	events := app.Flag("events", "Print the events of each seed.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results := make([]soaker.Result, *seeds)
	var group errgroup.Group
	group.SetLimit(*jobs)
	for i := range results {
		group.Go(func() error {
			var err error
			results[i], err = soakOne(ctx, soaker.Options{
				Program: *program,
				Dir:     filepath.Join(*dir, fmt.Sprintf("seed-%d", *first+uint64(i))),
				Seed:    *first + uint64(i),
				Nodes:   *nodes,
				Length:  *length,
			}, *events)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		log.Error("soak failed", "err", err)
		os.Exit(1)
	}
	failed := 0
	for _, r := range results {
		if len(r.Broken) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", len(results), failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// maxShown bounds the broken promises that are printed of a seed.
const maxShown = 8

// soakOne runs one seed and prints what it has shown.
func soakOne(ctx context.Context, o soaker.Options, events bool) (soaker.Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return soaker.Result{}, fmt.Errorf("directory of seed %d: %w", o.Seed, err)
	}
	began := time.Now()
	r, err := soaker.Run(ctx, o)
	if err != nil {
		return r, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d broken, %d requests, %d answered, %d refused or failed, %d unanswered, %d arrivals, %d events, %v\n",
		r.Seed, len(r.Broken), r.Counts.Requests, r.Counts.Answered, r.Counts.Refused, r.Counts.Unanswered, r.Counts.Arrivals, len(r.Events),
		time.Since(began).Round(time.Second))
	if events {
		for _, e := range r.Events {
			fmt.Fprintf(&text, "  %7.3fs %s node %d %s %v\n", e.At.Seconds(), e.Kind, e.Node, e.Hop, e.Length.Round(time.Millisecond))
		}
	}
	for i, b := range r.Broken {
		if i == maxShown {
			fmt.Fprintf(&text, "  and %d more\n", len(r.Broken)-maxShown)
			break
		}
		fmt.Fprintf(&text, "  %s\n", b)
	}
	fmt.Print(text.String())
	if len(r.Broken) == 0 {
		if err := os.RemoveAll(o.Dir); err != nil {
			return r, fmt.Errorf("logs of seed %d: %w", o.Seed, err)
		}
	}
	return r, nil
}
