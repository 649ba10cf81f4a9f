package soaker

import (
	"testing"
	"time"
)

// TestExitOfShutdownExcusesNoRequest checks which downtimes excuse a request that
// began before the daemon went down and ended after that.
func TestExitOfShutdownExcusesNoRequest(t *testing.T) {
	down := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	before, after := down.Add(-time.Second), down.Add(time.Second)
	for _, restarted := range []bool{false, true} {
		for _, planned := range []bool{false, true} {
			p := &process{downSince: down, plannedDown: planned}
			if restarted {
				p = &process{unavailable: []span{{from: down, to: after, planned: planned}}}
			}
			if got := p.excusesFailure(before, after, false); got == planned {
				t.Errorf("restarted %v, planned %v: request sent before the exit is excused: %v", restarted, planned, got)
			}
			if !p.excusesFailure(down.Add(time.Millisecond), after, false) {
				t.Errorf("restarted %v, planned %v: request sent while the daemon was down is not excused", restarted, planned)
			}
		}
	}
}
