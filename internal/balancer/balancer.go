// Package balancer chooses the target that a request is sent to.
//
// It draws two random targets and prefers the one with more free slots. Targets
// in the local data centre are preferred. Each response reports the target's
// free slots, and the report loses weight with its age. Targets with many failures
// are ejected for a time, but never more than half of a pool.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Candidate is a target that may be chosen.
type Candidate struct {
	// ID names the target's VM.
	ID string
	// DC is the target's data centre.
	DC string
	// SameDC reports whether DC is the balancer's own data centre.
	SameDC bool
	// Slots is the number of requests that the target runs concurrently.
	Slots int
}

// Key identifies a pool: the targets of one version of a service.
type Key struct {
	Service string
	Version string
}

// Source provides the candidates of a pool.
type Source struct {
	Key Key
	// ListID identifies the list of candidates. A pool rereads its candidates
	// only if ListID or Count has changed.
	ListID any
	Count  int
	// Candidate returns the candidate with index i, from 0 to below Count.
	Candidate func(i int) Candidate
	// Avoid reports whether a candidate must not be chosen. If nil, every
	// candidate may be chosen.
	Avoid func(id string) bool
	// NonIdempotent marks a non-idempotent request. It is not used to probe an
	// ejected target.
	NonIdempotent bool
}

// Result describes how a request to a target ended, as seen by the sender.
type Result uint8

const (
	// Aborted means that the caller cancelled the request. It does not count as a
	// success or a failure of the target.
	Aborted Result = iota
	// Succeeded means that the target responded without a failure.
	Succeeded
	// Refused means that admission control refused the request.
	Refused
	// Failed means that the target failed the request.
	Failed
	// Unreachable means that no connection could be made, or that it broke before
	// any byte of the request was written.
	Unreachable
)

// Headroom is the free capacity that a target reports in a response.
type Headroom struct {
	// Free is the number of free slots.
	Free int
	// Allowance is the number of requests that the target may run concurrently.
	// Zero means that it admits no requests. The target is then chosen only as a
	// last resort for one second.
	Allowance int
}

// Balancer chooses between targets. It is safe for concurrent use.
type Balancer struct {
	// Random returns a pseudo-random number in [0, 1).
	Random func() float64
	// Weight returns the fraction, from 0 to 1, of its normal traffic that a
	// data centre gets. If nil, every weight is 1. It is called for every pick.
	Weight func(dc string) float64
	// Clock provides the time at which reports and ejections expire.
	Clock timekeeper.Clock

	mu        sync.Mutex
	pools     map[Key]*pool
	lastSweep time.Time
}

// New returns a balancer that uses math/rand/v2 and the given clock.
func New(c timekeeper.Clock) *Balancer {
	return &Balancer{
		Random: rand.Float64,
		Clock:  c,
		pools:  map[Key]*pool{},
	}
}

// Choice is a chosen target with one request counted in flight.
type Choice struct {
	Candidate
	// Index is the candidate's index in the Source.
	Index int

	pool  *pool
	stats *stats
}

// Pick chooses a target and counts one request in flight there. Its result ok
// is false if no candidate can be chosen.
func (b *Balancer) Pick(s Source) (chosen Choice, ok bool) {
	now := b.Clock.Now()
	p := b.pool(s.Key, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	p.setCandidates(s)
	sel := selector{
		balancer:      b,
		pool:          p,
		avoid:         s.Avoid,
		nonIdempotent: s.NonIdempotent,
		now:           now,
		point:         b.Random(),
	}
	t := sel.choose()
	if t == nil {
		return Choice{}, false
	}
	t.start()
	return Choice{
		Candidate: t.Candidate,
		Index:     t.index,
		pool:      p,
		stats:     t.stats,
	}, true
}

// RecordHeadroom records the headroom reported in a response of the chosen
// target.
func (b *Balancer) RecordHeadroom(c Choice, h Headroom) {
	now := b.Clock.Now()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.stats.recordHeadroom(h, now)
}

// RecordResult records the end of a request to the chosen target.
func (b *Balancer) RecordResult(c Choice, r Result) {
	now := b.Clock.Now()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.stats.inFlight--
	c.pool.recordResult(c.stats, r, now, b.Random())
}

// poolIdleTimeout is the time after which an unused pool is removed.
const poolIdleTimeout = 10 * time.Minute

// pool returns the pool of a key and creates it if necessary. It also removes
// unused pools from time to time.
func (b *Balancer) pool(k Key, now time.Time) *pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[k]
	if p == nil {
		p = &pool{lastUsed: now}
		b.pools[k] = p
	}
	if now.Sub(b.lastSweep) > poolIdleTimeout {
		b.lastSweep = now
		b.sweep(now)
	}
	return p
}

// sweep removes the pools that have been unused for poolIdleTimeout.
func (b *Balancer) sweep(now time.Time) {
	for k, p := range b.pools {
		p.mu.Lock()
		if now.Sub(p.lastUsed) > poolIdleTimeout {
			delete(b.pools, k)
		}
		p.mu.Unlock()
	}
}
