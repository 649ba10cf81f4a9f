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

// Restore replaces the state by that of a backup and begins a new era. All later changes are
// lost, and their revisions and lease IDs are given out again. Waiting watches are cut.
func (r *Records) Restore(b Backup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = r.lostTo(b)
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

// lostTo returns the operators' changes that are not in a backup: the values of keys, nil for
// those that were deleted. Changes that they have not written again since the last restore
// count. The caller holds the lock.
func (r *Records) lostTo(b Backup) map[string][]byte {
	lost := map[string][]byte{}
	for key, i := range r.items {
		if strings.HasPrefix(key, operatorPrefix) && b.items[key].Rev != i.Rev {
			lost[key] = i.Value
		}
	}
	for key := range b.items {
		if _, ok := r.items[key]; !ok && strings.HasPrefix(key, operatorPrefix) {
			lost[key] = nil
		}
	}
	maps.Copy(lost, r.lost)
	return lost
}

// WriteAgain writes what the operators have lost by restores. They do that before any other
// change.
func (r *Records) WriteAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeAgain()
}

// writeAgain is WriteAgain for a caller that holds the lock.
func (r *Records) writeAgain() {
	for _, key := range slices.Sorted(maps.Keys(r.lost)) {
		r.revision++
		if value := r.lost[key]; value != nil {
			r.put(key, value, 0)
		} else {
			r.deleteKey(key)
		}
	}
	if len(r.lost) > 0 {
		r.notifyWatches()
	}
	r.lost = nil
}
