package admitter

import "context"

// Watch observes whether the target may still get a request that waits for something else
// than a slot.
type Watch struct {
	gate    *Gate
	request Request
	cancel  context.CancelCauseFunc
	// err is the rejection. The gate's lock guards it.
	err error
}

// Watch returns a context that ends when the target must no longer get the request, because
// it is gone, leaves or is closed. If the request has a deadline, the context also ends when
// the process is known to end before that. The caller must call End.
func (g *Gate) Watch(ctx context.Context, r Request) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{
		gate:    g,
		request: r,
		cancel:  cancel,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watches == nil {
		g.watches = map[*Watch]struct{}{}
	}
	g.watches[w] = struct{}{}
	g.checkWatch(w)
	return ctx, w
}

// End ends the watch, and returns the rejection if the target must not get the request. After
// that the context ends only with its parent. Further calls return the same.
func (w *Watch) End() error {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	w.gate.checkWatch(w)
	delete(w.gate.watches, w)
	return w.err
}

// Err returns the rejection, or nil if there was none until now.
func (w *Watch) Err() error {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	return w.err
}

// checkWatch ends a watch if the target must no longer get its request. The caller holds the
// lock.
func (g *Gate) checkWatch(w *Watch) {
	if _, watched := g.watches[w]; !watched {
		return
	}
	w.err = g.checkOpen(w.request.Instance)
	if w.err == nil && !w.request.Deadline.IsZero() && g.endsBefore(w.request.Deadline) {
		w.err = ErrStopping
	}
	if w.err != nil {
		delete(g.watches, w)
		w.cancel(w.err)
	}
}
