package prober_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// maxPartitionDetection is the time limit within which all daemons outside mark
// a partitioned data centre as unreachable.
const maxPartitionDetection = 10 * time.Second

// countStatus counts, over the tables of all running daemons, the entries of
// running daemons that have status s.
func (n *network) countStatus(s prober.Status) int {
	count := 0
	for _, d := range n.nodes {
		if !d.up {
			continue
		}
		for _, name := range n.names {
			if m, ok := d.table.Get(name); ok && m.Status == s && n.nodes[name].up {
				count++
			}
		}
	}
	return count
}

// converged reports whether all running daemons hold the same live members,
// each with its current incarnation.
func (n *network) converged() bool {
	want := map[string]uint64{}
	for name, d := range n.nodes {
		if d.up {
			want[name] = d.table.Self().Incarnation
		}
	}
	for _, d := range n.nodes {
		if d.up && !d.matches(want) {
			return false
		}
	}
	return true
}

// matches reports whether the live members in the table of d are exactly those
// of want, which maps IDs to incarnations.
func (d *node) matches(want map[string]uint64) bool {
	liveCount := 0
	for id, incarnation := range want {
		m, ok := d.table.Get(id)
		if !ok || m.Status > prober.Suspect || m.Incarnation != incarnation {
			return false
		}
		liveCount++
	}
	return liveCount == d.liveCount()
}

// liveCount returns the number of alive and suspect members in the daemon's
// table.
func (d *node) liveCount() int {
	liveCount := 0
	for _, m := range d.table.All() {
		if m.Status <= prober.Suspect {
			liveCount++
		}
	}
	return liveCount
}

// TestLossyNetwork drops 10% of messages for two minutes and checks that no
// running daemon is declared dead.
func TestLossyNetwork(t *testing.T) {
	for _, s := range sizes(1, newSize(1, 40), newSize(1, 100), newSize(1, 300)) {
		n := newSteadyNetwork(5, s.dataCentres, s.each)
		n.lossRate = 0.1
		dead, suspected, samples := 0, 0, 0
		for range 60 {
			n.run(2 * time.Second)
			dead += n.countStatus(prober.Dead)
			suspected += n.countStatus(prober.Suspect)
			samples += s.each * s.each
		}
		t.Logf("%v: %d dead entries, %.5f of all entries suspect", s, dead, float64(suspected)/float64(samples))
		if dead > 0 {
			t.Errorf("%d entries of running daemons are dead, want 0", dead)
		}
	}
}

// TestPausedDaemons pauses daemons for longer than any suspicion timeout. It
// checks that the others declare them dead meanwhile, and that the paused
// daemons declare no other daemon dead when they resume.
func TestPausedDaemons(t *testing.T) {
	n := newSteadyNetwork(6, 1, 60)
	paused := map[string]bool{}
	for _, name := range n.names[20:25] {
		paused[name] = true
		n.nodes[name].paused = n.clock.Now().Add(30 * time.Second)
	}
	n.run(29 * time.Second)
	for _, d := range n.nodes {
		if m, _ := d.table.Get(n.names[20]); !paused[d.name] && m.Status != prober.Dead {
			t.Fatalf("%s: status of a paused daemon is %v, want dead", d.name, m.Status)
		}
	}
	wrongDead := 0
	for range 300 {
		n.run(100 * time.Millisecond)
		for _, d := range n.nodes {
			for _, name := range n.names {
				if m, _ := d.table.Get(name); m.Status == prober.Dead && !paused[name] {
					wrongDead++
				}
			}
		}
	}
	if wrongDead > 0 {
		t.Errorf("%d entries of daemons that never paused are dead, want 0", wrongDead)
	}
	if !n.converged() {
		t.Error("tables have not converged after the pause")
	}
}

// TestRackFailure stops a rack of 40 daemons, or a third of a smaller data
// centre, at once. It checks that the other daemons stop sending them requests
// in time and declare them dead, and that control traffic stays within its
// limit.
func TestRackFailure(t *testing.T) {
	for _, s := range sizes(1, newSize(3, 40), newSize(3, 100), newSize(3, 300), newSize(1, 864)) {
		n := newSteadyNetwork(8, s.dataCentres, s.each)
		rack := n.names[10 : 10+min(40, s.each/3)]
		excluded := map[string]bool{}
		for _, d := range n.nodes {
			excluded[d.name] = d.dc != "d0"
		}
		for _, name := range rack {
			n.nodes[name].up = false
		}
		times, missing := n.measureSpread(time.Minute, excluded, func(d *node) bool {
			return !slices.ContainsFunc(rack, func(name string) bool { return d.serves(n.nodes[name]) })
		})
		dead, missingDead := n.measureSpread(time.Minute, nil, func(d *node) bool {
			return !slices.ContainsFunc(rack, func(name string) bool {
				m, _ := d.table.Get(name)
				return m.Status != prober.Dead
			})
		})
		n.countBytes = true
		_, busiest := n.rates(10 * time.Second)
		t.Logf("%v: no new requests after %s; all declared dead %v later; busiest daemon: %.0f B/s in the next 10 s",
			s, percentiles(times), quantile(dead, 1), busiest)
		if missing+missingDead > 0 || quantile(times, 1) > maxStopTime || busiest > maxControlRate {
			t.Errorf("%d daemons still send requests, %d did not declare the rack dead, want 0; no new requests after %s; busiest daemon: %.0f B/s; a time or rate may exceed its limit", missing, missingDead, percentiles(times), busiest)
		}
	}
}

// TestPartitionedDataCentre partitions a data centre from the others and heals
// the partition. It checks that the members of the unreachable data centre are
// kept, and that a daemon that died during the partition is removed afterwards.
func TestPartitionedDataCentre(t *testing.T) {
	for _, s := range sizes(1, newSize(3, 10), newSize(3, 30), newSize(22, 30)) {
		n := newSteadyNetwork(9, s.dataCentres, s.each)
		excluded := map[string]bool{}
		for _, d := range n.nodes {
			excluded[d.name] = d.dc == "d0"
		}
		n.partitioned = func(a, b string) bool { return a != b && (a == "d0" || b == "d0") }
		times, missing := n.measureSpread(time.Minute, excluded, func(d *node) bool { return !d.table.Reachable("d0") })
		t.Logf("%v: marked unreachable after %s", s, percentiles(times))
		if missing > 0 || quantile(times, 1) > maxPartitionDetection {
			t.Errorf("%d daemons did not mark the data centre unreachable, want 0; the others took %s, which may exceed the limit", missing, percentiles(times))
		}
		n.run(12 * time.Minute)
		d := n.nodes[n.names[len(n.names)-1]]
		if m, ok := d.table.Get(n.names[0]); !ok || m.Status != prober.Alive {
			t.Errorf("member of the partitioned data centre: status %v, known %v; want alive", m.Status, ok)
		}
		gone := n.names[1]
		n.nodes[gone].up = false
		n.run(12 * time.Minute)
		n.partitioned = func(string, string) bool { return false }
		times, missing = n.measureSpread(time.Minute, nil, func(d *node) bool { return d.table.Reachable("d0") && d.table.Reachable("d1") })
		t.Logf("%v: marked reachable after %s", s, percentiles(times))
		if missing > 0 || quantile(times, 1) > maxStopTime {
			t.Errorf("%d daemons did not mark the data centre reachable again, want 0; the others took %s, which may exceed the limit", missing, percentiles(times))
		}
		took := n.runUntil(time.Minute, n.converged)
		t.Logf("%v: converged %v later, without the daemon that died during the partition", s, took.Round(time.Millisecond))
		if !n.converged() {
			t.Error("tables have not converged")
		}
	}
}

// TestHerd restarts all daemons of a data centre at once with empty tables. It
// checks that all daemons converge and that control traffic stays within its
// limit.
func TestHerd(t *testing.T) {
	for _, s := range sizes(1, newSize(3, 20), newSize(3, 60), newSize(3, 300), newSize(2, 864), newSize(22, 30)) {
		n := newSteadyNetwork(10, s.dataCentres, s.each)
		n.countBytes = true
		before := map[string]int{}
		for name, d := range n.nodes {
			before[name] = d.sent + d.received
			if d.dc == "d0" {
				d.up = false
				n.start(d)
			}
		}
		took := time.Minute
		for i := range 60 {
			n.run(time.Second)
			if n.converged() {
				took = min(took, time.Duration(i+1)*time.Second)
			}
		}
		busiest, total := 0, 0
		for name, d := range n.nodes {
			busiest = max(busiest, d.sent+d.received-before[name])
			total += d.sent + d.received - before[name]
		}
		t.Logf("%v: converged within %v; mean %d B/s per daemon over the minute, busiest %d", s, took,
			total/60/len(n.nodes), busiest/60)
		if busiest/60 > maxControlRate || !n.converged() {
			t.Errorf("busiest daemon: %d B/s; converged: %v; want true and a rate within the limit", busiest/60, n.converged())
		}
	}
}
