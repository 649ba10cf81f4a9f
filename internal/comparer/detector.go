package comparer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/judge"
)

// Detector decides when a new version is bad. Its fields are the functions in which the
// compared detectors differ.
type Detector struct {
	// Period processes the calls of one period of the old and the new version,
	// with one count for each route. It reports whether the new version is
	// found bad.
	Period func(now time.Time, oldCounts, newCounts []judge.Count) bool
	// ShareRaised is called after each committed change of the rollout.
	ShareRaised func()
}

// NewDetector returns a detector for a rollout that starts at now.
type NewDetector func(id judge.RolloutID, steps int, now time.Time, r *rand.Rand) Detector

// Sequential returns the judge with its sequential test, as daemons run it, with
// tallies as input.
func Sequential(id judge.RolloutID, steps int, now time.Time, _ *rand.Rand) Detector {
	j := judge.New(id, steps, routes, now)
	tallies := [2]judge.Tally{newTally(id, "old", now), newTally(id, id.To, now)}
	return Detector{
		ShareRaised: j.ShareRaised,
		Period: func(now time.Time, oldCounts, newCounts []judge.Count) bool {
			for i, counts := range [][]judge.Count{oldCounts, newCounts} {
				addPeriod(&tallies[i], counts)
				if err := j.Add(tallies[i]); err != nil {
					panic(err)
				}
			}
			return j.Step(now).Bad
		},
	}
}

func newTally(id judge.RolloutID, version string, now time.Time) judge.Tally {
	return judge.Tally{
		RolloutID: id,
		Version:   version,
		From:      version,
		Epoch:     now,
		Routes:    []judge.RouteCount{{Route: "/0"}, {Route: "/1"}},
	}
}

// addPeriod advances a tally by the counts of one period. It copies the routes
// because the judge keeps the previous tally.
func addPeriod(t *judge.Tally, counts []judge.Count) {
	t.Sequence++
	t.Routes = slices.Clone(t.Routes)
	for i, c := range counts {
		t.Routes[i].Count = t.Routes[i].Plus(c)
	}
}

// Parameters of the fixed threshold.
const (
	thresholdWindow   = 100
	thresholdMinCalls = 20
	thresholdBadShare = 0.05
)

// Threshold returns the baseline: a version is bad if more than 5% of its last 100
// calls are bad, once it has at least 20 calls.
func Threshold(_ judge.RolloutID, _ int, _ time.Time, r *rand.Rand) Detector {
	var window []bool
	return Detector{
		ShareRaised: func() {},
		Period: func(_ time.Time, _, newCounts []judge.Count) bool {
			for _, c := range newCounts {
				for remaining, bad := c.Calls, c.Bad; remaining > 0; remaining-- {
					isBad := r.Uint64N(remaining) < bad
					if isBad {
						bad--
					}
					window = append(window, isBad)
					window = window[max(0, len(window)-thresholdWindow):]
					if overThreshold(window) {
						return true
					}
				}
			}
			return false
		},
	}
}

func overThreshold(window []bool) bool {
	badCalls := 0
	for _, bad := range window {
		if bad {
			badCalls++
		}
	}
	return len(window) >= thresholdMinCalls && float64(badCalls) > thresholdBadShare*float64(len(window))
}
