package distributor

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Timing of relay elections.
const (
	// LeaseTTL is the time to live of the lease under which a relay holds its slot.
	LeaseTTL = 15 * time.Second
	// WatchTimeout is the timeout of one watch request for the log.
	WatchTimeout = 20 * time.Second
	// ElectionPeriod is the interval at which the caller must call Step.
	ElectionPeriod = 250 * time.Millisecond
	// renewPeriod is how often the lease is renewed.
	renewPeriod = 5 * time.Second
	// settleDelay is how long a daemon must have been a relay candidate before it
	// first tries to acquire a slot. By then its membership lists the members of
	// its data centre.
	settleDelay = time.Second
	// attemptDelay is the delay after each of the first RelaysPerDC-1 attempts to
	// acquire a slot, and fullRoundDelay the delay after each later one. Each is
	// extended by a random time up to its own length.
	attemptDelay   = time.Second
	fullRoundDelay = 5 * time.Second
	// releaseDelay is how long a relay keeps its slot after it has ceased to be a
	// relay candidate.
	releaseDelay = 5 * time.Second
)

// RelayKey returns the key on the platform of a relay slot of a data centre. Its
// value is the control address of the relay that holds the slot.
func RelayKey(dc string, slot int) string { return fmt.Sprintf("relay/%s/%d", dc, slot) }

// Action is what the caller of an Election must do after a Step.
type Action uint8

const (
	// NoAction means to do nothing.
	NoAction Action = iota
	// Acquire means to create the slot's key under a new lease unless the key exists.
	Acquire
	// Renew means to renew the lease.
	Renew
	// Release means to revoke the lease.
	Release
)

// Election decides when a daemon acquires, renews and releases a relay slot of its
// data centre. Only relay candidates call the platform, so the number of calls does
// not grow with the fleet. It is not safe for concurrent use.
type Election struct {
	clock     timekeeper.Clock
	random    *rand.Rand
	holdsSlot bool
	slot      int
	attempts  int
	// candidateChangedAt is when candidate last changed.
	candidateChangedAt time.Time
	candidate          bool
	// nextAt is when to try to acquire a slot, or to renew the lease, next.
	nextAt time.Time
}

// NewElection returns the Election of a daemon that holds no slot. The seed
// determines its jitter.
func NewElection(clock timekeeper.Clock, seed uint64) *Election {
	return &Election{
		clock:              clock,
		random:             rand.New(rand.NewPCG(seed, seed)),
		candidateChangedAt: clock.Now(),
	}
}

// HoldsSlot reports whether the daemon holds a slot. It remains true after the lease
// has expired until LeaseExpired is called.
func (e *Election) HoldsSlot() bool { return e.holdsSlot }

// Step returns the action that is due and the slot that it applies to. The arguments
// are the results of Node.Rank.
func (e *Election) Step(rank int, candidate bool) (Action, int) {
	now := e.clock.Now()
	if candidate != e.candidate {
		e.candidate, e.candidateChangedAt = candidate, now
		if candidate && !e.holdsSlot {
			e.attempts = 0
			e.nextAt = now.Add(settleDelay + e.jitter(attemptDelay))
		}
	}
	switch {
	case e.holdsSlot && !candidate && now.Sub(e.candidateChangedAt) >= releaseDelay:
		e.holdsSlot = false
		return Release, e.slot
	case now.Before(e.nextAt):
		return NoAction, 0
	case e.holdsSlot:
		e.nextAt = now.Add(renewPeriod)
		return Renew, e.slot
	case candidate:
		return Acquire, e.nextSlot(now, rank)
	default:
		return NoAction, 0
	}
}

func (e *Election) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.random.Int64N(int64(limit)) + 1)
}

// nextSlot returns the slot to try to acquire: first the one whose number is the
// daemon's rank, then the others in turn.
func (e *Election) nextSlot(now time.Time, rank int) int {
	slot := (rank + e.attempts) % RelaysPerDC
	e.attempts++
	delay := attemptDelay
	if e.attempts >= RelaysPerDC {
		delay = fullRoundDelay
	}
	e.nextAt = now.Add(delay + e.jitter(delay))
	return slot
}

// Acquired records that the daemon has acquired the slot.
func (e *Election) Acquired(slot int) {
	e.holdsSlot, e.slot, e.attempts = true, slot, 0
	e.nextAt = e.clock.Now().Add(renewPeriod)
}

// LeaseExpired records that the lease has expired. The next attempt to acquire a slot
// follows after a jittered delay.
func (e *Election) LeaseExpired() {
	e.holdsSlot, e.attempts = false, 0
	e.nextAt = e.clock.Now().Add(e.jitter(attemptDelay))
}
