package shifter

import (
	"math"
	"sync"
	"time"
)

// Thresholds for the requests of one routing rule at one target.
const (
	// A version is bad if it has at least minFailures failures and a failure rate
	// of at least minFailureRate.
	minFailures    = 4
	minFailureRate = 0.15
	// A response is slow if it takes more than slowFactor times the mean
	// duration. slowFactor exceeds 3 because targets differ in speed by a factor
	// of three. A version is bad if at least minSlowResponses responses, and a fraction
	// of at least minSlowRate of all responses, are slow.
	slowFactor       = 3.5
	minSlowResponses = 6
	minSlowRate      = 0.3
	// baselineFactor is the minimum ratio of a bad version's failure rate to that
	// of the old version.
	baselineFactor = 2.5
	// maxCounted is the number of responses at which the counts are halved. A
	// fault that appears late thus still reaches the thresholds.
	maxCounted = 40
)

// RequestResult is the result of one request at a target.
type RequestResult struct {
	Rule     string
	Failed   bool
	Duration time.Duration
	// MeanDuration is the mean duration of the rule's requests at the old version, or 0 if
	// it is unknown. The duration is not judged then.
	MeanDuration time.Duration
}

// slow reports whether the response took much longer than the mean.
func (r RequestResult) slow() bool {
	return !r.Failed && r.MeanDuration > 0 && float64(r.Duration) > slowFactor*float64(r.MeanDuration)
}

// Totals counts responses: those of one target, or of all targets of a version.
type Totals struct {
	Calls, Failures int
	// Slow counts the responses that took much longer than the mean.
	Slow int
}

// Thresholds for the responses of all targets of a version. The version is bad
// if its failures exceed the number expected at the old version's failure rate
// by at least maxDeviations standard deviations of a Poisson distribution plus
// extraFailures. The expected rate is at least minExpectedFailureRate.
const (
	minExpectedFailureRate = 0.003
	maxDeviations          = 3
	extraFailures          = 2
)

// Bad reports whether the version's failures exceed the threshold.
// baselineFailureRate is the old version's failure rate, 0 to 1.
func (t Totals) Bad(baselineFailureRate float64) bool {
	expected := float64(t.Calls) * max(minExpectedFailureRate, baselineFailureRate)
	return float64(t.Failures) >= expected+maxDeviations*math.Sqrt(expected)+extraFailures
}

// ruleCounts counts the responses to the requests of one rule.
type ruleCounts struct {
	calls, failures, slow float64
}

// Judge counts the responses of one target during a rollout and compares them
// with fixed thresholds. Unlike the Judge of package judge, it runs no
// sequential test and pools no counts of other targets. It is safe for
// concurrent use. Its zero value has empty counts.
type Judge struct {
	mu      sync.Mutex
	rollout Rollout
	byRule  map[string]*ruleCounts
	total   Totals
	bad     bool
}

// Add counts a response during the rollout r and reports whether the version is
// bad. baselineFailureRate is the old version's failure rate, 0 to 1. Counts of
// another rollout are discarded.
func (j *Judge) Add(r Rollout, res RequestResult, baselineFailureRate float64) (bad bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.rollout != r || j.byRule == nil {
		j.rollout = r
		j.byRule = map[string]*ruleCounts{}
		j.total = Totals{}
		j.bad = false
	}
	c, ok := j.byRule[res.Rule]
	if !ok {
		c = &ruleCounts{}
		j.byRule[res.Rule] = c
	}
	c.add(res)
	j.total.Calls++
	if res.Failed {
		j.total.Failures++
	}
	if res.slow() {
		j.total.Slow++
	}
	j.bad = j.bad || c.bad(baselineFailureRate)
	return j.bad
}

// Bad reports whether the version of the rollout r was found bad.
func (j *Judge) Bad(r Rollout) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bad && j.rollout == r
}

// Total returns the counts of the rollout r.
func (j *Judge) Total(r Rollout) Totals {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.rollout != r {
		return Totals{}
	}
	return j.total
}

func (c *ruleCounts) add(res RequestResult) {
	if c.calls >= maxCounted {
		c.calls /= 2
		c.failures /= 2
		c.slow /= 2
	}
	c.calls++
	switch {
	case res.Failed:
		c.failures++
	case res.slow():
		c.slow++
	}
}

func (c *ruleCounts) bad(baselineFailureRate float64) bool {
	if c.failures >= minFailures && c.failures/c.calls >= max(minFailureRate, baselineFactor*baselineFailureRate) {
		return true
	}
	return c.slow >= minSlowResponses && c.slow/c.calls >= minSlowRate
}
