package mover_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/mover"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func pendingMove(deadline time.Duration, steps ...int) applier.MoveStatus {
	return applier.MoveStatus{
		Service: "renewal",
		Phase:   applier.Pending,
		Move: parser.Move{
			To:    "v2",
			By:    start.Add(deadline),
			Steps: steps,
			Hold:  parser.Duration{Duration: 10 * time.Second},
		},
	}
}

func ExampleNext() {
	s := mover.Situation{
		Status:   pendingMove(10*time.Minute, 10, 100),
		Capacity: mover.Capacity{New: 4, Old: 20},
		Calls:    1000,
	}
	for now := start; ; now = now.Add(time.Second) {
		if now.Equal(start.Add(time.Minute)) {
			s.Capacity.New = 20
		}
		next, ok := mover.Next(s, now)
		if !ok {
			continue
		}
		fmt.Printf("%v %s %d%%\n", now.Sub(start), next.Phase, next.Share)
		s.Status = next
		if next.Phase.Final() {
			return
		}
	}
	// Output:
	// 0s running 0%
	// 5s running 1%
	// 15s running 10%
	// 1m0s running 100%
	// 1m10s done 100%
}

func TestPlan(t *testing.T) {
	tests := []struct{ steps, want []int }{
		{nil, []int{1, 10, 50, 100}},
		{[]int{1, 100}, []int{1, 100}},
		{[]int{50, 100}, []int{1, 50, 100}},
		{[]int{100}, []int{1, 100}},
	}
	for _, tt := range tests {
		if got := mover.Plan(parser.Move{Steps: tt.steps}); !slices.Equal(got, tt.want) {
			t.Errorf("Plan(%v) = %v, want %v", tt.steps, got, tt.want)
		}
	}
}

func TestNext(t *testing.T) {
	ample := mover.Capacity{New: 10, Old: 10}
	runningAt := func(m applier.MoveStatus, step, share int, since time.Duration) applier.MoveStatus {
		m.Phase, m.Step, m.Share, m.Since = applier.Running, step, share, start.Add(since)
		return m
	}
	move := pendingMove(5*time.Minute, 1, 50, 100)
	final := move
	final.Phase = applier.Done
	tests := []struct {
		name  string
		s     mover.Situation
		now   time.Duration
		phase applier.Phase // empty if nothing is committed
		share int
	}{
		{"final", mover.Situation{Status: final, Withdrawn: true}, 0, "", 0},
		{"bad", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: ample, Withdrawn: true}, time.Second, applier.RolledBack, 0},
		{"bad while pending", mover.Situation{Status: move, Capacity: ample, Withdrawn: true}, 0, applier.RolledBack, 0},
		{"hold time not over", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: ample, Calls: 1000}, 9 * time.Second, "", 0},
		{"hold time over", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: ample, Calls: 1000}, 10 * time.Second, applier.Running, 50},
		{"few calls", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: ample, Calls: 199}, 40 * time.Second, "", 0},
		{"few calls until the maximum step time", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: ample, Calls: 199}, 50 * time.Second, applier.Running, 50},
		{"no capacity", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: mover.Capacity{New: 4, Old: 10}, Calls: 1000}, time.Minute, "", 0},
		{"capacity for the demand", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: mover.Capacity{New: 4, Old: 10, Demand: 6}, Calls: 1000}, time.Minute, applier.Running, 50},
		{"demand over capacity", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: mover.Capacity{New: 10, Old: 5, Demand: 20}, Calls: 1000}, time.Minute, "", 0},
		{"no slots at all", mover.Situation{Status: runningAt(move, 0, 0, 0), Capacity: mover.Capacity{}, Calls: 1000}, time.Minute, "", 0},
		{"not enough time left for the steps", mover.Situation{Status: runningAt(move, 1, 1, 0), Capacity: mover.Capacity{}, Calls: 1000}, 267 * time.Second, applier.RolledBack, 0},
		{"done", mover.Situation{Status: runningAt(move, 3, 100, 0), Capacity: ample, Calls: 1000}, 10 * time.Second, applier.Done, 100},
		{"done just before the keeper margin", mover.Situation{Status: runningAt(move, 3, 100, 0), Capacity: ample, Calls: 1000}, 5*time.Minute - mover.KeeperMargin - 1, applier.Done, 100},
		{"keeper margin begun", mover.Situation{Status: runningAt(move, 3, 100, 0), Capacity: ample, Calls: 1000}, 5*time.Minute - mover.KeeperMargin, applier.RolledBack, 0},
		{"long after the deadline", mover.Situation{Status: runningAt(move, 3, 100, 0), Capacity: ample, Calls: 1000}, time.Hour, applier.RolledBack, 0},
		{"published too late", mover.Situation{Status: pendingMove(20 * time.Second), Capacity: ample}, 0, applier.RolledBack, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, ok := mover.Next(tt.s, start.Add(tt.now))
			if ok != (tt.phase != "") || ok && (next.Phase != tt.phase || next.Share != tt.share) {
				t.Errorf("Next() = ok %t, %s %d%%, want %q %d%%", ok, next.Phase, next.Share, tt.phase, tt.share)
			}
			if ok && next.Phase == applier.RolledBack && next.Reason == "" && !tt.s.Withdrawn {
				t.Error("rolled back with an empty Reason, want one")
			}
		})
	}
}

// TestSendingStaysStopped checks that an entry daemon that has stopped sending to
// the new version does not start again without a commit, and that it always
// stops by the deadline of a rollout without an outcome.
func TestSendingStaysStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := pendingMove(time.Duration(rapid.IntRange(0, 600).Draw(t, "by")) * time.Second)
		m.Phase = rapid.SampledFrom([]applier.Phase{applier.Pending, applier.Running}).Draw(t, "phase")
		stopped := false
		for s := range 700 {
			stoppedNow := mover.SendingStopped(m, false, start.Add(time.Duration(s)*time.Second))
			if stopped && !stoppedNow {
				t.Fatalf("sending was stopped at %d s and started again, want it to stay stopped", s-1)
			}
			stopped = stoppedNow
		}
		if !stopped {
			t.Fatal("still sending 699 s after the start, want sending to stop by the deadline (at most 600 s after the start)")
		}
		if m.Phase = applier.Done; mover.SendingStopped(m, false, start.Add(time.Hour)) {
			t.Fatal("SendingStopped() = true for a completed rollout after its deadline, want false")
		}
	})
}
