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
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

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
		Clock:    timekeeper.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)),
		Log:      log.New(io.Discard),
	})
}

func TestCrashIsSeenWhileTargetExits(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	d := newTargetDaemon(ln.Addr().String())
	crash := &carrier.Attempt{
		Method: "POST",
		URI:    "/u/",
		Body:   []byte("crash"),
	}
	done, err := d.checkQuarantine(crash)
	if err != nil {
		t.Fatal(err)
	}
	done(deliverer.Result{Err: io.EOF}, true)
	_ = ln.Close()
	done, err = d.checkQuarantine(&carrier.Attempt{
		Method: "POST",
		URI:    "/u/",
		Body:   []byte("harmless"),
	})
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
		cancel()
		<-r.Context().Done()
	}))
	defer target.Close()
	d := newTargetDaemon(target.Listener.Addr().String())
	d.platform.Codec = deliverer.Codec{
		SetHeaders:    func(http.Header, *carrier.Attempt, time.Duration) {},
		CheckResponse: func(*http.Response, *carrier.Attempt) error { return nil },
	}
	d.gate.Closed = func(admitter.Target) bool { return false }
	d.gate.SetTarget(admitter.Target{
		Instance: "i-1",
		Slots:    4,
	})
	crash := &carrier.Attempt{
		Instance: "i-1",
		Deadline: d.clock.Now().Add(time.Hour),
		Method:   "GET",
		URI:      "/u/",
		Header:   http.Header{},
	}
	if _, err := d.newDeliverer().Deliver(ctx, crash); err == nil {
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
