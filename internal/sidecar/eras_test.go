package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// eraStore is a store whose leases and keys are lost when its era rises.
type eraStore struct {
	mu    sync.Mutex
	era   uint64
	calls []string
}

func (s *eraStore) call(name string) (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprint(name, " ", s.era))
	return fmt.Sprint(s.era)
}

func (s *eraStore) platform() storer.Platform {
	return storer.Platform{
		Era: func() uint64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.era
		},
		Grant: func(context.Context, time.Duration) (storer.LeaseID, error) {
			return storer.LeaseID(s.call("grant")), nil
		},
		PutIf: func(context.Context, string, []byte, uint64, storer.LeaseID) (uint64, error) {
			s.call("put")
			return 1, nil
		},
		KeepAlive: func(context.Context, storer.LeaseID) error {
			s.call("renew")
			return nil
		},
		Range: func(context.Context, string) (storer.RangeResult, error) {
			return storer.RangeResult{}, nil
		},
	}
}

// TestLeaseOfEarlierEraIsReplaced guards against the renewal of a lease whose ID the restored
// store has given to another daemon, while the daemon's own key is gone.
func TestLeaseOfEarlierEraIsReplaced(t *testing.T) {
	d := newRolloutDaemon()
	s := &eraStore{era: 1}
	d.platform.Store = s.platform()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.register(ctx)
	}()
	waitForCall := func(call string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			made := slices.Contains(s.calls, call)
			s.mu.Unlock()
			if made {
				return
			}
		}
		t.Fatalf("no call %q", call)
	}
	waitForCall("put 1")
	s.mu.Lock()
	s.era = 2
	s.mu.Unlock()
	waitForCall("put 2")
	waitForCall("renew 2")
	cancel()
	<-ended
}

// TestEraOfRelayIsObserved guards against daemons that make no calls to the store and so keep
// their leases of an earlier era.
func TestEraOfRelayIsObserved(t *testing.T) {
	d, relays := newNonRelay(t)
	update := func(era uint64) {
		t.Helper()
		u := relayUpdate{
			From:           relays[0],
			StoreReachable: true,
			Era:            era,
			EraAge:         3000,
		}
		if _, err := d.handleRelayUpdate(t.Context(), u); err != nil {
			t.Fatal(err)
		}
	}
	update(4)
	if len(d.storeRecovered) != 0 {
		t.Error("the first era that the daemon sees counts as a return of the store")
	}
	update(5)
	if _, since := d.eras.current(); d.era() != 5 || d.clock.Now().Sub(since) != 3*time.Second {
		t.Errorf("era %d since %v, want 5 since 3 s ago", d.era(), since)
	}
	if len(d.storeRecovered) != 1 {
		t.Error("the daemon does not register again")
	}
	update(4)
	if d.era() != 5 {
		t.Errorf("era %d after an update of an earlier one, want 5", d.era())
	}
}
