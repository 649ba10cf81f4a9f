package chooser_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// fourZones is a fleet of 80 entries in four zones that hear of a target every few seconds.
// Its targets differ in speed by more than two.
var fourZones = shape{
	entries:   80,
	targets:   36,
	zones:     4,
	slots:     9,
	rate:      800,
	work:      200 * time.Millisecond,
	spread:    0.5,
	speeds:    []float64{0.55, 1.2, 1.2, 1.2},
	time:      8 * time.Second,
	objective: 500 * time.Millisecond,
	busy:      1,
	wave:      0.3,
}

// TestFleetStaysInZone compares, in the same load, a fleet whose requests stay in their zone
// with one where other zones cost a fixed time. Callers of every zone must be served as well,
// with fewer requests between zones.
func TestFleetStaysInZone(t *testing.T) {
	// noise is the difference between two runs of the same fleet that is allowed for.
	const noise = 0.03
	for _, c := range []struct {
		name   string
		change func(s *shape)
		// left is the largest number of attempts in other zones, as a fraction of that with
		// the fixed cost.
		left float64
	}{
		{"calm", func(*shape) {}, 0.1},
		{"high load", func(s *shape) { s.rate = 1150 }, 0.5},
		{"one zone lacks half of its targets", func(s *shape) { s.short = 0.5 }, 0.7},
		{"one zone lacks half of its targets in high load", func(s *shape) { s.short, s.rate = 0.5, 1050 }, 0.7},
		{"one zone gets twice the requests", func(s *shape) { s.busy = 2 }, 0.7},
		{"crests one after the other", func(s *shape) { s.wave, s.phase, s.rate = 0.55, 0.1, 1150 }, 1},
		{"high crests one after the other", func(s *shape) { s.wave, s.phase, s.rate = 0.55, 0.25, 1300 }, 1},
		{"one zone lacks all targets", func(s *shape) { s.short = 1 }, 1},
		{"two zones", func(s *shape) { s.zones, s.entries, s.targets, s.rate, s.short = 2, 40, 18, 400, 0.5 }, 0.8},
		{"all zones are short", func(s *shape) { s.rate = 1600 }, 0.3},
		{"all zones get twice what they can serve", func(s *shape) { s.rate = 2200 }, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := fourZones
			c.change(&s)
			fixed, stay := newFleet(s), newFleet(s)
			for _, e := range stay.entries {
				e.StayTargets = 2
			}
			fixedInTime, _, _ := fixed.run()
			inTime, _, _ := stay.run()
			t.Logf("in time %.3f, fixed cost %.3f; worst zone %.3f, %.3f; attempts elsewhere %d, %d; busiest target %.2f, %.2f of the mean",
				inTime, fixedInTime, stay.worstZone(), fixed.worstZone(), stay.left, fixed.left, stay.busiest(), fixed.busiest())
			if inTime < fixedInTime-noise {
				t.Errorf("%.3f in time, want at least as many as with the fixed cost: %.3f", inTime, fixedInTime)
			}
			if stay.worstZone() < fixed.worstZone()-noise {
				t.Errorf("%.3f in time in the worst zone, want at least as many as with the fixed cost: %.3f", stay.worstZone(), fixed.worstZone())
			}
			if most := c.left * float64(fixed.left); float64(stay.left) > most {
				t.Errorf("%d attempts in other zones, want at most %.0f", stay.left, most)
			}
		})
	}
}

// newStayingChooser returns a chooser whose requests stay in the zone.
func newStayingChooser() (*chooser.Chooser, *timekeeper.Virtual) {
	c, clock := newChooser()
	c.StayTargets = 2
	return c, clock
}

// zoneTargets returns four targets of the own zone and four of another.
func zoneTargets() []chooser.Target {
	var targets []chooser.Target
	for i := range 4 {
		targets = append(targets, sameZone(fmt.Sprint("own-", i)), otherZone(fmt.Sprint("other-", i)))
	}
	return targets
}

// report records a load of the targets of the own zone or of the other one.
func report(c *chooser.Chooser, targets []chooser.Target, own bool, l chooser.Load) {
	for _, t := range targets {
		if t.SameZone == own {
			c.RecordLoad(t.Instance, "status", l)
		}
	}
}

// countLeaving makes a choice every 20 ms for a time, with fresh reports of both zones, and
// returns the fraction that left the zone.
func countLeaving(c *chooser.Chooser, clock *timekeeper.Virtual, targets []chooser.Target, r chooser.Request, length time.Duration, own, other chooser.Load) float64 {
	left, all := 0, 0
	for end := clock.Now().Add(length); clock.Now().Before(end); clock.Advance(20 * time.Millisecond) {
		report(c, targets, true, own)
		report(c, targets, false, other)
		choice, ok := c.Pick(targets, r)
		if all++; ok && !choice.SameZone {
			left++
		}
	}
	return float64(left) / float64(all)
}

var (
	statusRequest = chooser.Request{
		Rule:      "status",
		Service:   "claims",
		Objective: 500 * time.Millisecond,
	}
	idleLoad = chooser.Load{Running: 1, Slots: 4, ServiceTime: 100 * time.Millisecond}
	fullLoad = chooser.Load{Running: 4, Queued: 8, Slots: 4, ServiceTime: 100 * time.Millisecond}
)

func TestLeaving(t *testing.T) {
	large := statusRequest
	large.Bytes = 100 << 10
	longLoad := fullLoad
	longLoad.ResponseBytes = 100 << 10
	for name, c := range map[string]struct {
		request    chooser.Request
		own, other chooser.Load
		least      float64
		most       float64
	}{
		"both idle":                    {request: statusRequest, own: idleLoad, other: idleLoad},
		"own zone short":               {request: statusRequest, own: fullLoad, other: idleLoad, least: 0.5, most: 1},
		"both short":                   {request: statusRequest, own: fullLoad, other: fullLoad},
		"other zone short":             {request: statusRequest, own: idleLoad, other: fullLoad},
		"own zone short, large bodies": {request: large, own: fullLoad, other: idleLoad},
		"own zone short, long answers": {request: statusRequest, own: longLoad, other: idleLoad},
	} {
		t.Run(name, func(t *testing.T) {
			ch, clock := newStayingChooser()
			targets := zoneTargets()
			left := countLeaving(ch, clock, targets, c.request, 4*time.Second, c.own, c.other)
			if c.least > 0 {
				// The share rises gradually.
				left = countLeaving(ch, clock, targets, c.request, time.Second, c.own, c.other)
			}
			if left < c.least || left > c.most {
				t.Errorf("%.2f of the requests left the zone, want %.2f to %.2f", left, c.least, c.most)
			}
		})
	}
}

// TestReturnToZone checks that requests stay again within seconds after the zone was short.
func TestReturnToZone(t *testing.T) {
	c, clock := newStayingChooser()
	targets := zoneTargets()
	countLeaving(c, clock, targets, statusRequest, 4*time.Second, fullLoad, idleLoad)
	countLeaving(c, clock, targets, statusRequest, 10*time.Second, idleLoad, idleLoad)
	if left := countLeaving(c, clock, targets, statusRequest, 2*time.Second, idleLoad, idleLoad); left > 0 {
		t.Errorf("%.2f of the requests leave a zone that is no longer short, want none", left)
	}
}

// TestOwnZoneUnusable checks that requests leave at once if no target of the zone can be
// reached, and that none goes to a zone that can't be.
func TestOwnZoneUnusable(t *testing.T) {
	c, _ := newStayingChooser()
	targets := zoneTargets()
	for _, target := range targets {
		if target.SameZone {
			c.RecordUnreachable(target.Instance)
		}
	}
	if choice, ok := c.Pick(targets, statusRequest); !ok || choice.SameZone {
		t.Errorf("picked %+v, %v, want a target of the other zone", choice, ok)
	}
	c, clock := newStayingChooser()
	for i := range targets {
		targets[i].ZoneUnreachable = !targets[i].SameZone
	}
	if left := countLeaving(c, clock, targets, statusRequest, 2*time.Second, fullLoad, idleLoad); left > 0 {
		t.Errorf("%.2f of the requests went to a zone behind a cut link, want none", left)
	}
}

// TestTurnedAwayRequestLeaves checks that a request that all targets of the zone have turned
// away goes to another zone.
func TestTurnedAwayRequestLeaves(t *testing.T) {
	c, _ := newStayingChooser()
	targets := zoneTargets()
	r := statusRequest
	r.Exclude = func(instance string) bool { return instance[:3] == "own" }
	if choice, ok := c.Pick(targets, r); !ok || choice.SameZone {
		t.Errorf("picked %+v, %v, want a target of the other zone", choice, ok)
	}
}

// TestTurnedAwayTwice checks that a request that targets of the zone have turned away leaves
// before the share has risen, unless the other zone is short as well.
func TestTurnedAwayTwice(t *testing.T) {
	for _, c := range []struct {
		attempts   int
		own, other chooser.Load
		leaves     bool
	}{
		{attempts: 1, own: fullLoad, other: idleLoad, leaves: false},
		{attempts: 2, own: fullLoad, other: idleLoad, leaves: true},
		{attempts: 2, own: idleLoad, other: idleLoad, leaves: false},
		{attempts: 2, own: fullLoad, other: fullLoad, leaves: false},
	} {
		ch, _ := newStayingChooser()
		targets := zoneTargets()
		report(ch, targets, true, c.own)
		report(ch, targets, false, c.other)
		r := statusRequest
		r.Attempts = c.attempts
		if choice, ok := ch.Pick(targets, r); !ok || choice.SameZone == c.leaves {
			t.Errorf("%d attempts, own zone %+v, other %+v: picked %s", c.attempts, c.own, c.other, choice.Instance)
		}
	}
}

// TestShortObjective checks that a rule whose objective leaves little time to wait may use the
// targets of all zones.
func TestShortObjective(t *testing.T) {
	c, _ := newStayingChooser()
	targets := zoneTargets()
	report(c, targets, true, fullLoad)
	report(c, targets, false, idleLoad)
	r := statusRequest
	r.Objective = 200 * time.Millisecond
	if choice, _ := c.Pick(targets, r); choice.SameZone {
		t.Errorf("picked %s, want an idle target of the other zone", choice.Instance)
	}
}

// TestFewTargetsInZone checks that fewer targets than StayTargets only have an advantage over
// those of other zones.
func TestFewTargetsInZone(t *testing.T) {
	c, _ := newStayingChooser()
	targets := []chooser.Target{sameZone("a"), otherZone("b")}
	c.RecordLoad("a", "status", fullLoad)
	c.RecordLoad("b", "status", idleLoad)
	if choice, _ := c.Pick(targets, statusRequest); choice.Instance != "b" {
		t.Errorf("picked %s, want the idle target", choice.Instance)
	}
}

// TestJoinedTargetIsUsed checks that a target that joins busy ones gets requests within a
// second.
func TestJoinedTargetIsUsed(t *testing.T) {
	c, clock := newStayingChooser()
	targets := zoneTargets()
	busy := chooser.Load{Running: 3, Slots: 4, ServiceTime: 100 * time.Millisecond}
	countLeaving(c, clock, targets, statusRequest, 2*time.Second, busy, busy)
	targets = append(targets, sameZone("joined"))
	picks := 0
	for range 20 {
		choice, _ := c.Pick(targets, statusRequest)
		c.RequestStarted(choice.Instance)
		if choice.Instance == "joined" {
			picks++
		} else {
			c.RequestEnded(choice.Instance)
			c.RecordLoad(choice.Instance, "status", busy)
		}
		clock.Advance(50 * time.Millisecond)
	}
	if picks == 0 {
		t.Error("a target that has joined got none of 20 requests")
	}
}

// BenchmarkPick measures the choice among targets of four zones.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{10, 80, 1000} {
		for _, stay := range []int{0, 2} {
			b.Run(fmt.Sprintf("%d targets, stay %d", size, stay), func(b *testing.B) {
				c := chooser.New(timekeeper.System{})
				c.StayTargets = stay
				targets := make([]chooser.Target, size)
				for i := range targets {
					targets[i] = chooser.Target{
						Instance: fmt.Sprint("i-", i),
						SameZone: i%4 == 0,
						Slots:    4,
					}
					c.RecordLoad(targets[i].Instance, "status", idleLoad)
				}
				b.ReportAllocs()
				for b.Loop() {
					c.Pick(targets, statusRequest)
				}
			})
		}
	}
}

// TestAllTargetsExcluded checks that there is no choice if all targets are excluded, also of a
// service whose requests stay in the zone.
func TestAllTargetsExcluded(t *testing.T) {
	c, _ := newStayingChooser()
	choice, ok := c.Pick(zoneTargets(), chooser.Request{
		Rule:      "status",
		Service:   "desk",
		Objective: time.Second,
		Exclude:   func(string) bool { return true },
	})
	if ok {
		t.Errorf("got the choice %+v, want none", choice)
	}
}
