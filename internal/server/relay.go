package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
)

// Delay before following the log again after an error. A random delay of up to
// followJitter is added to followRetryDelay.
const (
	followRetryDelay = 500 * time.Millisecond
	followJitter     = 1500 * time.Millisecond
)

// runRelay acquires, renews and releases a relay slot of the data centre. While
// the daemon holds a slot, it follows the log.
func (d *Daemon) runRelay(ctx context.Context) error {
	r := &distributor.Relay{
		Node:     d.node,
		Election: distributor.NewElection(d.clock, rand.Uint64()),
		Log:      d.configLog,
		DC:       d.settings.DC,
		Control:  d.settings.ControlAddress(),
	}
	stop := func() {}
	for ctx.Err() == nil {
		wasRelay := r.Election.HoldsSlot()
		calls := r.Step(ctx)
		d.activateReceived()
		d.sendCalls(ctx, calls)
		switch isRelay := r.Election.HoldsSlot(); {
		case isRelay && !wasRelay:
			d.log.Info("acquired relay slot")
			var followCtx context.Context
			followCtx, stop = context.WithCancel(ctx)
			go d.followLog(followCtx, r)
		case wasRelay && !isRelay:
			d.log.Info("relay slot released or lost")
			stop()
		}
		sleep(ctx, distributor.ElectionPeriod)
	}
	stop()
	if r.Election.HoldsSlot() {
		releaseCtx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		r.Release(releaseCtx)
	}
	return nil
}

// followLog follows the log until ctx ends, with a delay after each failure.
func (d *Daemon) followLog(ctx context.Context, r *distributor.Relay) {
	for ctx.Err() == nil {
		if err := d.followOnce(ctx, r); err != nil && ctx.Err() == nil {
			d.log.Warn("cannot follow configuration log", "err", err)
			sleep(ctx, followRetryDelay+rand.N(followJitter))
		}
	}
}

// followOnce reads the log up to its head and then watches it. It returns on an
// error, or when an entry does not follow the node's state.
func (d *Daemon) followOnce(ctx context.Context, r *distributor.Relay) error {
	calls, err := r.CatchUp(ctx)
	d.activateReceived()
	d.sendCalls(ctx, calls)
	for ok := true; ok && err == nil; {
		calls, ok, err = r.Wait(ctx)
		d.activateReceived()
		d.sendCalls(ctx, calls)
	}
	return err
}
