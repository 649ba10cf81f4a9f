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

func sameZone(instance string) chooser.Target {
	return chooser.Target{Instance: instance, SameZone: true, Slots: 4}
}

func otherZone(instance string) chooser.Target {
	return chooser.Target{Instance: instance, Slots: 4}
}

// countPicks picks 200 times and counts the chosen instances.
func countPicks(c *chooser.Chooser, request chooser.Request, targets ...chooser.Target) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if choice, ok := c.Pick(targets, request); ok {
			counts[choice.Instance]++
		}
	}
	return counts
}

func TestPick(t *testing.T) {
	request := chooser.Request{Rule: "status"}
	load := func(running int, serviceTime time.Duration) chooser.Load {
		return chooser.Load{Running: running, Slots: 4, ServiceTime: serviceTime}
	}
	for name, test := range map[string]struct {
		request chooser.Request
		prepare func(c *chooser.Chooser)
		targets []chooser.Target
		want    string
	}{
		"same zone": {request: request, targets: []chooser.Target{otherZone("b"), sameZone("a")}, want: "a"},
		"faster": {
			request: request,
			prepare: func(c *chooser.Chooser) {
				c.RecordLoad("a", "status", load(0, 200*time.Millisecond))
				c.RecordLoad("b", "status", load(0, 50*time.Millisecond))
			},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
		"less loaded": {
			request: request,
			prepare: func(c *chooser.Chooser) {
				c.RecordLoad("a", "status", load(12, 60*time.Millisecond))
				c.RecordLoad("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
		"large body stays in the zone": {
			request: chooser.Request{Rule: "status", Bytes: 60 << 10},
			prepare: func(c *chooser.Chooser) {
				c.RecordLoad("a", "status", load(5, 60*time.Millisecond))
				c.RecordLoad("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "a",
		},
		"not failing": {
			request: request,
			prepare: func(c *chooser.Chooser) {
				c.RecordLoad("a", "status", chooser.Load{Slots: 4, ServiceTime: 60 * time.Millisecond, FailureRate: 0.5})
				c.RecordLoad("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
		"not behind a congested link": {
			request: request,
			prepare: func(c *chooser.Chooser) {
				for range 10 {
					c.RecordLoad("a", "status", chooser.Load{Slots: 4, ServiceTime: 60 * time.Millisecond, Lag: 80 * time.Millisecond})
				}
				c.RecordLoad("b", "status", load(0, 60*time.Millisecond))
			},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
		"not cold": {
			request: request,
			prepare: func(c *chooser.Chooser) {
				c.RecordLoad("a", "status", chooser.Load{Slots: 4, ReopenAfter: time.Second})
			},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
		"not unreachable": {
			request: request,
			prepare: func(c *chooser.Chooser) { c.RecordUnreachable("a") },
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
		"unreachable rather than none": {
			request: request,
			prepare: func(c *chooser.Chooser) { c.RecordUnreachable("a") },
			targets: []chooser.Target{sameZone("a")},
			want:    "a",
		},
		"not in an unreachable zone": {
			request: request,
			targets: []chooser.Target{{Instance: "a", Slots: 4, ZoneUnreachable: true}, otherZone("b")},
			want:    "b",
		},
		"in an unreachable zone rather than none": {
			request: request,
			targets: []chooser.Target{{Instance: "a", Slots: 4, ZoneUnreachable: true}},
			want:    "a",
		},
		"excluded": {
			request: chooser.Request{Rule: "status", Exclude: func(i string) bool { return i == "a" }},
			targets: []chooser.Target{sameZone("a"), otherZone("b")},
			want:    "b",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newChooser()
			if test.prepare != nil {
				test.prepare(c)
			}
			counts := countPicks(c, test.request, test.targets...)
			if counts[test.want] != 200 {
				t.Errorf("picks %v, want all at %q", counts, test.want)
			}
		})
	}
}

// TestRequestsInFlightRaiseCost checks that requests in flight raise the cost of their
// target before any response reports them.
func TestRequestsInFlightRaiseCost(t *testing.T) {
	c, _ := newChooser()
	targets := []chooser.Target{sameZone("a"), sameZone("b"), sameZone("c")}
	counts := map[string]int{}
	for range 30 {
		choice, _ := c.Pick(targets, chooser.Request{Rule: "status"})
		c.RequestStarted(choice.Instance)
		counts[choice.Instance]++
	}
	for _, target := range targets {
		if n := counts[target.Instance]; n < 7 || n > 13 {
			t.Errorf("%s got %d of 30 requests, want 7 to 13", target.Instance, n)
		}
	}
}

// TestStaleLoadIgnored checks that a slow target is tried again when its
// reported load is old.
func TestStaleLoadIgnored(t *testing.T) {
	c, clock := newChooser()
	c.RecordLoad("b", "status", chooser.Load{Slots: 4, ServiceTime: 50 * time.Millisecond})
	c.RecordLoad("a", "status", chooser.Load{Slots: 4, ServiceTime: 2 * time.Second, FailureRate: 1})
	targets := []chooser.Target{sameZone("a"), sameZone("b")}
	if counts := countPicks(c, chooser.Request{Rule: "status"}, targets...); counts["a"] > 0 {
		t.Errorf("picks %v, want none at the slow target", counts)
	}
	clock.Advance(10 * time.Second)
	if counts := countPicks(c, chooser.Request{Rule: "status"}, targets...); counts["a"] == 0 {
		t.Errorf("picks %v, want some at the slow target after maxLoadAge", counts)
	}
}

func TestSuspicionDoublesAndEnds(t *testing.T) {
	c, clock := newChooser()
	targets := []chooser.Target{sameZone("a"), otherZone("b")}
	suspectedFor := func() time.Duration {
		c.RecordUnreachable("a")
		start := clock.Now()
		for range 1000 {
			if countPicks(c, chooser.Request{Rule: "status"}, targets...)["a"] > 0 {
				break
			}
			clock.Advance(50 * time.Millisecond)
		}
		return clock.Now().Sub(start)
	}
	first, second := suspectedFor(), suspectedFor()
	if second <= first || second > 2*time.Second {
		t.Errorf("avoided for %v and then for %v, want the second to be longer, up to 2s", first, second)
	}
	c.RecordUnreachable("a")
	c.RecordLoad("a", "status", chooser.Load{Slots: 4})
	if counts := countPicks(c, chooser.Request{Rule: "status"}, targets...); counts["a"] == 0 {
		t.Error("a target that has responded is still avoided")
	}
}

func TestQueueTimeout(t *testing.T) {
	c, _ := newChooser()
	c.RecordLoad("a", "status", chooser.Load{Slots: 4, ServiceTime: 50 * time.Millisecond})
	c.RecordLoad("b", "status", chooser.Load{Slots: 4, ServiceTime: 500 * time.Millisecond})
	choice, _ := c.Pick([]chooser.Target{sameZone("a"), sameZone("b")}, chooser.Request{Rule: "status"})
	if choice.QueueTimeout < 300*time.Millisecond || choice.QueueTimeout > 600*time.Millisecond {
		t.Errorf("queue timeout %v, want 300ms to 600ms", choice.QueueTimeout)
	}
	only, _ := c.Pick([]chooser.Target{sameZone("a")}, chooser.Request{Rule: "status"})
	if only.QueueTimeout < time.Second {
		t.Errorf("queue timeout %v of the only target, want at least 1s", only.QueueTimeout)
	}
}

// TestQueueTimeoutIncludesLag checks that the queue timeout includes the lag of
// the chosen target, because the lag has already passed when the request arrives.
func TestQueueTimeoutIncludesLag(t *testing.T) {
	queueTimeout := func(lag time.Duration) time.Duration {
		c, _ := newChooser()
		for _, instance := range []string{"a", "b"} {
			for range 50 {
				c.RecordLoad(instance, "status", chooser.Load{Slots: 4, ServiceTime: 60 * time.Millisecond, Lag: lag})
			}
		}
		choice, ok := c.Pick([]chooser.Target{sameZone("a"), sameZone("b")}, chooser.Request{Rule: "status"})
		if !ok {
			t.Fatal("no target was picked")
		}
		return choice.QueueTimeout
	}
	if got := queueTimeout(80 * time.Millisecond); got < 75*time.Millisecond {
		t.Errorf("queue timeout %v with a lag of 80 ms, want at least 75ms", got)
	}
	if got := queueTimeout(0); got > 30*time.Millisecond {
		t.Errorf("queue timeout %v without lag, want at most 30ms", got)
	}
}

// TestBodyWait guards against large bodies that all go to a daemon which reads others first.
func TestBodyWait(t *testing.T) {
	c, clock := newChooser()
	targets := []chooser.Target{sameZone("a"), sameZone("b")}
	c.RecordLoad("a", "photos", chooser.Load{Slots: 4, ServiceTime: 50 * time.Millisecond, BodyWait: 200 * time.Millisecond})
	c.RecordLoad("b", "photos", chooser.Load{Slots: 4, ServiceTime: 80 * time.Millisecond})
	large := chooser.Request{Rule: "photos", AwaitsTurn: true}
	if got := countPicks(c, large, targets...); got["b"] != 200 {
		t.Errorf("large bodies went to %v, want all to b", got)
	}
	if got := countPicks(c, chooser.Request{Rule: "photos"}, targets...); got["a"] != 200 {
		t.Errorf("small bodies went to %v, want all to a", got)
	}
	if choice, _ := c.Pick(targets[:1], large); choice.QueueTimeout < 200*time.Millisecond {
		t.Errorf("queue timeout %v, want at least the expected wait of 200ms", choice.QueueTimeout)
	}
	clock.Advance(5 * time.Second)
	if got := countPicks(c, large, targets...); got["a"] == 0 {
		t.Errorf("large bodies went to %v 5s after the report, want some to a", got)
	}
}

// TestBusyTargetIsTriedAgain guards against a target that is out of use since it was busy
// once.
func TestBusyTargetIsTriedAgain(t *testing.T) {
	c, clock := newChooser()
	targets := []chooser.Target{sameZone("a"), sameZone("b")}
	request := chooser.Request{Rule: "status"}
	c.RecordLoad("a", "status", chooser.Load{Running: 4, Queued: 8, Slots: 4, ServiceTime: 60 * time.Millisecond})
	c.RecordLoad("b", "status", chooser.Load{Running: 2, Slots: 4, ServiceTime: 60 * time.Millisecond})
	if got := countPicks(c, request, targets...); got["a"] > 0 {
		t.Errorf("picked %v, want the busy target in none", got)
	}
	clock.Advance(5 * time.Second)
	c.RecordLoad("b", "status", chooser.Load{Running: 2, Slots: 4, ServiceTime: 60 * time.Millisecond})
	if got := countPicks(c, request, targets...); got["a"] == 0 {
		t.Errorf("picked %v 5s later, want some requests at the target that was busy", got)
	}
}
