package soaker_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

func TestGenerateEventsDeterministic(t *testing.T) {
	a := soaker.GenerateEvents(7, 6, 20*time.Second)
	if !reflect.DeepEqual(a, soaker.GenerateEvents(7, 6, 20*time.Second)) {
		t.Error("the same seed gave different events")
	}
	if reflect.DeepEqual(a, soaker.GenerateEvents(8, 6, 20*time.Second)) {
		t.Error("different seeds gave the same events")
	}
}

// TestGenerateEventsKinds checks that the events of 60 seeds include every kind, have
// valid times, lengths and nodes, and overlap on one daemon at least once.
func TestGenerateEventsKinds(t *testing.T) {
	const nodes, length = 6, 20 * time.Second
	seen := map[soaker.Kind]int{}
	overlaps, pausedStops := 0, 0
	for seed := range uint64(60) {
		var ends [nodes]time.Duration
		last := time.Duration(0)
		moves := 0
		for _, e := range soaker.GenerateEvents(seed, nodes, length) {
			seen[e.Kind]++
			if e.At < last || e.At >= length || e.Length <= 0 || e.Length > 5*time.Second || e.Node < 0 || e.Node >= nodes {
				t.Fatalf("seed %d: event out of range: %+v", seed, e)
			}
			if e.At < ends[e.Node] {
				overlaps++
			}
			if e.Kind == soaker.Move {
				moves++
			}
			if len(e.Pauses) > 0 {
				pausedStops++
			}
			for _, p := range e.Pauses {
				if e.Kind != soaker.Stop || p.After < 0 || p.Length < 100*time.Millisecond || p.Length > 600*time.Millisecond {
					t.Fatalf("seed %d: pause out of range: %+v", seed, e)
				}
			}
			last = e.At
			ends[e.Node] = max(ends[e.Node], e.At+e.Length)
		}
		if moves > 1 {
			t.Errorf("seed %d: %d moves, want at most 1", seed, moves)
		}
	}
	for _, k := range []soaker.Kind{
		soaker.Kill, soaker.Pause, soaker.Stop, soaker.Reload,
		soaker.Delay, soaker.Reset, soaker.StallBoth, soaker.StallRequests, soaker.StallResponses,
		soaker.StoreUnresponsive, soaker.StoreRefuse, soaker.StoreSlow, soaker.StoreLoseResponses, soaker.StoreRevokeLeases, soaker.StorePauseLeases, soaker.StoreCompact, soaker.StoreRestore,
		soaker.Crash, soaker.Drain, soaker.Slow, soaker.Fail, soaker.LoseResponses, soaker.Shed, soaker.EndlessHeads, soaker.EndlessBodies,
		soaker.Declare, soaker.Evacuate, soaker.Move,
	} {
		if seen[k] == 0 {
			t.Errorf("no event of kind %q", k)
		}
	}
	if pausedStops == 0 || pausedStops == seen[soaker.Stop] {
		t.Errorf("%d of %d stops have pauses, want some", pausedStops, seen[soaker.Stop])
	}
	if overlaps == 0 {
		t.Error("no events overlap on one daemon")
	}
}
