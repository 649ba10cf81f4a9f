package emulator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// RecordFaults are what goes wrong at the users' store. The zero value is a
// healthy one.
type RecordFaults struct {
	// Silent answers nothing, and Refuse answers every call with a status code.
	Silent bool
	Refuse int
	// Slow delays every answer.
	Slow time.Duration
	// LoseShare is the part of the changes that are made and not answered, and
	// Late delays those.
	LoseShare float64
	Late      time.Duration
	// Only holds the faults to calls from these IP addresses; none means all.
	Only []string
	// PauseLeases keeps leases from lapsing.
	PauseLeases bool
}

// recordItem, recordEvent and recordLease are what the store holds.
type recordItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

type recordEvent struct {
	recordItem
	Deleted bool `json:"deleted,omitempty"`
}

type recordLease struct {
	ttl     time.Duration
	expires time.Time
}

// Records is the stand-in for the users' store: keys with one revision counter,
// ranges, watches of prefixes, conditional changes, leases.
type Records struct {
	clock  timekeeper.Clock
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	items     map[string]recordItem
	history   []recordEvent
	compacted uint64
	revision  uint64
	leases    map[uint64]*recordLease
	faults    RecordFaults
	calls     map[string]int
	changed   chan struct{}
}

// Shares of the store's rates.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	recordsPage     = 500
)

// NewRecords returns an empty store.
func NewRecords(clock timekeeper.Clock) *Records {
	return &Records{
		clock:    clock,
		writes:   rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:    rate.NewLimiter(readsPerSecond, readsPerSecond),
		items:    map[string]recordItem{},
		leases:   map[uint64]*recordLease{},
		revision: 1,
		calls:    map[string]int{},
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (r *Records) SetFaults(f RecordFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Calls returns the number of calls of a kind so far.
func (r *Records) Calls(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[kind]
}

// Put writes a key as the operator does, and returns the revision.
func (r *Records) Put(key string, value []byte) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.put(key, value, 0)
	r.wake()
	return r.revision
}

// Delete removes a key.
func (r *Records) Delete(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.remove(key)
	r.wake()
}

// Value returns a key's value.
func (r *Records) Value(key string) (value []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	i, ok := r.items[key]
	return i.Value, ok
}

// Compact forgets all history.
func (r *Records) Compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
	r.compacted = r.revision
	r.wake()
}

// Revoke ends all leases at once, and no call shows it but a renewal.
func (r *Records) Revoke() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.leases {
		r.drop(id)
	}
	r.wake()
}

func (r *Records) wake() {
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

func (r *Records) remove(key string) {
	if _, ok := r.items[key]; !ok {
		return
	}
	delete(r.items, key)
	r.history = append(r.history, recordEvent{
		recordItem: recordItem{Key: key, Rev: r.revision},
		Deleted:    true,
	})
}

func (r *Records) drop(id uint64) {
	delete(r.leases, id)
	r.revision++
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if r.items[key].Lease == id {
			r.remove(key)
		}
	}
}

func (r *Records) expire() {
	if r.faults.PauseLeases {
		return
	}
	now := r.clock.Now()
	for id, l := range r.leases {
		if now.After(l.expires) {
			r.drop(id)
		}
	}
}
