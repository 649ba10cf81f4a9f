package emulator

import (
	"maps"
	"slices"
)

// EraHeader is the response header that counts the restores of a Records store.
const EraHeader = "Store-Era"

// Backup is the state of a Records store at one revision.
type Backup struct {
	items     map[string]recordItem
	history   []recordEvent
	compacted uint64
	revision  uint64
	leases    map[uint64]recordLease
}

// Backup returns the current state.
func (r *Records) Backup() Backup {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Backup{
		items:     maps.Clone(r.items),
		history:   slices.Clone(r.history),
		compacted: r.compacted,
		revision:  r.revision,
		leases:    map[uint64]recordLease{},
	}
	for id, l := range r.leases {
		b.leases[id] = *l
	}
	return b
}

// Restore replaces the state by that of a backup and begins a new era. All later changes are
// lost, and their revisions and lease IDs are given out again. Waiting watches are cut.
func (r *Records) Restore(b Backup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era.Add(1)
	r.items = maps.Clone(b.items)
	r.history = slices.Clone(b.history)
	r.compacted = b.compacted
	r.revision = b.revision
	r.leases = map[uint64]*recordLease{}
	for id, l := range b.leases {
		r.leases[id] = &l
	}
	r.notifyWatches()
}
