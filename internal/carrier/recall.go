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

// openAttempts holds the attempts of a Server by ID until their responses are sent. It is
// safe for concurrent use. The zero value is empty.
type openAttempts struct {
	mu   sync.Mutex
	byID map[string][]*openAttempt
}

type openAttempt struct {
	handoff forwarder.Handoff
	cancel  context.CancelCauseFunc
}

// add adds an attempt. The context that it returns holds the attempt's handoff, and ends
// when the attempt is recalled or done is called.
func (o *openAttempts) add(ctx context.Context, id string) (_ context.Context, h *forwarder.Handoff, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &openAttempt{cancel: cancel}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID == nil {
		o.byID = map[string][]*openAttempt{}
	}
	o.byID[id] = append(o.byID[id], a)
	return WithHandoff(ctx, &a.handoff), &a.handoff, func() {
		cancel(nil)
		o.remove(id, a)
	}
}

func (o *openAttempts) remove(id string, a *openAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byID[id] = slices.DeleteFunc(o.byID[id], func(other *openAttempt) bool { return other == a })
	if len(o.byID[id]) == 0 {
		delete(o.byID, id)
	}
}

// Recall rejects the attempts with the given IDs that have not been sent to the target, and
// returns the IDs of those that are known, also if they have been sent.
func (s *Server) Recall(ids []string) (known []string) {
	s.open.mu.Lock()
	defer s.open.mu.Unlock()
	for _, id := range ids {
		for _, a := range s.open.byID[id] {
			if a.handoff.Recall() {
				a.cancel(errRecalled)
			}
		}
		if len(s.open.byID[id]) > 0 {
			known = append(known, id)
		}
	}
	return known
}
