package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
)

// Times of following the log. The pause after a failure is jittered by up to
// followJitter.
const (
	followPause  = 500 * time.Millisecond
	followJitter = 1500 * time.Millisecond
)

// relay takes up and lays down the duty of a relay.
func (d *Daemon) relay(ctx context.Context) error {
	r := &distributor.Relay{
		Node:    d.node,
		Duty:    distributor.NewDuty(d.clock, rand.Uint64()),
		Log:     d.history,
		DC:      d.settings.DC,
		Control: d.settings.ControlAddress(),
	}
	stop := func() {}
	for ctx.Err() == nil {
		held := r.Duty.Holds()
		calls := r.Step(ctx)
		d.bringIntoForce()
		d.makeCalls(ctx, calls)
		switch holds := r.Duty.Holds(); {
		case holds && !held:
			d.log.Info("relay takes up its duty")
			var following context.Context
			following, stop = context.WithCancel(ctx)
			go d.follow(following, r)
		case held && !holds:
			d.log.Info("relay's duty has ended")
			stop()
		}
		sleep(ctx, distributor.DutyPeriod)
	}
	stop()
	if r.Duty.Holds() {
		revoking, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		r.LayDown(revoking)
	}
	return nil
}

// follow watches the log until ctx ends.
func (d *Daemon) follow(ctx context.Context, r *distributor.Relay) {
	for ctx.Err() == nil {
		if err := d.followOn(ctx, r); err != nil && ctx.Err() == nil {
			d.log.Warn("log cannot be followed", "err", err)
			sleep(ctx, followPause+rand.N(followJitter))
		}
	}
}

// followOn reads on to the log's head and watches it for as long as entries
// come that fit.
func (d *Daemon) followOn(ctx context.Context, r *distributor.Relay) error {
	calls, err := r.ReadOn(ctx)
	d.bringIntoForce()
	d.makeCalls(ctx, calls)
	for ok := true; ok && err == nil; {
		calls, ok, err = r.Wait(ctx)
		d.bringIntoForce()
		d.makeCalls(ctx, calls)
	}
	return err
}
