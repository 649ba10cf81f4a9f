// Package allocator accounts for the memory that a process holds for others: requests that
// arrive, responses that wait for their clients, and connections. It decides who gets memory
// and who loses it. The memory itself is its callers'.
package allocator

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Cause is what memory is held for.
type Cause int

// Causes. Each has a gauge.
const (
	// Connections is the memory of clients' connections.
	Connections Cause = iota
	// Requests is the memory of clients' requests, with their headers and bodies.
	Requests
	// Forwarded is the memory of bodies from other daemons.
	Forwarded
	// Responses is the memory of responses, until they have been written.
	Responses

	causes
)

// String returns the name of the cause in metrics.
func (c Cause) String() string {
	return [causes]string{"connections", "requests", "forwarded", "responses"}[c]
}

// State says whether a holding may be revoked.
type State int

// States, in the order in which holdings are revoked. A holding that has not advanced for
// longer goes before others of the same state.
const (
	// Unfinished is a request that has not arrived completely.
	Unfinished State = iota
	// Idle is a connection without a request.
	Idle
	// Unread is a response that its client has not read completely.
	Unread
	// Kept is what is not revoked.
	Kept
)

// minStall is the time without an advance after which a holding may be revoked, by state.
var minStall = [Kept]time.Duration{
	Unfinished: 200 * time.Millisecond,
	Idle:       time.Second,
	Unread:     time.Second,
}

// smallBytes is the size up to which a holding counts as small.
const smallBytes = 32 << 10

// Shares of the limit up to which memory is given. The last part is for what has cost most
// so far: a response that can't be held belongs to a request that has run.
const (
	largeShare = 0.84
	smallShare = 0.92
	// lateShare is the part of the limit that revoked holdings may have until their owners
	// have released them.
	lateShare = 0.0625
)

// Errors of Grow.
var (
	ErrFull    = errors.New("no memory left")
	ErrRevoked = errors.New("memory given to others because nothing arrived")
)

// Account accounts for memory. It is safe for concurrent use.
type Account struct {
	// Limit is the bound in bytes.
	Limit int64
	Clock timekeeper.Clock

	mu   sync.Mutex
	used int64
	// revoking is the part of used that belongs to revoked holdings.
	revoking int64
	byCause  [causes]int64
	revoked  [Kept]int64
	// stalled holds the holdings of each state, the one that has not advanced for longest
	// first.
	stalled [Kept]list.List
	// changed is closed when memory is released, or nil if nobody waits for that.
	changed chan struct{}
}

// Holding is the memory of one request, response or connection. Its methods, but not Grow,
// Shrink and Release, do nothing if it is nil.
type Holding struct {
	account *Account
	cause   Cause
	revoke  func()
	// The account's lock guards the fields below.
	bytes     int64
	state     State
	element   *list.Element
	advanced  time.Time
	isRevoked bool
}

// Open returns a holding without memory that is Kept. revoke is called at most once, when
// the holding is revoked. Its owner then has to release it soon.
func (a *Account) Open(c Cause, revoke func()) *Holding {
	return &Holding{
		account: a,
		cause:   c,
		revoke:  revoke,
		state:   Kept,
	}
}

// Grow adds bytes to a holding before they are used, and revokes others for them if that is
// necessary. It waits until those are released. The error is ErrFull if there is no memory,
// and ErrRevoked if the holding is revoked.
func (h *Holding) Grow(bytes int64) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for !h.isRevoked {
		if a.fits(h, bytes) {
			h.add(bytes)
			h.advance()
			return nil
		}
		if v := a.victim(h); v != nil {
			a.revokeLocked(v)
			continue
		}
		if a.revoking <= a.late() {
			return ErrFull
		}
		a.wait()
	}
	return ErrRevoked
}

// Take adds bytes to a holding in any case. The caller releases as many of another.
func (h *Holding) Take(bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(bytes)
}

// Shrink removes bytes from a holding.
func (h *Holding) Shrink(bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(-bytes)
	h.account.notify()
}

// Release removes all bytes from a holding, which is not revoked any more. It may be called
// again.
func (h *Holding) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(-h.bytes)
	h.setState(Kept)
	h.account.notify()
}

// SetState changes the state of a holding. It counts as an advance.
func (h *Holding) SetState(s State) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.setState(s)
}

// Advance records that a holding has advanced.
func (h *Holding) Advance() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.advance()
}

// Revoked reports whether the holding is revoked.
func (h *Holding) Revoked() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.isRevoked
}

// RevokeConnection revokes the request or the idle connection that has not advanced for
// longest, so that its connection is closed. It returns false if there is none.
func (a *Account) RevokeConnection() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range []State{Unfinished, Idle} {
		if v := a.longestStalled(s, nil); v != nil {
			a.revokeLocked(v)
			return true
		}
	}
	return false
}

// Used returns the bytes that are held for a cause.
func (a *Account) Used(c Cause) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byCause[c]
}

// RevokedCount returns how many holdings of a state have been revoked.
func (a *Account) RevokedCount(s State) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revoked[s]
}

// Causes returns all causes.
func Causes() []Cause { return []Cause{Connections, Requests, Forwarded, Responses} }

// fits reports whether a holding may get further bytes. The caller holds the lock, as for
// all methods below.
func (a *Account) fits(h *Holding, bytes int64) bool {
	share := 1.0
	switch {
	case h.cause == Responses:
	case h.bytes+bytes > smallBytes:
		share = largeShare
	default:
		share = smallShare
	}
	return a.used-min(a.revoking, a.late())+bytes <= int64(share*float64(a.Limit))
}

func (a *Account) late() int64 { return int64(lateShare * float64(a.Limit)) }

// victim returns the holding that is revoked next for another, or nil. Idle connections hold
// too little to be closed for a large holding.
func (a *Account) victim(h *Holding) *Holding {
	for s := Unfinished; s < Kept; s++ {
		if s == Idle && h.bytes >= smallBytes {
			continue
		}
		if v := a.longestStalled(s, h); v != nil {
			return v
		}
	}
	return nil
}

// longestStalled returns the holding of a state, other than one, that has not advanced for
// longest, or nil if that is less than its minStall.
func (a *Account) longestStalled(s State, other *Holding) *Holding {
	e := a.stalled[s].Front()
	if e != nil && e.Value == other {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	v := e.Value.(*Holding)
	if a.Clock.Now().Sub(v.advanced) < minStall[s] {
		return nil
	}
	return v
}

// revokeLocked revokes a holding. It gives up the lock meanwhile.
func (a *Account) revokeLocked(v *Holding) {
	a.revoked[v.state]++
	v.setState(Kept)
	v.isRevoked = true
	a.revoking += v.bytes
	a.notify()
	a.mu.Unlock()
	defer a.mu.Lock()
	if v.revoke != nil {
		v.revoke()
	}
}

// wait waits until memory is released. It gives up the lock meanwhile.
func (a *Account) wait() {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	changed := a.changed
	a.mu.Unlock()
	defer a.mu.Lock()
	<-changed
}

func (a *Account) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

func (h *Holding) add(bytes int64) {
	h.bytes += bytes
	h.account.used += bytes
	h.account.byCause[h.cause] += bytes
	if h.isRevoked {
		h.account.revoking += bytes
	}
}

func (h *Holding) setState(s State) {
	if h.element != nil {
		h.account.stalled[h.state].Remove(h.element)
		h.element = nil
	}
	h.state = s
	if s != Kept && !h.isRevoked {
		h.advanced = h.account.Clock.Now()
		h.element = h.account.stalled[s].PushBack(h)
	}
}

func (h *Holding) advance() {
	if h.element != nil {
		h.advanced = h.account.Clock.Now()
		h.account.stalled[h.state].MoveToBack(h.element)
	}
}
