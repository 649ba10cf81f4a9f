package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// recallLead is the least time before the end of the process at which attempts that no
// target runs are recalled. It covers a call to another daemon and the response.
const recallLead = time.Second

// inFlight holds the attempts that are under way. It is safe for concurrent use. The zero
// value is empty.
type inFlight struct {
	mu       sync.Mutex
	attempts map[*inFlightAttempt]struct{}
}

type inFlightAttempt struct {
	call    *call
	daemon  string
	handoff forwarder.Handoff
	cancel  context.CancelCauseFunc
}

// add adds an attempt at the daemon of a target. The context that it returns holds the
// attempt's handoff, and ends when the attempt is recalled or ended is called.
func (f *inFlight) add(ctx context.Context, c *call, daemon string) (_ context.Context, ended func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &inFlightAttempt{
		call:   c,
		daemon: daemon,
		cancel: cancel,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempts == nil {
		f.attempts = map[*inFlightAttempt]struct{}{}
	}
	f.attempts[a] = struct{}{}
	return carrier.WithHandoff(ctx, &a.handoff), func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.attempts, a)
	}
}

// Recall is an attempt that only the daemon of its target can recall.
type Recall struct {
	Daemon string
	// ID is the request ID.
	ID string
}

// RecallLate recalls the attempts that no target runs yet and whose requests can't be
// answered before the process ends. Those requests are rejected. RecallLate returns the
// attempts that their daemons may have queued or passed to targets.
func (d *Dispatcher) RecallLate() []Recall {
	d.inFlight.mu.Lock()
	defer d.inFlight.mu.Unlock()
	var remote []Recall
	for a := range d.inFlight.attempts {
		switch {
		case !d.endsTooSoon(a.call):
		case a.handoff.Recall():
			a.cancel(forwarder.ErrRecalled)
		case a.daemon != d.Daemon && a.call.client.ID != "":
			remote = append(remote, Recall{
				Daemon: a.daemon,
				ID:     a.call.client.ID,
			})
		}
	}
	return remote
}

// endsTooSoon reports whether the process ends before a request that no target runs yet
// could be answered, and before its deadline.
func (d *Dispatcher) endsTooSoon(c *call) bool {
	end := d.ServesUntil()
	if end.IsZero() || !c.deadline.After(end) {
		return false
	}
	lead := max(recallLead, time.Duration(serviceMargin*float64(d.Chooser.MeanServiceTime(c.rule.Name))))
	return d.Clock.Now().Add(lead).After(end)
}
