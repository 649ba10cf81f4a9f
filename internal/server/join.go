package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
)

// Timing of the search for seeds on the platform.
const (
	// initialJoinDelay is the maximum random delay before the first search. It
	// spreads the load of daemons that start at the same time.
	initialJoinDelay = 3 * time.Second
	// maxJoinDelay limits the delay between two searches. The delay starts at
	// initialJoinDelay and doubles.
	maxJoinDelay = time.Minute
	// rejoinInterval is the maximum interval between two searches of a daemon
	// that is ranked as a relay. The minimum is half of it.
	rejoinInterval = 10 * time.Second
)

// runJoin searches for seeds on the platform until the daemon knows another
// member. Each relay stores its control address there under a leased key. Seeds
// from the settings are used as well, so joining does not depend on the
// platform.
//
// Daemons that start at the same time may form several groups that do not know each
// other's members. Daemons ranked as relays therefore continue to search, one
// relay slot at a time. Each group has such daemons. They find the relays of the
// other groups through the keys.
func (d *Daemon) runJoin(ctx context.Context) error {
	delay := initialJoinDelay
	for d.members.Counts().Live() == 1 && ctx.Err() == nil {
		sleep(ctx, rand.N(delay))
		if d.members.Counts().Live() == 1 {
			d.joinRelays(ctx, 0, distributor.RelaysPerDC)
		}
		delay = min(2*delay, maxJoinDelay)
	}
	for slot := rand.IntN(distributor.RelaysPerDC); ctx.Err() == nil; slot = (slot + 1) % distributor.RelaysPerDC {
		sleep(ctx, rejoinInterval/2+rand.N(rejoinInterval/2))
		if _, ranked := d.node.Rank(); ranked {
			d.joinRelays(ctx, slot, slot+1)
		}
	}
	return nil
}

// joinRelays reads the relays of a range of relay slots from the platform and stores
// them as seeds. It passes the addresses of unknown daemons to the prober,
// which exchanges members with them immediately.
func (d *Daemon) joinRelays(ctx context.Context, from, to int) {
	platformSeeds := d.fetchRelaySeeds(ctx, from, to)
	if len(platformSeeds) == 0 {
		return
	}
	d.platformSeeds.Store(&platformSeeds)
	known := map[string]bool{}
	for _, m := range d.members.All() {
		known[m.Control] = true
	}
	for _, address := range platformSeeds {
		if !known[address] {
			d.prober.AddHint(address)
		}
	}
}

// fetchRelaySeeds reads the control addresses of the relays of this daemon's
// data centre from the platform, for a range of relay slots.
func (d *Daemon) fetchRelaySeeds(ctx context.Context, from, to int) []string {
	var addresses []string
	for slot := from; slot < to; slot++ {
		item, err := d.configLog.Platform.Get(ctx, distributor.RelayKey(d.settings.DC, slot))
		if err != nil {
			d.log.Debug("cannot read seeds from the platform", "err", err)
			return addresses
		}
		if address := string(item.Value); item.Version > 0 && address != d.settings.ControlAddress() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// seeds returns the control addresses to join through: those of the settings
// and those found on the platform.
func (d *Daemon) seeds() []string {
	platformSeeds := d.platformSeeds.Load()
	if platformSeeds == nil {
		return d.settings.Seeds
	}
	return append(append([]string(nil), d.settings.Seeds...), *platformSeeds...)
}
