package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
)

// Times of looking for seeds on the platform.
const (
	// joinSpread is the time over which daemons that start together spread
	// their first look.
	joinSpread = 3 * time.Second
	// maxJoinPause bounds the time between two looks; it doubles from
	// joinSpread on.
	maxJoinPause = time.Minute
	// relookPause is the longest time between two looks of a daemon that is to
	// be a relay; the shortest is half of it.
	relookPause = 10 * time.Second
)

// join looks for seeds on the platform while the daemon knows nobody: the
// relays' leased keys hold their control addresses. The settings' seeds are
// used beside them, so that the platform need not answer.
//
// Daemons that start together may find each other in groups that know nothing
// of one another. So those that are to be relays go on looking, at one key each
// time: each group has some, and the keys lead them to the relays of the others.
func (d *Daemon) join(ctx context.Context) error {
	pause := joinSpread
	for d.members.Counts().Live() == 1 && ctx.Err() == nil {
		sleep(ctx, rand.N(pause))
		if d.members.Counts().Live() == 1 {
			d.lookForSeeds(ctx, 0, distributor.Relays)
		}
		pause = min(2*pause, maxJoinPause)
	}
	for slot := rand.IntN(distributor.Relays); ctx.Err() == nil; slot = (slot + 1) % distributor.Relays {
		sleep(ctx, relookPause/2+rand.N(relookPause/2))
		if _, ranked := d.node.Rank(); ranked {
			d.lookForSeeds(ctx, slot, slot+1)
		}
	}
	return nil
}

// lookForSeeds takes the relays in a range of slots for seeds, and exchanges
// members at once with those that the daemon does not know.
func (d *Daemon) lookForSeeds(ctx context.Context, from, to int) {
	found := d.relaySeeds(ctx, from, to)
	if len(found) == 0 {
		return
	}
	d.found.Store(&found)
	known := map[string]bool{}
	for _, m := range d.members.All() {
		known[m.Control] = true
	}
	for _, address := range found {
		if !known[address] {
			d.prober.Hint(address)
		}
	}
}

// relaySeeds returns the control addresses that the relays of the daemon's
// data centre have put on the platform, in a range of slots.
func (d *Daemon) relaySeeds(ctx context.Context, from, to int) []string {
	var addresses []string
	for slot := from; slot < to; slot++ {
		item, err := d.history.Platform.Get(ctx, distributor.RelayKey(d.settings.DC, slot))
		if err != nil {
			d.log.Debug("no seeds from the platform", "err", err)
			return addresses
		}
		if address := string(item.Value); item.Version > 0 && address != d.settings.ControlAddress() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// seeds returns the control addresses to join by.
func (d *Daemon) seeds() []string {
	found := d.found.Load()
	if found == nil {
		return d.settings.Seeds
	}
	return append(append([]string(nil), d.settings.Seeds...), *found...)
}
