package forwarder

import (
	"sync/atomic"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// ErrRecalled is the failure of a request that was recalled before its handoff.
var ErrRecalled = classifier.NewFailure(classifier.NotRun, "recalled before it was sent on", nil)

// Handoff is the step after which a request may run: either it begins, or the request is
// recalled, never both. It is safe for concurrent use. The zero value is open.
type Handoff struct {
	state atomic.Int32
}

// States of a Handoff.
const (
	handoffOpen int32 = iota
	handoffBegun
	handoffRecalled
)

// Begin reports whether the request may be handed over. It must be called before the first
// byte that lets the request run is sent, and may be called again.
func (h *Handoff) Begin() bool {
	return h.state.CompareAndSwap(handoffOpen, handoffBegun) || h.state.Load() == handoffBegun
}

// Recall reports whether the request is recalled. It then has not run and never will.
func (h *Handoff) Recall() bool {
	return h.state.CompareAndSwap(handoffOpen, handoffRecalled) || h.Recalled()
}

// Recalled reports whether the request has been recalled.
func (h *Handoff) Recalled() bool { return h.state.Load() == handoffRecalled }
