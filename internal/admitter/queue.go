package admitter

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/sharer"
)

// waiter is a queued request. result receives nil when the request is admitted, or
// the rejection.
type waiter struct {
	request Request
	// turn is the request's place among those of its priority, and since the time from which
	// it waits.
	turn   sharer.Turn
	since  time.Time
	result chan error
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

// precedes reports whether a request goes before another one in the queue. Nested requests
// go first: if one fails, the work of the target that makes it is lost too. Late requests of
// a priority go last, since otherwise all others would be late too while there are too few
// slots. Patient ones go in the order of their objectives, and the rest in that of arrival.
// Requests of customers go in the order of their turns instead, so that the order is not
// strict where only some are of customers.
func (r Request) precedes(other Request, turn, otherTurn float64) bool {
	switch {
	case r.Nested != other.Nested:
		return r.Nested
	case r.Priority != other.Priority:
		return r.Priority < other.Priority
	case r.Customer != "" || other.Customer != "":
		return turn < otherTurn
	case r.Late != other.Late:
		return other.Late
	}
	return r.Patient && other.Patient && r.Objective.Before(other.Objective)
}

// makeRoom reports whether there is room in the queue. If the queue is full and the
// request precedes its last waiter, that waiter is rejected.
func (g *Gate) makeRoom(r Request) bool {
	if len(g.queue) < maxQueuePerSlot*g.target.Slots {
		return true
	}
	last := g.queue[len(g.queue)-1]
	if !r.precedes(last.request, g.shares.Next(r.Customer), last.turn.At) {
		return false
	}
	g.queue = g.queue[:len(g.queue)-1]
	g.shares.Leave(last.turn)
	last.result <- ErrBusy
	return true
}

// insert queues a waiter before those that its request precedes.
func (g *Gate) insert(w *waiter) {
	i := len(g.queue)
	for i > 0 && w.request.precedes(g.queue[i-1].request, w.turn.At, g.queue[i-1].turn.At) {
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
		if !r.precedes(w.request, turn, w.turn.At) {
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
// the target must no longer get, watched requests too. The caller holds the lock.
func (g *Gate) serveQueue() {
	for w := range g.watches {
		g.checkWatch(w)
	}
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
		case w.request.Late && now.Sub(w.since) > w.request.MaxWait:
			g.shares.Leave(w.turn)
			w.result <- ErrQueueTimeout // others have overtaken it
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
		if w.request.Late {
			next = min(next, w.since.Add(w.request.MaxWait).Sub(now)+time.Millisecond)
		}
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
