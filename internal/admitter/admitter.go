// Package admitter controls the admission of requests to the target on a VM.
//
// All requests to a target are admitted by the gate on the target's own VM. The
// limits therefore hold regardless of the state of other daemons: at most Slots
// requests at once, at most ColdRate requests per second while the target is cold
// (warming up), no more per second than the target names, and none while it is shutting
// down. Requests queue in the order of their priority. A request that is not expected to
// get its response in time is rejected at once.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/sharer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Errors of rejected requests. The verdict of each is NotRun.
var (
	ErrUnknownTarget = classifier.NewFailure(classifier.NotRun, "no such target here", nil)
	ErrShuttingDown  = classifier.NewFailure(classifier.NotRun, "target leaving", nil)
	ErrStopping      = classifier.NewFailure(classifier.NotRun, "daemon stops before the request may end", nil)
	ErrTargetClosed  = classifier.NewFailure(classifier.NotRun, "target closed to new requests", nil)
	ErrBusy          = classifier.NewFailure(classifier.NotRun, "target busy", nil)
	ErrBreakerOpen   = classifier.NewFailure(classifier.NotRun, "target turns requests away", nil)
	ErrCold          = classifier.NewFailure(classifier.NotRun, "target cold", nil)
	ErrLimited       = classifier.NewFailure(classifier.NotRun, "target limits its requests", nil)
	ErrDeadline      = classifier.NewFailure(classifier.NotRun, "too little time left", nil)
	ErrQueueTimeout  = classifier.NewFailure(classifier.NotRun, "waited too long for a slot", nil)
	ErrCanceled      = classifier.NewFailure(classifier.NotRun, "client went away while waiting", nil)
)

// Limits of a gate.
const (
	// queueCheckPeriod is the longest time between two checks of the queue.
	queueCheckPeriod = time.Second
	// maxQueuePerSlot bounds the length of the queue, in requests per slot.
	maxQueuePerSlot = 4
	// maxBurst is how long the queue may stay non-empty before requests that would
	// miss their objective are rejected. It covers a burst of arrivals, which is
	// shorter than a few service times.
	maxBurst = 250 * time.Millisecond
	// minServiceFraction is the fraction of a rule's mean service time that must
	// be left before the deadline for a request to be admitted.
	minServiceFraction = 0.4
	// serviceTimeWeight is the weight of the latest service time in a rule's
	// exponentially weighted average, and failureWeight that of the latest outcome
	// in the failure rates.
	serviceTimeWeight = 0.15
	failureWeight     = 0.08
	// defaultServiceTime is used for a rule until a service time is measured.
	defaultServiceTime = 60 * time.Millisecond
	// minRetryAfter is the shortest retry delay that the gate returns.
	minRetryAfter = 10 * time.Millisecond
)

// Target is the state that a target has announced. A target is cold for some time
// after its start and can take only a few requests per second in that time.
type Target struct {
	// Instance identifies a target process. A restarted target has a new instance.
	Instance string
	Service  string
	Version  string
	// Slots is the number of requests that the target can run at once.
	Slots int
	// ShuttingDown means that the target must not get further requests.
	ShuttingDown bool
	// WarmupLeft is the time until the target is warm.
	WarmupLeft time.Duration
	// ColdRate is the number of requests per second that the target can take while
	// it is cold, or 0 if operators declare no bound.
	ColdRate float64
}

// Request is a request for a slot.
type Request struct {
	Instance string
	// Rule is the name of the rule that applies to the request.
	Rule string
	// Customer is the name of the customer on whose behalf the request is made, or empty.
	// Those of one priority share the target fairly.
	Customer string
	// Priority 0 is the highest.
	Priority int
	// Nested means that a target makes the request while it runs another one.
	Nested bool
	// Patient means that the client has the time to come back after a rejection, and Late
	// that it has waited for longer than its objective already.
	Patient, Late bool
	// Deadline is the time after which the client no longer waits for the response.
	Deadline time.Time
	// Objective is the time by which the response should be sent.
	Objective time.Time
	// MaxWait is the queue timeout: how long the request may wait for a slot.
	MaxWait time.Duration
}

// Gate controls admission to one target. It is safe for concurrent use.
type Gate struct {
	Clock timekeeper.Clock
	// Closed reports whether the target must not get requests for an external
	// reason, for example because its zone is evacuated.
	Closed func(t Target) bool
	// ServesUntil returns the time at which the process ends, or the zero time if that is
	// not known. Requests with a later deadline are rejected.
	ServesUntil func() time.Time
	// Since is the time from which the gate knows the requests that were admitted. It is
	// later than the target's start if the process has restarted.
	Since time.Time

	mu     sync.Mutex
	target *Target
	// coldUntil is the end of the target's warm-up. coldSuspected is true while
	// the target may have restarted since its last announcement.
	coldUntil     time.Time
	coldSuspected bool
	// limit is the target's rate limit in requests per second, or 0 if there is
	// none.
	limit   float64
	running int
	queue   []*waiter
	// watches holds requests that wait for something else than a slot.
	watches map[*Watch]struct{}
	// shares orders the waiters of one priority.
	shares      sharer.Sharer
	admittedAt  []time.Time
	serviceTime map[string]time.Duration
	// failureRate is the exponentially weighted average of the fraction of
	// requests that failed or were not run. faultRate is that of the fraction that
	// failed among those that the target has run.
	failureRate, faultRate float64
	// breaker rejects requests while the target does not run any.
	breaker breaker
	// emptyAt is the time at which the queue was last empty.
	emptyAt time.Time
	timer   *time.Timer
}

// SetTarget replaces the state of the target.
func (g *Gate) SetTarget(t Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.Instance != t.Instance {
		g.failureRate, g.faultRate = 0, 0
		g.breaker = breaker{}
		g.admittedAt = nil
		g.limit = 0
	}
	g.target = &t
	g.coldSuspected = false
	g.coldUntil = g.Clock.Now().Add(t.WarmupLeft)
	g.serveQueue()
}

// SetColdRate replaces the ColdRate of the target.
func (g *Gate) SetColdRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.ColdRate == perSecond {
		return
	}
	t := *g.target
	t.ColdRate = perSecond
	g.target = &t
	g.serveQueue()
}

// SuspectCold treats the target as cold until its next announcement. It is called when
// the target may have restarted: after a failed connection, missed announcements,
// or a time in which its zone was evacuated.
func (g *Gate) SuspectCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldSuspected = true
}

// CheckQueue rejects queued and watched requests that the target must no longer get, and
// admits others.
func (g *Gate) CheckQueue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serveQueue()
}

// Target returns the last announced state of the target.
func (g *Gate) Target() (Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return Target{}, false
	}
	return *g.target, true
}

// Cancelled returns the reason for which a request whose context has ended is rejected: the
// cause of the context if that is a failure, or ErrCanceled.
func Cancelled(ctx context.Context) error {
	if f, ok := context.Cause(ctx).(*classifier.Failure); ok {
		return f
	}
	return ErrCanceled
}

// Acquire waits for a slot. The verdict of its error is NotRun. If the error is
// nil, the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, r Request) error {
	w, err := g.admitOrEnqueue(r)
	if err != nil || w == nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	if g.withdraw(w) {
		return Cancelled(ctx)
	}
	err = <-w.result
	if err == nil {
		g.Release(r.Rule, Outcome{Aborted: true})
		return Cancelled(ctx)
	}
	return err
}

// admitOrEnqueue admits the request, rejects it, or queues it and returns its waiter.
func (g *Gate) admitOrEnqueue(r Request) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if err := g.checkWait(r, now); err != nil {
		return nil, err
	}
	if len(g.queue) == 0 && g.canAdmitNow(now) {
		g.shares.Serve(g.shares.Enter(r.Customer, g.cost(r)))
		g.admit(now)
		return nil, nil
	}
	if !g.makeRoom(r) {
		return nil, ErrBusy
	}
	w := &waiter{
		request: r,
		turn:    g.shares.Enter(r.Customer, g.cost(r)),
		since:   now,
		result:  make(chan error, 1),
	}
	g.insert(w)
	g.setTimer(now)
	return w, nil
}

// Check returns the rejection that a request would get now, or nil. It ignores the
// limit on the length of the queue.
func (g *Gate) Check(r Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkWait(r, g.Clock.Now())
}

// checkWait rejects a request that the target must not get or that would queue
// for too long.
func (g *Gate) checkWait(r Request, now time.Time) error {
	if err := g.checkTarget(r, now); err != nil {
		return err
	}
	if len(g.queue) == 0 && g.canAdmitNow(now) {
		return nil
	}
	rateDelay := g.rateWait(now)
	wait := g.expectedWait(r, rateDelay)
	expectedEnd := now.Add(wait + g.meanServiceTime(r.Rule))
	switch {
	case wait > r.MaxWait && rateDelay > 0 && g.running < g.target.Slots:
		return g.rateError(now)
	case wait > r.MaxWait, expectedEnd.After(r.Deadline):
		return ErrBusy
	case g.isStanding(now) && expectedEnd.After(r.Objective):
		return ErrBusy
	}
	return nil
}

// checkTarget rejects a request that the target must not get, regardless of its
// free slots.
func (g *Gate) checkTarget(r Request, now time.Time) error {
	if err := g.checkOpen(r.Instance); err != nil {
		return err
	}
	switch {
	case g.endsBefore(r.Deadline):
		return ErrStopping
	case g.breaker.open(now):
		return ErrBreakerOpen
	case now.Add(time.Duration(minServiceFraction * float64(g.meanServiceTime(r.Rule)))).After(r.Deadline):
		return ErrDeadline
	}
	return nil
}

// endsBefore reports whether the process ends before a deadline.
func (g *Gate) endsBefore(deadline time.Time) bool {
	end := g.ServesUntil()
	return !end.IsZero() && deadline.After(end)
}

// checkOpen rejects requests to an instance that is gone, leaves or is closed.
func (g *Gate) checkOpen(instance string) error {
	switch {
	case g.target == nil || g.target.Instance != instance:
		return ErrUnknownTarget
	case g.target.ShuttingDown:
		return ErrShuttingDown
	case g.Closed(*g.target):
		return ErrTargetClosed
	}
	return nil
}

func (g *Gate) cold(now time.Time) bool { return g.coldSuspected || now.Before(g.coldUntil) }

// coldRate returns the number of requests per second that the target can take
// while cold, or 0 if there is no bound.
func (g *Gate) coldRate() float64 {
	switch {
	case g.target == nil:
		return 1
	case g.target.ColdRate == 0:
		return 0
	}
	return max(1, g.target.ColdRate)
}

func (g *Gate) canAdmitNow(now time.Time) bool {
	return g.running < g.target.Slots && g.rateWait(now) == 0
}

// admit counts a request as running. It also records the time while the rate is
// unlimited, because a limit may be set later.
func (g *Gate) admit(now time.Time) {
	g.running++
	g.breaker.admitted()
	g.admittedAt = append(g.admittedAt, now)
	expired := 0
	for expired < len(g.admittedAt) && now.Sub(g.admittedAt[expired]) > maxRateWindow {
		expired++
	}
	g.admittedAt = g.admittedAt[expired:]
}

// Release releases the slot of a request and records its outcome.
func (g *Gate) Release(rule string, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.breaker.recordOutcome(o, g.Clock.Now())
	if !o.Aborted || o.Duration > g.meanServiceTime(rule) {
		g.recordOutcome(rule, o)
	}
	g.serveQueue()
}

// IsCold reports whether the target is treated as cold.
func (g *Gate) IsCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold(g.Clock.Now())
}
