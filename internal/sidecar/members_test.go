package sidecar

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// newMemberDaemon returns a daemon with a control address that does not run.
func newMemberDaemon(name, control string) *Daemon {
	return New(Options{
		Settings: loader.Settings{
			Name: name,
			DC:   "zilina",
			Key:  "a key for tests only",
			Listen: loader.Listen{
				Control: control,
			},
			Sidecar: &loader.Sidecar{Service: "renewal"},
		},
		Clock: timekeeper.NewVirtual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)),
		Log:   log.New(io.Discard),
	})
}

// TestAddressOfLeavingDaemonIsKept guards against a restarted daemon that nobody looks for.
func TestAddressOfLeavingDaemonIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := ln.Addr().String()
	leaving := newMemberDaemon("zilina-2", address)
	leaving.members.UpdateSelf(func(m prober.Member) prober.Member { return m.WithStatus(prober.Left) })
	go func() { _ = leaving.control.Serve(ctx, ln) }()
	d := newMemberDaemon("zilina-1", "127.0.0.1:1")
	d.rememberPeers(map[string]string{"zilina-2": address})
	d.rejoinGone(ctx)
	if m, ok := d.members.Get("zilina-2"); !ok || m.Status != prober.Left {
		t.Fatalf("the leaving daemon is known as %v, %v; want left", m.Status, ok)
	}
	if got := d.goneAddresses(nil); got["zilina-2"] != address {
		t.Errorf("remembered addresses %v, want that of the leaving daemon", got)
	}
}
