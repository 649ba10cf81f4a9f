package spreader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

func TestStore(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := timekeeper.NewVirtual(start)
	s := spreader.NewStore(clock)
	fact := spreader.Fact{
		Kind:    spreader.Withdrawn,
		Subject: "renewal/v2",
		At:      start,
		Until:   start.Add(time.Minute),
	}
	if !s.Add(fact) || s.Add(fact) {
		t.Error("want true from the first Add of a fact and false from the second")
	}
	later, earlier := fact, fact
	later.At = start.Add(time.Second)
	earlier.At = start.Add(-time.Second)
	if s.Add(earlier) || !s.Add(later) || s.Add(fact) {
		t.Error("an earlier fact replaced a later one, or a later fact was rejected")
	}
	if _, ok := s.Get(spreader.Withdrawn, "renewal/v2"); !ok {
		t.Error("fact not found before it expires")
	}
	clock.Advance(time.Minute)
	if _, ok := s.Get(spreader.Withdrawn, "renewal/v2"); ok || len(s.All()) != 0 {
		t.Error("fact still found after it expired")
	}
	if s.Add(later) {
		t.Error("expired fact was accepted")
	}
	forever := fact
	forever.Until = start.AddDate(10, 0, 0)
	if s.Add(forever) {
		t.Error("fact with an excessive lifetime was accepted")
	}
}

func TestClockSkew(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := timekeeper.NewVirtual(start)
	a, b := spreader.NewStore(clock), spreader.NewStore(clock)
	evacuation := func(at time.Time) spreader.Fact {
		return spreader.Fact{
			Kind:    spreader.DataCentreOut,
			Subject: "east",
			At:      at,
			Until:   start.Add(time.Hour),
		}
	}
	if a.Add(evacuation(start.Add(2 * time.Minute))) {
		t.Error("fact two minutes ahead of the clock was accepted")
	}
	ahead := evacuation(start.Add(30 * time.Second))
	if !a.Add(ahead) || a.Sum() == b.Sum() {
		t.Error("fact within the permitted clock skew was rejected or left the digest unchanged")
	}
	next := evacuation(a.NextTime(spreader.DataCentreOut, "east"))
	if !next.At.After(ahead.At) || !a.Add(next) {
		t.Error("fact with the time from NextTime did not replace the stored one")
	}
	missing := a.Select(func(key uint64) bool { return len(b.Keys()) == 0 })
	if len(missing) != 1 || !b.Add(missing[0]) || a.Sum() != b.Sum() {
		t.Errorf("stores differ after anti-entropy with %v", missing)
	}
	clock.Advance(time.Hour)
	if a.Sum() != 0 || len(a.Keys()) != 0 {
		t.Error("expired fact is still in the digest")
	}
}

func TestQueue(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	q := spreader.NewQueue[string, int]()
	takeBatch := func(n int) string { return fmt.Sprint(q.NextBatch(n, 3, now, time.Minute)) }
	q.Put("a", 1, now)
	q.Put("b", 2, now)
	q.CountTransmission("a")
	for i, want := range []string{"[2]", "[1]", "[2]", "[1 2]", "[]"} {
		n := 1 + i/3
		if got := takeBatch(n); got != want {
			t.Errorf("batch %d: %s, want %s", i, got, want)
		}
	}
	q.Put("c", 3, now.Add(-2*time.Minute))
	if got := takeBatch(1); got != "[]" || q.Len() != 0 {
		t.Errorf("expired update was returned or kept: got batch %s, want []", got)
	}
}
