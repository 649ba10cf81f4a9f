package sidecar

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Times of the daemon's key in the store, and of finding others by theirs.
const (
	// leaseTime is the life of the daemon's key in the store. A relay renews its
	// lease every renewPeriod, so that it notices within that time when the
	// store is away; the others do so every restPeriod, and within renewSpread of
	// the news that the store is back: each key is there again within two seconds.
	leaseTime   = 20 * time.Second
	renewPeriod = 1900 * time.Millisecond
	restPeriod  = 6 * time.Second
	renewSpread = time.Second
	// registerPause is a relay's pause after a call to the store that failed, and
	// restPause that of the others, who hear from a relay when the store is back.
	registerPause = 500 * time.Millisecond
	restPause     = 2 * time.Second
	// relookPeriod is how often daemons are looked up again, should groups
	// have come up that don't know each other.
	relookPeriod = time.Minute
	// firstRelook is the same, once, after a start at which no other daemon was
	// found.
	firstRelook = 2 * time.Second
)

// register keeps the daemon's address in the store and looks up the others'. It
// writes before it reads, so that of two daemons that start together one sees
// the other.
func (d *Daemon) register(ctx context.Context) {
	store := d.platform.Store
	key := d.platform.DaemonPrefix + d.settings.Name
	var lease storer.LeaseID
	relook := d.clock.Now()
	for looks := 0; ctx.Err() == nil; {
		var err error
		if lease == "" {
			lease, err = d.writeKey(ctx, key)
		} else {
			err = store.KeepAlive(ctx, lease)
		}
		if errors.Is(err, storer.ErrLease) {
			d.log.Info("key in the store lost; writing it again")
			lease = ""
			continue
		}
		if d.dependency("store registration", err == nil, err) {
			d.renewWatches()
		}
		if err != nil {
			d.awaitCall(ctx, registerPause, restPause)
			continue
		}
		if !d.clock.Now().Before(relook) && d.lookUp(ctx) == nil {
			relook = d.clock.Now().Add(relookPeriod)
			if looks++; looks == 1 && d.members.Counts().Live() == 1 {
				relook = d.clock.Now().Add(firstRelook)
			}
		}
		d.awaitCall(ctx, renewPeriod, restPeriod)
	}
}

// awaitCall waits until the store is to be called next: for a time that depends on
// whether the daemon is a relay, or until the news that the store is back.
func (d *Daemon) awaitCall(ctx context.Context, relay, other time.Duration) {
	period := other
	if d.isRelay() {
		period = relay
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.returned:
		pause(ctx, time.Duration(rand.Int64N(int64(renewSpread))))
	case <-ctx.Done():
	}
}

// noteReturn notes that the store is back: keys may have lapsed meanwhile.
func (d *Daemon) noteReturn() {
	select {
	case d.returned <- struct{}{}:
	default:
	}
}

// renewWatches starts the watches of the store anew: when other calls to it
// begin to fail, or to be answered again, it may have lost them without a sign.
func (d *Daemon) renewWatches() {
	for _, f := range d.followers() {
		f.Renew()
	}
}

// writeKey writes the daemon's key under a new lease.
func (d *Daemon) writeKey(ctx context.Context, key string) (storer.LeaseID, error) {
	store := d.platform.Store
	lease, err := store.Grant(ctx, leaseTime)
	if err != nil {
		return "", err
	}
	_, err = store.PutIf(ctx, key, []byte(d.settings.ControlAddress()), 0, lease)
	if errors.Is(err, storer.ErrConflict) {
		item, getErr := store.Get(ctx, key)
		if getErr != nil {
			return "", getErr
		}
		_, err = store.PutIf(ctx, key, []byte(d.settings.ControlAddress()), item.Version, lease)
	}
	if err != nil {
		return "", err
	}
	return lease, nil
}

// joinTries is the number of daemons that a look joins through.
const joinTries = 3

// lookUp looks up the other daemons, and joins through some that are not known.
func (d *Daemon) lookUp(ctx context.Context) error {
	span, err := d.platform.Store.Range(ctx, d.platform.DaemonPrefix)
	if err != nil {
		d.log.Warn("daemons not looked up", "err", err)
		return err
	}
	found := map[string]string{}
	for _, c := range span.Changes {
		found[strings.TrimPrefix(c.Key, d.platform.DaemonPrefix)] = string(c.Value)
	}
	delete(found, d.settings.Name)
	d.remember(found)
	joined := d.joinSome(ctx, found)
	if joined > 0 {
		d.log.Info("joined", "found", len(found), "through", joined, "live", d.members.Counts().Live())
		d.tell(d.members.Self())
	}
	d.joined.Store(true)
	return nil
}

// joinSome joins through some of the daemons that were found and are not known,
// side by side, since those that have died answer only by a time-out.
func (d *Daemon) joinSome(ctx context.Context, found map[string]string) int {
	var joined atomic.Int32
	var group errgroup.Group
	group.SetLimit(joinTries)
	for name, address := range found {
		if m, ok := d.members.Get(name); ok && m.Status <= prober.Suspect {
			continue
		}
		if joined.Load() >= joinTries {
			break
		}
		group.Go(func() error {
			if err := d.joinThrough(ctx, address); err != nil {
				d.log.Debug("daemon not reached", "peer", name, "err", err)
				return nil
			}
			joined.Add(1)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return int(joined.Load())
}

// remember keeps the control addresses of other daemons.
func (d *Daemon) remember(addresses map[string]string) {
	d.knownMu.Lock()
	defer d.knownMu.Unlock()
	maps.Copy(d.known, addresses)
}
