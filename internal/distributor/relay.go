package distributor

import (
	"context"
	"errors"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// maxEntryReads is the number of entries that a relay reads one by one before it
// loads a snapshot instead.
const maxEntryReads = 64

// Relay reads new log entries from the platform for its data centre while the daemon
// holds a relay slot. The caller calls the methods and sends the messages that they
// return.
type Relay struct {
	Node     *Node
	Election *Election
	Log      *committer.Log
	// DC and Control are the daemon's data centre and its control address.
	DC      string
	Control string

	lease storer.LeaseID
}

// Step acquires, renews or releases the slot as the Election requires, and returns
// the calls to make. While the node is not ready, it reads the log after each failed
// attempt to acquire a slot: after a restart of the whole fleet, daemons that no
// longer exist may still hold the slots.
func (r *Relay) Step(ctx context.Context) []Call {
	action, slot := r.Election.Step(r.Node.Rank())
	switch action {
	case Acquire:
		if r.acquire(ctx, slot) {
			r.Election.Acquired(slot)
			return nil
		}
		if !r.Node.Ready() {
			calls, _ := r.CatchUp(ctx)
			return calls
		}
	case Renew:
		if errors.Is(r.Log.Platform.KeepAlive(ctx, r.lease), storer.ErrLeaseExpired) {
			r.Election.LeaseExpired()
		}
	case Release:
		r.Release(ctx)
	}
	return nil
}

// acquire creates the slot's key if there is none, and reports whether it did. It
// revokes the lease if that fails; a lease that could not be revoked expires.
func (r *Relay) acquire(ctx context.Context, slot int) bool {
	platform := r.Log.Platform
	key := RelayKey(r.DC, slot)
	item, err := platform.Get(ctx, key)
	if err != nil || item.Version != 0 {
		return false
	}
	lease, err := platform.Grant(ctx, LeaseTTL)
	if err != nil {
		return false
	}
	if _, err = platform.PutIf(ctx, key, []byte(r.Control), 0, lease); err != nil {
		_ = platform.Revoke(ctx, lease)
		return false
	}
	r.lease = lease
	return true
}

// Release revokes the lease, so that another daemon can acquire the slot at once.
func (r *Relay) Release(ctx context.Context) { _ = r.Log.Platform.Revoke(ctx, r.lease) }

// CatchUp advances the node to the head of the log and returns the calls to make. It
// reads up to maxEntryReads entries one by one, so that the node can forward them to
// its peers. If that does not reach the head, it calls Log.Load.
func (r *Relay) CatchUp(ctx context.Context) ([]Call, error) {
	calls, atHead := r.readEntries(ctx)
	if atHead {
		return calls, nil
	}
	state, err := r.Log.Load(ctx, r.Node.State())
	if err != nil {
		return calls, err
	}
	return append(calls, r.Node.InstallHead(state)...), nil
}

func (r *Relay) readEntries(ctx context.Context) (calls []Call, atHead bool) {
	if r.Node.State().Revision() == 0 {
		return nil, false
	}
	for range maxEntryReads {
		e, ok, err := r.Log.Read(ctx, r.Node.State().Revision()+1)
		if err != nil {
			return calls, false
		}
		if !ok {
			return append(calls, r.Node.InstallHead(r.Node.State())...), true
		}
		more, applied := r.Node.ApplyEntry(e)
		if !applied {
			return calls, false
		}
		calls = append(calls, more...)
	}
	return calls, false
}

// Wait waits up to WatchTimeout for the entry that follows the node's state, and
// returns the calls to make. It returns ok false if there was none or it did not
// apply; the caller must then call CatchUp.
func (r *Relay) Wait(ctx context.Context) (calls []Call, ok bool, err error) {
	var e applier.Entry
	e, ok, err = r.Log.Wait(ctx, r.Node.State().Revision()+1, WatchTimeout)
	if err != nil || !ok {
		return nil, false, err
	}
	calls, ok = r.Node.ApplyEntry(e)
	return calls, ok, nil
}
