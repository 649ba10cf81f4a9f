package admitter

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/sharer"
)

// waiter is a queued request. result receives nil when the request is admitted, or
// the rejection.
type waiter struct {
	request Request
	// turn is the request's place among those of its priority.
	turn   sharer.Turn
	result chan error
}

// precedes reports whether a waiter is served before a request of a priority with a turn.
func (w *waiter) precedes(priority int, turn float64) bool {
	if w.request.Priority != priority {
		return w.request.Priority < priority
	}
	return w.turn.At <= turn
}

// cost returns the time that a request is expected to take, in seconds.
func (g *Gate) cost(r Request) float64 { return g.meanServiceTime(r.Rule).Seconds() }

// isStanding reports whether the queue has been non-empty for longer than maxBurst
// (a standing queue, as in CoDel). Such a queue delays every response and does not
// increase throughput. isStanding also sets emptyAt if the queue is empty.
func (g *Gate) isStanding(now time.Time) bool {
	if len(g.queue) == 0 {
		g.emptyAt = now
	}
	return now.Sub(g.emptyAt) > maxBurst
}

// makeRoom reports whether there is room in the queue. If the queue is full and
// its last waiter would be served after the request, that waiter is rejected.
func (g *Gate) makeRoom(r Request) bool {
	if len(g.queue) < maxQueuePerSlot*g.target.Slots {
		return true
	}
	last := g.queue[len(g.queue)-1]
	if last.precedes(r.Priority, g.shares.Next(r.Customer)) {
		return false
	}
	g.queue = g.queue[:len(g.queue)-1]
	g.shares.Leave(last.turn)
	last.result <- ErrBusy
	return true
}

// insert queues a waiter behind those that are served before it.
func (g *Gate) insert(w *waiter) {
	i := len(g.queue)
	for i > 0 && !g.queue[i-1].precedes(w.request.Priority, w.turn.At) {
		i--
	}
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = w
}

// expectedWait estimates how long a request would queue. rateDelay is the delay that
// rateWait has returned.
func (g *Gate) expectedWait(r Request, rateDelay time.Duration) time.Duration {
	ahead, turn := 0, g.shares.Next(r.Customer)
	total := g.meanServiceTime(r.Rule)
	for _, w := range g.queue {
		if w.precedes(r.Priority, turn) {
			ahead++
			total += g.meanServiceTime(w.request.Rule)
		}
	}
	wait := total / time.Duration(max(1, g.target.Slots))
	if rate := g.rate(g.Clock.Now()); rate > 0 {
		wait = max(wait, rateDelay+rateDuration(ahead, rate))
	}
	return wait
}

// serveQueue admits waiters while there are free slots, and rejects those that
// the target must no longer get. The caller holds the lock.
func (g *Gate) serveQueue() {
	now := g.Clock.Now()
	kept := g.queue[:0]
	for _, w := range g.queue {
		err := g.checkTarget(w.request, now)
		switch {
		case err == ErrDeadline:
			g.shares.Leave(w.turn)
			w.result <- ErrQueueTimeout
		case err != nil:
			g.shares.Leave(w.turn)
			w.result <- err
		case g.canAdmitNow(now):
			g.shares.Serve(w.turn)
			g.admit(now)
			w.result <- nil
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

// setTimer schedules the next CheckQueue: when the target's rate allows the next request,
// when a waiter has too little time left, or after queueCheckPeriod, whichever is first.
func (g *Gate) setTimer(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	next := queueCheckPeriod
	if wait := g.rateWait(now); wait > 0 && g.running < g.target.Slots {
		next = wait
	}
	for _, w := range g.queue {
		minTimeLeft := time.Duration(minServiceFraction * float64(g.meanServiceTime(w.request.Rule)))
		next = min(next, w.request.Deadline.Sub(now)-minTimeLeft+time.Millisecond)
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(max(next, time.Millisecond), g.CheckQueue)
}

// withdraw removes a waiter from the queue. It returns false if the waiter already
// has its result.
func (g *Gate) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			g.shares.Leave(w.turn)
			return true
		}
	}
	return false
}
