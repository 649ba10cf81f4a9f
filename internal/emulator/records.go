package emulator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// RecordFaults are the faults that a Records store injects. The zero value
// injects none.
type RecordFaults struct {
	// Silent leaves all calls without a response.
	Silent bool
	// Refuse is the HTTP status of all responses, 0 for none.
	Refuse int
	// Slow delays all responses.
	Slow time.Duration
	// LoseShare is the fraction of transactions that are applied without a
	// response. They are applied after the delay Late.
	LoseShare float64
	Late      time.Duration
	// Only limits Silent, Refuse and Slow to calls from these IP addresses. An
	// empty list means all calls.
	Only []string
	// PauseLeases keeps leases from expiring.
	PauseLeases bool
}

// recordItem is a key with its value. Rev is the revision of its last write
// and Created the revision of its creation. Lease is the ID of its lease, 0 for none.
type recordItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

// recordEvent is a write or a deletion of a key, as a watch returns it.
type recordEvent struct {
	recordItem
	Deleted bool `json:"deleted,omitempty"`
}

// recordLease is a lease. Its keys are deleted when it expires.
type recordLease struct {
	ttl     time.Duration
	expires time.Time
}

// Records is a fake of the users' key-value store. All keys share one revision
// counter. It has range reads, watches of prefixes, conditional transactions and
// leases.
type Records struct {
	clock        timekeeper.Clock
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	// era counts the restores. It changes only while mu is held.
	era atomic.Uint64

	mu      sync.Mutex
	items   map[string]recordItem
	history []recordEvent
	// compacted is the revision up to which history is no longer available.
	compacted uint64
	revision  uint64
	leases    map[uint64]*recordLease
	// lost holds the operators' changes that a restore has lost, by key; the value is nil for
	// a deletion.
	lost   map[string][]byte
	faults RecordFaults
	// callCounts counts the calls by kind.
	callCounts map[string]int
	// changed is closed and replaced at each change other than the expiry of a
	// lease.
	changed chan struct{}
}

// Limits of the store. The rates are coltsfootlane's shares of its capacity.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	// maxPageItems is the maximum number of items in the response to a range read.
	maxPageItems = 500
)

// NewRecords returns an empty store.
func NewRecords(clock timekeeper.Clock) *Records {
	r := &Records{
		clock:        clock,
		writeLimiter: rate.NewLimiter(writesPerSecond, writesPerSecond),
		readLimiter:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		items:        map[string]recordItem{},
		leases:       map[uint64]*recordLease{},
		revision:     1,
		callCounts:   map[string]int{},
		changed:      make(chan struct{}),
	}
	return r
}

// SetFaults replaces the injected faults.
func (r *Records) SetFaults(f RecordFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Calls returns the number of calls of a kind: get, range, watch, txn, lease, keep
// or end.
func (r *Records) Calls(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callCounts[kind]
}

// Put writes a key without conditions, as an operator does, and returns its
// revision.
func (r *Records) Put(key string, value []byte) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.HasPrefix(key, operatorPrefix) {
		r.writeAgain()
	}
	r.revision++
	r.put(key, value, 0)
	r.notifyWatches()
	return r.revision
}

// Delete removes a key.
func (r *Records) Delete(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.HasPrefix(key, operatorPrefix) {
		r.writeAgain()
	}
	r.revision++
	r.deleteKey(key)
	r.notifyWatches()
}

// Value returns a key's value.
func (r *Records) Value(key string) (value []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLeases()
	i, ok := r.items[key]
	return i.Value, ok
}

// Compact drops the whole history. A watch from an earlier revision then gets
// status 410.
func (r *Records) Compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
	r.compacted = r.revision
	r.notifyWatches()
}

// Revoke ends all leases and deletes their keys. The lease holders are not
// notified; their next keep-alive gets status 404.
func (r *Records) Revoke() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.leases {
		r.deleteLease(id)
	}
	r.notifyWatches()
}

// notifyWatches notifies the waiting watches of a change.
func (r *Records) notifyWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// put writes an item at the current revision. The caller holds the lock.
func (r *Records) put(key string, value []byte, lease uint64) {
	i := recordItem{
		Key:     key,
		Value:   value,
		Rev:     r.revision,
		Created: r.revision,
		Lease:   lease,
	}
	if old, ok := r.items[key]; ok {
		i.Created = old.Created
	}
	r.items[key] = i
	r.history = append(r.history, recordEvent{recordItem: i})
}

// deleteKey deletes a key at the current revision. The caller holds the lock.
func (r *Records) deleteKey(key string) {
	if _, ok := r.items[key]; !ok {
		return
	}
	delete(r.items, key)
	r.history = append(r.history, recordEvent{
		recordItem: recordItem{Key: key, Rev: r.revision},
		Deleted:    true,
	})
}

// deleteLease ends a lease and deletes its keys. The caller holds the lock.
func (r *Records) deleteLease(id uint64) {
	delete(r.leases, id)
	r.revision++
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if r.items[key].Lease == id {
			r.deleteKey(key)
		}
	}
}

// expireLeases ends the leases that have expired. The caller holds the lock.
func (r *Records) expireLeases() {
	if r.faults.PauseLeases {
		return
	}
	now := r.clock.Now()
	for id, l := range r.leases {
		if now.After(l.expires) {
			r.deleteLease(id)
		}
	}
}
