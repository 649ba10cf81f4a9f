// Package shifter moves a service's requests to another version of its targets:
// a small share first, then step by step all of them, unless the version turns
// out to be bad.
//
// It is pure: every daemon works out the same share from the time at which it
// heard of the order, and counts what its own target answers.
package shifter

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Order is what operators ask for.
type Order struct {
	Service string
	Version string
	// Period is the time in which it is to be done.
	Period time.Duration
	// Revision is the platform's revision of the order.
	Revision uint64
}

// State is how far an order is.
type State uint8

// States of an order.
const (
	Running State = iota
	Completed
	RolledBack
)

// Outcome is what the system has written of an order.
type Outcome struct {
	Service string
	Version string
	State   State
	// Item is the record that holds it.
	Item storer.Item
}

// Settles reports whether the outcome ends the order.
func (o Outcome) Settles(order Order) bool {
	return o.State != Running && o.Concerns(order)
}

// Concerns reports whether the outcome is of the order.
func (o Outcome) Concerns(order Order) bool {
	return o.Version == order.Version && o.Item.Version > order.Revision
}

// Parts of an order's period. The first share is kept for more than half of it,
// since some faults show late; the rest leaves time to write the outcome twice.
const (
	firstPart  = 0.55
	rampPart   = 0.12
	firstShare = 0.03
)

// settleTime is the time from the last step until the outcome: the longest that
// a request to the former version may still take, and some for the news to
// spread.
const settleTime = 1300 * time.Millisecond

// ramp is the shares between the first one and all.
var ramp = []float64{0.06, 0.15, 0.3}

// Share returns the part of the requests that the new version gets once an
// order has stood for some time.
func (o Order) Share(elapsed time.Duration) float64 {
	first := time.Duration(firstPart * float64(o.Period))
	step := time.Duration(rampPart * float64(o.Period) / float64(len(ramp)))
	switch {
	case elapsed < first:
		return firstShare
	case elapsed >= first+step*time.Duration(len(ramp)):
		return 1
	default:
		return ramp[min(len(ramp)-1, int((elapsed-first)/max(1, step)))]
	}
}

// Due returns the time after which an order whose version is not bad is done.
func (o Order) Due() time.Duration {
	return time.Duration((firstPart+rampPart)*float64(o.Period)) + settleTime
}
