package deduplicator

import (
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

// Homes is the committed list of the data centres that can be a key's home.
type Homes struct {
	// Names are the data centres of the list, and Previous those of the previous
	// list.
	Names    []string
	Previous []string
	// Published is the publication time of the list.
	Published time.Time
}

// Home returns the home data centre of a key. A key has no home if no list is
// published. It has none for the length of a window after its home has changed
// either, since a claim at the former home may still be valid.
func (h Homes) Home(key string, now time.Time, window time.Duration) (name, reason string) {
	name = ranker.First(key, h.Names)
	former := ranker.First(key, h.Previous)
	switch {
	case name == "":
		return "", "no home data centres are published"
	case former != "" && former != name && now.Sub(h.Published) < window:
		return "", "home data centre changed within the window"
	default:
		return name, ""
	}
}

// HoldersOf returns the names of a key's holders among the daemons of its home
// data centre, sorted.
func HoldersOf(key string, daemons []string) []string {
	top := ranker.Top(key, daemons, HoldersPerKey)
	slices.Sort(top)
	return top
}
