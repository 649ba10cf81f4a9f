// Package limiter controls the admission of requests to a target: it runs,
// queues or refuses each one.
//
// A target starts cold, with an allowance of one concurrent request. Successful
// requests raise the allowance in steps to the target's slots. A jump in
// service times or failures resets it to one. Requests beyond the allowance
// wait in a short queue. A request that is not expected to complete before its
// deadline is refused at once.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Options configures a Limiter.
type Options struct {
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// MaxQueued is the number of requests that may wait for a slot.
	MaxQueued int
	// Warmup sets the pace of the warm-up: each step of the allowance takes at
	// least Warmup/10. Zero means ten seconds.
	Warmup time.Duration
	Clock  timekeeper.Clock
}

// Outcome describes how an admitted request ended.
type Outcome struct {
	// Failed reports whether the target failed the request or crashed.
	Failed bool
	// Aborted reports whether the request was cancelled, by the caller or at its
	// deadline, before its response was complete. Duration is then only a lower
	// bound. Failed is set as well if the target did not respond before the
	// deadline.
	Aborted bool
	// Duration is the time that the target spent on the request.
	Duration time.Duration
}

// WithDuration returns a copy of o with the given duration.
func (o Outcome) WithDuration(d time.Duration) Outcome {
	o.Duration = d
	return o
}

// Request is a request for a slot.
type Request struct {
	// Route groups requests with similar service times.
	Route string
	// Deadline is the time after which a response is useless. Zero means no
	// deadline.
	Deadline time.Time
	// OnResult is called exactly once, with a ticket or with the reason for
	// refusal, possibly before Submit returns. It is called without the
	// limiter's lock.
	OnResult func(*Ticket, error)
}

// Limiter controls admission to one target. It is safe for concurrent use.
type Limiter struct {
	clock      timekeeper.Clock
	queueLimit int

	mu      sync.Mutex
	running int
	// tickets holds the running requests of the current generation.
	tickets []*Ticket
	queued  []*Request
	closed  bool
	// lastStallCheck is the time of the last check of running requests for a
	// stall.
	lastStallCheck time.Time
	// generation counts the resets to cold.
	generation int
	allowance  allowance
	stats      targetStats
}

// New returns a limiter for a cold target.
func New(o Options) *Limiter {
	return &Limiter{
		clock:      o.Clock,
		queueLimit: o.MaxQueued,
		allowance:  newAllowance(o.Slots, o.Warmup),
		stats:      newTargetStats(),
	}
}

// Ticket is a slot held by an admitted request.
type Ticket struct {
	limiter *Limiter
	route   string
	// loaded reports whether at least half of the allowance was in use when the
	// ticket was granted, including this ticket.
	loaded bool
	// generation is the limiter's generation when the ticket was granted.
	generation int
	start      time.Time
	// index is the ticket's index in Limiter.tickets.
	index int
	once  sync.Once
}

// Refusals by a limiter. All have the verdict NotRun.
var (
	// ErrBusy means that the queue is full or the expected wait is too long.
	ErrBusy = classifier.NewFailure(classifier.NotRun, "target busy", nil)
	// ErrClosed means that the limiter is closed.
	ErrClosed = classifier.NewFailure(classifier.NotRun, "target leaving", nil)
	// ErrDeadline means that the deadline is too close when the request is
	// submitted.
	ErrDeadline = classifier.NewFailure(classifier.NotRun, "too little time left to run it", nil)
	// ErrQueueTimeout means that the queue timeout of the request has expired or
	// that the request was cancelled while it was queued.
	ErrQueueTimeout = classifier.NewFailure(classifier.NotRun, "waited too long for a slot", nil)
)

// callbacks are calls of Request.OnResult to be made after the lock is released.
type callbacks []func()

func (cbs callbacks) run() {
	for _, cb := range cbs {
		cb()
	}
}

// Acquire waits for a slot until ctx is done or the request can no longer meet the
// deadline of ctx. A refusal has the verdict NotRun.
func (l *Limiter) Acquire(ctx context.Context, route string) (*Ticket, error) {
	type result struct {
		ticket *Ticket
		err    error
	}
	results := make(chan result, 1)
	deadline, _ := ctx.Deadline()
	r := &Request{
		Route:    route,
		Deadline: deadline,
		OnResult: func(t *Ticket, err error) {
			results <- result{ticket: t, err: err}
		},
	}
	l.Submit(r)
	select {
	case res := <-results:
		return res.ticket, res.err
	default:
	}
	timer := time.NewTimer(l.QueueTimeout(r))
	defer timer.Stop()
	select {
	case res := <-results:
		return res.ticket, res.err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.Cancel(r)
	res := <-results
	if res.ticket != nil && ctx.Err() != nil {
		res.ticket.Done(Outcome{Aborted: true})
		return nil, ErrQueueTimeout
	}
	return res.ticket, res.err
}

// maxQueueTimeout is the queue timeout of a request without a deadline.
const maxQueueTimeout = time.Minute

// QueueTimeout returns the queue timeout: how long a queued request may still
// wait for a slot.
func (l *Limiter) QueueTimeout(r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return maxQueueTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.Deadline.Sub(l.clock.Now()) - l.stats.expected(r.Route)
}

// Submit requests a slot without blocking: the request is granted, refused or
// queued.
func (l *Limiter) Submit(r *Request) {
	l.mu.Lock()
	cbs := l.submit(r)
	l.mu.Unlock()
	cbs.run()
}

// submit decides on a request and returns the callbacks to run. The caller holds
// the lock.
func (l *Limiter) submit(r *Request) callbacks {
	now := l.clock.Now()
	l.checkStalled(now)
	switch {
	case l.closed:
		return callbacks{refusal(r, ErrClosed)}
	case l.missesDeadline(r, now, 0):
		return callbacks{refusal(r, ErrDeadline)}
	case l.running < l.allowance.now() && len(l.queued) == 0:
		return callbacks{l.grant(r, now)}
	case len(l.queued) >= l.queueLimit:
		return callbacks{refusal(r, ErrBusy)}
	case l.missesDeadline(r, now, waitFactor*l.expectedWait()):
		return callbacks{refusal(r, ErrBusy)}
	}
	l.queued = append(l.queued, r)
	return nil
}

// missesDeadline reports whether a request that starts after wait is expected
// to miss its deadline. If no request is running, the estimate may be stale, so
// only a deadline that has already passed counts.
func (l *Limiter) missesDeadline(r *Request, now time.Time, wait time.Duration) bool {
	if r.Deadline.IsZero() {
		return false
	}
	left := r.Deadline.Sub(now)
	if l.running == 0 {
		return left <= 0
	}
	return left < wait+l.stats.expected(r.Route)
}

// waitFactor is a safety factor. A request is queued only if waitFactor times its
// expected wait, plus its expected service time, fits before its deadline.
const waitFactor = 4

// expectedWait returns the expected wait of a request that is queued now.
func (l *Limiter) expectedWait() time.Duration {
	position := len(l.queued) + 1
	return l.stats.mean() * time.Duration(position) / time.Duration(l.allowance.now())
}

// refusal returns the callback that refuses a request with err.
func refusal(r *Request, err error) func() {
	return func() { r.OnResult(nil, err) }
}

// grant takes a slot for a request and returns the callback that reports the
// ticket.
func (l *Limiter) grant(r *Request, now time.Time) func() {
	l.running++
	t := &Ticket{
		limiter:    l,
		route:      r.Route,
		loaded:     2*l.running >= l.allowance.now(),
		generation: l.generation,
		start:      now,
		index:      len(l.tickets),
	}
	l.tickets = append(l.tickets, t)
	return func() { r.OnResult(t, nil) }
}

// dispatchQueued grants free slots to queued requests and refuses those that
// can no longer meet their deadline.
func (l *Limiter) dispatchQueued() callbacks {
	var cbs callbacks
	now := l.clock.Now()
	for len(l.queued) > 0 {
		r := l.queued[0]
		switch {
		case l.missesDeadline(r, now, 0):
			cbs = append(cbs, refusal(r, ErrQueueTimeout))
		case l.running < l.allowance.now():
			cbs = append(cbs, l.grant(r, now))
		default:
			return cbs
		}
		l.queued[0] = nil
		l.queued = l.queued[1:]
	}
	return cbs
}

// Cancel refuses a request that is still queued. It does nothing if the
// request has already been granted or refused.
func (l *Limiter) Cancel(r *Request) {
	l.mu.Lock()
	found := false
	for i, w := range l.queued {
		if w == r {
			l.queued = append(l.queued[:i], l.queued[i+1:]...)
			found = true
			break
		}
	}
	l.mu.Unlock()
	if found {
		r.OnResult(nil, ErrQueueTimeout)
	}
}

// Done frees the ticket's slot. Only the first call has an effect.
func (t *Ticket) Done(o Outcome) {
	t.once.Do(func() { t.limiter.done(t, o) })
}

// done frees a ticket's slot, records the outcome and dispatches queued
// requests.
func (l *Limiter) done(t *Ticket, o Outcome) {
	l.mu.Lock()
	l.running--
	l.removeTicket(t)
	l.recordOutcome(t, o)
	l.checkStalled(l.clock.Now())
	cbs := l.dispatchQueued()
	l.mu.Unlock()
	cbs.run()
}

// removeTicket removes a ticket of the current generation from Limiter.tickets.
func (l *Limiter) removeTicket(t *Ticket) {
	if t.generation != l.generation {
		return
	}
	last := len(l.tickets) - 1
	l.tickets[t.index] = l.tickets[last]
	l.tickets[t.index].index = t.index
	l.tickets[last] = nil
	l.tickets = l.tickets[:last]
}

// checkStalled resets the target to cold if its running requests have already
// taken so long that their service times will count as a jump.
func (l *Limiter) checkStalled(now time.Time) {
	if now.Sub(l.lastStallCheck) < l.stats.mean()/stallCheckDivisor {
		return
	}
	l.lastStallCheck = now
	sum := l.stats.slowSum
	for _, t := range l.tickets {
		sum += l.stats.slowTerm(t.route, now.Sub(t.start))
	}
	if sum > slowThreshold {
		l.resetToCold()
	}
}

// stallCheckDivisor divides the mean service time to give the minimum interval
// between two checks for a stall.
const stallCheckDivisor = 8

// recordOutcome updates the estimates and the allowance, unless the target was
// reset to cold after the request was admitted.
func (l *Limiter) recordOutcome(t *Ticket, o Outcome) {
	if t.generation != l.generation {
		return
	}
	if l.stats.observe(t.route, o) {
		l.resetToCold()
		return
	}
	if t.loaded && !o.Failed && !o.Aborted {
		l.allowance.recordSuccess(l.clock.Now())
	}
}

// resetToCold sets the allowance to one slot and discards the estimates.
func (l *Limiter) resetToCold() {
	l.generation++
	l.tickets = nil
	l.allowance.reset()
	l.stats = newTargetStats()
}

// Headroom returns the number of requests that would be granted a slot at once.
func (l *Limiter) Headroom() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0
	}
	return max(0, l.allowance.now()-l.running-len(l.queued))
}

// Allowance returns the number of requests that the target may currently run
// concurrently. It is zero after Close.
func (l *Limiter) Allowance() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0
	}
	return l.allowance.now()
}

// Running returns the number of admitted requests that have not ended.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Resize changes the number of slots. Running requests continue.
func (l *Limiter) Resize(slots int) {
	l.mu.Lock()
	l.allowance.resize(slots)
	cbs := l.dispatchQueued()
	l.mu.Unlock()
	cbs.run()
}

// Close refuses new and queued requests. Admitted requests continue.
func (l *Limiter) Close() {
	l.mu.Lock()
	l.closed = true
	var cbs callbacks
	for _, r := range l.queued {
		cbs = append(cbs, refusal(r, ErrClosed))
	}
	l.queued = nil
	l.mu.Unlock()
	cbs.run()
}

// Open admits requests again after Close. The target starts cold.
func (l *Limiter) Open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.closed = false
		l.resetToCold()
	}
}
