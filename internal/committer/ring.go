package committer

import (
	"context"
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// defaultRingSize is the number of slots of the log. A follower that lags by more
// entries needs a snapshot.
const defaultRingSize = 8192

// maxSnapshotLag is the lag of the snapshot, in entries, at which a writer writes
// a new one. It bounds the number of entries that a reader has to read after a
// snapshot.
const maxSnapshotLag = 512

var (
	// ErrOverwritten means that an entry has been overwritten by one that is at
	// least ringSize revisions newer. A snapshot includes the overwritten entry.
	ErrOverwritten = errors.New("entry has been overwritten")
	// ErrRevisionTaken means that another writer committed the revision first.
	ErrRevisionTaken = errors.New("another entry was committed first")
)

// slotVersion is the key version that the write of a revision's entry to its slot
// must expect.
type slotVersion struct {
	revision uint64
	version  uint64
}

// slotCount returns the number of slots of the log.
func (l *Log) slotCount() uint64 {
	if l.ringSize == 0 {
		return defaultRingSize
	}
	return l.ringSize
}

// key returns the key of the slot that a revision's entry is written to.
func (l *Log) key(revision uint64) string {
	return fmt.Sprintf("log/%04d", revision%l.slotCount())
}

// decode returns the entry of a revision if the slot contains it, and caches the
// version of the slot's key.
func (l *Log) decode(item storer.Item, revision uint64) (e applier.Entry, ok bool, err error) {
	if item.Version > 0 {
		if e, err = applier.DecodeEntry(item.Value); err != nil {
			return applier.Entry{}, false, Class.Wrap(err)
		}
	}
	switch {
	case e.Revision > revision:
		return applier.Entry{}, false, Class.Wrap(ErrOverwritten)
	case e.Revision == revision && item.Version > 0:
		l.recordSlot(slotVersion{
			revision: revision + l.slotCount(),
			version:  item.Version,
		})
		return e, true, nil
	default:
		l.recordSlot(slotVersion{
			revision: revision,
			version:  item.Version,
		})
		return applier.Entry{}, false, nil
	}
}

// recordSlot caches the version of a slot.
func (l *Log) recordSlot(v slotVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots == nil {
		l.slots = map[uint64]slotVersion{}
	}
	l.slots[v.revision%l.slotCount()] = v
}

// knownSlotVersion returns the key version that the write of a revision's entry must
// expect, if it is known without a read: a cached version, or 0 for the first ringSize
// revisions.
func (l *Log) knownSlotVersion(revision uint64) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.slots[revision%l.slotCount()]
	if ok && v.revision == revision {
		return v.version, true
	}
	return 0, revision <= l.slotCount()
}

// recordCovered stores that a snapshot includes the entries up to a revision.
func (l *Log) recordCovered(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.covered = max(l.covered, revision)
}

// expectedVersion returns the key version that the write of a revision's entry must
// expect. It reads the slot if necessary. The error is ErrRevisionTaken if the slot
// already contains the entry of that revision, and ErrOverwritten if it contains a
// later one.
func (l *Log) expectedVersion(ctx context.Context, revision uint64) (uint64, error) {
	if version, ok := l.knownSlotVersion(revision); ok {
		return version, nil
	}
	item, err := l.Platform.Get(ctx, l.key(revision))
	if err != nil {
		return 0, err
	}
	if _, ok, err := l.decode(item, revision); err != nil || ok {
		return 0, errs.Combine(err, revisionTakenError(ok))
	}
	return item.Version, nil
}

// revisionTakenError returns ErrRevisionTaken if the entry has been committed.
func revisionTakenError(committed bool) error {
	if committed {
		return ErrRevisionTaken
	}
	return nil
}

// readIfCommitted reads the entry of a revision if err, an error of
// expectedVersion, is ErrRevisionTaken.
func (l *Log) readIfCommitted(ctx context.Context, revision uint64, err error) (applier.Entry, bool, error) {
	if errors.Is(err, ErrRevisionTaken) {
		return l.Read(ctx, revision)
	}
	return applier.Entry{}, false, ignoreOverwritten(err)
}

// ignoreOverwritten returns nil for ErrOverwritten, and any other error unchanged.
func ignoreOverwritten(err error) error {
	if errors.Is(err, ErrOverwritten) {
		return nil
	}
	return err
}

// ensureSnapshot ensures that a snapshot includes the entry that the next commit
// will overwrite. If the snapshot lags by maxSnapshotLag entries or more, it
// writes a snapshot of state. It ignores an error of writing it if the next commit
// overwrites only entries that a snapshot includes.
func (l *Log) ensureSnapshot(ctx context.Context, state *applier.State) error {
	next := state.Revision() + 1
	if next <= l.coveredRevision()+min(l.slotCount(), maxSnapshotLag) {
		return nil
	}
	err := l.writeSnapshot(ctx, state)
	if next <= l.coveredRevision()+l.slotCount() {
		return nil
	}
	return err
}

// writeSnapshot writes a snapshot of the state, unless the current snapshot lags
// by less than maxSnapshotLag.
func (l *Log) writeSnapshot(ctx context.Context, state *applier.State) error {
	base, err := archiver.ReadBase(ctx, l.Platform)
	if err != nil {
		return err
	}
	l.recordCovered(base.Revision)
	if state.Revision() < base.Revision+min(l.slotCount(), maxSnapshotLag) {
		return nil
	}
	a := &archiver.Archiver{
		Platform:    l.Platform,
		LeaseHolder: l.Author,
	}
	if err := a.Write(ctx, base, state); err != nil {
		return err
	}
	l.recordCovered(state.Revision())
	return nil
}

// coveredRevision returns the highest revision known to be included in a
// snapshot.
func (l *Log) coveredRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.covered
}

// notRun returns an error with the verdict NotRun: nothing was written.
func notRun(reason string, err error) error {
	return classifier.NewFailure(classifier.NotRun, reason, err)
}
