package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Parameters of the records of departures.
const (
	// departureTimeout bounds the time for which a report waits until a departure is
	// stored. Targets wait a second for the response.
	departureTimeout = 800 * time.Millisecond
	// firstWriteTimeout bounds the first call of a write. The connection may be silent, and
	// another is used if the call has timed out.
	firstWriteTimeout = 300 * time.Millisecond
	// departureRetention is the minimum time for which departures are kept. It is far longer
	// than a process runs after its leave report and than an announcement is delayed.
	departureRetention = 10 * time.Minute
)

// errRestored means that the store has begun another era during calls that belong together.
var errRestored = Class.New("store has come back from an older copy")

// departureKey returns the key of the local target's departures.
func (d *Daemon) departureKey() string { return d.platform.DeparturePrefix + d.settings.Name }

// writeDepartures reads the departures from before the daemon's start and stores new ones,
// until ctx ends.
func (d *Daemon) writeDepartures(ctx context.Context) {
	for ctx.Err() == nil {
		startTime := d.clock.Now()
		err := d.syncDeparturesWithRetry(ctx)
		switch {
		case err == nil:
			select {
			case <-d.departures.due:
			case <-d.departures.lateCheck:
				d.departures.recheck()
			case <-ctx.Done():
			}
		case errors.Is(err, storer.ErrConflict), errors.Is(err, errRestored):
			d.log.Info("departures were changed in the store; reading them again", "err", err)
		case ctx.Err() == nil:
			d.incrementCounter("departure.failed")
			d.log.Warn("departures not stored or not read", "took", d.clock.Now().Sub(startTime), "err", err)
			d.setDeparturesUnreadable()
			d.waitForDeparture(ctx, d.registerPause())
		}
	}
}

// waitForDeparture waits for a time, or until a departure is added.
func (d *Daemon) waitForDeparture(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-d.departures.due:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// syncDeparturesWithRetry is like syncDepartures. If the departures were read before, it calls
// the store a second time after a timeout of firstWriteTimeout.
func (d *Daemon) syncDeparturesWithRetry(ctx context.Context) error {
	if d.departures.synced {
		first, cancel := context.WithTimeout(ctx, firstWriteTimeout)
		defer cancel()
		if err := d.syncDepartures(first); first.Err() == nil {
			return err
		}
	}
	return d.syncDepartures(ctx)
}

// syncDepartures reads the departures from the store if necessary, and stores those that
// are missing there.
func (d *Daemon) syncDepartures(ctx context.Context) error {
	l := &d.departures
	l.beginEra(d.era())
	var known []byte
	if !l.synced {
		item, err := d.platform.Store.Get(ctx, d.departureKey())
		if err != nil {
			return err
		}
		l.version, l.synced, known = item.Version, true, item.Value
		if d.observeStoreEra(); l.era == 0 {
			l.era = d.era()
		}
		d.applyDepartures(d.decodeDepartures(item))
	}
	entries, stored := l.pending()
	if stored == nil {
		return nil
	}
	value, err := json.Marshal(entries)
	if err != nil {
		return Class.Wrap(err)
	}
	if !bytes.Equal(value, known) {
		startTime := d.clock.Now()
		version, err := d.platform.Store.PutIf(ctx, d.departureKey(), value, l.version, "")
		if err != nil {
			// The write may have been applied, so the version is unknown.
			l.synced = false
			return err
		}
		l.version = version
		d.incrementCounter("departure.stored")
		d.log.Info("departure stored", "instance", entries[len(entries)-1].Instance, "took", d.clock.Now().Sub(startTime))
	}
	d.observeStoreEra()
	if l.era != d.era() {
		return errRestored
	}
	l.setStored(entries)
	return nil
}

// decodeDepartures decodes the departures of an item of the store.
func (d *Daemon) decodeDepartures(i storer.Item) []departure {
	if i.Version == 0 {
		return nil
	}
	var entries []departure
	if err := json.Unmarshal(i.Value, &entries); err != nil {
		d.log.Error("departures not decoded", "key", i.Key, "err", err)
	}
	return entries
}

// applyDepartures applies the departures in the store: their processes get no more requests.
// An announcement that arrived earlier is handled now.
func (d *Daemon) applyDepartures(entries []departure) {
	d.announcementMu.Lock()
	defer d.announcementMu.Unlock()
	d.departures.mergeOlder(entries)
	for _, e := range entries {
		d.log.Info("departure known from before the start", "instance", e.Instance)
		d.endProcesses(e)
	}
	known := d.departuresKnown
	d.departuresKnown = true
	if held := d.heldAnnouncement; !known && held.Instance != "" && d.clock.Now().Sub(held.at) <= d.announcementExpiry() {
		d.handleRunning(held.Announcement)
	}
}

// setDeparturesUnreadable records that the store could not be read.
func (d *Daemon) setDeparturesUnreadable() {
	d.announcementMu.Lock()
	defer d.announcementMu.Unlock()
	d.departuresUnreadable = true
}

// endProcesses stops requests to the processes of a departure. The caller holds
// announcementMu.
func (d *Daemon) endProcesses(e departure) {
	until := time.UnixMilli(e.Start)
	if until.After(d.leaves[e.Instance]) {
		d.leaves[e.Instance] = until
	}
	last := d.lastAnnouncement
	if last.Instance == e.Instance && !last.StartTime.After(until) && !last.Draining {
		d.handleLeave(Announcement{
			Instance: e.Instance,
			Leaving:  true,
		}, last)
	}
}

// isVerified reports whether an announcement of a running target may be believed. Until
// the departures from before the daemon's start are known, it may be a late one of a process
// that has left since. If the store cannot be read, an announcement is believed that follows
// another of the same process, because a process that has left sends no more. The caller
// holds announcementMu.
func (d *Daemon) isVerified(a Announcement) bool {
	if d.departuresKnown {
		return true
	}
	held := d.heldAnnouncement
	sameProcess := held.Instance == a.Instance && held.StartTime.Equal(a.StartTime)
	if !sameProcess || a.Sequence > held.Sequence {
		d.heldAnnouncement = lastAnnouncement{
			Announcement: a,
			at:           d.clock.Now(),
		}
	}
	return d.departuresUnreadable && sameProcess && a.Sequence > held.Sequence
}

// ownRewriteTime is the time that daemons have to write their targets' departures again before
// relays do it for those that are gone.
const ownRewriteTime = time.Second

// writeDeparturesOfOthers writes the departures of the other daemons' targets that the store
// has lost. Their daemons may be gone, and know nothing of them after a restart.
func (d *Daemon) writeDeparturesOfOthers(ctx context.Context) {
	sleep(ctx, ownRewriteTime)
	left := d.leaving.all()
	if len(left) == 0 || !d.isRelay() || ctx.Err() != nil {
		return
	}
	result, err := d.platform.Store.Range(ctx, d.platform.DeparturePrefix)
	if err != nil {
		d.log.Warn("departures not read", "err", err)
		return
	}
	stored := map[string]storer.Item{}
	for _, c := range result.Changes {
		stored[c.Key] = c.Item
	}
	for _, m := range left {
		key := d.platform.DeparturePrefix + m.ID
		log := departureLog{entries: d.decodeDepartures(stored[key])}
		if m.ID == d.settings.Name || !log.merge(departureOf(*m.Target)) {
			continue
		}
		value, err := json.Marshal(log.entries)
		if err != nil {
			d.log.Error("departure not encoded", "vm", m.ID, "err", err)
			continue
		}
		_, err = d.platform.Store.PutIf(ctx, key, value, stored[key].Version, "")
		d.log.Info("departure of another daemon's target written again", "peer", m.ID, "instance", m.Target.Instance, "err", err)
	}
}

// expireDepartures removes old departures from the store until ctx ends. Relays do that for
// all daemons, because a VM that is gone for good does not remove its own. It does not rely on
// the time of day, which may be wrong.
func (d *Daemon) expireDepartures(ctx context.Context) {
	var seen map[string]storer.Position
	for ctx.Err() == nil {
		sleep(ctx, departureRetention)
		if ctx.Err() == nil && d.isRelay() {
			seen = d.removeOldDepartures(ctx, seen)
		}
	}
}

// removeOldDepartures removes the keys that have the positions seen by an earlier call, and
// returns the positions of the others.
func (d *Daemon) removeOldDepartures(ctx context.Context, seen map[string]storer.Position) map[string]storer.Position {
	result, err := d.platform.Store.Range(ctx, d.platform.DeparturePrefix)
	if err != nil {
		d.log.Warn("departures not read", "err", err)
		return seen
	}
	others := map[string]storer.Position{}
	for _, c := range result.Changes {
		if seen[c.Key] != c.Position() {
			others[c.Key] = c.Position()
			continue
		}
		if err := d.platform.Store.DeleteIf(ctx, c.Key, c.Version); err != nil {
			d.log.Debug("departures not removed", "key", c.Key, "err", err)
		}
	}
	return others
}
