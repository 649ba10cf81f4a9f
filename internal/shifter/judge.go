package shifter

import (
	"math"
	"sync"
	"time"
)

// Thresholds of a verdict on one rule's requests.
const (
	// minFailures and failureShare make a version bad that fails requests.
	minFailures  = 4
	failureShare = 0.15
	// slowFactor is how much longer than usual a slow answer takes, and minSlow
	// and slowShare make a version bad that answers slowly. Targets differ in
	// speed by a factor of three.
	slowFactor = 3.5
	minSlow    = 6
	slowShare  = 0.3
	// othersFactor is how much more than the former version's targets a bad one
	// fails.
	othersFactor = 2.5
	// memory bounds the counts, so that a fault that shows late still does.
	memory = 40
)

// Answer is one answer of a target.
type Answer struct {
	Rule     string
	Failed   bool
	Duration time.Duration
	// Usual is the mean service time of the rule's requests.
	Usual time.Duration
}

// Pool is the answers that all targets of a version have told of.
type Pool struct {
	Calls, Faults int
}

// Thresholds of a verdict on the answers of all targets of a version: more
// failures than the former version would have had, by some standard deviations
// of a Poisson distribution and a few.
const (
	usualFailing   = 0.003
	poolDeviations = 3
	poolAllowance  = 2
)

// Bad reports whether the version fails too many requests. Failing is the share
// of failures among the former version's answers.
func (p Pool) Bad(failing float64) bool {
	expected := float64(p.Calls) * max(usualFailing, failing)
	return float64(p.Faults) >= expected+poolDeviations*math.Sqrt(expected)+poolAllowance
}

// count is the answers of one rule.
type count struct {
	calls, failures, slow float64
}

// Judge counts the answers of one target during an order. It is safe for
// concurrent use; its zero value has counted nothing.
type Judge struct {
	mu     sync.Mutex
	order  Order
	counts map[string]*count
	total  Pool
	bad    bool
}

// Add counts an answer during an order and reports whether the version is bad.
// Failing is the share of failures among the former version's answers.
func (j *Judge) Add(o Order, a Answer, failing float64) (bad bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.order != o || j.counts == nil {
		j.order = o
		j.counts = map[string]*count{}
		j.total = Pool{}
		j.bad = false
	}
	c, ok := j.counts[a.Rule]
	if !ok {
		c = &count{}
		j.counts[a.Rule] = c
	}
	c.add(a)
	j.total.Calls++
	if a.Failed {
		j.total.Faults++
	}
	j.bad = j.bad || c.bad(failing)
	return j.bad
}

// Bad reports whether an order's version was found to be bad.
func (j *Judge) Bad(o Order) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bad && j.order == o
}

// Total returns the counts of an order.
func (j *Judge) Total(o Order) Pool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.order != o {
		return Pool{}
	}
	return j.total
}

func (c *count) add(a Answer) {
	if c.calls >= memory {
		c.calls /= 2
		c.failures /= 2
		c.slow /= 2
	}
	c.calls++
	switch {
	case a.Failed:
		c.failures++
	case float64(a.Duration) > slowFactor*float64(a.Usual):
		c.slow++
	}
}

func (c *count) bad(failing float64) bool {
	if c.failures >= minFailures && c.failures/c.calls >= max(failureShare, othersFactor*failing) {
		return true
	}
	return c.slow >= minSlow && c.slow/c.calls >= slowShare
}
