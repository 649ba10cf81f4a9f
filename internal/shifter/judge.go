package shifter

import (
	"math"
	"sync"
	"time"
)

// Thresholds for the requests of one routing rule at one target.
const (
	// A version that fails requests is bad from minFailures failures and a
	// share of failureShare on.
	minFailures  = 4
	failureShare = 0.15
	// slowFactor is the ratio to the mean duration from which a response is
	// slow. It exceeds 3 because targets differ in speed by a factor of three.
	// A version that responds slowly is bad from minSlow slow responses and a
	// share of slowShare on.
	slowFactor = 3.5
	minSlow    = 6
	slowShare  = 0.3
	// formerFactor is the ratio to the former version's failure share from
	// which a version is bad.
	formerFactor = 2.5
	// maxCounted is the number of responses at which the counts are halved, so
	// that a fault that appears late still reaches the thresholds.
	maxCounted = 40
)

// RequestResult is the result of one request at a target.
type RequestResult struct {
	Rule     string
	Failed   bool
	Duration time.Duration
	// MeanDuration is the mean duration of the rule's requests.
	MeanDuration time.Duration
}

// Totals is the total of the responses that all targets of a version reported.
type Totals struct {
	Calls, Failures int
}

// Thresholds for the responses of all targets of a version. The version is bad
// if it has more failures than expected at the former version's failure share,
// by maxDeviations standard deviations of a Poisson distribution plus
// extraFailures. The expected share is at least minExpectedShare.
const (
	minExpectedShare = 0.003
	maxDeviations    = 3
	extraFailures    = 2
)

// Bad reports whether the version fails too many requests. formerFailureShare
// is the share of failures among the former version's responses, 0 to 1.
func (t Totals) Bad(formerFailureShare float64) bool {
	expected := float64(t.Calls) * max(minExpectedShare, formerFailureShare)
	return float64(t.Failures) >= expected+maxDeviations*math.Sqrt(expected)+extraFailures
}

// ruleCounts counts the responses to the requests of one rule.
type ruleCounts struct {
	calls, failures, slow float64
}

// Judge counts the responses of one target during a rollout. It is safe for
// concurrent use. Its zero value has empty counts.
type Judge struct {
	mu      sync.Mutex
	rollout Rollout
	byRule  map[string]*ruleCounts
	total   Totals
	bad     bool
}

// Add counts a response during the rollout r and reports whether the version is
// bad. formerFailureShare is the share of failures among the former version's
// responses, 0 to 1.
func (j *Judge) Add(r Rollout, res RequestResult, formerFailureShare float64) (bad bool) {
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
	j.bad = j.bad || c.bad(formerFailureShare)
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
	case float64(res.Duration) > slowFactor*float64(res.MeanDuration):
		c.slow++
	}
}

func (c *ruleCounts) bad(formerFailureShare float64) bool {
	if c.failures >= minFailures && c.failures/c.calls >= max(failureShare, formerFactor*formerFailureShare) {
		return true
	}
	return c.slow >= minSlow && c.slow/c.calls >= slowShare
}
