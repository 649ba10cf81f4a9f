package shifter_test

import (
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
)

// TestResultsOfRestartedDaemon checks that reports are counted once, and that those from
// before a daemon's restart stay counted.
func TestResultsOfRestartedDaemon(t *testing.T) {
	var c shifter.Results
	for _, r := range []struct {
		daemon string
		report shifter.Totals
		want   shifter.Totals
	}{
		{daemon: "a", report: shifter.Totals{Calls: 8}, want: shifter.Totals{Calls: 8}},
		{daemon: "a", report: shifter.Totals{Calls: 8}, want: shifter.Totals{Calls: 8}},
		{daemon: "b", report: shifter.Totals{Calls: 5, Failures: 2}, want: shifter.Totals{Calls: 13, Failures: 2}},
		{daemon: "a", report: shifter.Totals{Calls: 20, Failures: 1}, want: shifter.Totals{Calls: 25, Failures: 3}},
		{daemon: "a", report: shifter.Totals{}, want: shifter.Totals{Calls: 25, Failures: 3}},
		{daemon: "a", report: shifter.Totals{Calls: 2, Failures: 1}, want: shifter.Totals{Calls: 27, Failures: 4}},
		{daemon: "b", report: shifter.Totals{Calls: 6, Failures: 1}, want: shifter.Totals{Calls: 33, Failures: 5}},
	} {
		c.Add(r.daemon, r.report)
		if got := c.Total(); got != r.want {
			t.Errorf("Total() = %+v after %q reported %+v, want %+v", got, r.daemon, r.report, r.want)
		}
	}
}
