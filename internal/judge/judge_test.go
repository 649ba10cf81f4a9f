package judge_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/judge"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var testRollout = judge.RolloutIDOf("renewal", parser.Move{
	To: "v2",
	By: start.Add(10 * time.Minute),
})

func tally(version string, sequence, calls, bad uint64) judge.Tally {
	return judge.Tally{
		RolloutID: testRollout,
		Version:   version,
		From:      "vm-" + version,
		Epoch:     start,
		Sequence:  sequence,
		Routes:    []judge.RouteCount{{Route: "* /", Count: judge.Count{Calls: calls, Bad: bad}}},
	}
}

func ExampleJudge() {
	j := judge.New(testRollout, 4, 1, start)
	_ = j.Add(tally("v1", 1, 1000, 10))
	_ = j.Add(tally("v2", 1, 10, 0))
	fmt.Println(j.Step(start.Add(judge.Period)).Bad)
	_ = j.Add(tally("v1", 2, 2000, 20))
	_ = j.Add(tally("v2", 2, 20, 10))
	fmt.Println(j.Step(start.Add(2 * judge.Period)).Reason)
	// Output:
	// false
	// * /: 10 of 20 calls bad, the old version's share is 1.0%
}

// TestTalliesCountOnce checks that each call is counted once when tallies are
// lost, repeated or reordered and the sending daemon restarts.
func TestTalliesCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := judge.New(testRollout, 4, 1, start)
		var sent []judge.Tally
		var want, got uint64
		epochs := rapid.IntRange(1, 3).Draw(t, "epochs")
		for epoch := range epochs {
			var calls uint64
			for n := range rapid.IntRange(1, 10).Draw(t, "tallies") {
				calls += rapid.Uint64Range(0, 50).Draw(t, "calls")
				current := tally("v2", uint64(n+1), calls, 0)
				current.Epoch = start.Add(time.Duration(epoch) * time.Second)
				sent = append(sent, current)
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				repeated := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "index of the repeated tally")]
				_ = j.Add(repeated)
				_ = j.Add(current)
				_ = j.Add(current)
			}
			_ = j.Add(sent[len(sent)-1])
			want += calls
		}
		got = j.Step(start.Add(time.Second)).NewCalls
		if got != want {
			t.Fatalf("counted %d calls, want %d", got, want)
		}
	})
}

func TestTallyOfOtherRolloutIsRejected(t *testing.T) {
	j := judge.New(testRollout, 4, 1, start)
	other := tally("v2", 1, 10, 10)
	other.RolloutID.By = start
	if j.Add(other) == nil {
		t.Error("Add() = nil for a tally of another rollout, want an error")
	}
	if other.RolloutID.Subject() == testRollout.Subject() {
		t.Error("Subject() is the same for two rollouts of one version, want different subjects")
	}
}

func TestInitialBadCalls(t *testing.T) {
	var r judge.Recorder
	if r.Record("/", true, 0) {
		t.Error("Record() = true without a rollout, want false")
	}
	r.Begin(testRollout, "v2", "vm", start)
	for n := range judge.InitialBadCalls + 5 {
		if got, want := r.Record("/", true, 0), n == judge.InitialBadCalls-1; got != want {
			t.Errorf("call %d: Record() = %t, want %t", n, got, want)
		}
	}
	r.Begin(testRollout, "v2", "vm", start)
	if got, _ := r.Tally(); got.Routes[0].Calls != judge.InitialBadCalls+5 {
		t.Errorf("Begin() for the same case changed the counts to %+v, want all calls kept", got)
	}
	other := testRollout
	other.By = start
	r.Begin(other, "v2", "vm", start)
	_ = r.Record("/", false, 0)
	for range judge.InitialBadCalls {
		if r.Record("/", true, 0) {
			t.Error("Record() = true although the first call was good, want false")
		}
	}
}
