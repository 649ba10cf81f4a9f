package shifter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

var rollout = shifter.Rollout{
	Service:  "renewal",
	Version:  "v2",
	Period:   16 * time.Second,
	Revision: 7,
}

// TestShareOverTime checks the share over a whole period. A version that becomes
// bad at the last step, when it gets all requests, and is found bad 500 ms later
// must have received at most a tenth of the period's requests.
func TestShareOverTime(t *testing.T) {
	for _, period := range []time.Duration{8, 12, 16, 30, 600} {
		o := rollout
		o.Period = period * time.Second
		const step = 10 * time.Millisecond
		var exposure, previous float64
		var fullAt time.Duration
		for elapsed := time.Duration(0); elapsed < o.Period; elapsed += step {
			share := o.Share(elapsed)
			if share < previous {
				t.Fatalf("share decreases from %v to %v at %v, want no decrease", previous, share, elapsed)
			}
			previous = share
			if share == 1 && fullAt == 0 {
				fullAt = elapsed
			}
			if fullAt == 0 || elapsed < fullAt+500*time.Millisecond {
				exposure += share * step.Seconds()
			}
		}
		if previous != 1 {
			t.Errorf("period %v: share = %v at the end, want 1", o.Period, previous)
		}
		if limit := 0.1 * o.Period.Seconds(); exposure > limit {
			t.Errorf("period %v: new version got %.2f s of the requests, want at most %.2f s", o.Period, exposure, limit)
		}
		if completed := o.CompletionTime(); completed > o.Period-time.Second || completed < fullAt+time.Second {
			t.Errorf("period %v: CompletionTime() = %v, want at least 1 s after share 1 (%v) and 1 s before the end", o.Period, completed, fullAt)
		}
	}
}

func TestJudge(t *testing.T) {
	const usual = 100 * time.Millisecond
	good := shifter.RequestResult{Rule: "pay", Duration: usual, MeanDuration: usual}
	failed := shifter.RequestResult{Rule: "pay", Failed: true, Duration: usual, MeanDuration: usual}
	slow := shifter.RequestResult{Rule: "pay", Duration: 8 * usual, MeanDuration: usual}
	slightlySlow := shifter.RequestResult{Rule: "pay", Duration: 3 * usual, MeanDuration: usual}
	repeat := func(pattern ...shifter.RequestResult) []shifter.RequestResult {
		var all []shifter.RequestResult
		for len(all) < 60 {
			all = append(all, pattern...)
		}
		return all
	}
	other := good
	other.Rule = "status"
	for name, test := range map[string]struct {
		results             []shifter.RequestResult
		baselineFailureRate float64
		bad                 bool
	}{
		"good":                                {results: repeat(good)},
		"fails a third":                       {results: repeat(good, good, failed), bad: true},
		"as many failures as the old version": {results: repeat(good, good, good, failed), baselineFailureRate: 0.25},
		"one failure in sixty":                {results: append(repeat(good), failed)},
		"half of the responses slow":          {results: repeat(good, slow), bad: true},
		"all responses slightly slow":         {results: repeat(slightlySlow)},
		"one rule of two fails":               {results: repeat(other, other, other, other, failed, good), bad: true},
		"fails after a good start":            {results: append(repeat(good), repeat(good, failed)...), bad: true},
		"three failures only":                 {results: []shifter.RequestResult{failed, failed, failed}},
	} {
		t.Run(name, func(t *testing.T) {
			var j shifter.Judge
			for _, a := range test.results {
				j.Add(rollout, a, test.baselineFailureRate)
			}
			if got := j.Bad(rollout); got != test.bad {
				t.Errorf("Bad() = %v, want %v", got, test.bad)
			}
			next := rollout
			next.Revision++
			if j.Bad(next) {
				t.Error("Bad() = true for another rollout, want false")
			}
		})
	}
}

func TestResultsBad(t *testing.T) {
	target := func(timed, slow int) shifter.Totals {
		return shifter.Totals{
			Calls: timed,
			Timed: timed,
			Slow:  slow,
		}
	}
	for name, test := range map[string]struct {
		// reports are those of one daemon each.
		reports             []shifter.Totals
		baselineFailureRate float64
		bad                 bool
	}{
		"no responses":                                {},
		"few failures among many responses":           {reports: []shifter.Totals{{Calls: 1000, Failures: 4}}},
		"one failure in twelve":                       {reports: []shifter.Totals{{Calls: 90, Failures: 8}}, bad: true},
		"one failure in twelve, old version the same": {reports: []shifter.Totals{{Calls: 90, Failures: 8}}, baselineFailureRate: 0.08},
		"most fail, old version fails less":           {reports: []shifter.Totals{{Calls: 60, Failures: 40}}, baselineFailureRate: 0.2, bad: true},
		"five slow responses besides one target":      {reports: []shifter.Totals{target(3, 3), target(3, 2), target(3, 3)}},
		"a sixth of the responses slow":               {reports: []shifter.Totals{target(24, 4), target(24, 4), target(24, 4)}, bad: true},
		"a tenth of the responses slow":               {reports: []shifter.Totals{target(500, 50), target(500, 50), target(500, 50)}},
		"a quarter of the judged durations slow":      {reports: []shifter.Totals{{Calls: 500, Timed: 40, Slow: 10}, target(40, 10)}, bad: true},
		"one slow target of three":                    {reports: []shifter.Totals{target(40, 1), target(20, 18), target(40, 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			var results shifter.Results
			for i, report := range test.reports {
				results.Add(fmt.Sprintf("martin-%d", i), report)
			}
			if got := results.Bad(test.baselineFailureRate); got != test.bad {
				t.Errorf("Bad() = %v, want %v", got, test.bad)
			}
		})
	}
}

func TestOutcomeOfEarlierRollout(t *testing.T) {
	outcome := shifter.Outcome{
		Version: "v2",
		State:   shifter.RolledBack,
		Item:    storer.Item{Version: 5},
	}
	if outcome.Ends(rollout) {
		t.Error("Ends() = true for an outcome older than the rollout, want false")
	}
	outcome.Item.Version = 9
	if !outcome.Ends(rollout) {
		t.Error("Ends() = false for an outcome newer than the rollout, want true")
	}
}
