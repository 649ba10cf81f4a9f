package follower

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// maxPast is the number of past states of keys that a follower remembers.
const maxPast = 1024

// keyState identifies one state of a key.
type keyState struct {
	key     string
	version uint64
	value   uint64
}

func stateOf(i storer.Item) keyState {
	return keyState{
		key:     i.Key,
		version: i.Version,
		value:   xxhash.Sum64(i.Value),
	}
}

// pastStates holds the last states of keys that a follower has seen. It tells a restored
// item from one that was written in the present era under the same revision. The zero
// value is empty.
type pastStates struct {
	known map[keyState]bool
	order []keyState
}

// add adds the states of items.
func (p *pastStates) add(items []storer.Item) {
	if p.known == nil {
		p.known = map[keyState]bool{}
	}
	for _, i := range items {
		s := stateOf(i)
		if p.known[s] {
			continue
		}
		p.known[s] = true
		p.order = append(p.order, s)
	}
	for len(p.order) > maxPast {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
}

// lostBetween returns what the store has lost between the copy old and restored, a copy
// of a later era. An item of restored that was written after it came back replaces the fact of
// old. A restored item is one that was seen before.
func (p *pastStates) lostBetween(old, restored Copy) Losses {
	lost := Losses{
		AsOf: storer.Position{
			Era:      old.Era,
			Revision: old.Revision,
		},
		Since: restored.Revision,
	}
	items := map[string]storer.Item{}
	for _, i := range restored.Items {
		items[i.Key] = i
	}
	add := func(c storer.Change) {
		i, stored := items[c.Key]
		if stored && (string(i.Value) == string(c.Value) && !c.Deleted || !p.known[stateOf(i)]) {
			return
		}
		lost.Entries = append(lost.Entries, Lost{
			Change: c,
			Hides:  i.Version,
		})
	}
	facts := map[string]bool{}
	for _, i := range old.Facts() {
		facts[i.Key] = true
		add(storer.Change{Item: i})
	}
	for _, i := range restored.Items {
		if !facts[i.Key] {
			add(storer.Change{
				Item: storer.Item{
					Key:     i.Key,
					Version: old.Revision,
					Era:     old.Era,
				},
				Deleted: true,
			})
		}
	}
	slices.SortFunc(lost.Entries, func(a, b Lost) int { return strings.Compare(a.Key, b.Key) })
	return lost
}
