package emulator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Meter counts the calls of one client to a platform, the bytes of the values
// read and written, and the calls that ended in storer.ErrConflict. It is safe
// for concurrent use.
type Meter struct {
	calls, bytes, conflicts atomic.Int64
}

// Metered holds the counts of a Meter.
type Metered struct {
	Calls     int64
	Bytes     int64
	Conflicts int64
}

// Metered returns the counts since the start or the last Reset.
func (m *Meter) Metered() Metered {
	return Metered{
		Calls:     m.calls.Load(),
		Bytes:     m.bytes.Load(),
		Conflicts: m.conflicts.Load(),
	}
}

// Reset sets the counts to zero.
func (m *Meter) Reset() {
	m.calls.Store(0)
	m.bytes.Store(0)
	m.conflicts.Store(0)
}

// countCall counts a call with its value and result.
func (m *Meter) countCall(value []byte, err error) {
	m.calls.Add(1)
	m.bytes.Add(int64(len(value)))
	if errors.Is(err, storer.ErrConflict) {
		m.conflicts.Add(1)
	}
}

// Platform returns p with all calls counted by m.
func (m *Meter) Platform(p storer.Platform) storer.Platform {
	return storer.Platform{
		Get: func(ctx context.Context, key string) (storer.Item, error) {
			item, err := p.Get(ctx, key)
			m.countCall(item.Value, err)
			return item, err
		},
		PutIf: func(ctx context.Context, key string, value []byte, version uint64, id storer.LeaseID) (uint64, error) {
			after, err := p.PutIf(ctx, key, value, version, id)
			m.countCall(value, err)
			return after, err
		},
		DeleteIf: func(ctx context.Context, key string, version uint64) error {
			err := p.DeleteIf(ctx, key, version)
			m.countCall(nil, err)
			return err
		},
		Watch: func(ctx context.Context, key string, version uint64, wait time.Duration) (storer.Item, error) {
			item, err := p.Watch(ctx, key, version, wait)
			m.countCall(item.Value, err)
			return item, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
			id, err := p.Grant(ctx, ttl)
			m.countCall(nil, err)
			return id, err
		},
		KeepAlive: func(ctx context.Context, id storer.LeaseID) error {
			err := p.KeepAlive(ctx, id)
			m.countCall(nil, err)
			return err
		},
		Revoke: func(ctx context.Context, id storer.LeaseID) error {
			err := p.Revoke(ctx, id)
			m.countCall(nil, err)
			return err
		},
	}
}
