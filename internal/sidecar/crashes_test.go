package sidecar

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
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
	done(true)
	_ = ln.Close()
	done, err = d.checkQuarantine(&carrier.Attempt{
		Method: "POST",
		URI:    "/u/",
		Body:   []byte("harmless"),
	})
	if err != nil {
		t.Fatal(err)
	}
	done(true)
	if isolated, err := d.quarantine.Admit(fingerprint(crash)); err != nil || !isolated {
		t.Errorf("request whose connection broke while the target exited: isolated %t, error %v; want isolated", isolated, err)
	}
}
