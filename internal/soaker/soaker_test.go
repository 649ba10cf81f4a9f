package soaker_test

import (
	"embed"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var full = flag.Bool("full", false, "run all regression seeds at their whole length")

//go:embed testdata/regressions.jsonc
var regressions embed.FS

// regression is a seed that has shown a violation, with the symptom and its cause.
type regression struct {
	Seed    uint64 `json:"seed"`
	Symptom string `json:"saw"`
	Cause   string `json:"cause"`
}

// Sizes of the test runs.
const (
	testNodes  = 6
	testLength = 20 * time.Second
	// Without -full, the test runs shortSeeds seeds for shortLength each.
	shortLength = 6 * time.Second
	shortSeeds  = 2
	// keysSeed is the seed of the run with keys.
	keysSeed = 900
)

// runSoak runs one seed. It keeps the settings and logs if the test fails.
func runSoak(t *testing.T, program string, seed uint64, length time.Duration, keys bool) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	r, err := soaker.Run(t.Context(), soaker.Options{
		Program: program,
		Dir:     dir,
		Seed:    seed,
		Nodes:   testNodes,
		Length:  length,
		Keys:    keys,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Counts.Answered == 0 {
		t.Error("no request was answered")
	}
	if t.Failed() {
		t.Logf("settings and logs are in %s", dir)
		return
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Error(err)
	}
}

// TestSoak runs the first seeds for a short time. With -full it runs all
// regression seeds at their whole length instead.
func TestSoak(t *testing.T) {
	program := soaker.BuildDaemon(t)
	if !*full {
		for seed := range uint64(shortSeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runSoak(t, program, seed, shortLength, false)
			})
		}
		return
	}
	const name = "testdata/regressions.jsonc"
	data, err := regressions.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var cases []regression
	if err := parser.Decode(name, data, len(data), &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.Seed), func(t *testing.T) { runSoak(t, program, c.Seed, testLength, false) })
	}
}

// TestSoakWithKeys runs a seed whose configurations remove keys while faults are injected.
func TestSoakWithKeys(t *testing.T) {
	runSoak(t, soaker.BuildDaemon(t), keysSeed, shortLength, true)
}
