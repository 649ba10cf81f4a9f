package spiller_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/spiller"
)

var demand = spiller.Demand{
	Objective:   500 * time.Millisecond,
	ServiceTime: 200 * time.Millisecond,
}

func zone(expected time.Duration) spiller.Zone {
	return spiller.Zone{
		Usable:   true,
		Expected: expected,
	}
}

// play makes a choice every 50 ms for a time and returns the last share.
func play(s spiller.Spill, start time.Time, d spiller.Demand, length time.Duration, own, other spiller.Zone) (spiller.Spill, time.Time) {
	end := start.Add(length)
	for ; start.Before(end); start = start.Add(50 * time.Millisecond) {
		s = s.With(start, d, own, other)
	}
	return s, end
}

func ExampleSpill_With() {
	now := time.Unix(1000, 0)
	own := spiller.Zone{Usable: true, Expected: 450 * time.Millisecond}
	other := spiller.Zone{Usable: true, Expected: 210 * time.Millisecond}
	var s spiller.Spill
	for range 3 {
		s = s.With(now, spiller.Demand{Objective: 500 * time.Millisecond, ServiceTime: 200 * time.Millisecond}, own, other)
		fmt.Printf("%.2f\n", s.Share)
		now = now.Add(100 * time.Millisecond)
	}
	// Output:
	// 0.00
	// 0.03
	// 0.07
}

// TestShareAfterTwoSeconds shows the share by the response times in both zones, for small
// and large bodies.
func TestShareAfterTwoSeconds(t *testing.T) {
	var out bytes.Buffer
	for _, size := range []int{0, 5 << 10, 60 << 10} {
		for _, own := range []time.Duration{200, 240, 300, 450, 900} {
			for _, other := range []time.Duration{200, 300, 450, 900} {
				d := demand
				d.Bytes = size
				s, _ := play(spiller.Spill{}, time.Unix(1000, 0), d, 2*time.Second, zone(own*time.Millisecond), zone(other*time.Millisecond))
				fmt.Fprintf(&out, "%2d kB, own %3d ms, other %3d ms: %.2f\n", size>>10, own, other, s.Share)
			}
		}
	}
	goldie.New(t).Assert(t, "share", out.Bytes())
}

// TestShareIsHeld checks that a share neither rises nor falls between the two bounds.
func TestShareIsHeld(t *testing.T) {
	s, now := play(spiller.Spill{}, time.Unix(1000, 0), demand, 400*time.Millisecond, zone(450*time.Millisecond), zone(200*time.Millisecond))
	// The averages come close to the new response times first.
	s, now = play(s, now, demand, time.Second, zone(230*time.Millisecond), zone(200*time.Millisecond))
	before := s.Share
	if before <= 0 {
		t.Fatal("no request leaves a zone that is short")
	}
	if s, _ = play(s, now, demand, time.Second, zone(230*time.Millisecond), zone(200*time.Millisecond)); s.Share != before {
		t.Errorf("share %.2f became %.2f between the bounds, want no change", before, s.Share)
	}
}

// TestUnknownZoneGetsProbes checks that a zone without recent reports gets a few requests
// only.
func TestUnknownZoneGetsProbes(t *testing.T) {
	unknown := zone(200 * time.Millisecond)
	unknown.ReportAge = 3 * time.Second
	s, now := play(spiller.Spill{}, time.Unix(1000, 0), demand, 2*time.Second, zone(900*time.Millisecond), unknown)
	if s.Share <= 0 || s.Share > 0.05 {
		t.Errorf("share %.2f for a zone without reports, want up to 0.05", s.Share)
	}
	if s, _ = play(s, now, demand, 2*time.Second, zone(900*time.Millisecond), zone(200*time.Millisecond)); s.Share < 0.9 {
		t.Errorf("share %.2f for a zone that is known to be free, want more than 0.9", s.Share)
	}
}

// TestNoTargetElsewhere checks that a zone that can't be used changes nothing.
func TestNoTargetElsewhere(t *testing.T) {
	s, _ := play(spiller.Spill{}, time.Unix(1000, 0), demand, 2*time.Second, zone(900*time.Millisecond), spiller.Zone{})
	if s.Share != 0 {
		t.Errorf("share %.2f without a target elsewhere, want 0", s.Share)
	}
}

// TestShareSettles plays two zones whose response times follow their load one second late.
// One has half of its capacity for eight seconds. The share must settle then, and return to
// 0 afterwards.
func TestShareSettles(t *testing.T) {
	const (
		step  = 50 * time.Millisecond
		delay = int(time.Second / step)
	)
	expected := func(load, capacity float64) time.Duration {
		return time.Duration(float64(200*time.Millisecond) * max(1, 1+3*(load/capacity-0.8)))
	}
	var s spiller.Spill
	now := time.Unix(1000, 0)
	shares := make([]float64, delay)
	low, high := 1.0, 0.0
	for i := range 20 * int(time.Second/step) {
		elapsed := time.Duration(i) * step
		capacity := 1.0
		if elapsed < 8*time.Second {
			capacity = 0.5
		}
		late := shares[i]
		s = s.With(now, demand, zone(expected(0.7*(1-late), capacity)), zone(expected(0.6+0.7*late/3, 1)))
		shares = append(shares, s.Share)
		now = now.Add(step)
		if elapsed > 4*time.Second && elapsed < 8*time.Second {
			low, high = min(low, s.Share), max(high, s.Share)
		}
	}
	t.Logf("between %.2f and %.2f while the zone is short", low, high)
	if low < 0.2 || high > 0.9 || high-low > 0.4 {
		t.Errorf("share between %.2f and %.2f while the zone is short, want it to settle between 0.2 and 0.9", low, high)
	}
	if s.Share != 0 {
		t.Errorf("share %.2f long after the zone was short, want 0", s.Share)
	}
}

func BenchmarkWith(b *testing.B) {
	var s spiller.Spill
	now := time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s = s.With(now, demand, zone(300*time.Millisecond), zone(200*time.Millisecond))
	}
}
