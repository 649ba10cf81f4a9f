package server

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

// crashMethod is the control method that reports the crash of a target.
const crashMethod = "crash"

const (
	// crashTimeout limits how long a failed request's response waits for the check
	// whether the target has crashed, and then for the service's daemons to receive
	// the crash report.
	crashTimeout = 250 * time.Millisecond
	// crashCheckTimeout limits that check. A target without heartbeats is removed
	// after the same time.
	crashCheckTimeout = heartbeatTimeout
)

// fingerprintKey is the context key of a request's fingerprint.
type fingerprintKey struct{}

// withQuarantine returns a handler that refuses quarantined requests and passes
// the others to h. Suspect requests run one at a time at this target, so that a
// second crash identifies the request that causes it.
func (d *Daemon) withQuarantine(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fingerprint := r.Header.Get(forwarder.FingerprintHeader)
		key := r.Header.Get(forwarder.KeyHeader)
		authenticated := subtle.ConstantTimeCompare([]byte(key), []byte(d.settings.Key)) == 1
		if !authenticated || fingerprint == "" || len(fingerprint) > quarantiner.MaxFingerprint {
			h.ServeHTTP(w, r)
			return
		}
		isolated, err := d.admitRequest(r.Header.Get(forwarder.ServiceHeader), fingerprint)
		if err != nil {
			metrics.GetOrRegisterCounter("target.quarantined", d.metrics).Inc(1)
			d.log.Warn("quarantined request rejected", "request", requestID(r), "fingerprint", fingerprint, "err", err)
			forwarder.Refuse(w, r, err)
			return
		}
		if isolated {
			d.log.Info("suspected request runs alone", "request", requestID(r), "fingerprint", fingerprint)
			defer d.crashes.EndIsolation()
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), fingerprintKey{}, fingerprint)))
	})
}

func requestID(r *http.Request) string { return r.Header.Get(forwarder.RequestIDHeader) }

func (d *Daemon) admitRequest(service, fingerprint string) (isolated bool, err error) {
	if _, ok := d.facts.Get(spreader.Quarantined, service+"/"+fingerprint); ok {
		return false, quarantiner.ErrQuarantined
	}
	return d.crashes.Admit(fingerprint)
}

// crashTransport is a transport to the target that records which requests are
// in flight, so that a crash can be attributed to them.
type crashTransport struct {
	http.RoundTripper
	daemon *Daemon
}

func (d *Daemon) crashTransport(rt http.RoundTripper) http.RoundTripper {
	return crashTransport{
		RoundTripper: rt,
		daemon:       d,
	}
}

// RoundTrip sends one request. If the connection fails, it checks whether the
// target has crashed. It then returns only after the service's daemons have
// received the report, or after crashTimeout. The request is in flight once it has
// a connection; one whose connection is refused cannot have crashed the target.
func (t crashTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	fingerprint, ok := r.Context().Value(fingerprintKey{}).(string)
	if !ok {
		return t.RoundTripper.RoundTrip(r)
	}
	var started atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if !started.Swap(true) {
				t.daemon.crashes.RequestStarted(fingerprint)
			}
		},
	})
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(ctx))
	if err != nil {
		t.daemon.connectionBroke(r, err, func() {
			if started.Load() {
				t.daemon.crashes.RequestEnded(fingerprint, false)
			}
		})
		return nil, err
	}
	resp.Body = &watchedBody{
		ReadCloser:  resp.Body,
		daemon:      t.daemon,
		request:     r,
		fingerprint: fingerprint,
		failed:      resp.StatusCode >= http.StatusInternalServerError,
	}
	return resp, nil
}

// watchedBody is a response body that records how reading it ended.
type watchedBody struct {
	io.ReadCloser
	daemon      *Daemon
	request     *http.Request
	fingerprint string
	failed      bool
	once        sync.Once
}

// Read reads from the body. At the first error, it records that the request has
// ended.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close closes the body and records that the request has ended.
func (b *watchedBody) Close() error {
	b.end(nil)
	return b.ReadCloser.Close()
}

func (b *watchedBody) end(err error) {
	b.once.Do(func() {
		if err != nil && err != io.EOF {
			b.daemon.connectionBroke(b.request, err, func() { b.daemon.crashes.RequestEnded(b.fingerprint, false) })
			return
		}
		b.daemon.crashes.RequestEnded(b.fingerprint, err == io.EOF && !b.failed)
	})
}

// connectionBroke checks whether the target has crashed, after the connection of a
// request broke with err or was refused, and then calls end. It returns after
// crashTimeout if the check takes longer; until end is called, the request counts as
// in flight.
func (d *Daemon) connectionBroke(r *http.Request, err error, end func()) {
	logger := d.log.With("request", requestID(r), "fingerprint", r.Context().Value(fingerprintKey{}))
	l := d.local.Load()
	if r.Context().Err() != nil || l == nil {
		logger.Debug("request to the target ended", "err", err)
		end()
		return
	}
	checked, reported := make(chan struct{}), make(chan struct{})
	address := r.URL.Host
	go func() {
		defer close(reported)
		defer end()
		start := d.clock.Now()
		exited, checkErr := d.targetExited(address)
		logger.Warn("connection to the target broke", "err", err, "listening", !exited, "check", checkErr, "took", d.clock.Now().Sub(start))
		close(checked)
		if exited {
			d.reportCrash(l.Service, logger)
		}
	}()
	timer := time.NewTimer(d.crashWait)
	defer timer.Stop()
	select {
	case <-checked:
		<-reported
	case <-timer.C:
	}
}

// targetExited reports whether the target has exited. The error is set if that is
// not known after crashCheckTimeout.
func (d *Daemon) targetExited(address string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	check := forwarder.ExitCheck{
		Address: address,
		Ping:    true,
	}
	return check.Exited(ctx)
}

// reportCrash sends the fingerprints of the requests in flight at the target's crash
// to the other daemons of the service.
func (d *Daemon) reportCrash(service string, logger *log.Logger) {
	d.crashReportMu.Lock()
	defer d.crashReportMu.Unlock()
	fingerprints := d.crashes.TargetDied()
	if len(fingerprints) == 0 {
		logger.Debug("target's death not reported", "suspects", 0)
		return
	}
	report := quarantiner.Report{
		Service:      service,
		Death:        uuid.NewString(),
		Fingerprints: fingerprints,
	}
	metrics.GetOrRegisterCounter("target.deaths", d.metrics).Inc(1)
	logger.Warn("target died", "death", report.Death, "suspects", len(fingerprints))
	for _, fingerprint := range d.crashes.AddReport(report) {
		d.publishFact(spreader.Quarantined, report.Service+"/"+fingerprint, "crashed its targets", quarantiner.QuarantineTTL)
	}
	d.sendCrashReport(report)
}

// sendCrashReport sends a crash report to the other daemons of the service. It
// waits for them for at most crashTimeout.
func (d *Daemon) sendCrashReport(r quarantiner.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range d.members.ServingService(r.Service) {
		if m.ID == d.settings.Name {
			continue
		}
		calls.Go(func() {
			var done Done
			if err := d.client.Call(ctx, m.Control, crashMethod, r, &done); err != nil {
				d.log.Warn("cannot send crash report", "peer", m.ID, "death", r.Death, "err", err)
			}
		})
	}
	calls.Wait()
}

// handleCrash records the crash report of another daemon.
func (d *Daemon) handleCrash(_ context.Context, r quarantiner.Report) (Done, error) {
	if len(r.Fingerprints) > quarantiner.MaxSuspectsPerDeath || len(r.Death) > quarantiner.MaxFingerprint {
		return Done{}, Class.New("report of a death out of bounds")
	}
	quarantined := d.crashes.AddReport(r)
	d.log.Info("crash reported", "service", r.Service, "death", r.Death, "suspects", len(r.Fingerprints), "quarantined", len(quarantined))
	return Done{Done: true}, nil
}
