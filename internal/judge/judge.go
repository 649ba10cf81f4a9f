// Package judge decides whether a new version of a service is bad: on any
// route, its calls fail or exceed their time limit more often than those of the
// old version in the same period.
//
// Daemons count the calls of their own targets (Recorder) and send the totals
// (Tally) to a few judging daemons of the same service. Each of these pools the
// tallies (Judge) and runs a sequential test on each route. A version that is
// as good as the old one is found bad with a probability of at most
// FalsePositiveRate in a whole rollout.
package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("judge")

// Period is the interval at which daemons send tallies and judges run the test.
const Period = 250 * time.Millisecond

// JudgesPerRollout is the number of daemons that judge a rollout independently.
// Any one of them may withdraw the version.
const JudgesPerRollout = 3

// Limits on the memory of a judge: maxTallies is the number of daemons whose
// tallies it stores, and maxRoutes the number of routes that a tally counts.
const (
	maxTallies = 4096
	maxRoutes  = 64
)

// Finding is the current result of the test.
type Finding struct {
	// Bad means that the new version must be withdrawn; Reason states why.
	Bad    bool   `json:"bad"`
	Reason string `json:"reason,omitempty"`
	// OldCalls and NewCalls are the numbers of tested calls of the old and of the
	// new version.
	OldCalls uint64 `json:"before"`
	NewCalls uint64 `json:"after"`
	// OldBadShare is the old version's share of bad calls, 0 to 1, on the route
	// where that share is highest.
	OldBadShare float64 `json:"reference"`
}

// allRoutes names the test of all routes together. It detects a fault on all
// routes after fewer calls per route.
const allRoutes = "all routes"

// periodCounts are the calls of one route that were received since the last
// Step: baseline for the old version and canary for the new one.
type periodCounts struct {
	baseline, canary Count
}

// Judge pools the tallies of one rollout. It is not safe for concurrent use.
type Judge struct {
	rollout    RolloutID
	thresholds thresholds
	tallies    map[string]Tally
	pending    map[string]periodCounts
	tests      map[string]*test
	finding    Finding
	// busyTime is the total time that all targets spent on calls since the last
	// Step. peakDemand is the decaying peak of the number of slots in use.
	busyTime   time.Duration
	lastStep   time.Time
	peakDemand float64
}

// New returns a judge of a rollout that lasts from now until its deadline. The
// numbers of the rollout's steps and of the service's routes determine the
// thresholds of the tests.
func New(id RolloutID, steps, routes int, now time.Time) *Judge {
	periods := max(1, id.By.Sub(now).Seconds()/Period.Seconds())
	tests := float64(routes + 1)
	return &Judge{
		rollout:    id,
		thresholds: thresholdsFor(float64(steps)*tests, periods*tests),
		tallies:    map[string]Tally{},
		pending:    map[string]periodCounts{},
		tests:      map[string]*test{},
		lastStep:   now,
	}
}

// Add adds a tally to the counts. It ignores a tally that is not newer than the
// last one from the same daemon.
func (j *Judge) Add(t Tally) error {
	if t.RolloutID != j.rollout {
		return Class.New("tally of another move")
	}
	previous, seen := j.tallies[t.From]
	if !seen && len(j.tallies) >= maxTallies || len(t.Routes) > maxRoutes {
		return Class.New("too many tallies or routes")
	}
	if seen && !newer(t, previous) {
		return nil
	}
	if seen && t.Epoch.Equal(previous.Epoch) {
		j.busyTime += max(0, t.Busy-previous.Busy)
	} else {
		previous = Tally{}
	}
	j.tallies[t.From] = t
	for _, r := range t.Routes {
		j.count(t.Version, r.Route, r.minus(previous.count(r.Route)))
	}
	return nil
}

// newer reports whether t supersedes the tally previous.
func newer(t, previous Tally) bool {
	if !t.Epoch.Equal(previous.Epoch) {
		return t.Epoch.After(previous.Epoch)
	}
	return t.Sequence > previous.Sequence
}

func (t Tally) count(route string) Count {
	i := slices.IndexFunc(t.Routes, func(rc RouteCount) bool { return rc.Route == route })
	if i < 0 {
		return Count{}
	}
	return t.Routes[i].Count
}

func (j *Judge) count(version, route string, c Count) {
	c.Bad = min(c.Bad, c.Calls)
	if j.tests[route] == nil && len(j.tests)+len(j.pending) > 2*maxRoutes {
		return
	}
	counts := j.pending[route]
	if version == j.rollout.To {
		counts.canary = counts.canary.Plus(c)
	} else {
		counts.baseline = counts.baseline.Plus(c)
	}
	j.pending[route] = counts
}

// peakDemandDecay is the factor by which the peak demand decreases in each
// period. It keeps a peak for about a minute.
const peakDemandDecay = 0.996

// Step ends a period at the time now: it tests the counts of the period and
// returns the finding. A finding that is bad stays bad.
func (j *Judge) Step(now time.Time) Finding {
	if elapsed := now.Sub(j.lastStep); elapsed > 0 {
		busySlots := j.busyTime.Seconds() / elapsed.Seconds()
		j.peakDemand = max(busySlots, j.peakDemand*peakDemandDecay)
		j.busyTime, j.lastStep = 0, now
	}
	j.finding.OldBadShare = 0
	var total periodCounts
	for route, p := range j.pending {
		j.test(route, p)
		total.baseline = total.baseline.Plus(p.baseline)
		total.canary = total.canary.Plus(p.canary)
	}
	clear(j.pending)
	j.test(allRoutes, total)
	j.finding.OldCalls += total.baseline.Calls
	j.finding.NewCalls += total.canary.Calls
	for _, t := range j.tests {
		j.finding.OldBadShare = max(j.finding.OldBadShare, t.baselineRate.badShare())
	}
	return j.finding
}

func (j *Judge) test(route string, p periodCounts) {
	t := j.tests[route]
	if t == nil {
		t = &test{baselineRate: newBaselineRate()}
		j.tests[route] = t
	}
	t.add(p.baseline, p.canary)
	if j.finding.Bad || p.canary.Calls == 0 {
		return
	}
	calls, exceeded := t.exceeded(j.thresholds)
	if !exceeded {
		return
	}
	j.finding.Bad = true
	j.finding.Reason = fmt.Sprintf("%s: %d of %d calls bad, the old version's share is %.1f%%",
		route, calls.Bad, calls.Calls, 100*t.baselineRate.badShare())
}

// ShareRaised restarts the test for faults that appear with a larger share of
// the new version. It is called when that share has risen.
func (j *Judge) ShareRaised() {
	for _, t := range j.tests {
		t.sinceRise = martingale{}
	}
}

// Demand returns the decaying peak of the number of slots that the service's
// calls occupy. ok is false until a call has been measured.
func (j *Judge) Demand() (slots float64, ok bool) {
	return j.peakDemand, j.peakDemand > 0
}
