// Package archiver stores a snapshot of the configuration on the platform, so that
// readers need not read the log from its start.
//
// A snapshot is compressed and split into shards that are smaller than the
// platform's limit for values. The base key contains the manifest of the current
// snapshot. There are two banks of shard keys: the manifest refers to one of
// them, and the next snapshot overwrites the other. No key is ever deleted.
//
// A lease prevents two archivers from doing the same work, but correctness does not
// depend on it. An archiver first reads the versions of the shards that it will
// overwrite. It then writes the base with Intents incremented, which makes a
// concurrent archiver's write of the base fail. It then writes the shards, and finally
// the base with the new manifest. Every write is conditional on the version read
// before. An archiver that was paused therefore fails at its next write if another
// one has written the same keys in the meantime.
package archiver

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Class is the error class of this package.
var Class = errs.Class("archiver")

var (
	// ErrBusy means that another archiver is writing a snapshot, or has written
	// one in the meantime.
	ErrBusy = errors.New("another archiver is writing a snapshot")
	// ErrCorrupt means that a shard does not match its checksum in the manifest.
	ErrCorrupt = errors.New("snapshot does not match its manifest")
)

// Archiver writes snapshots.
type Archiver struct {
	Platform storer.Platform
	// LeaseHolder is the name of the archiver in the lease key.
	LeaseHolder string
	// ShardBytes is the maximum size of a shard in bytes; 0 means the default.
	ShardBytes int
}

// WriteIfDue acquires the lease and writes a snapshot of the state, if the state is
// at least EntriesPerSnapshot entries newer than the current snapshot. It returns the
// revision of the newest snapshot that it has read or written.
func (a *Archiver) WriteIfDue(ctx context.Context, state *applier.State) (uint64, error) {
	base, err := ReadBase(ctx, a.Platform)
	if err != nil || state.Revision() < base.Revision+EntriesPerSnapshot {
		return base.Revision, err
	}
	lease, err := a.acquireLease(ctx)
	if err != nil {
		return base.Revision, err
	}
	if err := a.Write(ctx, base, state); err != nil {
		return base.Revision, errs.Combine(err, a.Platform.Revoke(ctx, lease))
	}
	return state.Revision(), a.Platform.Revoke(ctx, lease)
}

// acquireLease grants a lease and creates the archivers' lease key under it. It
// returns ErrBusy if another archiver holds the key.
func (a *Archiver) acquireLease(ctx context.Context) (storer.LeaseID, error) {
	lease, err := a.Platform.Grant(ctx, leaseTTL)
	if err != nil {
		return "", err
	}
	_, err = a.Platform.PutIf(ctx, leaseKey, []byte(a.LeaseHolder), 0, lease)
	if errors.Is(err, storer.ErrConflict) {
		return "", errs.Combine(ErrBusy, a.Platform.Revoke(ctx, lease))
	}
	return lease, err
}

// Write writes a snapshot of the state and makes it the current one. base must
// be the result of ReadBase. The write fails with ErrBusy if the base key has changed
// since. Write does nothing if the snapshot of base is at least as new, so the current
// snapshot never becomes older. The caller need not hold the lease.
func (a *Archiver) Write(ctx context.Context, base Base, state *applier.State) error {
	if state.Revision() <= base.Revision {
		return nil
	}
	shards, err := a.encode(state)
	if err != nil {
		return err
	}
	bank := base.otherBank()
	versions, err := a.versions(ctx, bank, len(shards))
	if err != nil {
		return err
	}
	intentVersion, err := a.putBase(ctx, base.Manifest.withIntent(), base.Version)
	if err != nil {
		return err
	}
	if err := a.putShards(ctx, bank, shards, versions); err != nil {
		return err
	}
	_, err = a.putBase(ctx, newManifest(state, bank, base.Intents+1, shards), intentVersion)
	return err
}

// versions reads the versions of the first count shard keys of a bank.
func (a *Archiver) versions(ctx context.Context, bank, count int) ([]uint64, error) {
	versions := make([]uint64, count)
	for i := range versions {
		item, err := a.Platform.Get(ctx, shardKey(bank, i))
		if err != nil {
			return nil, err
		}
		versions[i] = item.Version
	}
	return versions, nil
}

// putShards writes the shards to a bank. Each write succeeds only if the key still
// has the version read earlier.
func (a *Archiver) putShards(ctx context.Context, bank int, shards [][]byte, versions []uint64) error {
	for i, shard := range shards {
		if _, err := a.Platform.PutIf(ctx, shardKey(bank, i), shard, versions[i], ""); err != nil {
			return busyIfConflict(err)
		}
	}
	return nil
}

// putBase writes the base key if it has the given version, and returns the new
// version.
func (a *Archiver) putBase(ctx context.Context, m Manifest, version uint64) (uint64, error) {
	data, err := m.encode()
	if err != nil {
		return 0, err
	}
	version, err = a.Platform.PutIf(ctx, baseKey, data, version, "")
	return version, busyIfConflict(err)
}

// busyIfConflict returns ErrBusy for a version conflict, and any other error
// unchanged.
func busyIfConflict(err error) error {
	if errors.Is(err, storer.ErrConflict) {
		return Class.Wrap(ErrBusy)
	}
	return err
}
