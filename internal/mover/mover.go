// Package mover decides when the rollout of a new version (a move) advances to
// its next step, is done or is rolled back.
//
// Next is a pure function of the committed status and the current
// observations. Raising the new version's share needs a committed step.
// Stopping does not: SendingStopped reports when an entry daemon, which receives
// requests from callers, stops sending to the new version without a commit.
package mover

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Class is the error class of this package.
var Class = errs.Class("mover")

// Durations and thresholds of a rollout.
const (
	// FirstShare is the largest share that the first step may have, in percent.
	FirstShare = 1
	// BaselineTime is the minimum time for which only the old version's calls are
	// counted, before the first step. After BaselineCalls of these calls, the
	// first step starts as soon as BaselineTime is over.
	BaselineTime  = 5 * time.Second
	BaselineCalls = 500
	// MinStepTime is the minimum duration of a step. It leaves time for the
	// daemons' call counts to arrive.
	MinStepTime = 2 * time.Second
	// StepCalls is the number of counted calls after which a step ends as
	// soon as its hold time is over.
	StepCalls = 200
	// MaxClockSkew is the maximum difference between the clocks of two daemons.
	MaxClockSkew = 2 * time.Second
	// MaxCommitTime is the maximum duration of a commit, including the read that
	// follows a lost response.
	MaxCommitTime = 5 * time.Second
	// MaxPropagationTime is the maximum time until every daemon applies a commit.
	MaxPropagationTime = 5 * time.Second
	// OutageReserve is the part of the remaining time, at most half of it, that
	// steps do not spend on waiting for calls. With it a rollout can be done by
	// its deadline despite an outage of the platform.
	OutageReserve = 5 * time.Minute
)

// EntryMargin is how long before the deadline an entry daemon treats a rollout
// without a known outcome as rolled back.
const EntryMargin = MaxClockSkew

// KeeperMargin is how long before the deadline a keeper stops completing a
// rollout. A completion that it decides on earlier is applied by every daemon
// before EntryMargin begins on any daemon's clock.
const KeeperMargin = EntryMargin + MaxClockSkew + MaxCommitTime + MaxPropagationTime

// capacityMargin is the ratio that a step requires between the new version's
// slots and the measured demand at the step's share.
const capacityMargin = 1.25

// Capacity holds the slots that the alive members have announced for a service,
// and the measured demand.
type Capacity struct {
	// New and Old are the slots that accept requests: those of the version
	// being rolled out and those of all other versions.
	New int
	Old int
	// Demand is the recent peak of the number of slots that the service's calls
	// occupy, or 0 if it has not been measured.
	Demand float64
}

// covers reports whether the new version has enough slots for a share in
// percent. Without a measured demand it needs that share of the old versions'
// slots.
func (c Capacity) covers(share int) bool {
	required := float64(c.Old)
	if c.Demand > 0 {
		required = c.Demand * capacityMargin
	}
	return c.New > 0 && float64(c.New) >= math.Ceil(required*float64(share)/100)
}

// Situation is the input of a decision on a rollout, except for the time.
type Situation struct {
	Status   applier.MoveStatus
	Capacity Capacity
	// Withdrawn means that the new version was found bad; Reason states why.
	Withdrawn bool
	Reason    string
	// Calls is the number of calls counted since the current step was
	// committed: the old version's before the first step, the new version's
	// afterwards.
	Calls uint64
}

// Plan returns the shares of a rollout's steps, in percent. It puts a step of
// FirstShare before the declared ones if the first of these is larger.
func Plan(m parser.Move) []int {
	steps := m.Plan()
	if steps[0] <= FirstShare {
		return steps
	}
	return append([]int{FirstShare}, steps...)
}

// stepHold returns the minimum duration of a step of the rollout.
func stepHold(m parser.Move) time.Duration { return max(MinStepTime, m.Hold.Duration) }

// decisionDeadline returns the time until which a keeper may complete the
// rollout.
func decisionDeadline(m parser.Move) time.Time { return m.By.Add(-KeeperMargin) }

// Next returns the status to commit at the time now. ok is false if the
// committed status does not change.
func Next(s Situation, now time.Time) (next applier.MoveStatus, ok bool) {
	m := s.Status
	switch {
	case m.Phase.Final():
		return m, false
	case s.Withdrawn:
		return withRollback(m, now, s.Reason), true
	case !now.Before(decisionDeadline(m.Move)):
		return withRollback(m, now, timeoutReason(s)), true
	case now.Add(minRemaining(m, now)).After(decisionDeadline(m.Move)):
		return withRollback(m, now, timeoutReason(s)), true
	case m.Phase == applier.Pending:
		return withBaselineStarted(m, now), true
	case !stepComplete(s, now):
		return m, false
	case m.Step == len(Plan(m.Move)):
		return withDone(m, now), true
	}
	share := Plan(m.Move)[m.Step]
	if !s.Capacity.covers(share) {
		return m, false
	}
	return withShareRaised(m, now, share), true
}

// minRemaining returns the minimum time until the rollout can be done.
func minRemaining(m applier.MoveStatus, now time.Time) time.Duration {
	remaining := time.Duration(len(Plan(m.Move))-m.Step) * stepHold(m.Move)
	if m.Phase == applier.Pending {
		return remaining + BaselineTime
	}
	return remaining + max(0, minStepTime(m)-now.Sub(m.Since))
}

// minStepTime returns the minimum duration of the current step.
func minStepTime(m applier.MoveStatus) time.Duration {
	if m.Step == 0 {
		return BaselineTime
	}
	return stepHold(m.Move)
}

// stepComplete reports whether the current step may end: its minimum duration
// is over, and enough calls were counted or its maximum duration is over.
func stepComplete(s Situation, now time.Time) bool {
	m := s.Status
	elapsed := now.Sub(m.Since)
	if elapsed < minStepTime(m) {
		return false
	}
	return s.Calls >= callsNeeded(m) || elapsed >= maxStepTime(m)
}

// callsNeeded returns the number of counted calls after which the current step
// no longer waits for its maximum duration.
func callsNeeded(m applier.MoveStatus) uint64 {
	if m.Step == 0 {
		return BaselineCalls
	}
	return StepCalls
}

// maxStepTime returns how long the current step may wait for calls: an equal
// part of the remaining time, less a reserve for an outage of the platform.
// The baseline, step 0, may take half of the remaining time. The new version
// gets no calls during the baseline, so a long baseline does not expose callers
// to a bad version.
func maxStepTime(m applier.MoveStatus) time.Duration {
	remaining := decisionDeadline(m.Move).Sub(m.Since)
	remaining -= min(OutageReserve, remaining/2)
	if m.Step == 0 {
		return max(minStepTime(m), remaining/2)
	}
	steps := len(Plan(m.Move)) - m.Step + 1
	return max(minStepTime(m), remaining/time.Duration(steps))
}

// withBaselineStarted returns the status of a rollout whose baseline measurement
// begins now.
func withBaselineStarted(m applier.MoveStatus, now time.Time) applier.MoveStatus {
	m.Phase = applier.Running
	m.Since = now.UTC()
	return m
}

func withShareRaised(m applier.MoveStatus, now time.Time, share int) applier.MoveStatus {
	m.Phase = applier.Running
	m.Step++
	m.Share = share
	m.Since = now.UTC()
	return m
}

func withDone(m applier.MoveStatus, now time.Time) applier.MoveStatus {
	m.Phase = applier.Done
	m.Since = now.UTC()
	return m
}

func withRollback(m applier.MoveStatus, now time.Time, reason string) applier.MoveStatus {
	m.Phase = applier.RolledBack
	m.Share = 0
	m.Since = now.UTC()
	m.Reason = reason
	return m
}

// timeoutReason returns why a rollout cannot be done by its deadline.
func timeoutReason(s Situation) string {
	plan := Plan(s.Status.Move)
	if s.Status.Step < len(plan) && !s.Capacity.covers(plan[s.Status.Step]) {
		return fmt.Sprintf("not done in time: %d slots are not enough for %d%%", s.Capacity.New, plan[s.Status.Step])
	}
	return "not done in time"
}

// SendingStopped reports whether an entry daemon stops sending to the new
// version without a commit: the version was withdrawn, or the deadline is near
// and the outcome is not known.
func SendingStopped(m applier.MoveStatus, withdrawn bool, now time.Time) bool {
	if withdrawn {
		return true
	}
	return !m.Phase.Final() && !now.Before(m.Move.By.Add(-EntryMargin))
}
