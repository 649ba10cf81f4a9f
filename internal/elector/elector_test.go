package elector_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/elector"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const (
	lease  = 3 * time.Second
	margin = 300 * time.Millisecond
)

// errLost is the error of a call whose response is lost.
var errLost = errors.New("response lost")

// fakeStore is a store on a virtual clock.
type fakeStore struct {
	now      time.Duration
	revision uint64
	era      uint64
	items    map[string]storer.Item
	holds    map[string]storer.LeaseID
	leases   map[storer.LeaseID]time.Duration
	// down makes all calls fail without an effect.
	down bool
	// onPut is called instead of a write if it is set.
	onPut func(write func() (uint64, error)) (uint64, error)
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items:  map[string]storer.Item{},
		holds:  map[string]storer.LeaseID{},
		leases: map[storer.LeaseID]time.Duration{},
	}
}

// advance lets time pass and ends the leases that expire.
func (s *fakeStore) advance(t time.Duration) {
	s.now += t
	for id, end := range s.leases {
		if s.now > end {
			s.endLease(id)
		}
	}
}

func (s *fakeStore) endLease(id storer.LeaseID) {
	delete(s.leases, id)
	for key, holder := range s.holds {
		if holder == id {
			delete(s.holds, key)
			delete(s.items, key)
		}
	}
}

func (s *fakeStore) write(key string, value []byte, version uint64, id storer.LeaseID) (uint64, error) {
	if _, ok := s.leases[id]; id != "" && !ok {
		return 0, storer.ErrLeaseExpired
	}
	if s.items[key].Version != version {
		return 0, storer.ErrConflict
	}
	s.revision++
	s.items[key] = storer.Item{
		Key:     key,
		Value:   value,
		Version: s.revision,
	}
	if id != "" {
		s.holds[key] = id
	}
	return s.revision, nil
}

// platform returns the client of the store.
func (s *fakeStore) platform() storer.Platform {
	return storer.Platform{
		Get: func(_ context.Context, key string) (storer.Item, error) {
			if s.down {
				return storer.Item{}, errLost
			}
			return s.items[key], nil
		},
		PutIf: func(_ context.Context, key string, value []byte, version uint64, id storer.LeaseID) (uint64, error) {
			if s.down {
				return 0, errLost
			}
			write := func() (uint64, error) { return s.write(key, value, version, id) }
			if put := s.onPut; put != nil {
				return put(write)
			}
			return write()
		},
		Grant: func(_ context.Context, ttl time.Duration) (storer.LeaseID, error) {
			if s.down {
				return "", errLost
			}
			s.revision++
			id := storer.LeaseID(fmt.Sprint(s.revision))
			s.leases[id] = s.now + ttl
			return id, nil
		},
		KeepAlive: func(_ context.Context, id storer.LeaseID) error {
			if s.down {
				return errLost
			}
			if _, ok := s.leases[id]; !ok {
				return storer.ErrLeaseExpired
			}
			s.leases[id] = s.now + lease
			return nil
		},
		Revoke: func(_ context.Context, id storer.LeaseID) error {
			if s.down {
				return errLost
			}
			s.endLease(id)
			return nil
		},
		Era: func() uint64 { return s.era },
	}
}

var tokens int

// newElector returns an elector whose clocks are the store's, plus a suspension.
func newElector(s *fakeStore, name string, suspended *time.Duration) *elector.Elector {
	return &elector.Elector{
		Store:  s.platform(),
		Prefix: "duty/",
		Name:   name,
		Lease:  lease,
		Margin: margin,
		Read: func() timekeeper.Reading {
			r := timekeeper.Reading{
				Monotonic: s.now,
				Boot:      s.now,
			}
			if suspended != nil {
				r.Monotonic -= *suspended
			}
			return r
		},
		NewToken: func() string {
			tokens++
			return fmt.Sprintf("token-%d", tokens)
		},
	}
}

// take makes an elector the holder.
func take(t *testing.T, e *elector.Elector) elector.Term {
	t.Helper()
	if err := e.Campaign(t.Context()); err != nil {
		t.Fatal(err)
	}
	term, ok := e.Term()
	if !ok {
		t.Fatal("no term")
	}
	return term
}

// stay lets time pass in which the holder renews its lease.
func stay(t *testing.T, s *fakeStore, e *elector.Elector, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= lease / 4 {
		s.advance(lease / 4)
		if err := e.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestOneHolder(t *testing.T) {
	s := newFakeStore()
	a, b := newElector(s, "a", nil), newElector(s, "b", nil)
	if term := take(t, a); term.Record.Fence != 1 || a.Remaining() <= 0 {
		t.Errorf("fence %d, remaining %v of the first holder", term.Record.Fence, a.Remaining())
	}
	if err := b.Campaign(t.Context()); !errors.Is(err, elector.ErrHeld) {
		t.Errorf("error %v, want that the duty is held", err)
	}
	stay(t, s, a, time.Minute)
	if err := b.Campaign(t.Context()); !errors.Is(err, elector.ErrHeld) {
		t.Errorf("error %v after a minute, want that the duty is held", err)
	}
}

// TestHoldersNeverActTogether checks that a successor acts only after its predecessor has
// stopped, whether the lease has run out or the store has ended it early.
func TestHoldersNeverActTogether(t *testing.T) {
	for name, vacate := range map[string]func(s *fakeStore){
		"expired": func(s *fakeStore) { s.advance(lease + time.Millisecond) },
		"ended early": func(s *fakeStore) {
			for id := range s.leases {
				s.endLease(id)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			a, b := newElector(s, "a", nil), newElector(s, "b", nil)
			take(t, a)
			vacate(s)
			if term := take(t, b); term.Record.Fence != 2 {
				t.Errorf("fence %d of the successor, want 2", term.Record.Fence)
			}
			lastOfA, firstOfB := time.Duration(0), time.Duration(0)
			for range 50 {
				if a.Remaining() > 0 {
					lastOfA = s.now
				}
				if b.Remaining() > 0 && firstOfB == 0 {
					firstOfB = s.now
				}
				s.advance(100 * time.Millisecond)
				_ = b.Renew(t.Context())
			}
			if firstOfB == 0 || firstOfB <= lastOfA {
				t.Errorf("successor acts at %v, predecessor until %v", firstOfB, lastOfA)
			}
			if err := a.Renew(t.Context()); !errors.Is(err, elector.ErrLost) {
				t.Errorf("renewal of the predecessor: %v, want that the duty is lost", err)
			}
		})
	}
}

// TestHolderDoesNotReturnWithinLease checks that a holder that gets the duty back acts only
// after the time of a lease.
func TestHolderDoesNotReturnWithinLease(t *testing.T) {
	s := newFakeStore()
	a, b := newElector(s, "a", nil), newElector(s, "b", nil)
	take(t, a)
	for _, e := range []*elector.Elector{a, b, a} {
		if _, held := e.Term(); !held {
			take(t, e)
			if e.Remaining() > 0 {
				t.Error("a successor acts at once")
			}
			stay(t, s, e, lease+margin)
			if e.Remaining() <= 0 {
				t.Error("a successor never acts")
			}
		}
		if err := e.Resign(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestSuspendedHolderStops(t *testing.T) {
	s := newFakeStore()
	suspended := time.Duration(0)
	a := newElector(s, "a", &suspended)
	take(t, a)
	if a.Remaining() <= 0 {
		t.Fatal("holder does not act")
	}
	s.now += lease
	suspended = lease
	if got := a.Remaining(); got != 0 {
		t.Errorf("remaining %v after a suspension, want none", got)
	}
}

func TestStoreOutage(t *testing.T) {
	s := newFakeStore()
	a, b := newElector(s, "a", nil), newElector(s, "b", nil)
	take(t, a)
	s.down = true
	s.now += 2 * lease // the store pauses its leases
	if err := a.Renew(t.Context()); err == nil || a.Remaining() != 0 {
		t.Errorf("renewal %v, remaining %v while the store is down", err, a.Remaining())
	}
	s.down = false
	if err := b.Campaign(t.Context()); !errors.Is(err, elector.ErrHeld) {
		t.Errorf("error %v, want that the duty is held", err)
	}
	if err := a.Renew(t.Context()); err != nil || a.Remaining() <= 0 {
		t.Errorf("renewal %v, remaining %v when the store is back", err, a.Remaining())
	}
}

func TestSuccessorKnowsFixedReport(t *testing.T) {
	s := newFakeStore()
	a, b := newElector(s, "a", nil), newElector(s, "b", nil)
	take(t, a)
	want := map[string]int{"huka": 3}
	if err := a.Fix(t.Context(), 7, want); err != nil {
		t.Fatal(err)
	}
	s.advance(lease + time.Millisecond) // a dies before it sends
	if r := take(t, b).Record; r.Window != 7 || !maps.Equal(r.Report, want) || r.Holder != "b" {
		t.Errorf("record %+v, want window 7 with %v", r, want)
	}
	if err := a.Fix(t.Context(), 8, map[string]int{"huka": 9}); !errors.Is(err, elector.ErrLost) {
		t.Errorf("error %v of a report of the predecessor, want that the duty is lost", err)
	}
	if term, _ := b.Term(); term.Record.Window != 7 {
		t.Errorf("window %d after that, want 7", term.Record.Window)
	}
}

// TestLateWrite checks that the counts of a write that is applied late are those that are sent.
func TestLateWrite(t *testing.T) {
	s := newFakeStore()
	a := newElector(s, "a", nil)
	take(t, a)
	var late func() (uint64, error)
	s.onPut = func(write func() (uint64, error)) (uint64, error) {
		late = write
		return 0, errLost
	}
	if err := a.Fix(t.Context(), 7, map[string]int{"huka": 3}); !errors.Is(err, elector.ErrChanged) {
		t.Fatalf("error %v, want that the record is another one", err)
	}
	if term, _ := a.Term(); term.Record.Window != 0 {
		t.Errorf("window %d, want none", term.Record.Window)
	}
	s.onPut = func(write func() (uint64, error)) (uint64, error) {
		if _, err := late(); err != nil {
			t.Fatal(err)
		}
		return write()
	}
	if err := a.Fix(t.Context(), 7, map[string]int{"huka": 4}); err != nil {
		t.Fatal(err)
	}
	if term, _ := a.Term(); term.Record.Window != 7 || term.Record.Report["huka"] != 3 {
		t.Errorf("record %+v, want the counts of the write that was applied", term.Record)
	}
}

func TestLostResponses(t *testing.T) {
	s := newFakeStore()
	a := newElector(s, "a", nil)
	s.onPut = func(write func() (uint64, error)) (uint64, error) {
		if _, err := write(); err != nil {
			return 0, err
		}
		return 0, errLost
	}
	if term := take(t, a); term.Record.Fence != 1 {
		t.Errorf("fence %d, want 1", term.Record.Fence)
	}
	if err := a.Fix(t.Context(), 7, map[string]int{"huka": 3}); err != nil {
		t.Fatal(err)
	}
	s.onPut = nil
	if err := a.Fix(t.Context(), 8, nil); err != nil {
		t.Fatal(err)
	}
	if term, _ := a.Term(); term.Record.Window != 8 {
		t.Errorf("window %d, want 8", term.Record.Window)
	}
}

// TestFixAfterOutage checks that a report is fixed at once when the store is back.
func TestFixAfterOutage(t *testing.T) {
	s := newFakeStore()
	a := newElector(s, "a", nil)
	take(t, a)
	s.down = true
	for range 3 {
		if err := a.Fix(t.Context(), 7, map[string]int{"huka": 3}); !errors.Is(err, errLost) {
			t.Fatalf("error %v, want that the store is down", err)
		}
	}
	s.down = false
	if err := a.Fix(t.Context(), 7, map[string]int{"huka": 4}); err != nil {
		t.Fatal(err)
	}
	if term, _ := a.Term(); term.Record.Window != 7 || term.Record.Report["huka"] != 4 {
		t.Errorf("record %+v, want the last counts of window 7", term.Record)
	}
}

// TestFenceOutlivesRestore checks that a fence is never used twice although the store has come
// back from an older copy.
func TestFenceOutlivesRestore(t *testing.T) {
	s := newFakeStore()
	a, b := newElector(s, "a", nil), newElector(s, "b", nil)
	take(t, a)
	old, err := json.Marshal(elector.Record{Fence: 1})
	if err != nil {
		t.Fatal(err)
	}
	b.RaiseFloor(5)
	s.era++
	s.items = map[string]storer.Item{"duty/record": {Key: "duty/record", Value: old, Version: 1}}
	if a.Remaining() != 0 {
		t.Error("holder of an earlier era acts")
	}
	if term := take(t, b); term.Record.Fence != 6 || b.Remaining() != 0 {
		t.Errorf("fence %d, remaining %v, want fence 6 after a pause", term.Record.Fence, b.Remaining())
	}
	b.RaiseFloor(7)
	if _, held := b.Term(); held {
		t.Error("term goes on with a fence that is lower than one in use")
	}
}

// TestAwaitVacancy checks that a candidate reads the holder's key once, and then only watches it.
func TestAwaitVacancy(t *testing.T) {
	s := newFakeStore()
	a, b := newElector(s, "a", nil), newElector(s, "b", nil)
	take(t, a)
	ranges, watches := 0, 0
	b.Store.Range = func(_ context.Context, prefix string) (storer.RangeResult, error) {
		ranges++
		return storer.RangeResult{
			Changes:  []storer.Change{{Item: s.items[prefix]}},
			Revision: s.revision,
		}, nil
	}
	b.Store.WatchPrefix = func(_ context.Context, prefix string, after uint64, wait time.Duration) (storer.RangeResult, error) {
		watches++
		s.advance(wait)
		result := storer.RangeResult{Revision: after}
		if _, held := s.items[prefix]; !held {
			result.Changes = []storer.Change{{Deleted: true}}
		} else if watches < 3 {
			return result, a.Renew(t.Context())
		}
		return result, nil
	}
	always := func() bool { return true }
	if err := b.AwaitVacancy(t.Context(), 2*time.Second, always); err != nil || ranges != 1 || watches != 4 {
		t.Errorf("error %v, %d reads and %d watches, want 1 and 4", err, ranges, watches)
	}
	if err := b.Campaign(t.Context()); err != nil {
		t.Errorf("the duty is not vacant: %v", err)
	}
	watches = 0
	if err := b.AwaitVacancy(t.Context(), time.Second, func() bool { return false }); err != nil || watches != 0 {
		t.Errorf("error %v, %d watches of a daemon that is no candidate", err, watches)
	}
}
