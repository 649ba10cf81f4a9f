package emulator

import (
	"maps"
	"slices"
	"strings"
)

// EraHeader is the response header that counts the restores of a Records store.
const EraHeader = "Store-Era"

// operatorPrefix is the prefix of the keys that operators write.
const operatorPrefix = "op/"

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

// OperatorWrites are changes by operators that a restore has lost: the values of keys, nil for
// those that were deleted. Revision is that of the backup.
type OperatorWrites struct {
	values   map[string][]byte
	revision uint64
}

// Restore replaces the state by that of a backup and begins a new era. All later changes are
// lost, and their revisions and lease IDs are given out again. Waiting watches are cut. It
// returns what the operators have to write again.
func (r *Records) Restore(b Backup) OperatorWrites {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := OperatorWrites{
		values:   map[string][]byte{},
		revision: b.revision,
	}
	for key, i := range r.items {
		if strings.HasPrefix(key, operatorPrefix) && b.items[key].Rev != i.Rev {
			lost.values[key] = i.Value
		}
	}
	for key := range b.items {
		if _, ok := r.items[key]; !ok && strings.HasPrefix(key, operatorPrefix) {
			lost.values[key] = nil
		}
	}
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
	return lost
}

// WriteAgain writes what the operators have lost by the last restore, except keys that they
// have written since.
func (r *Records) WriteAgain(lost OperatorWrites) {
	for _, key := range slices.Sorted(maps.Keys(lost.values)) {
		r.mu.Lock()
		changed := r.items[key].Rev > lost.revision
		r.mu.Unlock()
		switch value := lost.values[key]; {
		case changed:
		case value == nil:
			r.Delete(key)
		default:
			r.Put(key, value)
		}
	}
}
