// Package admitter decides when the target on a VM is handed a request.
//
// All requests to a target pass the gate of its own VM, so that what it decides
// holds whatever other daemons believe: no more requests at once than the
// target has slots, no more a second than it bears while it is cold, and none
// while it leaves. Requests wait in the order of their ranks, and one that
// cannot be answered in time is refused at once.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Refusals. Each is NotRun.
var (
	ErrUnknown = classifier.Fail(classifier.NotRun, "no such target here", nil)
	ErrLeaving = classifier.Fail(classifier.NotRun, "target leaving", nil)
	ErrClosed  = classifier.Fail(classifier.NotRun, "target closed to new requests", nil)
	ErrBusy    = classifier.Fail(classifier.NotRun, "target busy", nil)
	ErrShut    = classifier.Fail(classifier.NotRun, "target turns requests away", nil)
	ErrCold    = classifier.Fail(classifier.NotRun, "target cold", nil)
	ErrShort   = classifier.Fail(classifier.NotRun, "too little time left", nil)
	ErrWaited  = classifier.Fail(classifier.NotRun, "waited too long for a slot", nil)
	ErrGone    = classifier.Fail(classifier.NotRun, "client went away while waiting", nil)
)

// Limits of a gate.
const (
	// coldWindow is the span over which a cold target's requests are counted.
	coldWindow = time.Second
	// maxQueue bounds the requests that wait, in multiples of the slots.
	maxQueue = 4
	// burstTime is how long a queue may stand before requests that it would make
	// late are refused: a burst of arrivals is shorter than a few service times.
	burstTime = 250 * time.Millisecond
	// shortestRun is the part of a rule's mean service time below which a
	// request is not worth handing over.
	shortestRun = 0.4
	// workShare is the weight of the latest service time in a rule's mean, and
	// failingShare that of the latest outcome in the share of failures.
	workShare    = 0.15
	failingShare = 0.08
	// defaultWork stands for the service time of a rule before one is known.
	defaultWork = 60 * time.Millisecond
	// minWait is the shortest pause that is asked for when the gate is busy.
	minWait = 10 * time.Millisecond
)

// Target is the target as it announced itself.
type Target struct {
	Instance string
	Service  string
	Version  string
	Slots    int
	Leaving  bool
	// Cold is how long it stays cold from now on.
	Cold time.Duration
	// ColdRate is the number of requests a second that it bears until then.
	ColdRate float64
}

// Ask is a request for a slot.
type Ask struct {
	Instance string
	Rule     string
	// Rank is the priority; 0 goes first.
	Rank int
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// Objective is when the answer is no longer of full use.
	Objective time.Time
	// Patience is how long the request may queue for a slot.
	Patience time.Duration
}

// Gate guards one target. It is safe for concurrent use.
type Gate struct {
	Clock timekeeper.Clock
	// Closed reports whether the target must get nothing for a reason outside
	// of it, such as its zone being out.
	Closed func(t Target) bool

	mu     sync.Mutex
	target *Target
	// coldUntil ends the cold time; unsure means that the target may be cold
	// and has not announced itself since.
	coldUntil time.Time
	unsure    bool
	running   int
	queue     []*waiter
	sent      []time.Time
	work      map[string]time.Duration
	// failing is the share of requests that ended badly, and faulty that among
	// those that the target has run.
	failing, faulty float64
	// breaker shuts the gate while the target turns requests away.
	breaker breaker
	// emptyAt is when the queue was last empty.
	emptyAt time.Time
	timer   *time.Timer
}

// Announce takes in what the target said of itself.
func (g *Gate) Announce(t Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.Instance != t.Instance {
		g.failing, g.faulty = 0, 0
		g.breaker = breaker{}
		g.sent = nil
	}
	g.target = &t
	g.unsure = false
	g.coldUntil = g.Clock.Now().Add(t.Cold)
	g.serveQueue()
}

// Doubt takes the target for cold until it announces itself again, as when it
// takes no connection: it may have been started anew.
func (g *Gate) Doubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsure = true
}

// Recheck refuses what waits if the target is closed by now.
func (g *Gate) Recheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serveQueue()
}

// Target returns the target as last announced.
func (g *Gate) Target() (Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return Target{}, false
	}
	return *g.target, true
}

// Enter waits for a slot. A refusal is always NotRun; after nil, Leave has to
// be called.
func (g *Gate) Enter(ctx context.Context, a Ask) error {
	w, err := g.enter(a)
	if err != nil || w == nil {
		return err
	}
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
	}
	if g.withdraw(w) {
		return ErrGone
	}
	err = <-w.granted
	if err == nil {
		g.Leave(a.Rule, Outcome{Cut: true})
		return ErrGone
	}
	return err
}

// enter grants a slot, refuses one, or queues the request and returns what to
// wait for.
func (g *Gate) enter(a Ask) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if err := g.judge(a, now); err != nil {
		return nil, err
	}
	if len(g.queue) == 0 && g.free(now) {
		g.grant(now)
		return nil, nil
	}
	if !g.makeRoom(a) {
		return nil, ErrBusy
	}
	w := &waiter{
		ask:     a,
		granted: make(chan error, 1),
	}
	g.insert(w)
	g.setTimer(now)
	return w, nil
}

// Judge returns the refusal that a request would get now, or nil.
func (g *Gate) Judge(a Ask) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.judge(a, g.Clock.Now())
}

// judge refuses what the target must not get, and what would wait for too long.
func (g *Gate) judge(a Ask, now time.Time) error {
	if err := g.check(a, now); err != nil {
		return err
	}
	if len(g.queue) == 0 && g.free(now) {
		return nil
	}
	cold := g.coldWait(now)
	wait := g.expectedWait(a, cold)
	answered := now.Add(wait + g.expected(a.Rule))
	switch {
	case wait > a.Patience && cold > 0 && g.running < g.target.Slots:
		return ErrCold
	case wait > a.Patience, answered.After(a.Deadline):
		return ErrBusy
	case g.standing(now) && answered.After(a.Objective):
		return ErrBusy
	}
	return nil
}

// check refuses what the target must not get.
func (g *Gate) check(a Ask, now time.Time) error {
	switch {
	case g.target == nil || g.target.Instance != a.Instance:
		return ErrUnknown
	case g.target.Leaving:
		return ErrLeaving
	case g.Closed(*g.target):
		return ErrClosed
	case g.breaker.shut(now):
		return ErrShut
	case now.Add(time.Duration(shortestRun * float64(g.expected(a.Rule)))).After(a.Deadline):
		return ErrShort
	}
	return nil
}

func (g *Gate) cold(now time.Time) bool { return g.unsure || now.Before(g.coldUntil) }

// coldRate returns the requests a second that the target bears while cold.
func (g *Gate) coldRate() float64 {
	if g.target == nil || g.target.ColdRate < 1 {
		return 1
	}
	return g.target.ColdRate
}

// coldWait returns how long a cold target takes no further request.
func (g *Gate) coldWait(now time.Time) time.Duration {
	if !g.cold(now) {
		return 0
	}
	allowed := int(g.coldRate())
	if len(g.sent) < allowed {
		return 0
	}
	return max(0, g.sent[len(g.sent)-allowed].Add(coldWindow).Sub(now))
}

func (g *Gate) free(now time.Time) bool {
	return g.running < g.target.Slots && g.coldWait(now) == 0
}

// grant counts a request as handed over. Sends are remembered also while the
// target is warm: it may turn out to have been cold.
func (g *Gate) grant(now time.Time) {
	g.running++
	g.breaker.pass()
	g.sent = append(g.sent, now)
	stale := 0
	for stale < len(g.sent) && now.Sub(g.sent[stale]) > coldWindow {
		stale++
	}
	g.sent = g.sent[stale:]
}

// Leave frees a slot.
func (g *Gate) Leave(rule string, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.breaker.learn(o, g.Clock.Now())
	if !o.Cut || o.Duration > g.expected(rule) {
		g.learn(rule, o)
	}
	g.serveQueue()
}

// Cold reports whether the target is taken to be cold.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold(g.Clock.Now())
}
