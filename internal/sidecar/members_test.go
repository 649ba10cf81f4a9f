package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
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

// TestEventReachesAllOfLargeFleet guards against daemons of a large fleet that never hear
// of an event. All others are gone, so that none passes the event on.
func TestEventReachesAllOfLargeFleet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := newMemberDaemon("zilina-1", "127.0.0.1:1")
	for i := range 199 {
		d.members.Merge(prober.Member{
			ID:          fmt.Sprintf("zilina-1-%d", i),
			DC:          "zilina",
			Control:     "127.0.0.1:1",
			Incarnation: 1,
		})
	}
	last := newMemberDaemon("zilina-9", ln.Addr().String())
	d.members.Merge(last.members.Self())
	go func() { _ = last.control.Serve(t.Context(), ln) }()
	d.pushSelf(d.members.Self())
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if _, ok := last.members.Get("zilina-1"); ok {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the last of 200 daemons did not get the event")
		}
	}
}

// TestRelayedEventIsHandled sends each kind of event through another daemon.
func TestRelayedEventIsHandled(t *testing.T) {
	d := newMemberDaemon("zilina-2", "127.0.0.1:1")
	member := `{"kind":"push","from":"zilina-1","dc":"zilina","members":[{"id":"zilina-1","dc":"zilina","inc":1}]}`
	for method, params := range map[string]string{
		memberMethod:   member,
		crashMethod:    `{"service":"renewal","death":"d","fingerprints":["f"]}`,
		withdrawMethod: `{"service":"renewal","revision":7,"by":"zilina-1"}`,
	} {
		if err := d.handleEvent(method, json.RawMessage(params)); err != nil {
			t.Errorf("%s: %v", method, err)
		}
	}
	if _, ok := d.members.Get("zilina-1"); !ok {
		t.Error("the pushed member is not known")
	}
	for method, params := range map[string]string{joinMethod: member, crashMethod: "[", memberMethod: `"x"`} {
		if err := d.handleEvent(method, json.RawMessage(params)); err == nil {
			t.Errorf("no error for %s with %s", method, params)
		}
	}
}
