package committer

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Retries of a write whose response was lost. Retrying is safe: the write is
// conditional on the same version, and an earlier attempt that succeeded is
// recognised by the entry's ID.
const (
	maxCommitAttempts = 4
	commitBackoff     = 100 * time.Millisecond
)

// Ticket identifies one attempt to commit an entry. Log.Outcome returns the
// outcome of the attempt.
type Ticket struct {
	Revision uint64
	// ID is the ID of the entry.
	ID string
}

// String formats the ticket as REVISION.ID.
func (t Ticket) String() string { return fmt.Sprintf("%d.%s", t.Revision, t.ID) }

// ParseTicket parses a ticket of the form REVISION.ID.
func ParseTicket(s string) (Ticket, error) {
	number, id, _ := strings.Cut(s, ".")
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil || id == "" {
		return Ticket{}, Class.New("ticket %q: want REVISION.ID", s)
	}
	return Ticket{
		Revision: revision,
		ID:       id,
	}, nil
}

// UnknownOutcomeError means that an entry may or may not have been committed.
// Log.Outcome returns the outcome once the platform is reachable again.
type UnknownOutcomeError struct {
	Ticket Ticket
	Err    error
}

// Error returns the ticket and the cause.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("ticket %s: %v", e.Ticket, e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Commit writes the change as the entry after base. It returns ErrRevisionTaken if
// another writer has already committed that revision. If a response is lost,
// Commit retries the write, and returns an UnknownOutcomeError if the outcome is
// still unknown after that. Every error carries a verdict.
func (l *Log) Commit(ctx context.Context, base *applier.State, c applier.Change) (applier.Entry, error) {
	e, err := base.NewEntry(uuid.NewString(), l.Author, l.Clock.Now().UTC(), c)
	if err != nil {
		return applier.Entry{}, notRun("invalid change", err)
	}
	data, err := e.Encode()
	if err != nil {
		return applier.Entry{}, notRun("invalid change", err)
	}
	if len(data) > storer.MaxValueBytes {
		return applier.Entry{}, notRun("invalid change", Class.New("entry is %d bytes, limit is %d", len(data), storer.MaxValueBytes))
	}
	version, err := l.expectedVersion(ctx, e.Revision)
	if errors.Is(err, ErrOverwritten) {
		err = ErrRevisionTaken
	}
	if err != nil {
		return applier.Entry{}, notRun("cannot write the entry", err)
	}
	if err := l.ensureSnapshot(ctx, base); err != nil {
		return applier.Entry{}, notRun("log full, cannot write a snapshot", err)
	}
	return l.write(ctx, e, data, version)
}

// write writes the entry, retrying until the outcome is known or
// maxCommitAttempts is reached. version is the current version of the slot.
func (l *Log) write(ctx context.Context, e applier.Entry, data []byte, version uint64) (applier.Entry, error) {
	var unknownErr error
	for attempt := range maxCommitAttempts {
		_, err := l.Platform.PutIf(ctx, l.key(e.Revision), data, version, "")
		switch {
		case err == nil:
			return e, nil
		case errors.Is(err, storer.ErrConflict) && unknownErr == nil:
			return applier.Entry{}, notRun("raced", ErrRevisionTaken)
		case errors.Is(err, storer.ErrConflict):
			return l.resolveConflict(ctx, e, unknownErr)
		case classifier.VerdictOf(err) == classifier.NotRun && unknownErr == nil:
			return applier.Entry{}, err
		}
		unknownErr = errs.Combine(unknownErr, err)
		if l.sleep(ctx, commitBackoff<<attempt) != nil {
			break
		}
	}
	return applier.Entry{}, unknownOutcome(e, unknownErr)
}

// resolveConflict finds out whether e was committed, after a version conflict
// that an earlier attempt of the same write may have caused.
func (l *Log) resolveConflict(ctx context.Context, e applier.Entry, unknownErr error) (applier.Entry, error) {
	verdict, err := l.Outcome(ctx, Ticket{
		Revision: e.Revision,
		ID:       e.ID,
	})
	switch verdict {
	case classifier.Ran:
		return e, nil
	case classifier.NotRun:
		return applier.Entry{}, notRun("raced", ErrRevisionTaken)
	default:
		return applier.Entry{}, unknownOutcome(e, errs.Combine(unknownErr, err))
	}
}

// unknownOutcome returns an UnknownOutcomeError for an entry, with the verdict
// MayHaveRun.
func unknownOutcome(e applier.Entry, err error) error {
	return classifier.NewFailure(classifier.MayHaveRun, "commit outcome unknown", &UnknownOutcomeError{
		Ticket: Ticket{
			Revision: e.Revision,
			ID:       e.ID,
		},
		Err: err,
	})
}

// Outcome returns the outcome of an attempt to commit. Ran means that its entry
// is in the log. NotRun means that another entry has the revision, so that the
// attempt can no longer succeed. MayHaveRun means that the outcome cannot be told:
// the revision is not written yet, the entry has been overwritten by one that is at
// least ringSize revisions newer, or the read failed.
func (l *Log) Outcome(ctx context.Context, t Ticket) (classifier.Verdict, error) {
	e, ok, err := l.Read(ctx, t.Revision)
	switch {
	case err != nil:
		return classifier.MayHaveRun, err
	case !ok:
		return classifier.MayHaveRun, nil
	case e.ID == t.ID:
		return classifier.Ran, nil
	default:
		return classifier.NotRun, nil
	}
}
