package server

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// distributeMethod is the control method of the distributor's messages.
const distributeMethod = "distribute"

// Timing of distribution.
const (
	// viewPeriod is how often the distributor receives the current membership.
	// During the first startupDuration it is startupViewPeriod.
	viewPeriod        = 5 * time.Second
	startupViewPeriod = 250 * time.Millisecond
	startupDuration   = 10 * time.Second
)

// runDistribution sends the distributor's calls when they are due, until ctx
// ends.
func (d *Daemon) runDistribution(ctx context.Context) error {
	started := d.clock.Now()
	var nextView time.Time
	for ctx.Err() == nil {
		now := d.clock.Now()
		if !now.Before(nextView) {
			d.node.SetView(distributor.NewView(d.settings.DC, d.members.All()))
			d.updateDistributionMetrics()
			nextView = now.Add(viewPeriod)
			if now.Sub(started) < startupDuration {
				nextView = now.Add(startupViewPeriod)
			}
		}
		d.sendCalls(ctx, d.node.Tick())
		d.activateReceived()
		d.waitUntilDue(ctx, earlier(nextView, d.node.NextTick()).Sub(now))
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitUntilDue waits until the limit has passed, or until wakeDistribution
// reports that a call may be due earlier.
func (d *Daemon) waitUntilDue(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.wake:
	case <-ctx.Done():
	}
}

// wakeDistribution makes runDistribution check for due calls.
func (d *Daemon) wakeDistribution() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// updateDistributionMetrics copies the distributor's counts into the metrics.
func (d *Daemon) updateDistributionMetrics() {
	c := d.node.Counts()
	for name, count := range map[string]uint64{
		"distribution.applied":    c.Applied,
		"distribution.restored":   c.Restored,
		"distribution.rejected":   c.Rejected,
		"distribution.duplicates": c.Duplicates,
		"distribution.fetches":    c.Fetches,
		"distribution.served":     c.Served,
		"distribution.refused":    c.Refused,
		"distribution.diverged":   c.Diverged,
	} {
		metrics.GetOrRegisterGauge(name, d.metrics).Update(int64(count))
	}
}

// handleDistribute handles a peer's message.
func (d *Daemon) handleDistribute(_ context.Context, m distributor.Message) (distributor.Message, error) {
	before := d.node.NextTick()
	answer, calls := d.node.Receive(m)
	if d.node.NextTick().Before(before) {
		d.wakeDistribution()
	}
	d.activateReceived()
	d.sendCalls(context.Background(), calls)
	return answer, nil
}

// sendCalls sends calls without waiting for the responses.
func (d *Daemon) sendCalls(ctx context.Context, calls []distributor.Call) {
	for _, c := range calls {
		go d.sendCall(ctx, c)
	}
}

func (d *Daemon) sendCall(ctx context.Context, c distributor.Call) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var answer distributor.Message
	err := d.client.Call(callCtx, c.To.Control, distributeMethod, c.Message, &answer)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.log.Debug("call to peer failed", "peer", c.To.ID, "err", err)
		d.sendCalls(ctx, d.node.HandleFailure(c))
		d.wakeDistribution()
		return
	}
	calls := d.node.HandleAnswer(c, answer)
	d.wakeDistribution()
	d.activateReceived()
	d.sendCalls(ctx, calls)
}

// activateReceived activates the state that the distributor has received if it
// is newer than the active one. The first state is activated only when the node
// is ready, that is, when its revision has reached the minimum known from peers
// and the platform.
func (d *Daemon) activateReceived() {
	if !d.node.Ready() {
		return
	}
	d.activateMu.Lock()
	defer d.activateMu.Unlock()
	s := d.node.State()
	if d.loaded.Load() && s.Revision() <= d.state.Load().Revision() {
		return
	}
	d.activate(s)
}

// withRevisionObserver returns a handler that records the configuration
// revision in requests from other daemons and passes every request to h.
func (d *Daemon) withRevisionObserver(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get(forwarder.KeyHeader)
		if subtle.ConstantTimeCompare([]byte(key), []byte(d.settings.Key)) == 1 {
			d.observeRevision(r.Header)
		}
		h.ServeHTTP(w, r)
	})
}

// revisionTransport is a transport that records the configuration revision in
// the responses of other daemons.
type revisionTransport struct {
	http.RoundTripper
	observeRevision func(http.Header)
}

// revisionTransport returns the transport to other daemons.
func (d *Daemon) revisionTransport() http.RoundTripper {
	return revisionTransport{
		RoundTripper:    d.peerTransport,
		observeRevision: d.observeRevision,
	}
}

// RoundTrip sends one request and records the revision in its response.
func (t revisionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		t.observeRevision(resp.Header)
	}
	return resp, err
}

func (d *Daemon) observeRevision(h http.Header) {
	revision, err := strconv.ParseUint(h.Get(forwarder.RevisionHeader), 10, 64)
	if err == nil && revision > d.state.Load().Revision() {
		d.node.ObserveRevision(revision)
		d.wakeDistribution()
	}
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
