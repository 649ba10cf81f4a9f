// Package storer is the client of the platform's key-value service.
//
// The rest of the system uses the service only through Platform. NewHTTP returns
// a Platform that uses the service's HTTP protocol.
package storer

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("platform")

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict means that the key does not have the expected version.
	// Nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrCompacted means that the changes after the requested revision are no
	// longer available. The caller has to read the range again.
	ErrCompacted = errors.New("history compacted")
	// ErrLeaseExpired means that the lease has expired or does not exist. Nothing was
	// written.
	ErrLeaseExpired = errors.New("lease expired")
)

// Item is a key with its value. Version increases with each write of the key
// and is 0 if the key does not exist.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
	// Era is the era of the service in which the item was read, or 0 if the service has no
	// eras.
	Era uint64 `json:",omitempty"`
}

// Position returns the position of the item's last write.
func (i Item) Position() Position {
	return Position{
		Era:      i.Era,
		Revision: i.Version,
	}
}

// Change is a write of an item or, if Deleted is set, the deletion of its key.
type Change struct {
	Item
	Deleted bool
}

// RangeResult is the result of Range or WatchPrefix. It contains at least the
// state, or the changes, up to Revision, and may contain later changes. All are of one era.
type RangeResult struct {
	Changes  []Change
	Revision uint64
	Era      uint64
}

// LeaseID identifies a lease. The empty ID means no lease.
type LeaseID string

// Platform is the client interface of the key-value service. Each function
// makes one call to the service, except Range, which makes one per page. Watch and
// WatchPrefix are long polls. Errors other than ErrConflict, ErrCompacted and
// ErrLeaseExpired carry a verdict of package classifier. NotRun means that the call
// had no effect. With any other verdict the effect is unknown, and the caller has to
// read the key to find out.
type Platform struct {
	// Get reads a key. A missing key has Version 0 and is not an error.
	Get func(ctx context.Context, key string) (Item, error)
	// PutIf writes the key if it has the given version and returns the new
	// version. Version 0 means that the key must not exist. A key that is
	// attached to a lease is deleted when the lease expires.
	PutIf func(ctx context.Context, key string, value []byte, version uint64, lease LeaseID) (uint64, error)
	// DeleteIf deletes the key if it has the given version.
	DeleteIf func(ctx context.Context, key string, version uint64) error
	// Watch returns the item as soon as its version differs from the given
	// one, or returns it unchanged after the wait time. It is nil if the service
	// has WatchPrefix instead.
	Watch func(ctx context.Context, key string, version uint64, wait time.Duration) (Item, error)
	// Range reads all items whose keys begin with a prefix. It is nil if the
	// service does not support ranges.
	Range func(ctx context.Context, prefix string) (RangeResult, error)
	// WatchPrefix waits for changes after the given revision to keys that begin
	// with a prefix. It is nil if the service does not support ranges.
	WatchPrefix func(ctx context.Context, prefix string, after uint64, wait time.Duration) (RangeResult, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for another ttl.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys that are attached to it.
	Revoke func(ctx context.Context, id LeaseID) error
	// Era returns the latest era that a response has named, or 0 if none has. A call fails
	// if its response is from an earlier one. Era is nil if the service has no eras.
	Era func() uint64
}
