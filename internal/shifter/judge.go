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

// timed reports whether the duration of the response is judged.
func (r RequestResult) timed() bool {
	return !r.Failed && r.MeanDuration > 0
}

// slow reports whether the response took much longer than the mean.
func (r RequestResult) slow() bool {
	return r.timed() && float64(r.Duration) > slowFactor*float64(r.MeanDuration)
}

// Totals counts responses: those of one target, or of all targets of a version.
type Totals struct {
	Calls, Failures int
	// Timed counts the responses whose duration was judged, and Slow those among them that
	// took much longer than the mean.
	Timed, Slow int
}

// minus returns the difference t - o.
func (t Totals) minus(o Totals) Totals {
	return Totals{
		Calls:    t.Calls - o.Calls,
		Failures: t.Failures - o.Failures,
		Timed:    t.Timed - o.Timed,
		Slow:     t.Slow - o.Slow,
	}
}

// plus returns the sum of t and o.
func (t Totals) plus(o Totals) Totals {
	return Totals{
		Calls:    t.Calls + o.Calls,
		Failures: t.Failures + o.Failures,
		Timed:    t.Timed + o.Timed,
		Slow:     t.Slow + o.Slow,
	}
}

// atLeast reports whether no count of t is less than that of o.
func (t Totals) atLeast(o Totals) bool {
	return t.Calls >= o.Calls && t.Failures >= o.Failures && t.Timed >= o.Timed && t.Slow >= o.Slow
}

// Thresholds for the responses of all targets of a version. The version is bad
// if its failures exceed the number expected at the old version's failure rate
// by at least maxDeviations standard deviations of a Poisson distribution plus
// extraFailures. The expected rate is at least minExpectedFailureRate. It is also bad if at
// least minTotalSlow responses, and a fraction of at least minTotalSlowRate of those that
// were judged, are slow.
const (
	minExpectedFailureRate = 0.003
	maxDeviations          = 3
	extraFailures          = 2
	minTotalSlow           = 6
	minTotalSlowRate       = 0.15
)

// failsTooOften reports whether the failures exceed their threshold. baselineFailureRate is
// the old version's failure rate, 0 to 1.
func (t Totals) failsTooOften(baselineFailureRate float64) bool {
	expected := float64(t.Calls) * max(minExpectedFailureRate, baselineFailureRate)
	return float64(t.Failures) >= expected+maxDeviations*math.Sqrt(expected)+extraFailures
}

// slowTooOften reports whether the slow responses exceed their threshold.
func (t Totals) slowTooOften() bool {
	return t.Slow >= minTotalSlow && float64(t.Slow) >= minTotalSlowRate*float64(t.Timed)
}

// ruleCounts counts the responses to the requests of one rule.
type ruleCounts struct {
	calls, failures, timed, slow float64
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
	if res.timed() {
		j.total.Timed++
	}
	if res.slow() {
		j.total.Slow++
	}
	j.bad = j.bad || c.bad(baselineFailureRate)
	return j.bad
}

// Continue counts for the rollout r from the counts of old, which r repeats.
func (j *Judge) Continue(old, r Rollout) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.rollout == old {
		j.rollout = r
	}
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
		c.timed /= 2
		c.slow /= 2
	}
	c.calls++
	if res.Failed {
		c.failures++
	}
	if res.timed() {
		c.timed++
	}
	if res.slow() {
		c.slow++
	}
}

func (c *ruleCounts) bad(baselineFailureRate float64) bool {
	if c.failures >= minFailures && c.failures/c.calls >= max(minFailureRate, baselineFactor*baselineFailureRate) {
		return true
	}
	return c.slow >= minSlowResponses && c.slow/c.timed >= minSlowRate
}
