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

// Intervals of the daemon's registration in the store and of looking up its peers.
const (
	// leaseTTL is the time to live of the daemon's key in the store. A daemon that
	// watches the store renews its lease every watcherRenewPeriod, so that it detects an
	// unresponsive store within that period plus one call timeout. The other daemons
	// renew every otherRenewPeriod. When a relay's update shows
	// that the store is reachable again, they renew after a random delay of up to
	// renewJitter. So all keys are written again within two seconds.
	leaseTTL           = 20 * time.Second
	watcherRenewPeriod = 700 * time.Millisecond
	otherRenewPeriod   = 6 * time.Second
	renewJitter        = time.Second
	// relayRegisterPause is a relay's pause after a failed call to the store, and
	// otherRegisterPause that of the other daemons, which receive a relay's
	// update when the store is reachable again.
	relayRegisterPause = 500 * time.Millisecond
	otherRegisterPause = 2 * time.Second
	// lookupPeriod is the interval of looking up daemons again, in case there are
	// groups of daemons that have not found each other.
	lookupPeriod = time.Minute
	// secondLookupDelay replaces lookupPeriod once, if the first lookup found no
	// other daemon.
	secondLookupDelay = 2 * time.Second
)

// register keeps the daemon's address registered in the store and looks up the
// other daemons. It writes before it reads, so that of two daemons that start
// together at least one finds the other.
func (d *Daemon) register(ctx context.Context) {
	store := d.platform.Store
	key := d.platform.DaemonPrefix + d.settings.Name
	var lease storer.LeaseID
	var leaseEra uint64
	nextLookup := d.clock.Now()
	for lookups := 0; ctx.Err() == nil; {
		var err error
		if lease != "" && leaseEra == d.era() {
			err = store.KeepAlive(ctx, lease)
		} else {
			// The store has lost a lease of an earlier era, and may have given its ID to another
			// daemon.
			lease, leaseEra, err = d.writeKey(ctx, key)
		}
		d.observeStoreEra()
		if errors.Is(err, storer.ErrLeaseExpired) {
			d.log.Info("lease of the registration expired; registering again")
			lease = ""
			d.announceExpiredLease()
			continue
		}
		if d.setDependency("store registration", err == nil, err) {
			d.restartWatches()
		}
		if err != nil {
			d.waitForNextCall(ctx, d.registerPause())
			continue
		}
		if !d.clock.Now().Before(nextLookup) && d.lookUpDaemons(ctx) == nil {
			nextLookup = d.clock.Now().Add(lookupPeriod)
			if lookups++; lookups == 1 && d.members.Counts().Live() == 1 {
				nextLookup = d.clock.Now().Add(secondLookupDelay)
			}
		}
		d.waitForNextCall(ctx, d.renewPeriod())
	}
}

// renewPeriod returns the time until the next renewal of the lease.
func (d *Daemon) renewPeriod() time.Duration {
	if d.watching() {
		return watcherRenewPeriod
	}
	return otherRenewPeriod
}

// registerPause returns the pause after a failed call to the store.
func (d *Daemon) registerPause() time.Duration {
	if d.isRelay() {
		return relayRegisterPause
	}
	return otherRegisterPause
}

// waitForNextCall waits for a period until the next call to the store is due. Once the
// store is reachable again, it waits for up to renewJitter only.
func (d *Daemon) waitForNextCall(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.storeRecovered:
		sleep(ctx, time.Duration(rand.Int64N(int64(renewJitter))))
	case <-ctx.Done():
	}
}

// signalStoreRecovery wakes the registration loop after a store outage, because
// leases may have expired during it.
func (d *Daemon) signalStoreRecovery() {
	select {
	case d.storeRecovered <- struct{}{}:
	default:
	}
}

// announceExpiredLease announces the end of a relay's lease like a recovery of the store. It
// may have ended the leases of the other daemons too, which renew them rarely.
func (d *Daemon) announceExpiredLease() {
	d.storeRecoveries.Add(1)
	d.triggerRelayUpdate()
}

// restartWatches restarts the watches of the store. The store may have dropped
// them without an error when other calls begin to fail or to succeed again.
func (d *Daemon) restartWatches() {
	for _, f := range d.followers() {
		f.RestartWatch()
	}
}

// writeKey writes the daemon's key under a new lease. It returns the lease and the era in which
// it was granted.
func (d *Daemon) writeKey(ctx context.Context, key string) (storer.LeaseID, uint64, error) {
	store := d.platform.Store
	lease, err := store.Grant(ctx, leaseTTL)
	if err != nil {
		return "", 0, err
	}
	d.observeStoreEra()
	era := d.era()
	_, err = store.PutIf(ctx, key, []byte(d.settings.ControlAddress()), 0, lease)
	if errors.Is(err, storer.ErrConflict) {
		item, getErr := store.Get(ctx, key)
		if getErr != nil {
			return "", 0, getErr
		}
		_, err = store.PutIf(ctx, key, []byte(d.settings.ControlAddress()), item.Version, lease)
	}
	if err != nil {
		return "", 0, err
	}
	return lease, era, nil
}

// maxJoins is the number of successful joins after which a lookup starts no further
// joins, and the maximum number of concurrent joins.
const maxJoins = 3

// lookUpDaemons reads the addresses of the other daemons from the store and joins
// through some that are not live members.
func (d *Daemon) lookUpDaemons(ctx context.Context) error {
	result, err := d.platform.Store.Range(ctx, d.platform.DaemonPrefix)
	if err != nil {
		d.log.Warn("lookup of daemons failed", "err", err)
		return err
	}
	found := map[string]string{}
	for _, c := range result.Changes {
		found[strings.TrimPrefix(c.Key, d.platform.DaemonPrefix)] = string(c.Value)
	}
	delete(found, d.settings.Name)
	d.rememberPeers(found)
	joined := d.joinUnknown(ctx, found)
	if joined > 0 {
		d.log.Info("joined", "found", len(found), "through", joined, "live", d.members.Counts().Live())
		d.pushSelf(d.members.Self())
	}
	d.joined.Store(true)
	return nil
}

// joinUnknown joins through found daemons that are not live members. It starts joins
// until maxJoins have succeeded; calls already in flight may succeed as well. It makes
// up to maxJoins calls concurrently, because a daemon that has died is only detected by
// a timeout. It returns the number of successful joins.
func (d *Daemon) joinUnknown(ctx context.Context, found map[string]string) int {
	var joined atomic.Int32
	var group errgroup.Group
	group.SetLimit(maxJoins)
	for name, address := range found {
		if m, ok := d.members.Get(name); ok && m.Status <= prober.Suspect {
			continue
		}
		if joined.Load() >= maxJoins {
			break
		}
		group.Go(func() error {
			if err := d.joinVia(ctx, address); err != nil {
				d.log.Debug("join through daemon failed", "peer", name, "err", err)
				return nil
			}
			joined.Add(1)
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	return int(joined.Load())
}

// rememberPeers stores the control addresses of other daemons.
func (d *Daemon) rememberPeers(addresses map[string]string) {
	d.peerAddressesMu.Lock()
	defer d.peerAddressesMu.Unlock()
	maps.Copy(d.peerAddresses, addresses)
}
