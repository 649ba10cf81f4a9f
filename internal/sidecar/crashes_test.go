package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

var testTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newTargetDaemon returns a daemon whose target listens at an address.
func newTargetDaemon(address string) *Daemon {
	settings := loader.Settings{
		Name: "vm-0",
		DC:   "a",
		Sidecar: &loader.Sidecar{
			Service:   "renewal",
			Target:    address,
			MemoryMiB: 256,
		},
	}
	return New(Options{
		Settings: settings,
		Clock:    timekeeper.NewVirtual(testTime),
		Log:      log.New(io.Discard),
	})
}

// newAttempt returns an attempt with a body.
func newAttempt(body string) *carrier.Attempt {
	return &carrier.Attempt{
		Instance: "i-1",
		Deadline: testTime.Add(time.Hour),
		Method:   "POST",
		URI:      "/u/",
		Header:   http.Header{},
		Body:     allocator.Body{[]byte(body)},
	}
}

// deliver forwards an attempt to the daemon's target.
func deliver(ctx context.Context, d *Daemon, a *carrier.Attempt) error {
	d.platform.Codec = deliverer.Codec{
		SetHeaders:    func(http.Header, *carrier.Attempt, time.Duration) {},
		CheckResponse: func(*http.Response, *carrier.Attempt) error { return nil },
	}
	d.gate.Closed = func(admitter.Target) bool { return false }
	d.gate.SetTarget(admitter.Target{
		Instance: "i-1",
		Slots:    4,
	})
	_, err := d.newDeliverer().Deliver(ctx, a)
	return err
}

func TestCrashIsSeenWhileTargetExits(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	d := newTargetDaemon(ln.Addr().String())
	crash := newAttempt("crash")
	connected, done, err := d.checkQuarantine(crash)
	if err != nil {
		t.Fatal(err)
	}
	connected()
	done(deliverer.Result{Err: io.EOF}, true)
	_ = ln.Close()
	_, done, err = d.checkQuarantine(newAttempt("harmless"))
	if err != nil {
		t.Fatal(err)
	}
	done(deliverer.Result{Err: io.EOF}, true)
	if isolated, err := d.quarantine.Admit(fingerprint(crash)); err != nil || !isolated {
		t.Errorf("request whose connection broke while the target exited: isolated %t, error %v; want isolated", isolated, err)
	}
}

// TestCancelledRequestIsNoSuccess cancels a request that the target has not answered.
// It must be suspect after a later crash with it in flight.
func TestCancelledRequestIsNoSuccess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer target.Close()
	d := newTargetDaemon(target.Listener.Addr().String())
	crash := newAttempt("crash")
	if err := deliver(ctx, d, crash); err == nil {
		t.Fatal("the cancelled attempt has succeeded")
	} else if ctx.Err() == nil {
		t.Fatalf("the attempt did not reach the target: %v", err)
	}
	d.quarantine.AddReport(quarantiner.Report{
		Death:        "1",
		Fingerprints: []string{fingerprint(crash)},
	})
	if isolated, err := d.quarantine.Admit(fingerprint(crash)); err != nil || !isolated {
		t.Errorf("suspect that was cancelled before: isolated %t, error %v; want isolated", isolated, err)
	}
}

func TestRefusedConnectionIsNotSuspect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	d := newTargetDaemon(ln.Addr().String())
	harmless := newAttempt("harmless")
	if err := deliver(t.Context(), d, harmless); classifier.VerdictOf(err) != classifier.NotRun {
		t.Fatalf("error %v, want verdict NotRun", err)
	}
	if isolated, err := d.quarantine.Admit(fingerprint(harmless)); err != nil || isolated {
		t.Errorf("request that did not reach the target: isolated %t, error %v; want neither", isolated, err)
	}
}
