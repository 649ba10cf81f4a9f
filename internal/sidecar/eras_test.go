package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// declareAt puts the rollout in force as it was written at a position.
func (d *rolloutDaemon) declareAt(era, revision uint64) shifter.Rollout {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	r := rollout
	r.Era, r.Revision = era, revision
	d.applyDeclaration(Declaration{
		Plan:     &matcher.Plan{Services: map[string]matcher.Service{"renewal": {}}},
		Rollouts: map[string]shifter.Rollout{"renewal": r},
	})
	return r
}

// record puts an outcome in force that was written at a position, in a store of an era.
func (d *rolloutDaemon) record(state shifter.State, era, revision, storeEra uint64) {
	item := storer.Item{
		Key:     "renewal",
		Version: revision,
		Era:     era,
	}
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.outcomes = follower.Copy{Era: storeEra}
	if era == storeEra {
		d.outcomes.Items = []storer.Item{item}
	}
	d.setOutcomes(map[string]shifter.Outcome{"renewal": {
		Service: "renewal",
		Version: rollout.Version,
		State:   state,
		Item:    item,
	}})
}

// TestEndedRolloutIsNotTriedAgain guards against a rollout that starts again because its order
// was written again after its outcome, or because the store has lost the outcome.
func TestEndedRolloutIsNotTriedAgain(t *testing.T) {
	for _, state := range []shifter.State{shifter.Completed, shifter.RolledBack} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			d := newRolloutDaemon()
			check := func(when string, write bool) {
				t.Helper()
				s := d.view.Load().services["renewal"]
				if s.completed != (state == shifter.Completed) || s.withdrawn != (state == shifter.RolledBack) {
					t.Errorf("%s: completed %v, withdrawn %v", when, s.completed, s.withdrawn)
				}
				if next, due := d.nextOutcome("renewal", s); due != write || due && next.State != state {
					t.Errorf("%s: outcome %v is to be written: %v, want %v: %v", when, next.State, due, state, write)
				}
			}
			d.declareAt(1, 50)
			d.record(state, 1, 60, 1)
			check("at first", false)
			d.record(state, 1, 60, 2)
			check("after the store has lost the outcome", true)
			d.record(state, 2, 40, 2)
			check("after the outcome is written again", false)
			d.declareAt(2, 41)
			check("after the order is written again", true)
			d.record(shifter.Running, 2, 42, 2)
			check("after a late write of an earlier state", true)
			d.record(state, 2, 43, 2)
			check("after the outcome is written once more", false)
		})
	}
}

// TestRolloutContinuesAcrossEras guards against a trial that starts again, with its counts, when
// its order is written again.
func TestRolloutContinuesAcrossEras(t *testing.T) {
	d := newRolloutDaemon()
	first := d.declareAt(1, 50)
	d.run(6 * time.Second)
	d.judge.Add(first, shifter.RequestResult{Rule: "r", Failed: true}, 0)
	elapsed := d.view.Load().services["renewal"].trial.Elapsed(d.clock.Now())
	again := d.declareAt(2, 50)
	if got := d.view.Load().services["renewal"].trial.Elapsed(d.clock.Now()); got != elapsed || elapsed == 0 {
		t.Errorf("the trial has lasted %v, want %v", got, elapsed)
	}
	if got := d.judge.Total(again).Failures; got != 1 {
		t.Errorf("%d failures counted, want 1", got)
	}
}

// TestOtherRolloutOfSameRevisionIsNew guards against counts and withdrawals of a rollout that
// count for another one, which has got its revision in a later era.
func TestOtherRolloutOfSameRevisionIsNew(t *testing.T) {
	old := rollout
	old.Era = 1
	other := rollout
	other.Era, other.Version = 2, "v3"
	target := prober.Target{
		Version:    "v3",
		Rollout:    old.Revision,
		RolloutEra: old.Era,
	}
	if countsFor(target, other) {
		t.Error("counts of the earlier rollout count for the later one")
	}
	w := withdrawal{
		Service:  other.Service,
		Revision: old.Revision,
		Era:      old.Era,
	}
	if w.withdraws(other) || other.Repeats(old) {
		t.Error("the later rollout is taken for the earlier one")
	}
}

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
	if len(d.storeRecovered) != 1 || len(d.departures.due) != 1 {
		t.Error("the daemon does not register again, or does not look at its departures")
	}
	update(4)
	if d.era() != 5 {
		t.Errorf("era %d after an update of an earlier one, want 5", d.era())
	}
}

// TestDeparturesAreReadOnceAtStart guards against a second read at the start because the first one
// has named the era.
func TestDeparturesAreReadOnceAtStart(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	reads := 0
	d.platform.Store.Get = func(_ context.Context, key string) (storer.Item, error) {
		reads++
		return storer.Item{Key: key, Era: 1}, nil
	}
	d.platform.Store.Era = func() uint64 { return uint64(min(reads, 1)) }
	syncStore(t, d, false)
	d.observeStoreEra()
	syncStore(t, d, false)
	if reads != 1 {
		t.Errorf("%d reads of the departures, want 1", reads)
	}
}

// TestOrderForCompletedVersionIsCompleted guards against a rollout to the version that gets all
// requests, which would leave the service without an old version.
func TestOrderForCompletedVersionIsCompleted(t *testing.T) {
	d := newRolloutDaemon()
	d.record(shifter.Completed, 2, 40, 2)
	d.declareAt(2, 50)
	s := d.view.Load().services["renewal"]
	if next, due := d.nextOutcome("renewal", s); !s.completed || !due || next.State != shifter.Completed {
		t.Errorf("completed %v, outcome %v is to be written: %v; want completed", s.completed, next.State, due)
	}
}

// TestDepartureIsStoredAgain guards against an acknowledged departure that only the lost part of
// the store had.
func TestDepartureIsStoredAgain(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	d.platform.Store.Era = func() uint64 { return 0 }
	d.eras.add(1, m.clock.Now())
	d.handleAnnouncement(Announcement{Instance: "i-1", Leaving: true})
	syncStore(t, d, false)
	d.observeEra(2, m.clock.Now())
	item, err := d.platform.Store.Get(t.Context(), d.departureKey())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.platform.Store.DeleteIf(t.Context(), item.Key, item.Version); err != nil {
		t.Fatal(err)
	}
	syncStore(t, d, false)
	if item, err := d.platform.Store.Get(t.Context(), d.departureKey()); err != nil || len(d.decodeDepartures(item)) != 1 {
		t.Errorf("departures %q, error %v; want that of i-1", item.Value, err)
	}
}

// TestDepartureOfGoneDaemonIsStoredAgain guards against a departure that nobody writes again
// because the target's daemon is gone.
func TestDepartureOfGoneDaemonIsStoredAgain(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	d.members.Merge(prober.Member{
		ID:          "martin-1",
		DC:          "martin",
		Incarnation: 1,
		Status:      prober.Left,
		Target: &prober.Target{
			Service:   "renewal",
			Version:   "v1",
			Draining:  true,
			Instance:  "i-2",
			StartedAt: 100,
		},
	})
	d.leaving.record(d.members.All())
	d.platform.Store.Range = func(context.Context, string) (storer.RangeResult, error) {
		return storer.RangeResult{}, nil
	}
	d.writeDeparturesOfOthers(t.Context())
	item, err := d.platform.Store.Get(t.Context(), "departures/martin-1")
	if err != nil {
		t.Fatal(err)
	}
	want := []departure{{Instance: "i-2", Start: 100}}
	if got := d.decodeDepartures(item); !slices.Equal(got, want) {
		t.Errorf("departures %v, want %v", got, want)
	}
}
