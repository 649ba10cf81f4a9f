// Package elector elects the holder of a duty through the platform's store, and keeps there what
// its successor has to know. The holder has a key under a lease. Whoever gets the key takes the
// next fence in a record that outlives leases; writes of a holder that has lost it then fail.
package elector

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Class is the error class of this package.
var Class = errs.Class("elector")

var (
	// ErrHeld means that another daemon holds the duty.
	ErrHeld = errors.New("duty is held by another daemon")
	// ErrLost means that the daemon does not hold the duty, or not any more.
	ErrLost = errors.New("duty is not held")
	// ErrChanged means that the record is not what the change was made from. The term goes on
	// with the one in the store.
	ErrChanged = errors.New("record has changed")
)

// Keys under the prefix.
const (
	holderKey = "holder"
	recordKey = "record"
)

// maxClaims bounds the attempts to take a fence while others write the record.
const maxClaims = 4

// Record is what outlives the holder of a duty.
type Record struct {
	// Fence increases with each holder.
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	// Token identifies the holder's term, also if the name is used twice.
	Token string `json:"token"`
	// Window is the number of the last window whose report is fixed, and Report has its
	// counts. Both are empty before the first.
	Window int64          `json:"window,omitempty"`
	Report map[string]int `json:"report,omitempty"`
}

// Elector takes part in the election for one daemon.
type Elector struct {
	Store storer.Platform
	// Prefix is the key prefix of the election.
	Prefix string
	// Name is the daemon's name, which needs not be unique.
	Name string
	// Lease is the time for which a holder stays one without a renewal, and Margin how much
	// earlier it stops acting.
	Lease, Margin time.Duration
	// Read reads the clocks by which the age of a lease is measured.
	Read func() timekeeper.Reading
	// NewToken returns a token that nobody else has.
	NewToken func() string

	mu   sync.Mutex
	term *Term
	// version is that of the record in the store, or unknown if its last write has failed.
	version uint64
	unknown bool
	// floor is the highest fence that is known from elsewhere.
	floor uint64
}

// Term is the time in which the daemon holds the duty.
type Term struct {
	// Record is the record in the store.
	Record Record
	lease  storer.LeaseID
	era    uint64
	// began is the time at which the fence was taken, and renewed the start of the last
	// renewal of the lease.
	began, renewed timekeeper.Reading
	// succeeds means that the duty may have had another holder before.
	succeeds bool
}

// Term returns the daemon's term. It is not ok if another daemon may hold the duty.
func (e *Elector) Term() (t Term, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil {
		return Term{}, false
	}
	return *e.term, true
}

// Remaining returns the time for which the holder may act, or 0. A successor may not act before
// the lease of its predecessor must have ended even if the store has ended it early.
func (e *Elector) Remaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.term
	if t == nil || t.era != e.era() {
		return 0
	}
	now := e.Read()
	if t.succeeds && min(now.Monotonic-t.began.Monotonic, now.Boot-t.began.Boot) < e.Lease+e.Margin {
		return 0
	}
	return max(0, e.Lease-e.Margin-now.Since(t.renewed))
}

// RaiseFloor makes the next fence higher than one that is known from elsewhere. It ends the
// term if that has a lower one, because the store may have lost the higher one.
func (e *Elector) RaiseFloor(fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.floor = max(e.floor, fence)
	if e.term != nil && e.term.Record.Fence < e.floor {
		e.term = nil
	}
}

// era returns the store's era.
func (e *Elector) era() uint64 {
	if e.Store.Era == nil {
		return 0
	}
	return e.Store.Era()
}

// Campaign tries to become the holder. It fails with ErrHeld if there is one.
func (e *Elector) Campaign(ctx context.Context) error {
	item, err := e.Store.Get(ctx, e.Prefix+holderKey)
	if err != nil {
		return err
	}
	if item.Version != 0 {
		return ErrHeld
	}
	renewed, era := e.Read(), e.era()
	lease, err := e.Store.Grant(ctx, e.Lease)
	if err != nil {
		return err
	}
	token := e.NewToken()
	if err = e.takeKey(ctx, token, lease); err == nil {
		err = e.takeFence(ctx, token, Term{
			lease:   lease,
			era:     era,
			renewed: renewed,
		})
	}
	if err != nil {
		// Without the lease, a write that is still on its way has no effect.
		_ = e.Store.Revoke(ctx, lease)
	}
	return err
}

// takeKey writes the holder's key. It reads it if it is unknown whether it was written.
func (e *Elector) takeKey(ctx context.Context, token string, lease storer.LeaseID) error {
	key := e.Prefix + holderKey
	_, err := e.Store.PutIf(ctx, key, []byte(token), 0, lease)
	if err == nil {
		return nil
	}
	item, getErr := e.Store.Get(ctx, key)
	switch {
	case getErr == nil && string(item.Value) == token:
		return nil
	case errors.Is(err, storer.ErrConflict):
		return ErrHeld
	default:
		return err
	}
}

// takeFence writes the record with the next fence, and begins the term.
func (e *Elector) takeFence(ctx context.Context, token string, t Term) error {
	var err error
	for range maxClaims {
		var record Record
		var version uint64
		if record, version, err = e.read(ctx); err != nil {
			return err
		}
		t.succeeds = version != 0 || e.fenceFloor() > 0
		if record.Token != token {
			record.Fence = max(record.Fence, e.fenceFloor()) + 1
			record.Holder, record.Token = e.Name, token
			if version, err = e.write(ctx, record, version); err != nil {
				continue
			}
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		t.Record, t.began = record, e.Read()
		e.term, e.version, e.unknown = &t, version, false
		return nil
	}
	return err
}

func (e *Elector) fenceFloor() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.floor
}

// read reads the record and its version.
func (e *Elector) read(ctx context.Context) (Record, uint64, error) {
	var record Record
	item, err := e.Store.Get(ctx, e.Prefix+recordKey)
	if err != nil || item.Version == 0 {
		return record, 0, err
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, 0, Class.New("record: %w", err)
	}
	return record, item.Version, nil
}

// write writes the record if it has a version, and returns the new one.
func (e *Elector) write(ctx context.Context, record Record, version uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, Class.Wrap(err)
	}
	return e.Store.PutIf(ctx, e.Prefix+recordKey, value, version, "")
}

// Renew renews the lease. The term ends if it has expired.
func (e *Elector) Renew(ctx context.Context) error {
	t, ok := e.Term()
	if !ok {
		return ErrLost
	}
	renewed := e.Read()
	err := e.Store.KeepAlive(ctx, t.lease)
	if errors.Is(err, storer.ErrLeaseExpired) || t.era != e.era() {
		e.end(t)
		return ErrLost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && e.term != nil && e.term.lease == t.lease {
		e.term.renewed = renewed
	}
	return err
}

// Fix writes the report of a window into the record, so that a successor sends the same. The
// term ends if another daemon has taken the fence.
func (e *Elector) Fix(ctx context.Context, window int64, report map[string]int) error {
	t, ok := e.Term()
	if !ok {
		return ErrLost
	}
	e.mu.Lock()
	version, unknown := e.version, e.unknown
	e.mu.Unlock()
	if unknown {
		record, read, err := e.readOwn(ctx, t)
		switch {
		case err != nil:
			return err
		case record.Window == window:
			return nil
		case record.Window != t.Record.Window:
			return ErrChanged
		}
		version = read
	}
	e.mu.Lock()
	e.unknown = true
	e.mu.Unlock()
	record := t.Record
	record.Window, record.Report = window, report
	version, err := e.write(ctx, record, version)
	if err == nil {
		return e.adopt(t, record, version)
	}
	if record, _, err = e.readOwn(ctx, t); err != nil {
		return err
	}
	if record.Window != window {
		return ErrChanged
	}
	return nil
}

// readOwn reads the record, which may be another one than the last that was written, and makes
// it the term's.
func (e *Elector) readOwn(ctx context.Context, t Term) (Record, uint64, error) {
	record, version, err := e.read(ctx)
	if err != nil {
		return Record{}, 0, err
	}
	return record, version, e.adopt(t, record, version)
}

// adopt makes a record that was read or written the term's. The term ends if it is another
// daemon's.
func (e *Elector) adopt(t Term, record Record, version uint64) error {
	if record.Token != t.Record.Token {
		e.end(t)
		return ErrLost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil || e.term.lease != t.lease {
		return ErrLost
	}
	e.term.Record, e.version, e.unknown = record, version, false
	return nil
}

// end ends a term.
func (e *Elector) end(t Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != nil && e.term.lease == t.lease {
		e.term = nil
	}
}

// Resign ends the term and lets another daemon take the duty at once.
func (e *Elector) Resign(ctx context.Context) error {
	t, ok := e.Term()
	if !ok {
		return nil
	}
	e.end(t)
	return e.Store.Revoke(ctx, t.lease)
}

// AwaitVacancy waits until the holder's key may be gone, by watches of a given length, for as
// long as the daemon is a candidate.
func (e *Elector) AwaitVacancy(ctx context.Context, wait time.Duration, isCandidate func() bool) error {
	key := e.Prefix + holderKey
	items, err := e.Store.Range(ctx, key)
	if err != nil {
		return err
	}
	changed := len(items.Changes) == 0
	for after := items.Revision; !changed && ctx.Err() == nil && isCandidate(); {
		result, err := e.Store.WatchPrefix(ctx, key, after, wait)
		if err != nil {
			return err
		}
		changed = len(result.Changes) > 0
		after = max(after, result.Revision)
	}
	return nil
}
