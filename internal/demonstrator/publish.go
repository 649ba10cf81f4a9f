package demonstrator

import (
	"context"
	"errors"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// publish commits services. It retries if another writer commits first.
func publish(ctx context.Context, log *committer.Log, services []parser.Service) error {
	for {
		head, err := log.Load(ctx, &applier.State{})
		if err != nil {
			return Class.Wrap(err)
		}
		_, err = log.Commit(ctx, head, applier.Change{Services: services})
		if !errors.Is(err, committer.ErrRevisionTaken) {
			return Class.Wrap(err)
		}
	}
}

// State returns the state at the head of the mesh's log, or an empty state if the
// platform cannot be read.
func (m *Mesh) State(ctx context.Context) *applier.State {
	s, err := m.Log().Load(ctx, &applier.State{})
	if err != nil {
		return &applier.State{}
	}
	return s
}
