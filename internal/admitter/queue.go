package admitter

import (
	"time"
)

type waiter struct {
	ask     Ask
	granted chan error
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
