// Package throttler rejects requests at the daemon that received them, before it asks
// the daemons of targets, when those have rejected most others of the kind for lack of
// free slots.
//
// It answers the load of clients that send more than all targets of a service can run,
// and of rejected clients that come back. Asking costs processor time at two daemons
// for each target, which the requests that can be served need. The decision uses only
// the outcomes of the daemon's own requests of the last seconds, so that it needs no
// messages.
package throttler

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const (
	// window is the time constant of the counts. Overload begins and ends within about
	// that time.
	window = time.Second
	// askRatio is the number of requests that have asked for each one that got a slot,
	// from which on not all may ask.
	askRatio = 1.5
	// minCount is the number of requests from which on their outcomes say something
	// about the next one.
	minCount = 3
	// returnFraction is the part of its remaining time after which a client comes back
	// at the latest.
	returnFraction = 1.0 / 3
	// patienceSpread allows for the differences between the times that clients state with
	// their first requests.
	patienceSpread = 0.97
	// patienceWindow is the time constant with which clients' longest time is forgotten.
	patienceWindow = 10 * time.Second
	// idleTTL is how long the counts of a kind without requests are kept.
	idleTTL = time.Minute
)

// Kind identifies the requests that compete for the same slots with the same urgency.
type Kind struct {
	Service string
	Rule    string
	// Late means that the client has waited for longer than its objective already. Late
	// requests get slots after others, so fewer of them are worth asking for.
	Late bool
}

// counts holds exponentially decaying numbers of requests.
type counts struct {
	admitted, rejected float64
	// longest is the longest time that clients had left. It decays over patienceWindow.
	longest time.Duration
	at      time.Time
}

// Throttler decides which requests are rejected at once. It is safe for concurrent use.
type Throttler struct {
	Clock timekeeper.Clock
	// Random returns a number from 0 to 1; nil means a random one.
	Random func() float64

	mu      sync.Mutex
	kinds   map[Kind]counts
	sweptAt time.Time
}

// Admit reports whether a request may ask for a slot. The more requests of its kind have
// asked in vain, the fewer may. One that must not doesn't count as rejected, so that the
// end of an overload is noticed as fast as its start.
func (t *Throttler) Admit(k Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts(k)
	return t.random() < (minCount+askRatio*c.admitted)/(minCount+c.admitted+c.rejected)
}

// Record records whether a request got a slot.
func (t *Throttler) Record(k Kind, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts(k)
	if admitted {
		c.admitted++
	} else {
		c.rejected++
	}
	t.kinds[k] = c
}

// Rejected returns the share of the requests of the last window that asked for a slot and
// got none, from 0 to 1.
func (t *Throttler) Rejected(k Kind) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts(k)
	return c.rejected / (c.admitted + c.rejected + minCount)
}

// RetryAfter returns how long a rejected client should wait that has some time left. It
// spreads those that were rejected in the last window over the time in which the slots
// take as many. When they come back they are late.
func (t *Throttler) RetryAfter(k Kind, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := k
	k.Late, late.Late = false, true
	c, l := t.counts(k), t.counts(late)
	excess := (c.rejected + l.rejected) / max(1, c.admitted+l.admitted)
	wait := time.Duration((0.5 + t.random()) * excess * float64(window))
	return min(wait, time.Duration(returnFraction*float64(left)))
}

// IsLate reports whether a client that has some time left has waited for longer than an
// objective, by the longest time that others of its kind had left.
func (t *Throttler) IsLate(k Kind, left, objective time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.Late = false
	c := t.counts(k)
	c.longest = max(left, c.longest)
	t.kinds[k] = c
	return left < time.Duration(patienceSpread*float64(c.longest-objective))
}

// counts returns the counts of a kind, decayed until now. The caller holds the lock.
func (t *Throttler) counts(k Kind) counts {
	if t.kinds == nil {
		t.kinds = map[Kind]counts{}
	}
	now := t.Clock.Now()
	t.sweep(now)
	c := t.kinds[k]
	age := float64(now.Sub(c.at))
	decay := math.Exp(-age / float64(window))
	return counts{
		admitted: c.admitted * decay,
		rejected: c.rejected * decay,
		longest:  time.Duration(float64(c.longest) * math.Exp(-age/float64(patienceWindow))),
		at:       now,
	}
}

// sweep deletes the counts of kinds without requests for idleTTL.
func (t *Throttler) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < idleTTL {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.kinds, func(_ Kind, c counts) bool { return now.Sub(c.at) > idleTTL })
}

func (t *Throttler) random() float64 {
	if t.Random != nil {
		return t.Random()
	}
	return rand.Float64()
}
