package follower

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Lost is the last state of a key in an earlier era, which the store no longer has. It counts
// as the state of the key until the key changes in the present era.
type Lost struct {
	// Change is the last write or the deletion of the key.
	storer.Change
	// Hides is the version of the older item that the store has instead, or 0 if it has none.
	Hides uint64 `json:",omitempty"`
	// Settled means that the key has changed in the present era, so the entry no longer
	// counts. It is kept because other daemons may not know of that change.
	Settled bool `json:",omitempty"`
	// Omitted is the hash of the value if that was left out for a receiver that has it.
	Omitted uint64 `json:",omitempty"`
}

// counts reports whether the entry is the state of its key, given the version of the
// store's item, which is 0 if there is none.
func (l Lost) counts(version uint64) bool { return !l.Settled && l.Hides == version }

// settle returns the settled entry of the key.
func (l Lost) settle() Lost {
	return Lost{
		Change:  storer.Change{Item: storer.Item{Key: l.Key}},
		Settled: true,
	}
}

// Losses holds what the store has lost by coming back from an older copy. It is immutable.
type Losses struct {
	// AsOf is the position in an earlier era up to which all changes are known. Of two
	// Losses of the same era, the one with the later AsOf is the more complete. The zero
	// value knows of no earlier era.
	AsOf storer.Position
	// Since is the lowest revision of the present era that is known, at which the store had
	// come back. What was written later is not from the older copy.
	Since   uint64
	Entries []Lost `json:",omitempty"`
}

// Digest identifies the contents. That of the zero value is empty.
func (l Losses) Digest() string {
	if l.isZero() {
		return ""
	}
	var b []byte
	for _, n := range []uint64{l.AsOf.Era, l.AsOf.Revision, l.Since} {
		b = binary.AppendUvarint(b, n)
	}
	for _, e := range l.Entries {
		b = appendBytes(b, []byte(e.Key))
		for _, n := range []uint64{e.Era, e.Version, e.Hides, xxhash.Sum64(e.Value)} {
			b = binary.AppendUvarint(b, n)
		}
		b = fmt.Append(b, e.Deleted, e.Settled)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// WithoutValues returns the losses without the values whose hashes are given.
func (l Losses) WithoutValues(known []uint64) Losses {
	l.Entries = slices.Clone(l.Entries)
	for i, e := range l.Entries {
		if h := xxhash.Sum64(e.Value); len(e.Value) > 0 && slices.Contains(known, h) {
			l.Entries[i].Value, l.Entries[i].Omitted = nil, h
		}
	}
	return l
}

// fill returns the losses with the values that were left out, which it takes from items. It
// fails if one is missing.
func (l Losses) fill(items []storer.Item) (Losses, error) {
	values := map[uint64][]byte{}
	for _, i := range items {
		values[xxhash.Sum64(i.Value)] = i.Value
	}
	l.Entries = slices.Clone(l.Entries)
	for i, e := range l.Entries {
		if e.Omitted == 0 {
			continue
		}
		value, ok := values[e.Omitted]
		if !ok {
			return Losses{}, Class.New("no value for %q", e.Key)
		}
		l.Entries[i].Value, l.Entries[i].Omitted = value, 0
	}
	return l, nil
}

// ValueHashes returns the hashes of the facts' values, for Losses.WithoutValues.
func (c Copy) ValueHashes() []uint64 {
	var hashes []uint64
	for _, i := range c.Facts() {
		hashes = append(hashes, xxhash.Sum64(i.Value))
	}
	return hashes
}

func (l Losses) isZero() bool { return l.AsOf == storer.Position{} && len(l.Entries) == 0 }

// merge returns the losses that l and o know of together, given the store's items of
// the latest revision that both know.
func (l Losses) merge(o Losses, items []storer.Item) Losses {
	if o.AsOf.After(l.AsOf) {
		l, o = o, l
	}
	versions := versionsOf(items)
	entries := map[string]Lost{}
	for _, e := range l.Entries {
		entries[e.Key] = e
	}
	for _, e := range o.Entries {
		known, ok := entries[e.Key]
		switch {
		case ok && e.Settled:
			entries[e.Key] = known.settle()
		case ok && o.AsOf == l.AsOf && !known.Settled && e.Hides == versions[e.Key]:
			entries[e.Key] = e
		case !ok && (e.Settled || o.AsOf == l.AsOf):
			entries[e.Key] = e
		}
	}
	merged := Losses{
		AsOf:  l.AsOf,
		Since: l.Since,
	}
	if o.Since != 0 && (l.Since == 0 || o.Since < l.Since) {
		merged.Since = o.Since
	}
	for key, e := range entries {
		if !e.counts(versions[key]) || e.Hides > merged.Since {
			entries[key] = e.settle()
		}
	}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		merged.Entries = append(merged.Entries, entries[key])
	}
	return merged
}

// versionsOf returns the versions of items by key.
func versionsOf(items []storer.Item) map[string]uint64 {
	versions := make(map[string]uint64, len(items))
	for _, i := range items {
		versions[i.Key] = i.Version
	}
	return versions
}

// Facts returns the items of the copy with what the store has lost, sorted by key. An item
// that the store has lost is of an earlier era than the copy.
func (c Copy) Facts() []storer.Item {
	if len(c.Lost.Entries) == 0 {
		return c.Items
	}
	facts := map[string]storer.Item{}
	for _, i := range c.Items {
		facts[i.Key] = i
	}
	versions := versionsOf(c.Items)
	for _, l := range c.Lost.Entries {
		switch {
		case !l.counts(versions[l.Key]):
		case l.Deleted:
			delete(facts, l.Key)
		default:
			facts[l.Key] = l.Item
		}
	}
	return slices.SortedFunc(maps.Values(facts), func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
}

// StoredVersion returns the version of a key in the store, or 0 if the store does not have
// the key. It differs from that of the fact if the store has lost the fact.
func (c Copy) StoredVersion(key string) uint64 {
	for _, i := range c.Items {
		if i.Key == key {
			return i.Version
		}
	}
	return 0
}
