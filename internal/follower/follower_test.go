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

const testTimeout = 30 * time.Second

// harness runs a Follower of the prefix "op/" against a fake platform store.
type harness struct {
	t        *testing.T
	records  *emulator.Records
	follower *follower.Follower
	watching atomic.Bool
	// reverted is set if OnChange received a lower revision after a higher one.
	reverted atomic.Bool
	last     atomic.Uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t:       t,
		records: emulator.NewRecords(timekeeper.System{}),
	}
	server := httptest.NewServer(h.records.Handler("/coltsfootlane/"))
	h.watching.Store(true)
	h.follower = &follower.Follower{
		Prefix:      "op/",
		Platform:    platform.Store(server.Listener.Addr().String(), time.Second),
		ShouldWatch: h.watching.Load,
		OnChange: func(c follower.Copy) {
			if h.last.Swap(c.Revision) > c.Revision {
				h.reverted.Store(true)
			}
		},
		OnCall: func(bool, error) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		if h.reverted.Load() {
			t.Error("OnChange received an older copy after a newer one")
		}
	})
	go h.follower.Run(ctx)
	return h
}

// waitFor waits until the copy consists of exactly these "key=value" items.
func (h *harness) waitFor(want ...string) {
	h.t.Helper()
	var got []string
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, _ := h.follower.Copy()
		got = got[:0]
		for _, i := range c.Items {
			got = append(got, i.Key+"="+string(i.Value))
		}
		if slices.Equal(got, want) {
			return
		}
	}
	h.t.Fatalf("copy has items %q, want %q", got, want)
}

func TestFollow(t *testing.T) {
	h := newHarness(t)
	h.records.Put("op/a", []byte("1"))
	h.records.Put("other/a", []byte("1"))
	h.waitFor("op/a=1")
	h.records.Put("op/b", []byte("2"))
	h.records.Put("op/a", []byte("3"))
	h.waitFor("op/a=3", "op/b=2")
	h.records.Delete("op/a")
	h.waitFor("op/b=2")
}

// TestCompaction checks that the follower reads all items again after the store
// compacted the changes that its watch would need.
func TestCompaction(t *testing.T) {
	h := newHarness(t)
	h.records.Put("op/a", []byte("1"))
	h.waitFor("op/a=1")
	h.watching.Store(false)
	time.Sleep(1500 * time.Millisecond)
	h.records.Delete("op/a")
	h.records.Put("op/b", []byte("2"))
	h.records.Compact()
	h.watching.Store(true)
	h.waitFor("op/b=2")
}

func TestOutage(t *testing.T) {
	h := newHarness(t)
	h.records.Put("op/a", []byte("1"))
	h.waitFor("op/a=1")
	h.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	h.records.Put("op/a", []byte("2"))
	h.records.SetFaults(emulator.RecordFaults{})
	h.waitFor("op/a=2")
}

// TestNotWatching checks that the follower sends no watch requests while ShouldWatch
// reports false.
func TestNotWatching(t *testing.T) {
	h := newHarness(t)
	h.records.Put("op/a", []byte("1"))
	h.waitFor("op/a=1")
	h.watching.Store(false)
	h.records.Put("op/a", []byte("2"))
	time.Sleep(1500 * time.Millisecond)
	before := h.records.Calls("watch")
	for i := range 10 {
		h.records.Put("op/a", []byte{byte('a' + i)})
		time.Sleep(20 * time.Millisecond)
	}
	if after := h.records.Calls("watch"); after != before {
		t.Errorf("%d watch requests while ShouldWatch reports false, want 0", after-before)
	}
}

func TestOffer(t *testing.T) {
	f := &follower.Follower{
		Prefix:   "op/",
		OnChange: func(follower.Copy) {},
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
			t.Errorf("Offer of revision %d = %v, want the opposite", o.revision, got)
		}
	}
	if c, _ := f.Copy(); len(c.Items) != 1 {
		t.Errorf("copy has %d items, want only the one under the prefix", len(c.Items))
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
		t.Errorf("Unpack = %+v, %v; want revision 9 with item op/a", got, err)
	}
	packed.Data = packed.Data[:3]
	if _, err := packed.Unpack(); err == nil {
		t.Error("Unpack accepted truncated data")
	}
}

// TestRestartWatch checks that RestartWatch recovers from a lost watch: the store is
// reachable again but never answers the watch request that it received during the
// fault.
func TestRestartWatch(t *testing.T) {
	h := newHarness(t)
	h.records.Put("op/a", []byte("1"))
	h.waitFor("op/a=1")
	for h.records.Calls("watch") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	h.records.SetFaults(emulator.RecordFaults{Silent: true})
	before := h.records.Calls("watch")
	h.records.Put("op/a", []byte("2"))
	h.waitFor("op/a=2")
	for h.records.Calls("watch") == before {
		time.Sleep(5 * time.Millisecond)
	}
	h.records.SetFaults(emulator.RecordFaults{})
	h.records.Put("op/a", []byte("3"))
	began := time.Now()
	h.follower.RestartWatch()
	h.waitFor("op/a=3")
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the change arrived %v after RestartWatch, want at most 10s", took)
	}
}

// TestRetryDelay checks that after a failed call the follower waits for the delay
// that RetryDelay returns, once it has a copy.
func TestRetryDelay(t *testing.T) {
	records := emulator.NewRecords(timekeeper.System{})
	server := httptest.NewServer(records.Handler("/coltsfootlane/"))
	defer server.Close()
	delayed := make(chan struct{}, 8)
	f := &follower.Follower{
		Prefix:   "op/",
		Platform: platform.Store(server.Listener.Addr().String(), time.Second),
		RetryDelay: func() time.Duration {
			delayed <- struct{}{}
			return time.Hour
		},
		OnChange: func(follower.Copy) { records.SetFaults(emulator.RecordFaults{Refuse: 503}) },
		OnCall:   func(bool, error) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	select {
	case <-delayed:
	case <-time.After(testTimeout):
		t.Error("RetryDelay was not called after a failed call")
	}
	cancel()
	<-ended
	if len(delayed) > 0 {
		t.Error("the follower called the platform again during the retry delay")
	}
}
