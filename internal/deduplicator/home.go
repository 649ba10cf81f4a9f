package deduplicator

import (
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

// Homes is the committed list of the data centres that can be a key's home.
type Homes struct {
	// Names are the data centres of the list. Previous are those of the previous
	// list.
	Names    []string
	Previous []string
	// Published is the publication time of the list.
	Published time.Time
}

// Home returns the home data centre of a key, or the reason why it has none: no
// list is published, or the home changed less than one window ago, so a claim at
// the previous home may still be valid.
func (h Homes) Home(key string, now time.Time, window time.Duration) (name, reason string) {
	name = ranker.First(key, h.Names)
	previous := ranker.First(key, h.Previous)
	switch {
	case name == "":
		return "", "no home data centres are published"
	case previous != "" && previous != name && now.Sub(h.Published) < window:
		return "", "home data centre changed within the window"
	default:
		return name, ""
	}
}

// HoldersOf returns the names of a key's holders among the daemons of its home
// data centre, sorted.
func HoldersOf(key string, daemons []string) []string {
	holders := ranker.Top(key, daemons, HoldersPerKey)
	slices.Sort(holders)
	return holders
}
