package chooser_test

import (
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

func newChooser() (*chooser.Chooser, *timekeeper.Virtual) {
	clock := timekeeper.NewVirtual(time.Unix(1000, 0))
	return chooser.New(clock), clock
}

func near(instance string) chooser.Target {
	return chooser.Target{Instance: instance, Near: true, Slots: 4}
}

func far(instance string) chooser.Target {
	return chooser.Target{Instance: instance, Slots: 4}
}

// tally picks many times and counts what was chosen.
func tally(c *chooser.Chooser, w chooser.Wanted, targets ...chooser.Target) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if choice, ok := c.Pick(targets, w); ok {
			counts[choice.Instance]++
		}
	}
	return counts
}

func TestPick(t *testing.T) {
	wanted := chooser.Wanted{Rule: "status"}
	load := func(running int, work time.Duration) chooser.Load {
		return chooser.Load{Running: running, Slots: 4, Work: work}
	}
	for name, test := range map[string]struct {
		wanted  chooser.Wanted
		prepare func(c *chooser.Chooser)
		targets []chooser.Target
		want    string
	}{
		"own zone": {wanted: wanted, targets: []chooser.Target{far("b"), near("a")}, want: "a"},
		"faster": {
			wanted: wanted,
			prepare: func(c *chooser.Chooser) {
				c.Heard("a", "status", load(0, 200*time.Millisecond))
				c.Heard("b", "status", load(0, 50*time.Millisecond))
			},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
		"less loaded": {
			wanted: wanted,
			prepare: func(c *chooser.Chooser) {
				c.Heard("a", "status", load(12, 60*time.Millisecond))
				c.Heard("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
		"large bodies stay near": {
			wanted: chooser.Wanted{Rule: "status", Bytes: 60 << 10},
			prepare: func(c *chooser.Chooser) {
				c.Heard("a", "status", load(5, 60*time.Millisecond))
				c.Heard("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "a",
		},
		"not failing": {
			wanted: wanted,
			prepare: func(c *chooser.Chooser) {
				c.Heard("a", "status", chooser.Load{Slots: 4, Work: 60 * time.Millisecond, Failing: 0.5})
				c.Heard("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
		"not behind a full link": {
			wanted: wanted,
			prepare: func(c *chooser.Chooser) {
				for range 10 {
					c.Heard("a", "status", chooser.Load{Slots: 4, Work: 60 * time.Millisecond, Lag: 80 * time.Millisecond})
				}
				c.Heard("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
		"not cold": {
			wanted: wanted,
			prepare: func(c *chooser.Chooser) {
				c.Heard("a", "status", chooser.Load{Slots: 4, Wait: time.Second})
			},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
		"not silent": {
			wanted:  wanted,
			prepare: func(c *chooser.Chooser) { c.Unreachable("a") },
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
		"silent rather than none": {
			wanted:  wanted,
			prepare: func(c *chooser.Chooser) { c.Unreachable("a") },
			targets: []chooser.Target{near("a")},
			want:    "a",
		},
		"not out of reach": {
			wanted:  wanted,
			targets: []chooser.Target{{Instance: "a", Slots: 4, Doubtful: true}, far("b")},
			want:    "b",
		},
		"out of reach rather than none": {
			wanted:  wanted,
			targets: []chooser.Target{{Instance: "a", Slots: 4, Doubtful: true}},
			want:    "a",
		},
		"avoided": {
			wanted:  chooser.Wanted{Rule: "status", Avoid: func(i string) bool { return i == "a" }},
			targets: []chooser.Target{near("a"), far("b")},
			want:    "b",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newChooser()
			if test.prepare != nil {
				test.prepare(c)
			}
			counts := tally(c, test.wanted, test.targets...)
			if counts[test.want] != 200 {
				t.Errorf("%v, want all at %q", counts, test.want)
			}
		})
	}
}

// TestOwnRequestsCount spreads requests that no answer has told of yet.
func TestOwnRequestsCount(t *testing.T) {
	c, _ := newChooser()
	targets := []chooser.Target{near("a"), near("b"), near("c")}
	counts := map[string]int{}
	for range 30 {
		choice, _ := c.Pick(targets, chooser.Wanted{Rule: "status"})
		c.Started(choice.Instance)
		counts[choice.Instance]++
	}
	for _, target := range targets {
		if n := counts[target.Instance]; n < 7 || n > 13 {
			t.Errorf("%s got %d of 30", target.Instance, n)
		}
	}
}

// TestOldNewsIsForgotten tries a slow target again.
func TestOldNewsIsForgotten(t *testing.T) {
	c, clock := newChooser()
	c.Heard("b", "status", chooser.Load{Slots: 4, Work: 50 * time.Millisecond})
	c.Heard("a", "status", chooser.Load{Slots: 4, Work: 2 * time.Second, Failing: 1})
	targets := []chooser.Target{near("a"), near("b")}
	if counts := tally(c, chooser.Wanted{Rule: "status"}, targets...); counts["a"] > 0 {
		t.Errorf("%v", counts)
	}
	clock.Advance(10 * time.Second)
	if counts := tally(c, chooser.Wanted{Rule: "status"}, targets...); counts["a"] == 0 {
		t.Errorf("%v: a target is never tried again", counts)
	}
}

func TestSuspicionDoublesAndEnds(t *testing.T) {
	c, clock := newChooser()
	targets := []chooser.Target{near("a"), far("b")}
	avoided := func() time.Duration {
		c.Unreachable("a")
		start := clock.Now()
		for range 1000 {
			if tally(c, chooser.Wanted{Rule: "status"}, targets...)["a"] > 0 {
				break
			}
			clock.Advance(50 * time.Millisecond)
		}
		return clock.Now().Sub(start)
	}
	first, second := avoided(), avoided()
	if second <= first || second > 2*time.Second {
		t.Errorf("avoided for %v and then for %v", first, second)
	}
	c.Unreachable("a")
	c.Heard("a", "status", chooser.Load{Slots: 4})
	if counts := tally(c, chooser.Wanted{Rule: "status"}, targets...); counts["a"] == 0 {
		t.Error("a target that has answered is still avoided")
	}
}

func TestMarginIsWhatTheNextCosts(t *testing.T) {
	c, _ := newChooser()
	c.Heard("a", "status", chooser.Load{Slots: 4, Work: 50 * time.Millisecond})
	c.Heard("b", "status", chooser.Load{Slots: 4, Work: 500 * time.Millisecond})
	choice, _ := c.Pick([]chooser.Target{near("a"), near("b")}, chooser.Wanted{Rule: "status"})
	if choice.Margin < 300*time.Millisecond || choice.Margin > 600*time.Millisecond {
		t.Errorf("margin %v", choice.Margin)
	}
	alone, _ := c.Pick([]chooser.Target{near("a")}, chooser.Wanted{Rule: "status"})
	if alone.Margin < time.Second {
		t.Errorf("margin %v of a target without another", alone.Margin)
	}
}

// TestMarginHoldsTheWay lets a request wait for longer at a target that it has
// taken long to come to.
func TestMarginHoldsTheWay(t *testing.T) {
	margin := func(lag time.Duration) time.Duration {
		c, _ := newChooser()
		for _, instance := range []string{"a", "b"} {
			for range 50 {
				c.Heard(instance, "status", chooser.Load{Slots: 4, Work: 60 * time.Millisecond, Lag: lag})
			}
		}
		choice, ok := c.Pick([]chooser.Target{near("a"), near("b")}, chooser.Wanted{Rule: "status"})
		if !ok {
			t.Fatal("nothing chosen")
		}
		return choice.Margin
	}
	if got := margin(80 * time.Millisecond); got < 75*time.Millisecond {
		t.Errorf("a way of 80 ms leaves a margin of %v", got)
	}
	if got := margin(0); got > 30*time.Millisecond {
		t.Errorf("no way leaves a margin of %v", got)
	}
}
