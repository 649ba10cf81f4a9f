package admitter

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
)

// Load returns the target's load for requests of a rule, to be reported to other
// daemons.
func (g *Gate) Load(rule string) chooser.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := chooser.Load{
		Running:     g.running,
		Queued:      len(g.queue),
		ServiceTime: g.serviceTime[rule],
		FailureRate: g.failureRate,
		FaultRate:   g.faultRate,
	}
	if g.target != nil {
		l.Slots = g.target.Slots
	}
	now := g.Clock.Now()
	if wait := g.rateWait(now); wait > 0 {
		l.ReopenAfter = wait + rateDuration(len(g.queue), g.rate(now))
	}
	l.ReopenAfter = max(l.ReopenAfter, g.breaker.wait(now))
	return l
}

// Queued returns the number of requests that wait for a slot.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue)
}

// Running returns the number of requests that occupy a slot.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *Gate) meanServiceTime(rule string) time.Duration {
	if serviceTime, ok := g.serviceTime[rule]; ok {
		return serviceTime
	}
	return defaultServiceTime
}

// Outcome is the outcome of an admitted request.
type Outcome struct {
	Duration time.Duration
	// Failed means that the target failed the request, and NotRun that it did
	// not run it.
	Failed, NotRun bool
	// Aborted means that the request was cancelled or timed out. Duration is then
	// only a lower bound of the service time.
	Aborted bool
}

// recordOutcome updates the failure rates and the rule's mean service time. Only
// successful requests count for the latter.
func (g *Gate) recordOutcome(rule string, o Outcome) {
	if g.serviceTime == nil {
		g.serviceTime = map[string]time.Duration{}
	}
	g.failureRate -= failureWeight * g.failureRate
	if o.NotRun {
		g.failureRate += failureWeight
		return
	}
	g.faultRate -= failureWeight * g.faultRate
	if o.Failed {
		g.failureRate += failureWeight
		g.faultRate += failureWeight
		return
	}
	mean, known := g.serviceTime[rule]
	if !known {
		g.serviceTime[rule] = o.Duration
		return
	}
	g.serviceTime[rule] = mean + time.Duration(serviceTimeWeight*float64(o.Duration-mean))
}

// RetryAfter returns how long a rejected client should wait for a free slot.
func (g *Gate) RetryAfter(rule string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := 1
	if g.target != nil {
		slots = max(1, g.target.Slots)
	}
	wait := g.meanServiceTime(rule) * time.Duration(1+len(g.queue)) / time.Duration(slots)
	now := g.Clock.Now()
	return max(minRetryAfter, wait, g.rateWait(now), g.breaker.wait(now))
}
