// Package shifter computes the new version's share of the requests during a
// rollout. The share is small at first and rises in steps to all requests, unless
// the version is found bad.
//
// The package does no I/O. Every daemon computes the share from the time for which it
// has known targets of the version that can get requests, and counts its own target's
// responses.
package shifter

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Rollout is an operator's request to roll out a version of a service.
type Rollout struct {
	Service string
	Version string
	// Period is the time within which the rollout must be done.
	Period time.Duration
	// Revision is the revision of the platform's store at which the rollout was
	// written, and Era the era of the revision, or 0 if the store has no eras.
	Revision uint64
	Era      uint64
}

// Position returns the position at which the rollout was written.
func (r Rollout) Position() storer.Position {
	return storer.Position{
		Era:      r.Era,
		Revision: r.Revision,
	}
}

// Repeats reports whether r is the rollout o, written again or read again after the store
// has come back from an older copy.
func (r Rollout) Repeats(o Rollout) bool {
	return r.Era > o.Era && r.Service == o.Service && r.Version == o.Version && r.Period == o.Period
}

// State is the state of a rollout.
type State uint8

// States of a rollout.
const (
	Running State = iota
	Completed
	RolledBack
)

// Outcome is the state of a rollout that is stored on the platform.
type Outcome struct {
	Service string
	Version string
	State   State
	// Item is the stored item that contains the outcome.
	Item storer.Item
}

// Ends reports whether the outcome ends the rollout r.
func (o Outcome) Ends(r Rollout) bool {
	return o.State != Running && o.BelongsTo(r)
}

// BelongsTo reports whether the outcome belongs to the rollout r: the version is
// the same, and the outcome was stored after the rollout.
func (o Outcome) BelongsTo(r Rollout) bool {
	return o.Version == r.Version && o.Item.Position().After(r.Position())
}

// Satisfies reports whether the outcome of an earlier rollout leaves nothing to do for the
// rollout r, because its version already gets all requests.
func (o Outcome) Satisfies(r Rollout) bool {
	return o.State == Completed && o.Version == r.Version
}

// Fractions of a rollout's period, and the new version's first share. The first
// step takes more than half of the period because some faults appear late. The
// time that remains after the ramp is enough to store the outcome twice.
const (
	firstStepFraction = 0.55
	rampFraction      = 0.12
	firstShare        = 0.03
)

// settleDelay is the time from the last step until the outcome. It covers the
// longest request that still runs at the old version, and the time that updates
// take to reach all daemons.
const settleDelay = 1300 * time.Millisecond

// rampShares are the shares between the first one and 1.
var rampShares = []float64{0.06, 0.15, 0.3}

// Share returns the share of the requests, 0 to 1, that goes to the new version
// when its trial has lasted for the given time.
func (r Rollout) Share(elapsed time.Duration) float64 {
	firstStepEnd := time.Duration(firstStepFraction * float64(r.Period))
	rampStepTime := time.Duration(rampFraction * float64(r.Period) / float64(len(rampShares)))
	switch {
	case elapsed < firstStepEnd:
		return firstShare
	case elapsed >= firstStepEnd+rampStepTime*time.Duration(len(rampShares)):
		return 1
	default:
		return rampShares[min(len(rampShares)-1, int((elapsed-firstStepEnd)/max(1, rampStepTime)))]
	}
}

// CompletionTime returns the time that a trial takes at least.
func (r Rollout) CompletionTime() time.Duration {
	return time.Duration((firstStepFraction+rampFraction)*float64(r.Period)) + settleDelay
}
