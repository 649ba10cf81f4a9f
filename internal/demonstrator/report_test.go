package demonstrator_test

import (
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/reporter"
)

// TestReport checks that the report counts each good and bad call exactly once, and
// that its calls by capacity add up to the calls that the targets accepted.
func TestReport(t *testing.T) {
	_, north, south := twoDataCentres(t)
	report := func() (level reporter.ServiceLevel, capacityCalls int64) {
		var r reporter.Report
		if err := south.OperatorRequest(t.Context(), "GET", "/v1/report", nil, &r); err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Capacity {
			capacityCalls += c.Calls
		}
		if len(r.Levels) == 1 {
			level = r.Levels[0]
		}
		return level, capacityCalls
	}
	calls := func(l reporter.ServiceLevel) (calls, bad int64) {
		if len(l.Burns) == 0 {
			return 0, 0
		}
		last := l.Burns[len(l.Burns)-1]
		return last.Calls, last.Bad
	}
	awaitAllCounted := func() (total, bad int64) {
		await(t, "the report counts all calls", func() bool {
			l, capacityCalls := report()
			total, bad = calls(l)
			return total > 0 && capacityCalls == int64(north.Target.Served()+south.Target.Served())
		})
		return total, bad
	}
	before, badBefore := awaitAllCounted()
	north.Target.SetBehaviour(emulator.Behaviour{FailPercent: 100})
	south.Target.SetBehaviour(emulator.Behaviour{FailPercent: 100})
	const n = 25
	for range n {
		if callSucceeds(t, north) {
			t.Fatal("call to failing targets succeeded")
		}
	}
	await(t, "the report counts exactly the failed calls as bad", func() bool {
		l, _ := report()
		total, bad := calls(l)
		return total == before+n && bad == badBefore+n
	})
}
