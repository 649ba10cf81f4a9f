package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
)

// sample is one request at the target that is counted for a rollout. It counts
// as bad as soon as it exceeds the latency goal.
type sample struct {
	route string
	// latencyGoal is the duration above which the request is late; 0 means
	// none.
	latencyGoal time.Duration
	// record is called once with the result.
	record func(route string, bad bool, took time.Duration)

	mu      sync.Mutex
	timer   *time.Timer
	counted bool
}

// sampleKey is the context key of a request's sample.
type sampleKey struct{}

func sampleOf(r *http.Request) *sample {
	s, _ := r.Context().Value(sampleKey{}).(*sample)
	return s
}

// withSample returns a handler that adds a sample to each request while the
// target's service has an active rollout.
func (d *Daemon) withSample(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.moves.recording.Load() {
			h.ServeHTTP(w, r)
			return
		}
		s := &sample{
			route:       r.Header.Get(forwarder.RouteHeader),
			latencyGoal: time.Duration(d.moves.latencyGoal.Load()),
			record:      d.recordCall,
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), sampleKey{}, s)))
	})
}

// sampleTransport is a transport to the target that starts the sample of each
// request.
type sampleTransport struct {
	http.RoundTripper
}

// RoundTrip starts the sample and sends the request.
func (s sampleTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if sm := sampleOf(r); sm != nil {
		sm.start()
	}
	return s.RoundTripper.RoundTrip(r)
}

func (s *sample) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latencyGoal > 0 {
		s.timer = time.AfterFunc(s.latencyGoal, func() { s.end(true, s.latencyGoal) })
	}
}

// end records the result once. Later calls do nothing.
func (s *sample) end(bad bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.counted {
		return
	}
	s.counted = true
	s.record(s.route, bad, took)
}

// endSample records the result of an admitted request. The sample of a request that
// was cancelled before the latency goal had passed is discarded: it says nothing about
// the target. Without a latency goal, a cancelled request that failed is counted as bad.
func endSample(r *http.Request, o limiter.Outcome) {
	s := sampleOf(r)
	if s == nil {
		return
	}
	exceedsGoal := s.latencyGoal > 0 && o.Duration > s.latencyGoal
	if o.Aborted && !exceedsGoal && (s.latencyGoal > 0 || !o.Failed) {
		s.discard()
		return
	}
	s.end(o.Failed || exceedsGoal, o.Duration)
}

// discard ends the sample without a result.
func (s *sample) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.counted = true
}
