package sidecar

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// newNonRelay returns a daemon that is no relay of its data centre, and the names of the
// relays.
func newNonRelay(t *testing.T) (*rolloutDaemon, []string) {
	t.Helper()
	d := newRolloutDaemon()
	for i := range 20 {
		d.members.Merge(prober.Member{
			ID:          fmt.Sprintf("zilina-%d", i+10),
			DC:          "zilina",
			Incarnation: 1,
		})
	}
	relays := d.relaysOf("zilina")
	if len(relays) != relaysPerDC || slices.Contains(relays, d.settings.Name) {
		t.Fatalf("relays = %v, want %d others", relays, relaysPerDC)
	}
	return d, relays
}

// TestRelayThatLosesStoreIsReplacedAtOnce guards against daemons that rely on a relay
// whose last update reports that it does not reach the store.
func TestRelayThatLosesStoreIsReplacedAtOnce(t *testing.T) {
	d, relays := newNonRelay(t)
	update := func(relay string, reachable bool) {
		t.Helper()
		if _, err := d.handleRelayUpdate(t.Context(), relayUpdate{From: relay, StoreReachable: reachable}); err != nil {
			t.Fatal(err)
		}
	}
	if !d.watching() {
		t.Error("does not watch the store before the first update of a relay")
	}
	update(relays[0], true)
	update(relays[1], true)
	update(relays[0], false)
	if d.watching() {
		t.Error("watches the store while one of two relays reaches it")
	}
	update(relays[1], false)
	if !d.watching() {
		t.Error("does not watch the store although both relays have lost it")
	}
	update(relays[1], true)
	d.clock.Advance(relayUpdateTTL + time.Millisecond)
	if !d.watching() {
		t.Errorf("does not watch the store %v after the last update", relayUpdateTTL)
	}
}

// TestRelaysAreInformedWhileTheyDoNotReachStore guards against a change that the others get only when they happen to ask
// the one daemon that reaches the store.
func TestRelaysAreInformedWhileTheyDoNotReachStore(t *testing.T) {
	d, relays := newNonRelay(t)
	d.members.Merge(prober.Member{
		ID:          "martin-10",
		DC:          "martin",
		Incarnation: 1,
	})
	receivers := func(changed bool) []string {
		var ids []string
		for _, m := range d.updateReceivers(changed) {
			ids = append(ids, m.ID)
		}
		slices.Sort(ids)
		return ids
	}
	slices.Sort(relays)
	if got := receivers(true); !slices.Equal(got, relays) {
		t.Errorf("a change is sent to %v, want the relays %v", got, relays)
	}
	if got := receivers(false); got != nil {
		t.Errorf("an update without a change is sent to %v, want none", got)
	}
	d.recordRelayUpdate(relays[0], true)
	if got := receivers(true); got != nil {
		t.Errorf("a change is sent to %v while a relay reaches the store, want none", got)
	}
}

// TestSilentPeerDoesNotDelayUpdate guards against an announced change that is fetched only once a poll of a
// silent peer has timed out.
func TestSilentPeerDoesNotDelayUpdate(t *testing.T) {
	listen := func() (address string, accepted chan struct{}) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		accepted = make(chan struct{}, 1)
		go func() {
			if conn, err := ln.Accept(); err == nil {
				t.Cleanup(func() { _ = conn.Close() })
				accepted <- struct{}{}
			}
		}()
		return ln.Addr().String(), accepted
	}
	d := newRolloutDaemon()
	silent, polled := listen()
	relay, fetched := listen()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.fetchCopy(t.Context(), d.operatorFollower, silent)
	}()
	<-polled
	u := relayUpdate{
		From:      "zilina-2",
		Control:   relay,
		Revisions: map[string]uint64{d.operatorFollower.Prefix: 7},
	}
	if _, err := d.handleRelayUpdate(t.Context(), u); err != nil {
		t.Fatal(err)
	}
	select {
	case <-fetched:
	case <-done:
		t.Error("the announced change was not fetched during the poll")
	}
}

// TestExpiredLeaseIsAnnounced guards against daemons that stay unregistered for a whole
// renewal period after the store has revoked leases without an outage.
func TestExpiredLeaseIsAnnounced(t *testing.T) {
	relay := newRolloutDaemon()
	other, _ := newNonRelay(t)
	update := func() {
		t.Helper()
		u := relayUpdate{From: "zilina-10", StoreReachable: true, Recoveries: relay.storeRecoveries.Load()}
		if _, err := other.handleRelayUpdate(t.Context(), u); err != nil {
			t.Fatal(err)
		}
	}
	update()
	if len(other.storeRecovered) != 0 {
		t.Fatal("registers again without a reason")
	}
	relay.announceExpiredLease()
	if len(relay.relayUpdateDue) != 1 {
		t.Error("the relay sends no update")
	}
	update()
	if len(other.storeRecovered) != 1 {
		t.Error("the other daemon does not register again at once")
	}
}
