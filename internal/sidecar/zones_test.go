package sidecar

import (
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/spiller"
)

// TestShareIsLoggedSeldom checks that a share is logged when it has changed by a quarter, and
// at most once a second.
func TestShareIsLoggedSeldom(t *testing.T) {
	o := &zoneObserver{logged: map[serviceRule]loggedShare{}}
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		after time.Duration
		share float64
		want  bool
	}{
		{after: 0, share: 0, want: false},
		{after: 0, share: 0.1, want: true},
		{after: 2 * time.Second, share: 0.2, want: false},
		{after: 0, share: 0.3, want: true},
		{after: 500 * time.Millisecond, share: 0.8, want: false},
		{after: 500 * time.Millisecond, share: 0.8, want: true},
		{after: 2 * time.Second, share: 0, want: true},
	} {
		now = now.Add(step.after)
		z := chooser.ZoneChoice{
			Service: "claims",
			Rule:    "status",
			After:   spiller.Spill{Share: step.share},
		}
		if got := o.shouldLog(z, now); got != step.want {
			t.Errorf("share %.1f logged: %v, want %v", step.share, got, step.want)
		}
	}
}
