// Package storer is the narrow view of the platform's key-value service.
//
// Platform is the only thing the rest of the system knows of that service;
// HTTP adapts it to the service's protocol.
package storer

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Class is the class of the errors of this package.
var Class = errs.Class("platform")

// MaxValueBytes is the size of the largest value that the platform holds.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict means that the key's version was not the expected one;
	// nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrCompacted means that the changes after a revision are no longer kept;
	// a range read starts anew.
	ErrCompacted = errors.New("history compacted")
	// ErrLease means that the lease has lapsed or was never granted; nothing
	// was written.
	ErrLease = errors.New("lease lapsed")
)

// Item is a key with its value. Version rises with each write of the key and
// is 0 for a key that does not exist.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change is a write of an item or the deletion of its key.
type Change struct {
	Item
	Deleted bool
}

// Span is what a range read or a watch of a prefix returned. Every change up to
// Revision is in it.
type Span struct {
	Changes  []Change
	Revision uint64
}

// LeaseID names a granted lease; empty means no lease.
type LeaseID string

// Platform is the key-value service. Each function counts as one call, a
// waiting Watch included. Errors other than ErrConflict and ErrLease carry a
// classifier verdict: NotRun when the call cannot have had an effect,
// otherwise the effect is unknown and has to be read back.
type Platform struct {
	// Get reads a key; a missing key yields Version 0 and no error.
	Get func(ctx context.Context, key string) (Item, error)
	// PutIf writes the key if its version is still the given one, 0 for
	// create-only, and returns the new version. A key put under a lease is
	// deleted when the lease lapses.
	PutIf func(ctx context.Context, key string, value []byte, version uint64, lease LeaseID) (uint64, error)
	// DeleteIf deletes the key if its version is still the given one.
	DeleteIf func(ctx context.Context, key string, version uint64) error
	// Watch waits until the key's version differs from the given one and
	// returns the item, or returns it unchanged when the wait is over.
	Watch func(ctx context.Context, key string, version uint64, wait time.Duration) (Item, error)
	// Range reads all items whose keys begin with a prefix. It is nil where
	// the service has no ranges.
	Range func(ctx context.Context, prefix string) (Span, error)
	// WatchPrefix waits for changes after a revision of keys that begin with a
	// prefix. It is nil where the service has no ranges.
	WatchPrefix func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Span, error)
	// Grant makes a lease that lapses after ttl unless kept alive.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease by its ttl.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, id LeaseID) error
}
