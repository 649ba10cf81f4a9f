package admitter

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
)

// Load returns the load that is told to others for a rule.
func (g *Gate) Load(rule string) chooser.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := chooser.Load{
		Running: g.running,
		Queued:  len(g.queue),
		Work:    g.work[rule],
		Failing: g.failing,
		Faulty:  g.faulty,
	}
	if g.target != nil {
		l.Slots = g.target.Slots
	}
	if wait := g.coldWait(g.Clock.Now()); wait > 0 {
		l.Wait = wait + time.Duration(float64(len(g.queue))*float64(time.Second)/g.coldRate())
	}
	l.Wait = max(l.Wait, g.breaker.wait(g.Clock.Now()))
	return l
}

// Running returns the number of requests at the target.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *Gate) expected(rule string) time.Duration {
	if work, ok := g.work[rule]; ok {
		return work
	}
	return defaultWork
}

// Outcome is how a request at the target ended.
type Outcome struct {
	Duration time.Duration
	// Failed means that the target failed it, and TurnedAway that it did not run
	// it.
	Failed, TurnedAway bool
	// Cut means that it was broken off, so that Duration is a lower bound.
	Cut bool
}

func (g *Gate) learn(rule string, o Outcome) {
	if g.work == nil {
		g.work = map[string]time.Duration{}
	}
	g.failing -= failingShare * g.failing
	if o.TurnedAway {
		g.failing += failingShare
		return
	}
	g.faulty -= failingShare * g.faulty
	if o.Failed {
		g.failing += failingShare
		g.faulty += failingShare
		return
	}
	mean, known := g.work[rule]
	if !known {
		g.work[rule] = o.Duration
		return
	}
	g.work[rule] = mean + time.Duration(workShare*float64(o.Duration-mean))
}

// Pause returns how long a refused client is to wait for a free slot.
func (g *Gate) Pause(rule string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := 1
	if g.target != nil {
		slots = max(1, g.target.Slots)
	}
	wait := g.expected(rule) * time.Duration(1+len(g.queue)) / time.Duration(slots)
	now := g.Clock.Now()
	return max(minWait, wait, g.coldWait(now), g.breaker.wait(now))
}
