package carrier

import (
	"context"
	"slices"
	"sync"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// errRecalled rejects an attempt that its sender has recalled.
var errRecalled = classifier.NewFailure(classifier.NotRun, "recalled by its sender", nil)

// handoffKey is the context key of an attempt's handoff.
type handoffKey struct{}

// WithHandoff returns a context with the handoff of an attempt, by which it can be recalled
// until it is begun: by Client, when a byte that lets it run is sent to the daemon of the
// target, or by Deliver, when it is sent to the target.
func WithHandoff(ctx context.Context, h *forwarder.Handoff) context.Context {
	return context.WithValue(ctx, handoffKey{}, h)
}

// handoffOf returns the handoff in a context, or a new one.
func handoffOf(ctx context.Context) *forwarder.Handoff {
	if h, ok := ctx.Value(handoffKey{}).(*forwarder.Handoff); ok {
		return h
	}
	return &forwarder.Handoff{}
}

// Begin reports whether the attempt in ctx may be sent to the target. Otherwise it was
// recalled.
func Begin(ctx context.Context) bool { return handoffOf(ctx).Begin() }

// unsentAttempts holds the attempts of a Server by ID until their responses are sent. It is
// safe for concurrent use. The zero value is empty.
type unsentAttempts struct {
	mu   sync.Mutex
	byID map[string][]*unsentAttempt
}

type unsentAttempt struct {
	handoff forwarder.Handoff
	cancel  context.CancelFunc
}

// add adds an attempt. The context that it returns holds the attempt's handoff, and ends
// when the attempt is recalled or done is called.
func (u *unsentAttempts) add(ctx context.Context, id string) (_ context.Context, h *forwarder.Handoff, done func()) {
	ctx, cancel := context.WithCancel(ctx)
	a := &unsentAttempt{cancel: cancel}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byID == nil {
		u.byID = map[string][]*unsentAttempt{}
	}
	u.byID[id] = append(u.byID[id], a)
	return WithHandoff(ctx, &a.handoff), &a.handoff, func() {
		cancel()
		u.remove(id, a)
	}
}

func (u *unsentAttempts) remove(id string, a *unsentAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byID[id] = slices.DeleteFunc(u.byID[id], func(other *unsentAttempt) bool { return other == a })
	if len(u.byID[id]) == 0 {
		delete(u.byID, id)
	}
}

// Recall rejects the attempts with the given IDs that have not been sent to the target, and
// returns the IDs of those that are known, also if they have been sent.
func (s *Server) Recall(ids []string) (known []string) {
	s.unsent.mu.Lock()
	defer s.unsent.mu.Unlock()
	for _, id := range ids {
		for _, a := range s.unsent.byID[id] {
			if a.handoff.Recall() {
				a.cancel()
			}
		}
		if len(s.unsent.byID[id]) > 0 {
			known = append(known, id)
		}
	}
	return known
}
