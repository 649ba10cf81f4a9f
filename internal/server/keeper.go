package server

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/mover"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// keeperPrefix is the prefix of the platform key that the keeper of a service's
// rollout holds under a lease. The keeper is the daemon that commits the steps of the
// rollout. keeperPrefix is also the prefix of the rendezvous hashing key that ranks the
// candidates.
const keeperPrefix = "keeper/"

// Timing of keepers.
const (
	// keeperPeriod is how often a keeper checks whether the next status of a
	// rollout is due.
	keeperPeriod = 500 * time.Millisecond
	// keeperTTL is the TTL of the lease of a keeper's key, and keeperRenewal how
	// often the lease is renewed.
	keeperTTL     = 15 * time.Second
	keeperRenewal = 4 * time.Second
	// keeperPoll is how often the other candidates check for the key. The
	// candidate ranked first acquires the key at the first check that finds it
	// missing, the others only after two such checks in a row.
	keeperPoll = 5 * time.Second
	// keeperRetry is the delay after a failed attempt to advance a rollout.
	keeperRetry = 2 * time.Second
)

// keeperTask is the state of one candidate, or of the keeper itself, for one
// rollout.
type keeperTask struct {
	lease storer.LeaseID
	// nextCall is when the keeper next renews the lease, or a candidate next checks
	// the key.
	nextCall time.Time
	// keyMissing is set if the key was missing at the last check.
	keyMissing bool
	// state is the newest state that was read from the log or received from
	// other daemons.
	state *applier.State
	// retryAt is the earliest time of the next attempt after a failure.
	retryAt time.Time
}

// runKeepers advances the rollouts for which this daemon is the keeper. The
// number of its calls to the platform grows with the number of active rollouts.
func (d *Daemon) runKeepers(ctx context.Context) error {
	tasks := map[string]*keeperTask{}
	for ctx.Err() == nil {
		sleep(ctx, keeperPeriod)
		d.stepKeepers(ctx, tasks)
	}
	for service := range tasks {
		d.resign(tasks, service)
	}
	return nil
}

func (d *Daemon) stepKeepers(ctx context.Context, tasks map[string]*keeperTask) {
	s := d.state.Load()
	for service := range tasks {
		if m, ok := s.Move(service); !ok || m.Phase.Final() {
			d.resign(tasks, service)
		}
	}
	for _, m := range d.liveMoves(s) {
		if m.Phase.Final() {
			continue
		}
		rank := slices.Index(d.keeperCandidates(m.Service), d.settings.Name)
		if rank < 0 {
			d.resign(tasks, m.Service)
			continue
		}
		k := tasks[m.Service]
		if k == nil {
			k = &keeperTask{}
			tasks[m.Service] = k
		}
		if d.ensureLease(ctx, k, m.Service, rank) {
			d.advanceMove(ctx, k, m.Service)
		}
	}
}

// ensureLease renews the lease on the keeper's key or tries to acquire it, and
// reports whether this daemon holds it afterwards. The lease only avoids duplicate
// work. Compare-and-swap on the log protects against concurrent commits.
func (d *Daemon) ensureLease(ctx context.Context, k *keeperTask, service string, rank int) bool {
	now := d.clock.Now()
	if now.Before(k.nextCall) {
		return k.lease != ""
	}
	ctx, cancel := context.WithTimeout(ctx, mover.MaxCommitTime)
	defer cancel()
	if k.lease != "" {
		k.nextCall = now.Add(keeperRenewal)
		if err := d.configLog.Platform.KeepAlive(ctx, k.lease); errors.Is(err, storer.ErrLeaseExpired) {
			*k = keeperTask{}
		}
		return k.lease != ""
	}
	k.nextCall = now.Add(keeperPoll)
	d.acquireKeeperKey(ctx, k, service, rank)
	return k.lease != ""
}

// acquireKeeperKey acquires the keeper's key if it is missing. A daemon that is
// not ranked first acquires it only if the previous check found it missing too.
func (d *Daemon) acquireKeeperKey(ctx context.Context, k *keeperTask, service string, rank int) {
	platform := d.configLog.Platform
	key := keeperPrefix + service
	item, err := platform.Get(ctx, key)
	keyMissing := err == nil && item.Version == 0
	missingTwice := keyMissing && k.keyMissing
	k.keyMissing = keyMissing
	if !keyMissing || rank > 0 && !missingTwice {
		return
	}
	lease, err := platform.Grant(ctx, keeperTTL)
	if err != nil {
		return
	}
	if _, err := platform.PutIf(ctx, key, []byte(d.settings.Name), 0, lease); err != nil {
		_ = platform.Revoke(ctx, lease)
		return
	}
	d.log.Info("acquired keeper lease of rollout", "service", service)
	k.lease = lease
	k.nextCall = d.clock.Now().Add(keeperRenewal)
}

// resign releases the lease on one rollout and drops its task.
func (d *Daemon) resign(tasks map[string]*keeperTask, service string) {
	k := tasks[service]
	delete(tasks, service)
	if k == nil || k.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_ = d.configLog.Platform.Revoke(ctx, k.lease)
}

// advanceMove commits the next status of a rollout if one is due.
func (d *Daemon) advanceMove(ctx context.Context, k *keeperTask, service string) {
	if d.clock.Now().Before(k.retryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, mover.MaxCommitTime)
	defer cancel()
	if s := d.state.Load(); k.state == nil || s.Revision() > k.state.Revision() {
		k.state = s
	}
	keeper := &mover.Keeper{
		Name:   d.settings.Name,
		Clock:  d.clock,
		Load:   d.configLog.Load,
		Commit: d.configLog.Commit,
		Look:   func(m applier.MoveStatus) mover.Situation { return d.keeperInput(k.state, m) },
	}
	before, _ := k.state.Move(service)
	after, err := keeper.CommitIfDue(ctx, k.state, service)
	if err != nil {
		k.retryAt = d.clock.Now().Add(keeperRetry)
		d.log.Warn("cannot advance rollout", "service", service, "err", err)
		return
	}
	k.state = after
	if m, ok := after.Move(service); ok && (m.Step != before.Step || m.Phase != before.Phase) {
		d.log.Info("rollout advanced", "service", service, "phase", m.Phase, "share", m.Share, "reason", m.Reason)
	}
}
