package mover_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/mover"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// outcomeOp is a write or a read of the outcome of one rollout. deadline
// identifies the rollout.
type outcomeOp struct {
	deadline time.Time
	write    bool
	phase    applier.Phase
}

// outcomeResult is the result of a write or a read.
type outcomeResult struct {
	verdict classifier.Verdict // of a write; Ran means success
	phase   applier.Phase      // of a read; empty if there is no outcome
}

// writeOnceModel has one register for each rollout, identified by its deadline.
// A register can be written once.
var writeOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[time.Time][]porcupine.Operation{}
		for _, o := range history {
			deadline := o.Input.(outcomeOp).deadline
			parts[deadline] = append(parts[deadline], o)
		}
		var all [][]porcupine.Operation
		for _, p := range parts {
			all = append(all, p)
		}
		return all
	},
	Init: func() []any { return []any{applier.Phase("")} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(applier.Phase), input.(outcomeOp), output.(outcomeResult)
		switch {
		case !in.write && out.phase == current:
			return []any{current}
		case !in.write:
			return nil
		case out.verdict == classifier.NotRun:
			return []any{current}
		case current == "":
			if out.verdict == classifier.MayHaveRun {
				return []any{current, in.phase}
			}
			return []any{in.phase}
		case out.verdict == classifier.MayHaveRun:
			return []any{current}
		}
		return nil
	},
}

// simulation is one run of keepers and operators on a platform with faults.
type simulation struct {
	t          *rapid.T
	clock      *timekeeper.Virtual
	platform   *emulator.Platform
	keepers    []*mover.Keeper
	states     []*applier.State
	versionBad bool
	// generation is the number of published rollouts; it determines the
	// deadline. pauseDepth is the number of nested pauses.
	generation,
	pauseDepth int
	timestamp int64
	history   []porcupine.Operation
}

func newSimulation(t *rapid.T) *simulation {
	r := &simulation{t: t, clock: timekeeper.NewVirtual(start)}
	r.platform = emulator.NewPlatform(r.clock)
	for n := range 3 {
		log := r.log(fmt.Sprint("vm-", n))
		r.keepers = append(r.keepers, &mover.Keeper{
			Name:  log.Author,
			Clock: r.clock,
			Load:  log.Load,
			Look: func(m applier.MoveStatus) mover.Situation {
				return mover.Situation{
					Status:    m,
					Capacity:  mover.Capacity{New: 10, Old: 10},
					Withdrawn: r.versionBad,
					Reason:    "bad",
					Calls:     1000,
				}
			},
			Commit: func(ctx context.Context, base *applier.State, c applier.Change) (applier.Entry, error) {
				return r.commit(n, log, base, c)
			},
		})
		r.states = append(r.states, &applier.State{})
	}
	return r
}

func (r *simulation) log(author string) *committer.Log {
	return &committer.Log{Platform: r.platform.Client(), Clock: r.clock, Author: author}
}

func (r *simulation) nextTimestamp() int64 {
	r.timestamp++
	return r.timestamp
}

// commit writes a keeper's decision. Before the write it may run other random
// steps, as if the keeper were paused between decision and write.
func (r *simulation) commit(n int, log *committer.Log, base *applier.State, c applier.Change) (applier.Entry, error) {
	if r.pauseDepth < 3 && rapid.Bool().Draw(r.t, "paused") {
		r.pauseDepth++
		for range rapid.IntRange(1, 4).Draw(r.t, "meanwhile") {
			r.randomStep()
		}
		r.pauseDepth--
	}
	started := r.nextTimestamp()
	e, err := log.Commit(context.Background(), base, c)
	m := c.Moves[0]
	if !m.Phase.Final() {
		return e, err
	}
	op := porcupine.Operation{
		ClientId: n,
		Input:    outcomeOp{deadline: m.Move.By, write: true, phase: m.Phase},
		Call:     started,
		Output:   outcomeResult{verdict: classifier.Ran},
		Return:   r.nextTimestamp(),
	}
	switch {
	case errors.Is(err, committer.ErrRevisionTaken), err != nil && classifier.VerdictOf(err) == classifier.NotRun:
		op.Output = outcomeResult{verdict: classifier.NotRun}
	case err != nil:
		op.Output, op.Return = outcomeResult{verdict: classifier.MayHaveRun}, math.MaxInt64
	}
	r.history = append(r.history, op)
	return e, err
}

// publish publishes the same rollout again as an operator, or one with a new
// deadline.
func (r *simulation) publish(newMove bool) {
	log := r.log("operator")
	state, err := log.Load(context.Background(), &applier.State{})
	if err != nil {
		return
	}
	if newMove {
		r.generation++
		r.versionBad = false
	}
	svc := parser.Service{
		Name:     "renewal",
		Versions: []parser.Version{{Name: "v1", Share: 100}},
		Routes:   []parser.Route{{Path: "/"}},
		Move: &parser.Move{
			To: "v2",
			By: start.Add(time.Duration(r.generation) * 90 * time.Second),
		},
	}
	_, _ = log.Commit(context.Background(), state, applier.Change{Services: []parser.Service{svc}})
}

// read records a read of the outcome at the log's head.
func (r *simulation) read() {
	started := r.nextTimestamp()
	state, err := r.log("reader").Load(context.Background(), &applier.State{})
	m, ok := state.Move("renewal")
	if err != nil || !ok {
		return
	}
	out := outcomeResult{}
	if m.Phase.Final() {
		out.phase = m.Phase
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: 9,
		Input:    outcomeOp{deadline: m.Move.By},
		Call:     started,
		Output:   out,
		Return:   r.nextTimestamp(),
	})
}

func (r *simulation) randomStep() {
	switch rapid.IntRange(0, 9).Draw(r.t, "kind of step") {
	case 0, 1, 2, 3:
		n := rapid.IntRange(0, len(r.keepers)-1).Draw(r.t, "keeper")
		r.states[n], _ = r.keepers[n].CommitIfDue(context.Background(), r.states[n], "renewal")
		if r.states[n].Revision() == 0 {
			r.states[n], _ = r.keepers[n].Load(context.Background(), r.states[n])
		}
	case 4, 5:
		r.clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(r.t, "seconds")) * time.Second)
	case 6:
		r.publish(rapid.Bool().Draw(r.t, "new rollout"))
	case 7:
		r.platform.SetFaults(emulator.Faults{
			Outage:      rapid.IntRange(0, 3).Draw(r.t, "outage") == 0,
			LoseAnswers: rapid.IntRange(0, 2).Draw(r.t, "lost answers"),
		})
	case 8:
		r.versionBad = r.versionBad || rapid.IntRange(0, 4).Draw(r.t, "bad") == 0
	case 9:
		r.read()
	}
}

// runWithoutFaults lets all keepers run for two minutes without faults, then
// reads the outcome.
func (r *simulation) runWithoutFaults() {
	r.platform.SetFaults(emulator.Faults{})
	r.pauseDepth = 3
	for range 40 {
		r.clock.Advance(3 * time.Second)
		for n, k := range r.keepers {
			r.states[n], _ = k.Load(context.Background(), r.states[n])
			r.states[n], _ = k.CommitIfDue(context.Background(), r.states[n], "renewal")
		}
	}
	r.read()
}

// TestOutcomeIsWrittenOnce checks that each rollout gets one outcome and that
// all readers see it. Keepers are paused between decision and write, responses
// are lost, the platform has outages, and operators publish new rollouts
// concurrently.
func TestOutcomeIsWrittenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation(t)
		r.generation = 1
		r.publish(false)
		for range rapid.IntRange(5, 60).Draw(t, "number of steps") {
			r.randomStep()
		}
		r.runWithoutFaults()
		if !porcupine.CheckOperations(writeOnceModel.ToModel(), r.history) {
			t.Fatalf("history is not linearizable as a write-once register: %+v", r.history)
		}
		for n := range r.keepers {
			if m, ok := r.states[n].Move("renewal"); !ok || !m.Phase.Final() {
				t.Fatalf("keeper %d: rollout %+v has no outcome, want a final phase", n, m)
			}
		}
	})
}
