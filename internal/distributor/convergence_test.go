package distributor

import (
	"math"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Limits that the fleet must meet: the time until a change is in force at every
// daemon, without and with faults, and the bytes per second that a daemon sends and
// receives.
const (
	normalLimit       = time.Second
	convergenceLimit  = 5 * time.Second
	maxBytesPerSecond = 27_000
)

// warmUpTime is the time until relays have acquired their slots.
const warmUpTime = 15 * time.Second

// runStats are the results of one run. Bytes and messages are those that a daemon
// sends and receives, on average; steady values are per second and change values per
// change. expected is the number of daemons times the number of changes. delivered is
// the number of these (daemon, change) pairs in which the daemon applied the change.
type runStats struct {
	p50, p99, max       time.Duration
	steadyBytes         float64
	steadyMessages      float64
	changeBytes         float64
	changeMessages      float64
	platformSteady      float64
	platformChange      float64
	delivered, expected int
}

// meanSent returns the mean numbers of bytes and messages that a daemon has sent so
// far.
func (n *network) meanSent() (bytes, messages float64) {
	for _, v := range n.vms {
		bytes += float64(v.sentBytes)
		messages += float64(v.messages)
	}
	return bytes / float64(len(n.vms)), messages / float64(len(n.vms))
}

// measure runs the network for warmUpTime, measures the steady state, injects the
// fault, and then commits changes and measures them.
func measure(n *network, changes int, fault func(*network)) runStats {
	const steady, spacing, tail = 20 * time.Second, 500 * time.Millisecond, 8 * time.Second
	var s runStats
	n.run(warmUpTime)
	bytes, messages := n.meanSent()
	platformCalls := n.platformCalls()
	n.run(steady)
	bytesAfter, messagesAfter := n.meanSent()
	s.steadyBytes = 2 * (bytesAfter - bytes) / steady.Seconds()
	s.steadyMessages = 2 * (messagesAfter - messages) / steady.Seconds()
	s.platformSteady = float64(n.platformCalls()-platformCalls) / steady.Seconds()
	if fault != nil {
		fault(n)
	}
	platformCalls = n.platformCalls()
	n.commitCalls = 0
	for i := range changes {
		n.commit(i % 3)
		n.run(spacing)
	}
	n.run(tail)
	elapsed := (time.Duration(changes)*spacing + tail).Seconds()
	end, endMessages := n.meanSent()
	s.changeBytes = (2*(end-bytesAfter) - s.steadyBytes*elapsed) / float64(changes)
	s.changeMessages = (2*(endMessages-messagesAfter) - s.steadyMessages*elapsed) / float64(changes)
	s.platformChange = (float64(n.platformCalls()-platformCalls-n.commitCalls) - s.platformSteady*elapsed) / float64(changes)
	s.p50, s.delivered = n.percentile(0.5)
	s.p99, _ = n.percentile(0.99)
	s.max, _ = n.percentile(1)
	for _, v := range n.vms {
		if !v.down && !v.paused {
			s.expected += changes
		}
	}
	return s
}

// faultCases are the faults to measure with, and the latency limit for each.
var faultCases = []struct {
	name  string
	loss  float64
	limit time.Duration
	fault func(*network)
}{
	{
		name:  "none",
		limit: normalLimit,
	},
	{
		name:  "loss",
		loss:  0.1,
		limit: convergenceLimit,
	},
	{
		name:  "relays killed",
		limit: convergenceLimit,
		fault: func(n *network) {
			for _, p := range n.vms[0].node.view.ranked[n.vms[0].member.DC][:RelaysPerDC] {
				n.byID[p.ID].stop()
			}
			n.schedule(detectionDelay, n.updateViews)
		},
	},
	{
		name:  "one in twenty paused",
		limit: convergenceLimit,
		fault: func(n *network) {
			for i := 0; i < len(n.vms); i += 20 {
				n.vms[i].pause()
			}
			n.schedule(detectionDelay, n.updateViews)
		},
	},
	{
		name:  "data centre cut off from platform",
		limit: convergenceLimit,
		fault: func(n *network) {
			n.platformCut = func(dc string) bool { return dc == "dc-01" }
			n.breakWatches()
		},
	},
	{
		name:  "after a platform outage",
		limit: convergenceLimit,
		fault: func(n *network) {
			n.platform.SetFaults(emulator.Faults{Outage: true})
			n.breakWatches()
			n.run(time.Minute)
			n.platform.SetFaults(emulator.Faults{})
		},
	},
}

func TestConvergence(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, 1, 3, 40, 20)
			n.loss = c.loss
			s := measure(n, 5, c.fault)
			t.Logf("%+v", s)
			if s.delivered < s.expected {
				t.Errorf("%d of %d changes delivered, counted per daemon; want all", s.delivered, s.expected)
			}
			if s.max > c.limit {
				t.Errorf("slowest change in force after %v, limit %v", s.max, c.limit)
			}
			if s.steadyBytes+s.changeBytes > maxBytesPerSecond {
				t.Errorf("%.0f bytes per second in the steady state plus %.0f per change exceed the limit", s.steadyBytes, s.changeBytes)
			}
		})
	}
}

// TestPlatformCalls checks that the number of platform calls depends on the number
// of data centres and not on the number of daemons.
func TestPlatformCalls(t *testing.T) {
	small := measure(newNetwork(t, 2, 3, 30, 5), 5, nil)
	large := measure(newNetwork(t, 2, 3, 150, 5), 5, nil)
	t.Logf("small %+v", small)
	t.Logf("large %+v", large)
	// A relay's timers may fire once more in one run than in the other.
	if d := large.platformSteady - small.platformSteady; math.Abs(d) > 3*RelaysPerDC/20.0 {
		t.Errorf("platform calls per second in the steady state: %v in the small fleet, %v in the large one; want about the same", small.platformSteady, large.platformSteady)
	}
	if d := large.platformChange - small.platformChange; math.Abs(d) > RelaysPerDC {
		t.Errorf("platform calls per change: %v in the small fleet, %v in the large one; want about the same", small.platformChange, large.platformChange)
	}
	// Each relay's watch request ends once; the calls made by the commit are not
	// counted.
	if large.platformChange > 3*RelaysPerDC+2 {
		t.Errorf("%v platform calls per change, want at most one per relay and 2 more", large.platformChange)
	}
}

// restarts are cases in which many daemons restart at once.
var restarts = []struct {
	name string
	// allDCs means that every data centre restarts instead of one. platformCut means
	// that the restarted one cannot reach the platform.
	allDCs, platformCut bool
}{
	{name: "one data centre"},
	{name: "cut off from platform", platformCut: true},
	{name: "all data centres", allDCs: true},
}

// TestHerd checks the time, bytes and platform calls that a simultaneous restart of
// whole data centres takes.
func TestHerd(t *testing.T) {
	for _, c := range restarts {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := restart(newNetwork(t, 3, 3, 60, 100), c.allDCs, c.platformCut)
			t.Logf("%+v", s)
			if s.last > convergenceLimit {
				t.Errorf("the last daemon was ready after %v, which exceeds the limit", s.last)
			}
			if s.bytes > maxBytesPerSecond {
				t.Errorf("a daemon sent %.0f bytes per second, averaged over a minute, which exceeds the limit", s.bytes)
			}
			normal := 3 * RelaysPerDC * (time.Minute/renewPeriod + 2*time.Minute/WatchTimeout)
			limit := uint64(normal) + 10*RelaysPerDC
			if c.allDCs {
				// Every relay candidate reads the whole log.
				limit += 3 * RelaysPerDC * 100
			}
			if s.platformCalls > limit {
				t.Errorf("%d platform calls exceed the limit; a minute without a restart takes %d", s.platformCalls, normal)
			}
		})
	}
}

// restartStats are the results of one run of restart.
type restartStats struct {
	// first and last are the times until the first and the last restarted daemon
	// were ready.
	first, last time.Duration
	// bytes is the largest number of bytes per second that a daemon sent, averaged
	// over the minute.
	bytes         float64
	platformCalls uint64
}

// restart restarts one or all data centres at once and measures the minute after.
func restart(n *network, allDCs, platformCut bool) restartStats {
	s := restartStats{first: time.Hour}
	n.run(warmUpTime)
	n.platformCut = func(dc string) bool { return platformCut && dc == "dc-00" }
	began, platformCalls := n.clock.Now(), n.platformCalls()
	before := map[*vm]int{}
	for _, v := range n.vms {
		before[v] = v.sentBytes
		if allDCs || v.member.DC == "dc-00" {
			v.stop()
			v.start()
		}
	}
	n.schedule(joinDelay, n.updateViews)
	n.run(time.Minute)
	s.platformCalls = n.platformCalls() - platformCalls
	for _, v := range n.vms {
		s.bytes = max(s.bytes, float64(v.sentBytes-before[v])/time.Minute.Seconds())
		if allDCs || v.member.DC == "dc-00" {
			if v.readyAt.IsZero() {
				n.t.Fatalf("%s is not ready: %s", v.member.ID, v.node.Reason())
			}
			s.first, s.last = min(s.first, v.readyAt.Sub(began)), max(s.last, v.readyAt.Sub(began))
		}
	}
	return s
}

// TestLargeChange checks that one entry that changes 1800 services reaches every
// daemon within convergenceLimit.
func TestLargeChange(t *testing.T) {
	n := newNetwork(t, 9, 3, 12, 5)
	n.run(warmUpTime)
	var services []int
	for i := range 1800 {
		services = append(services, i)
	}
	n.commit(services...)
	n.run(convergenceLimit)
	slowest, delivered := n.percentile(1)
	t.Logf("%d daemons have the change, the last after %v", delivered, slowest)
	if delivered != len(n.vms) {
		t.Errorf("%d of %d daemons have the change after %v", delivered, len(n.vms), convergenceLimit)
	}
}

// TestPartition checks that a data centre that was cut off from the platform and all
// others catches up after the partition heals. Its daemons restart meanwhile and
// must report why they are not ready.
func TestPartition(t *testing.T) {
	n := newNetwork(t, 5, 3, 30, 20)
	n.run(warmUpTime)
	n.platformCut = func(dc string) bool { return dc == "dc-02" }
	n.partitioned = func(a, b string) bool { return a != b && (a == "dc-02" || b == "dc-02") }
	n.breakWatches()
	for i := range 30 {
		n.commit(i % 5)
		n.run(time.Second)
	}
	for _, v := range n.vms {
		if behind := v.lastRevision < n.head.Revision(); behind != (v.member.DC == "dc-02") || !v.node.Ready() {
			t.Fatalf("%s is at revision %d of %d; want daemons outside the partition up to date, the others behind, and all ready", v.member.ID, v.lastRevision, n.head.Revision())
		}
	}
	for _, v := range n.vms {
		if v.member.DC == "dc-02" {
			v.stop()
			v.start()
		}
	}
	n.schedule(joinDelay, n.updateViews)
	n.run(10 * time.Second)
	for _, v := range n.vms {
		if cutOff := v.member.DC == "dc-02"; cutOff == v.node.Ready() || cutOff == (v.node.Reason() == "") {
			t.Fatalf("%s: Ready = %v, Reason = %q; want false and a reason in the partition, true and no reason elsewhere", v.member.ID, v.node.Ready(), v.node.Reason())
		}
	}
	n.platformCut = func(string) bool { return false }
	n.partitioned = func(_, _ string) bool { return false }
	n.run(convergenceLimit)
	for _, v := range n.vms {
		if v.lastRevision != n.head.Revision() {
			t.Errorf("%s is at revision %d of %d after the partition healed", v.member.ID, v.lastRevision, n.head.Revision())
		}
	}
}

// TestPausedRelay checks that a relay that was paused until its lease expired
// catches up when it resumes, and that exactly RelaysPerDC daemons hold slots then.
func TestPausedRelay(t *testing.T) {
	n := newNetwork(t, 6, 3, 20, 5)
	n.run(warmUpTime)
	relay := n.byID[n.vms[0].node.view.ranked["dc-00"][0].ID]
	if !relay.relay.Election.HoldsSlot() {
		t.Fatal("the highest-ranked daemon holds no slot")
	}
	relay.pause()
	n.schedule(detectionDelay, n.updateViews)
	for i := range 4 {
		n.commit(i)
		n.run(LeaseTTL)
	}
	relay.resume()
	n.updateViews()
	n.run(2 * LeaseTTL)
	holders := 0
	for _, v := range n.vms {
		if v.member.DC == "dc-00" && v.relay.Election.HoldsSlot() {
			holders++
		}
	}
	if relay.lastRevision != n.head.Revision() || holders != RelaysPerDC {
		t.Errorf("the resumed relay is at revision %d of %d; %d daemons hold slots, want one per slot", relay.lastRevision, n.head.Revision(), holders)
	}
}
