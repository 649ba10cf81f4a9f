package comparer_test

import (
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/comparer"
	"github.com/coltsfootlane/coltsfootlane/internal/judge"
)

// Upper bounds for rollouts of bad versions.
const (
	maxFailedShare  = 0.01
	maxReactionTime = 2 * time.Second
)

// TestGoals checks the judge and the mover in all scenarios: the false positives
// and completion of good rollouts, and the failed calls and reaction time of bad
// ones. Good scenarios run with 1000 seeds.
func TestGoals(t *testing.T) {
	rows := comparer.Compare(comparer.RolloutCounts{
		Good:      1000,
		Bad:       200,
		Threshold: 20,
	})
	if err := comparer.WriteTable(t.Output(), rows); err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		s := r.Sequential
		switch {
		case r.Scenario.Good && (s.RolledBack > judge.FalsePositiveRate || s.OnTime+s.RolledBack < 0.9999):
			t.Errorf("%s: fraction %.4f rolled back, %.4f completed on time; want at most the false positive rate rolled back and all others on time", r.Scenario.Name, s.RolledBack, s.OnTime)
		case !r.Scenario.Good && (s.FailedShare >= maxFailedShare || s.RolledBack < 0.9999):
			t.Errorf("%s: fraction %.4f of the calls failed by the new version, %.4f rolled back; want less than maxFailedShare and all rolled back", r.Scenario.Name, s.FailedShare, s.RolledBack)
		case r.Scenario.DetectableInSeconds && s.ReactionTime > maxReactionTime:
			t.Errorf("%s: calls went to the bad version for %v, want at most maxReactionTime", r.Scenario.Name, s.ReactionTime)
		}
	}
}
