package shifter_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
)

// trialStep is a period of a trial.
type trialStep struct {
	length  time.Duration
	serving bool
	// calls is the number of responses that are known at the end of the step.
	calls int
}

func TestTrial(t *testing.T) {
	steady := func(calls ...int) []trialStep {
		var steps []trialStep
		for _, n := range calls {
			steps = append(steps, trialStep{
				length:  time.Second,
				serving: true,
				calls:   n,
			})
		}
		return steps
	}
	beforeFullShare := steady(5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 60)
	for name, test := range map[string]struct {
		steps     []trialStep
		elapsed   time.Duration
		completes bool
	}{
		"not begun": {},
		"enough time and responses": {
			steps:     slices.Concat(beforeFullShare, steady(150, 250)),
			elapsed:   13 * time.Second,
			completes: true,
		},
		"too little time": {
			steps:   slices.Concat(beforeFullShare, steady(250)),
			elapsed: 12 * time.Second,
		},
		"no responses": {
			steps:   steady(make([]int, 20)...),
			elapsed: 20 * time.Second,
		},
		"no responses since it gets all requests": {
			steps:   slices.Concat(beforeFullShare, steady(60, 60, 60, 60)),
			elapsed: 15 * time.Second,
		},
		"no target that can get requests": {
			steps: []trialStep{{length: 60 * time.Second}, {length: 60 * time.Second, calls: 500}},
		},
		"a target for half of the time": {
			steps: []trialStep{
				{length: 5 * time.Second, serving: true, calls: 200},
				{length: 15 * time.Second, calls: 200},
				{length: 5 * time.Second, serving: true, calls: 500},
			},
			elapsed: 10 * time.Second,
		},
		"responses since a daemon was lost": {
			steps:     slices.Concat(beforeFullShare, steady(60, 20, 50)),
			elapsed:   14 * time.Second,
			completes: true,
		},
		"too few responses since a daemon was lost": {
			steps:   slices.Concat(beforeFullShare, steady(60, 20, 40)),
			elapsed: 14 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)
			trial := shifter.NewTrial(now)
			calls := 0
			for _, s := range test.steps {
				trial = trial.With(rollout, now, s.serving, calls)
				now = now.Add(s.length)
				calls = s.calls
				trial = trial.With(rollout, now, s.serving, calls)
			}
			if got := trial.Elapsed(now); got != test.elapsed {
				t.Errorf("Elapsed() = %v, want %v", got, test.elapsed)
			}
			if got := trial.Completes(rollout, now, calls); got != test.completes {
				t.Errorf("Completes() = %v, want %v", got, test.completes)
			}
		})
	}
}

// TestTrialFitsIntoPeriod guards against a good version that is completed too late because
// its targets start after the rollout was received.
func TestTrialFitsIntoPeriod(t *testing.T) {
	for _, period := range []time.Duration{8, 12, 16, 30, 600} {
		r := rollout
		r.Period = period * time.Second
		received := time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)
		trial := shifter.NewTrial(received)
		const step = 100 * time.Millisecond
		calls := 0
		now := received
		for ; now.Sub(received) < 2*r.Period && !trial.Completes(r, now, calls); now = now.Add(step) {
			if trial.Share(r, now) == 1 {
				calls += 5
			}
			trial = trial.With(r, now, now.Sub(received) >= 1500*time.Millisecond, calls)
		}
		if completed := now.Sub(received); completed > r.Period-time.Second {
			t.Errorf("period %v: completed after %v, want at least 1 s before the end", r.Period, completed)
		}
	}
}

// TestLateTrialIsNotShort checks the shares of a version whose first target starts when the
// period is over: half of the period's trial at least.
func TestLateTrialIsNotShort(t *testing.T) {
	received := time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)
	began := received.Add(2 * rollout.Period)
	trial := shifter.NewTrial(received).With(rollout, began, true, 0)
	half := rollout
	half.Period /= 2
	for elapsed := time.Duration(0); elapsed < rollout.Period; elapsed += 100 * time.Millisecond {
		now := began.Add(elapsed)
		if got, want := trial.Share(rollout, now), half.Share(elapsed); got != want {
			t.Fatalf("Share() = %v after %v, want %v", got, elapsed, want)
		}
		if trial.Completes(rollout, now, 1000) && elapsed < half.CompletionTime() {
			t.Fatalf("completes after %v, want at least %v", elapsed, half.CompletionTime())
		}
	}
}
