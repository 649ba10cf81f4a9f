package prober_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

// Service level objectives.
const (
	// maxStopTime is the time limit within which all daemons of the data centre
	// stop sending requests to a failed target.
	maxStopTime = 5 * time.Second
	// maxFactTimeDC and maxFactTimeMesh are the time limits within which a fact
	// reaches all daemons of one data centre and of the mesh.
	maxFactTimeDC   = 2 * time.Second
	maxFactTimeMesh = 3 * time.Second
	// maxControlRate is the limit of a daemon's control traffic, in bytes per
	// second.
	maxControlRate = 27_000
)

// full runs the tests at production sizes, which takes minutes instead of
// seconds.
var full = flag.Bool("full", false, "run at production sizes")

// size is the number of data centres and of daemons in each.
type size struct{ dataCentres, each int }

func newSize(dataCentres, each int) size {
	return size{
		dataCentres: dataCentres,
		each:        each,
	}
}

func (s size) String() string { return fmt.Sprintf("%dx%d", s.dataCentres, s.each) }

// sizes returns the sizes to test: the first few, whose number is small, or all
// with -full.
func sizes(small int, all ...size) []size {
	if *full {
		return all
	}
	return all[:small]
}

// newSteadyNetwork returns a network that has run for 30 seconds.
func newSteadyNetwork(seed uint64, dataCentres, each int) *network {
	n := newNetwork(seed, dataCentres, each)
	n.startAll(true)
	n.run(30 * time.Second)
	return n
}

// TestCrash measures how long the target of a crashed daemon still gets new
// requests.
func TestCrash(t *testing.T) {
	for _, s := range sizes(2, newSize(1, 30), newSize(1, 100), newSize(1, 300), newSize(1, 864)) {
		t.Run(s.String(), func(t *testing.T) {
			var stopTimes, deadTimes []time.Duration
			n := newSteadyNetwork(7, s.dataCentres, s.each)
			for i := range 3 {
				crashed := n.nodes[n.names[s.each/2+i*7]]
				crashed.up = false
				start := n.clock.Now()
				times, missing := n.measureSpread(time.Minute, nil, func(d *node) bool { return !d.serves(crashed) })
				stopTimes = append(stopTimes, times...)
				deadAfter, missingDead := n.measureSpread(time.Minute, nil, func(d *node) bool {
					m, _ := d.table.Get(crashed.name)
					return m.Status == prober.Dead
				})
				if missing+missingDead > 0 || quantile(times, 1) > maxStopTime {
					t.Errorf("%d daemons still send requests, %d did not declare the member dead, want 0; no new requests after %s, which may exceed the limit", missing, missingDead, percentiles(times))
				}
				for range deadAfter {
					deadTimes = append(deadTimes, n.clock.Now().Sub(start))
				}
			}
			slices.Sort(stopTimes)
			slices.Sort(deadTimes)
			t.Logf("no new requests after %s; last declared dead after %v", percentiles(stopTimes), quantile(deadTimes, 1))
		})
	}
}

// TestSpread measures how long an announcement, a fact and a leave take to
// reach all daemons.
func TestSpread(t *testing.T) {
	for _, s := range sizes(2, newSize(1, 100), newSize(3, 30), newSize(1, 864), newSize(3, 100), newSize(22, 30), newSize(22, 100)) {
		t.Run(s.String(), func(t *testing.T) {
			n := newSteadyNetwork(11, s.dataCentres, s.each)
			d := n.nodes[n.names[s.each/2]]
			limit := maxFactTimeMesh
			if s.dataCentres == 1 {
				limit = maxFactTimeDC
			}
			check := func(what string, informed func(*node) bool) {
				times, missing := n.measureSpread(time.Minute, nil, informed)
				t.Logf("%s: %s", what, percentiles(times))
				if missing > 0 || quantile(times, 1) > limit {
					t.Errorf("%s: did not reach %d daemons, want 0; reached the others after %s, want at most %v", what, missing, percentiles(times), limit)
				}
			}
			d.target = &prober.Target{
				Service: "new",
				Version: "v1",
				Slots:   1,
			}
			d.table.UpdateSelf(func(m prober.Member) prober.Member { return m.WithTarget(d.target) })
			check("announcement", func(o *node) bool { return o.serves(d) })
			f := spreader.Fact{
				Kind:    spreader.Withdrawn,
				Subject: "new/v1",
				At:      n.clock.Now(),
				Until:   n.clock.Now().Add(time.Hour),
			}
			d.facts.Add(f)
			d.prober.BroadcastFact(f)
			check("fact", func(o *node) bool {
				_, ok := o.facts.Get(f.Kind, f.Subject)
				return ok
			})
			d.table.UpdateSelf(func(m prober.Member) prober.Member { return m.WithStatus(prober.Left) })
			n.call(d, d.prober.Leave())
			check("leave", func(o *node) bool { return !o.serves(d) })
		})
	}
}

// TestIdle measures the control traffic of idle daemons.
func TestIdle(t *testing.T) {
	for _, s := range sizes(2, newSize(1, 30), newSize(3, 30), newSize(1, 300), newSize(3, 100), newSize(22, 30)) {
		n := newSteadyNetwork(3, s.dataCentres, s.each)
		n.countBytes = true
		mean, busiest := n.rates(20 * time.Second)
		t.Logf("%v: mean %.0f B/s per daemon, busiest %.0f", s, mean, busiest)
		if busiest > maxControlRate {
			t.Errorf("busiest daemon: %.0f B/s exceeds the limit", busiest)
		}
	}
}

// rates runs the network for t and returns the bytes per second, sent and
// received, of the average and of the busiest daemon.
func (n *network) rates(t time.Duration) (mean, busiest float64) {
	before := map[string]int{}
	for name, d := range n.nodes {
		before[name] = d.sent + d.received
	}
	n.run(t)
	for name, d := range n.nodes {
		rate := float64(d.sent+d.received-before[name]) / t.Seconds()
		mean += rate / float64(len(n.nodes))
		busiest = max(busiest, rate)
	}
	return mean, busiest
}

// Expected numbers of daemon failures and replacements per day.
const (
	failuresPerDay     = 51
	replacementsPerDay = 1200
)

// TestChurn measures the control traffic that the replacement of a daemon
// causes at every other one. The daemon leaves, starts again with a new
// incarnation and announces its target.
func TestChurn(t *testing.T) {
	for _, s := range sizes(1, newSize(3, 30), newSize(3, 100), newSize(22, 30)) {
		const changes = 20
		n := newSteadyNetwork(12, s.dataCentres, s.each)
		n.countBytes = true
		idle, _ := n.rates(30 * time.Second)
		churnBytes := 0.0
		for i := range changes {
			d := n.nodes[n.names[(i*7+5)%len(n.names)]]
			d.table.UpdateSelf(func(m prober.Member) prober.Member { return m.WithStatus(prober.Left) })
			n.call(d, d.prober.Leave())
			rate, _ := n.rates(time.Second)
			churnBytes += rate
			d.up = false
			n.start(d)
			rate, _ = n.rates(4 * time.Second)
			churnBytes += 4 * rate
		}
		each := churnBytes/changes - 5*idle
		churnRate := (replacementsPerDay + failuresPerDay) * each / (24 * time.Hour).Seconds()
		t.Logf("%v: idle %.0f B/s; %.0f bytes per daemon and replacement; %.0f B/s for the replacements of an ordinary day", s, idle, each, churnRate)
		if idle+churnRate > maxControlRate {
			t.Errorf("idle and churn traffic: %.0f B/s exceeds the limit", idle+churnRate)
		}
	}
}
