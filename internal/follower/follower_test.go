package follower_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

const patience = 30 * time.Second

// rig follows "op/" in a stand-in of the store.
type rig struct {
	t        *testing.T
	records  *emulator.Records
	follower *follower.Follower
	watching atomic.Bool
	// back is set if a copy came after one with a higher revision.
	back atomic.Bool
	last atomic.Uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t:       t,
		records: emulator.NewRecords(timekeeper.System{}),
	}
	server := httptest.NewServer(r.records.Handler("/coltsfootlane/"))
	r.watching.Store(true)
	r.follower = &follower.Follower{
		Prefix:   "op/",
		Platform: platform.Store(server.Listener.Addr().String(), time.Second),
		Watching: r.watching.Load,
		Changed: func(c follower.Copy) {
			if r.last.Swap(c.Revision) > c.Revision {
				r.back.Store(true)
			}
		},
		Reached: func(bool, error) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		if r.back.Load() {
			t.Error("an older copy came after a newer one")
		}
	})
	go r.follower.Run(ctx)
	return r
}

// await waits until the copy holds just these keys with their values.
func (r *rig) await(want ...string) {
	r.t.Helper()
	var got []string
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, _ := r.follower.Copy()
		got = got[:0]
		for _, i := range c.Items {
			got = append(got, i.Key+"="+string(i.Value))
		}
		if slices.Equal(got, want) {
			return
		}
	}
	r.t.Fatalf("%q, want %q", got, want)
}

func TestFollow(t *testing.T) {
	r := newRig(t)
	r.records.Put("op/a", []byte("1"))
	r.records.Put("other/a", []byte("1"))
	r.await("op/a=1")
	r.records.Put("op/b", []byte("2"))
	r.records.Put("op/a", []byte("3"))
	r.await("op/a=3", "op/b=2")
	r.records.Delete("op/a")
	r.await("op/b=2")
}

// TestCompaction reads anew what a watch can no longer tell.
func TestCompaction(t *testing.T) {
	r := newRig(t)
	r.records.Put("op/a", []byte("1"))
	r.await("op/a=1")
	r.watching.Store(false)
	time.Sleep(1500 * time.Millisecond)
	r.records.Delete("op/a")
	r.records.Put("op/b", []byte("2"))
	r.records.Compact()
	r.watching.Store(true)
	r.await("op/b=2")
}

func TestOutage(t *testing.T) {
	r := newRig(t)
	r.records.Put("op/a", []byte("1"))
	r.await("op/a=1")
	r.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	r.records.Put("op/a", []byte("2"))
	r.records.SetFaults(emulator.RecordFaults{})
	r.await("op/a=2")
}

// TestNotWatching makes no calls while another daemon watches.
func TestNotWatching(t *testing.T) {
	r := newRig(t)
	r.records.Put("op/a", []byte("1"))
	r.await("op/a=1")
	r.watching.Store(false)
	r.records.Put("op/a", []byte("2"))
	time.Sleep(1500 * time.Millisecond)
	before := r.records.Calls("watch")
	for i := range 10 {
		r.records.Put("op/a", []byte{byte('a' + i)})
		time.Sleep(20 * time.Millisecond)
	}
	if after := r.records.Calls("watch"); after != before {
		t.Errorf("%d watches", after-before)
	}
}

func TestOffer(t *testing.T) {
	f := &follower.Follower{
		Prefix:  "op/",
		Changed: func(follower.Copy) {},
	}
	item := func(key string, version uint64) storer.Item { return storer.Item{Key: key, Version: version} }
	offers := []struct {
		revision uint64
		newer    bool
	}{{5, true}, {5, false}, {4, false}, {6, true}}
	for _, o := range offers {
		c := follower.Copy{
			Revision: o.revision,
			Items:    []storer.Item{item("op/a", 3), item("secret/a", 3)},
		}
		if got := f.Offer(c); got != o.newer {
			t.Errorf("revision %d newer: %v", o.revision, got)
		}
	}
	if c, _ := f.Copy(); len(c.Items) != 1 {
		t.Errorf("%d items, want none of other prefixes", len(c.Items))
	}
}

func TestPack(t *testing.T) {
	c := follower.Copy{
		Revision: 9,
		Items:    []storer.Item{{Key: "op/a", Value: []byte("x"), Version: 8}},
	}
	packed, err := c.Pack()
	if err != nil {
		t.Fatal(err)
	}
	got, err := packed.Unpack()
	if err != nil || got.Revision != 9 || len(got.Items) != 1 || string(got.Items[0].Value) != "x" {
		t.Errorf("%+v %v", got, err)
	}
	packed.Data = packed.Data[:3]
	if _, err := packed.Unpack(); err == nil {
		t.Error("a broken copy was read")
	}
}

// TestRenew loses a watch without a sign: the store answers again, and not to
// the call that it held.
func TestRenew(t *testing.T) {
	r := newRig(t)
	r.records.Put("op/a", []byte("1"))
	r.await("op/a=1")
	for r.records.Calls("watch") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	r.records.SetFaults(emulator.RecordFaults{Silent: true})
	before := r.records.Calls("watch")
	r.records.Put("op/a", []byte("2"))
	r.await("op/a=2")
	for r.records.Calls("watch") == before {
		time.Sleep(5 * time.Millisecond)
	}
	r.records.SetFaults(emulator.RecordFaults{})
	r.records.Put("op/a", []byte("3"))
	began := time.Now()
	r.follower.Renew()
	r.await("op/a=3")
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the change was seen after %v", took)
	}
}

// TestPauseAfterFailure leaves the platform alone for as long as Pause says once
// a copy is known.
func TestPauseAfterFailure(t *testing.T) {
	records := emulator.NewRecords(timekeeper.System{})
	server := httptest.NewServer(records.Handler("/coltsfootlane/"))
	defer server.Close()
	paused := make(chan struct{}, 8)
	f := &follower.Follower{
		Prefix:   "op/",
		Platform: platform.Store(server.Listener.Addr().String(), time.Second),
		Pause: func() time.Duration {
			paused <- struct{}{}
			return time.Hour
		},
		Changed: func(follower.Copy) { records.SetFaults(emulator.RecordFaults{Refuse: 503}) },
		Reached: func(bool, error) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	select {
	case <-paused:
	case <-time.After(patience):
		t.Error("no pause after a failure")
	}
	cancel()
	<-ended
	if len(paused) > 0 {
		t.Error("called again during the pause")
	}
}
