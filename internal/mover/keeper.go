package mover

import (
	"context"
	"errors"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Keeper advances the rollouts of services. Several daemons may run a Keeper
// for the same rollout: Commit is a compare-and-swap on the log, so only one
// of them commits on a given revision.
type Keeper struct {
	Name  string
	Clock timekeeper.Clock
	// Load reads the log from the given state up to its head.
	Load func(ctx context.Context, from *applier.State) (*applier.State, error)
	// Commit writes the change as the log entry that follows base.
	Commit func(ctx context.Context, base *applier.State, c applier.Change) (applier.Entry, error)
	// Look returns the input of the decision on the rollout m: its status,
	// capacity and test result.
	Look func(m applier.MoveStatus) Situation
}

// CommitIfDue commits the next status of a service's rollout if a change is
// due, and returns the newest state that it has read. It first reads the log up
// to its head and decides again on that state, so a keeper that was paused does
// not act on stale data. Losing the compare-and-swap is not an error: the next
// call decides again.
func (k *Keeper) CommitIfDue(ctx context.Context, state *applier.State, service string) (*applier.State, error) {
	if _, ok := k.nextStatus(state, service); !ok {
		return state, nil
	}
	state, err := k.Load(ctx, state)
	if err != nil {
		return state, err
	}
	next, ok := k.nextStatus(state, service)
	if !ok {
		return state, nil
	}
	next.Keeper = k.Name
	e, err := k.Commit(ctx, state, applier.Change{Moves: []applier.MoveStatus{next}})
	if errors.Is(err, committer.ErrRevisionTaken) {
		return state, nil
	}
	if err != nil {
		return state, err
	}
	return state.Apply(e)
}

func (k *Keeper) nextStatus(state *applier.State, service string) (applier.MoveStatus, bool) {
	m, ok := state.Move(service)
	if !ok || m.Phase.Final() {
		return m, false
	}
	return Next(k.Look(m), k.Clock.Now())
}
