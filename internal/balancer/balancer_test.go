package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// fixture is a balancer on a virtual clock with a fixed random seed and one
// pool.
type fixture struct {
	*balancer.Balancer
	clock  *timekeeper.Virtual
	source balancer.Source
}

func newFixture(candidates ...balancer.Candidate) *fixture {
	clock := timekeeper.NewVirtual(start)
	f := &fixture{
		Balancer: balancer.New(clock),
		clock:    clock,
	}
	f.Random = rand.New(rand.NewPCG(1, 2)).Float64
	f.setTargets(candidates...)
	return f
}

func (f *fixture) setTargets(candidates ...balancer.Candidate) {
	f.source = balancer.Source{
		ListID:    &candidates,
		Count:     len(candidates),
		Candidate: func(i int) balancer.Candidate { return candidates[i] },
	}
}

// targets returns n candidates with ten slots each in a data centre.
func targets(dc string, sameDC bool, n int) []balancer.Candidate {
	cs := make([]balancer.Candidate, n)
	for i := range cs {
		cs[i] = balancer.Candidate{
			ID:     fmt.Sprintf("%s-%d", dc, i),
			DC:     dc,
			SameDC: sameDC,
			Slots:  10,
		}
	}
	return cs
}

// count makes n picks, ends each with end, and returns the number of picks by
// name.
func (f *fixture) count(n int, name func(balancer.Choice) string, end func(balancer.Choice)) map[string]int {
	counts := map[string]int{}
	for range n {
		c, ok := f.Pick(f.source)
		if !ok {
			counts["none"]++
			continue
		}
		counts[name(c)]++
		end(c)
	}
	return counts
}

func byID(c balancer.Choice) string { return c.ID }
func byDC(c balancer.Choice) string { return c.DC }

// succeedWith returns a function that ends a request successfully and reports
// the given number of free slots.
func (f *fixture) succeedWith(free func(c balancer.Choice) int) func(balancer.Choice) {
	return func(c balancer.Choice) {
		f.RecordHeadroom(c, balancer.Headroom{
			Free:      free(c),
			Allowance: 10,
		})
		f.RecordResult(c, balancer.Succeeded)
	}
}

func TestPrefersMoreFreeSlots(t *testing.T) {
	f := newFixture(targets("a", true, 2)...)
	free := map[string]int{"a-0": 8, "a-1": 2}
	counts := f.count(1000, byID, f.succeedWith(func(c balancer.Choice) int { return free[c.ID] }))
	if counts["a-0"] < 2*counts["a-1"] || counts["a-1"] == 0 {
		t.Errorf("picks with 8 free slots at a-0 and 2 at a-1: %v, want some of a-1 and at least twice as many of a-0", counts)
	}
}

func TestSpillsBeforeSameDCIsFull(t *testing.T) {
	tests := []struct {
		free    int
		lowest  int
		highest int
	}{
		{free: 8, lowest: 0, highest: 0},
		{free: 3, lowest: 0, highest: 0},
		{free: 1, lowest: 200, highest: 900},
		{free: 0, lowest: 900, highest: 1000},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.free), func(t *testing.T) {
			f := newFixture(append(targets("a", true, 3), targets("b", false, 3)...)...)
			end := f.succeedWith(func(c balancer.Choice) int {
				if c.SameDC {
					return tt.free
				}
				return 9
			})
			f.count(200, byDC, end)
			counts := f.count(1000, byDC, end)
			if counts["b"] < tt.lowest || counts["b"] > tt.highest {
				t.Errorf("picks in the remote data centre with %d of 10 slots free in the local one: %d, want %d to %d", tt.free, counts["b"], tt.lowest, tt.highest)
			}
		})
	}
}

func TestHeadroomExpires(t *testing.T) {
	f := newFixture(targets("a", true, 2)...)
	for range 50 {
		c, _ := f.Pick(f.source)
		f.succeedWith(func(c balancer.Choice) int { return 9 * (1 - c.Index) })(c)
	}
	f.clock.Advance(2 * time.Second)
	counts := f.count(1000, byID, func(c balancer.Choice) { f.RecordResult(c, balancer.Succeeded) })
	if counts["a-1"] < 400 || counts["a-1"] > 600 {
		t.Errorf("picks after the reported headroom has expired: %v, want 400 to 600 of a-1", counts)
	}
}

func TestOutlierIsEjectedAndProbed(t *testing.T) {
	f := newFixture(targets("a", true, 4)...)
	bad := true
	end := func(c balancer.Choice) {
		if bad && c.ID == "a-0" {
			f.RecordResult(c, balancer.Failed)
			return
		}
		f.RecordResult(c, balancer.Succeeded)
	}
	f.count(200, byID, end)
	if counts := f.count(400, byID, end); counts["a-0"] != 0 {
		t.Errorf("picks of an ejected target: %d, want 0", counts["a-0"])
	}
	f.clock.Advance(2 * time.Second)
	f.source.NonIdempotent = true
	if counts := f.count(400, byID, end); counts["a-0"] != 0 {
		t.Errorf("%d non-idempotent requests probed an ejected target, want 0", counts["a-0"])
	}
	f.source.NonIdempotent = false
	if counts := f.count(400, byID, end); counts["a-0"] != 1 {
		t.Errorf("probes of an ejected target that still fails: %d, want 1", counts["a-0"])
	}
	bad = false
	f.clock.Advance(10 * time.Second)
	if counts := f.count(400, byID, end); counts["a-0"] < 50 {
		t.Errorf("picks of a target that has recovered: %d of 400, want at least 50", counts["a-0"])
	}
}

func TestEjectedTargetIsLastResort(t *testing.T) {
	f := newFixture(targets("a", true, 2)...)
	f.count(20, byID, func(c balancer.Choice) {
		if c.ID == "a-0" {
			f.RecordResult(c, balancer.Failed)
			return
		}
		f.RecordResult(c, balancer.Succeeded)
	})
	f.source.NonIdempotent = true
	f.source.Avoid = func(id string) bool { return id == "a-1" }
	if c, ok := f.Pick(f.source); !ok || c.ID != "a-0" {
		t.Errorf("picked %q, want the ejected target a-0, the only one left", c.ID)
	}
}

func TestTargetWithoutAllowanceIsAvoided(t *testing.T) {
	f := newFixture(targets("a", true, 2)...)
	end := func(c balancer.Choice) {
		if c.ID == "a-0" {
			f.RecordHeadroom(c, balancer.Headroom{})
			f.RecordResult(c, balancer.Refused)
			return
		}
		f.RecordResult(c, balancer.Succeeded)
	}
	if counts := f.count(200, byID, end); counts["a-0"] > 1 {
		t.Errorf("picks of a target with allowance 0: %d, want at most 1", counts["a-0"])
	}
	f.clock.Advance(2 * time.Second)
	if counts := f.count(200, byID, end); counts["a-0"] != 1 {
		t.Errorf("picks of a target two seconds after it reported allowance 0: %d, want 1", counts["a-0"])
	}
}

func TestRefusalsDoNotEject(t *testing.T) {
	f := newFixture(targets("a", true, 4)...)
	f.count(400, byID, func(c balancer.Choice) { f.RecordResult(c, balancer.Refused) })
	if counts := f.count(400, byID, func(c balancer.Choice) { f.RecordResult(c, balancer.Succeeded) }); len(counts) != 4 {
		t.Errorf("picks after refusals: %v, want all four targets", counts)
	}
}

// TestHalfOfPoolStaysInUse fails an arbitrary subset of the targets and checks
// that at least half of the pool stays in use.
func TestHalfOfPoolStaysInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		failing := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "failing")
		f := newFixture(targets("a", true, n)...)
		end := func(c balancer.Choice) {
			if failing[c.Index] {
				f.RecordResult(c, balancer.Failed)
				return
			}
			f.RecordResult(c, balancer.Succeeded)
		}
		f.count(300, byID, end)
		counts := f.count(300, byID, end)
		if counts["none"] > 0 || 2*len(counts) < n {
			t.Fatalf("%d targets, failing %v: picks %v, want at least half of the targets and no failed pick", n, failing, counts)
		}
	})
}

func TestEqualFailureRatesDoNotEject(t *testing.T) {
	f := newFixture(targets("a", true, 8)...)
	rng := rand.New(rand.NewPCG(3, 4))
	counts := f.count(4000, byID, func(c balancer.Choice) {
		f.clock.Advance(5 * time.Millisecond)
		if rng.Float64() < 0.4 {
			f.RecordResult(c, balancer.Failed)
			return
		}
		f.RecordResult(c, balancer.Succeeded)
	})
	for id, n := range counts {
		if n < 4000/8/2 {
			t.Errorf("picks of %s with a failure rate of 40%% at all targets: %d of 4000, want at least 250", id, n)
		}
	}
}

func TestDataCentreWeight(t *testing.T) {
	for _, weight := range []float64{0, 0.1, 0.5, 1} {
		f := newFixture(append(targets("a", true, 3), targets("b", false, 3)...)...)
		f.Weight = func(dc string) float64 {
			if dc == "a" {
				return weight
			}
			return 1
		}
		counts := f.count(2000, byDC, f.succeedWith(func(balancer.Choice) int { return 9 }))
		got := float64(counts["a"]) / 2000
		if got < weight-0.05 || got > weight+0.05 {
			t.Errorf("share of picks in a data centre with weight %v: %v, want the weight within 0.05", weight, got)
		}
	}
}

func TestZeroWeightAndAvoidedAreNotPicked(t *testing.T) {
	f := newFixture(targets("a", true, 3)...)
	f.Weight = func(string) float64 { return 0 }
	if c, ok := f.Pick(f.source); ok {
		t.Errorf("picked %s in a data centre with weight 0, want no pick", c.ID)
	}
	f.Weight = nil
	f.source.Avoid = func(id string) bool { return id != "a-2" }
	for range 50 {
		if c, ok := f.Pick(f.source); !ok || c.ID != "a-2" {
			t.Fatalf("picked %q, want a-2, the only target that is not avoided", c.ID)
		}
	}
	f.source.Avoid = func(string) bool { return true }
	if c, ok := f.Pick(f.source); ok {
		t.Errorf("picked %s, which is avoided, want no pick", c.ID)
	}
}

// TestRemovedTargetsAreFreed replaces 19,000 targets several times and checks
// that the memory for removed targets is freed.
func TestRemovedTargetsAreFreed(t *testing.T) {
	const fleet, perService, rounds = 19_000, 10, 4
	f := newFixture()
	replace := func(round int) uint64 {
		for service := range fleet / perService {
			f.setTargets(targets(fmt.Sprintf("s%d-r%d", service, round), true, perService)...)
			f.source.Key.Service = fmt.Sprint(service)
			f.count(perService, byID, func(c balancer.Choice) { f.RecordResult(c, balancer.Succeeded) })
		}
		return heap()
	}
	empty := heap()
	first := replace(0) - empty
	last := first
	for round := range rounds {
		last = replace(round+1) - empty
	}
	if last > 2*first {
		t.Errorf("heap for %d targets: %d bytes; after %d replacements: %d bytes, want at most twice as many", fleet, first, rounds, last)
	}
	f.clock.Advance(time.Hour)
	f.source.Key.Service = "another"
	f.Pick(f.source)
	if left := heap() - empty; left > first/2 {
		t.Errorf("heap after an hour without use: %d bytes of %d, want at most half", left, first)
	}
	runtime.KeepAlive(f)
}

// heap returns the size of the live heap in bytes after a garbage collection.
func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fixture := newFixture(append(targets("a", true, n/3), targets("b", false, n-n/3)...)...)
			b.ReportAllocs()
			for b.Loop() {
				c, _ := fixture.Pick(fixture.source)
				fixture.RecordResult(c, balancer.Succeeded)
			}
		})
	}
}
