// Package committer stores the configuration log on the platform.
//
// The log is a ring buffer of keys, called slots. The entry of a revision overwrites
// the entry that is ringSize revisions older, on condition that the key still has
// the version that the writer read. That write is the commit point: when several
// writers commit the same revision, the platform's compare-and-swap lets at most one
// succeed. No key is ever deleted, so key versions only increase. A writer therefore
// cannot write a revision a second time, however long it was paused.
//
// An entry is overwritten only once a snapshot includes it; see package
// archiver.
package committer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Class is the error class of this package.
var Class = errs.Class("committer")

// Log is the configuration log on a platform. It is safe for concurrent use.
type Log struct {
	Platform storer.Platform
	Clock    timekeeper.Clock
	// Author is the name of the writer in the entries that it commits.
	Author string
	// Sleep waits between retries; nil means a timer.
	Sleep func(ctx context.Context, pause time.Duration) error
	// Random returns the jitter of the waits, in [0, 1); nil means
	// rand.Float64.
	Random func() float64

	// ringSize is the number of slots; 0 means defaultRingSize. All users of a
	// log must use the same number.
	ringSize uint64

	mu sync.Mutex
	// slots caches the versions of the slots' keys, by slot number.
	slots map[uint64]slotVersion
	// covered is the highest revision known to be included in a snapshot.
	covered uint64
}

// Read returns the entry of a revision. ok is false if the entry has not been
// written yet. The error is ErrOverwritten if the entry has been overwritten.
func (l *Log) Read(ctx context.Context, revision uint64) (e applier.Entry, ok bool, err error) {
	item, err := l.Platform.Get(ctx, l.key(revision))
	if err != nil {
		return applier.Entry{}, false, err
	}
	return l.decode(item, revision)
}

// Wait returns the entry of a revision, waiting for it up to the given time. ok
// is false if the entry is not written in that time, or has been overwritten. Use
// Load if it has been overwritten.
func (l *Log) Wait(ctx context.Context, revision uint64, wait time.Duration) (e applier.Entry, ok bool, err error) {
	version := uint64(0)
	if revision > l.slotCount() { // the slots of the first ringSize revisions have no older entry
		if version, err = l.expectedVersion(ctx, revision); err != nil {
			return l.readIfCommitted(ctx, revision, err)
		}
	}
	item, err := l.Platform.Watch(ctx, l.key(revision), version, wait)
	if err != nil {
		return applier.Entry{}, false, err
	}
	e, ok, err = l.decode(item, revision)
	return e, ok, ignoreOverwritten(err)
}

// snapshotCheckInterval is the number of entries that Load reads one by one
// before it checks for a newer snapshot.
const snapshotCheckInterval = 32

// Load returns the state at the head of the log, starting from a known state.
// On an error it returns the last state that it reached.
func (l *Log) Load(ctx context.Context, from *applier.State) (*applier.State, error) {
	state := from
	for reads := 0; ; reads++ {
		if reads%snapshotCheckInterval == 0 && (reads > 0 || state.Revision() == 0) {
			next, err := l.loadSnapshot(ctx, state)
			if err != nil {
				return state, err
			}
			state = next
		}
		e, ok, err := l.readOrLoadSnapshot(ctx, &state)
		if err != nil || !ok {
			return state, err
		}
		next, err := state.Apply(e)
		if err != nil {
			return state, err
		}
		state = next
	}
}

// readOrLoadSnapshot reads the entry after a state. If that entry has been
// overwritten, it replaces the state by the newer one of the snapshot and reads
// the entry after that.
func (l *Log) readOrLoadSnapshot(ctx context.Context, state **applier.State) (applier.Entry, bool, error) {
	for {
		e, ok, err := l.Read(ctx, (*state).Revision()+1)
		if ignoreOverwritten(err) != nil || err == nil {
			return e, ok, err
		}
		next, err := l.loadSnapshot(ctx, *state)
		if err != nil {
			return e, false, err
		}
		if next == *state {
			return e, false, Class.New("entry %d has been overwritten and no snapshot includes it", next.Revision()+1)
		}
		*state = next
	}
}

// loadSnapshot returns the state of the current snapshot, or the given state if
// the snapshot is not newer.
func (l *Log) loadSnapshot(ctx context.Context, state *applier.State) (*applier.State, error) {
	next, ok, err := archiver.Load(ctx, l.Platform, state.Revision())
	if err != nil || !ok {
		return state, err
	}
	l.recordCovered(next.Revision())
	return next, nil
}

// sleep waits for a random time of up to maxPause.
func (l *Log) sleep(ctx context.Context, maxPause time.Duration) error {
	random := l.Random
	if random == nil {
		random = rand.Float64
	}
	pause := time.Duration(random() * float64(maxPause))
	if l.Sleep != nil {
		return l.Sleep(ctx, pause)
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
