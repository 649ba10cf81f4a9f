// Package emulator provides fakes of the systems around coltsfootlane: the
// platform's key-value service, the users' store, targets, clients and operators.
// Faults can be injected while they run.
//
// Platform and Target are fakes for daemons that do not run in sidecar mode. Records,
// Backend and Client are fakes for daemons in sidecar mode.
package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Faults are the faults that a Platform injects. The zero value injects none.
type Faults struct {
	// Outage fails all calls before they have an effect.
	Outage bool `json:"outage,omitempty"`
	// Slow delays all calls, in nanoseconds.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of following writes, lease grants and lease
	// revocations that take effect but return an error with the verdict MayHaveRun.
	LoseAnswers int `json:"lose,omitempty"`
}

// Counts are the numbers of calls to a platform, including those that failed.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Leases uint64 `json:"leases"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Platform is a fake of the platform's key-value service. Leases expire by its
// own clock; expired ones are removed at the next call.
type Platform struct {
	clock timekeeper.Clock

	mu    sync.Mutex
	items map[string]storer.Item
	// keyLeases maps keys to the leases with which they were last written.
	keyLeases map[string]storer.LeaseID
	leases    map[storer.LeaseID]*lease
	version   uint64
	// leaseCount is the number of granted leases.
	leaseCount int
	faults     Faults
	counts     Counts
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewPlatform returns an empty platform.
func NewPlatform(clock timekeeper.Clock) *Platform {
	return &Platform{
		clock:     clock,
		items:     map[string]storer.Item{},
		keyLeases: map[string]storer.LeaseID{},
		leases:    map[storer.LeaseID]*lease{},
		changed:   make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Client returns the platform's calls as functions in this process, without a
// network.
func (p *Platform) Client() storer.Platform {
	return storer.Platform{
		Get:       p.get,
		PutIf:     p.putIf,
		DeleteIf:  p.deleteIf,
		Watch:     p.watch,
		Grant:     p.grant,
		KeepAlive: p.keepAlive,
		Revoke:    p.revoke,
	}
}

var errOutage = classifier.NewFailure(classifier.NotRun, "platform outage", nil)

// beginCall counts a call and applies the faults Slow and Outage. If it returns
// nil, it has locked p.mu and the caller must unlock it.
func (p *Platform) beginCall(ctx context.Context, counter *uint64) error {
	p.mu.Lock()
	*counter++
	delay := p.faults.Slow
	p.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return classifier.NewFailure(classifier.NotRun, "platform too slow", err)
	}
	p.mu.Lock()
	if p.faults.Outage {
		p.mu.Unlock()
		return errOutage
	}
	p.expireLeases()
	return nil
}

// sleep waits for d. It returns the error of ctx if that is done first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// notifyWatches notifies the waiting watches of a change. The caller holds the
// lock.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// expireLeases deletes expired leases and their keys. The caller holds the lock.
func (p *Platform) expireLeases() {
	now := p.clock.Now()
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and its keys. The caller holds the lock.
func (p *Platform) deleteLease(id storer.LeaseID) {
	for key, leaseID := range p.keyLeases {
		if leaseID == id {
			p.deleteKey(key)
		}
	}
	delete(p.leases, id)
	p.notifyWatches()
}

// deleteKey deletes a key. The caller holds the lock.
func (p *Platform) deleteKey(key string) {
	delete(p.items, key)
	delete(p.keyLeases, key)
}

// loseResponse is called after a call took effect. While the fault LoseAnswers
// is active, it uses up one loss and returns an error with the verdict MayHaveRun.
// The caller holds the lock.
func (p *Platform) loseResponse() error {
	if p.faults.LoseAnswers == 0 {
		return nil
	}
	p.faults.LoseAnswers--
	return classifier.NewFailure(classifier.MayHaveRun, "platform response lost", nil)
}

func (p *Platform) get(ctx context.Context, key string) (storer.Item, error) {
	if err := p.beginCall(ctx, &p.counts.Reads); err != nil {
		return storer.Item{}, err
	}
	defer p.mu.Unlock()
	return p.item(key), nil
}

// item returns a key's item, with version 0 if the key does not exist. The caller
// holds the lock.
func (p *Platform) item(key string) storer.Item {
	item := p.items[key]
	item.Key = key
	return item
}

func (p *Platform) putIf(ctx context.Context, key string, value []byte, version uint64, id storer.LeaseID) (uint64, error) {
	if len(value) > storer.MaxValueBytes {
		return 0, classifier.NewFailure(classifier.NotRun, "value over the platform's limit", nil)
	}
	if err := p.beginCall(ctx, &p.counts.Writes); err != nil {
		return 0, err
	}
	defer p.mu.Unlock()
	if p.items[key].Version != version {
		return 0, storer.ErrConflict
	}
	if id != "" && p.leases[id] == nil {
		return 0, storer.ErrLeaseExpired
	}
	p.setKeyLease(key, id)
	p.version++
	p.items[key] = storer.Item{
		Key:     key,
		Value:   append([]byte(nil), value...),
		Version: p.version,
	}
	p.notifyWatches()
	if err := p.loseResponse(); err != nil {
		return 0, err
	}
	return p.version, nil
}

// setKeyLease records the lease with which a key is written, "" for none. The
// caller holds the lock.
func (p *Platform) setKeyLease(key string, id storer.LeaseID) {
	if id == "" {
		delete(p.keyLeases, key)
		return
	}
	p.keyLeases[key] = id
}

func (p *Platform) deleteIf(ctx context.Context, key string, version uint64) error {
	if err := p.beginCall(ctx, &p.counts.Writes); err != nil {
		return err
	}
	defer p.mu.Unlock()
	if p.items[key].Version != version {
		return storer.ErrConflict
	}
	p.deleteKey(key)
	p.notifyWatches()
	return p.loseResponse()
}

func (p *Platform) watch(ctx context.Context, key string, version uint64, wait time.Duration) (storer.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := p.beginCall(ctx, &p.counts.Reads); err != nil {
		return storer.Item{}, err
	}
	for {
		item, hasOutage, changed := p.item(key), p.faults.Outage, p.changed
		p.mu.Unlock()
		if hasOutage {
			return storer.Item{}, errOutage
		}
		if item.Version != version {
			return item, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return item, nil
		}
		p.mu.Lock()
		p.expireLeases()
	}
}

func (p *Platform) grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := p.beginCall(ctx, &p.counts.Leases); err != nil {
		return "", err
	}
	defer p.mu.Unlock()
	p.leaseCount++
	id := storer.LeaseID(fmt.Sprintf("lease-%d", p.leaseCount))
	p.leases[id] = &lease{
		ttl:     ttl,
		expires: p.clock.Now().Add(ttl),
	}
	if err := p.loseResponse(); err != nil {
		return "", err
	}
	return id, nil
}

func (p *Platform) keepAlive(ctx context.Context, id storer.LeaseID) error {
	if err := p.beginCall(ctx, &p.counts.Leases); err != nil {
		return err
	}
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		return storer.ErrLeaseExpired
	}
	l.expires = p.clock.Now().Add(l.ttl)
	return nil
}

func (p *Platform) revoke(ctx context.Context, id storer.LeaseID) error {
	if err := p.beginCall(ctx, &p.counts.Leases); err != nil {
		return err
	}
	defer p.mu.Unlock()
	if p.leases[id] == nil {
		return storer.ErrLeaseExpired
	}
	p.deleteLease(id)
	return p.loseResponse()
}
