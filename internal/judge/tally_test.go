package judge_test

import (
	"encoding/json"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/judge"
)

// BenchmarkTally adds a tally with two routes, runs the test, and reports the
// tally's size as JSON.
func BenchmarkTally(b *testing.B) {
	j := judge.New(testRollout, 4, 2, start)
	t := tally("v2", 1, 100_000, 1000)
	t.Routes = append(t.Routes, judge.RouteCount{Route: "/renewals/payments", Count: judge.Count{Calls: 100_000}})
	data, err := json.Marshal(t)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		t.Sequence++
		_ = j.Add(t)
		_ = j.Step(start)
	}
	b.ReportMetric(float64(len(data)), "bytes/tally")
}
