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

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Refusals. Each is NotRun.
var (
	ErrUnknown = classifier.Fail(classifier.NotRun, "no such target here", nil)
	ErrLeaving = classifier.Fail(classifier.NotRun, "target leaving", nil)
	ErrClosed  = classifier.Fail(classifier.NotRun, "target closed to new requests", nil)
	ErrBusy    = classifier.Fail(classifier.NotRun, "target busy", nil)
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
	// emptyAt is when the queue was last empty.
	emptyAt time.Time
	timer   *time.Timer
}

type waiter struct {
	ask     Ask
	granted chan error
}

// Announce takes in what the target said of itself.
func (g *Gate) Announce(t Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.Instance != t.Instance {
		g.failing, g.faulty = 0, 0
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
	return l
}

// Running returns the number of requests at the target.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
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
	if err := g.check(a, now); err != nil {
		return nil, err
	}
	if len(g.queue) == 0 && g.free(now) {
		g.grant(now)
		return nil, nil
	}
	cold := g.coldWait(now)
	wait := g.expectedWait(a, cold)
	answered := now.Add(wait + g.expected(a.Rule))
	switch {
	case wait > a.Patience && cold > 0 && g.running < g.target.Slots:
		return nil, ErrCold
	case wait > a.Patience, answered.After(a.Deadline):
		return nil, ErrBusy
	case g.standing(now) && answered.After(a.Objective):
		return nil, ErrBusy
	case !g.makeRoom(a):
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

// check refuses what the target must not get.
func (g *Gate) check(a Ask, now time.Time) error {
	switch {
	case g.target == nil || g.target.Instance != a.Instance:
		return ErrUnknown
	case g.target.Leaving:
		return ErrLeaving
	case g.Closed(*g.target):
		return ErrClosed
	case now.Add(time.Duration(shortestRun * float64(g.expected(a.Rule)))).After(a.Deadline):
		return ErrShort
	}
	return nil
}

// standing reports whether requests have been waiting for so long that the queue
// is no burst: one that lasts only makes every answer late.
func (g *Gate) standing(now time.Time) bool {
	if len(g.queue) == 0 {
		g.emptyAt = now
	}
	return now.Sub(g.emptyAt) > burstTime
}

// makeRoom reports whether there is room in the queue, and makes some by
// refusing the last waiter if that ranks lower.
func (g *Gate) makeRoom(a Ask) bool {
	if len(g.queue) < maxQueue*g.target.Slots {
		return true
	}
	last := g.queue[len(g.queue)-1]
	if last.ask.Rank <= a.Rank {
		return false
	}
	g.queue = g.queue[:len(g.queue)-1]
	last.granted <- ErrBusy
	return true
}

// insert queues a waiter behind those of its rank.
func (g *Gate) insert(w *waiter) {
	i := len(g.queue)
	for i > 0 && g.queue[i-1].ask.Rank > w.ask.Rank {
		i--
	}
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = w
}

// expectedWait estimates how long a request would queue.
func (g *Gate) expectedWait(a Ask, cold time.Duration) time.Duration {
	ahead := 0
	work := g.expected(a.Rule)
	for _, w := range g.queue {
		if w.ask.Rank <= a.Rank {
			ahead++
			work += g.expected(w.ask.Rule)
		}
	}
	wait := work / time.Duration(max(1, g.target.Slots))
	if g.cold(g.Clock.Now()) {
		wait = max(wait, cold+time.Duration(float64(ahead)*float64(time.Second)/g.coldRate()))
	}
	return wait
}

func (g *Gate) expected(rule string) time.Duration {
	if work, ok := g.work[rule]; ok {
		return work
	}
	return defaultWork
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
	g.sent = append(g.sent, now)
	stale := 0
	for stale < len(g.sent) && now.Sub(g.sent[stale]) > coldWindow {
		stale++
	}
	g.sent = g.sent[stale:]
}

// serveQueue grants slots to waiters, and refuses those that the target must
// not get any more. The caller holds the lock.
func (g *Gate) serveQueue() {
	now := g.Clock.Now()
	kept := g.queue[:0]
	for _, w := range g.queue {
		err := g.check(w.ask, now)
		switch {
		case err == ErrShort:
			w.granted <- ErrWaited
		case err != nil:
			w.granted <- err
		case g.free(now):
			g.grant(now)
			w.granted <- nil
		default:
			kept = append(kept, w)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	if len(kept) == 0 {
		g.emptyAt = now
	}
	g.setTimer(now)
}

// setTimer looks at the queue again when a cold target takes the next request,
// or when the first waiter runs short of time.
func (g *Gate) setTimer(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	next := coldWindow
	if wait := g.coldWait(now); wait > 0 && g.running < g.target.Slots {
		next = wait
	}
	for _, w := range g.queue {
		spare := time.Duration(shortestRun * float64(g.expected(w.ask.Rule)))
		next = min(next, w.ask.Deadline.Sub(now)-spare+time.Millisecond)
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(max(next, time.Millisecond), g.Recheck)
}

func (g *Gate) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
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

// Leave frees a slot.
func (g *Gate) Leave(rule string, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if !o.Cut || o.Duration > g.expected(rule) {
		g.learn(rule, o)
	}
	g.serveQueue()
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
	return max(minWait, wait, g.coldWait(g.Clock.Now()))
}

// Cold reports whether the target is taken to be cold.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold(g.Clock.Now())
}
