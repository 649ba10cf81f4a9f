package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
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
	// maxDepartures is the number of departures that are kept for one target.
	maxDepartures = 4
)

// departure records that processes of a daemon's target leave or have left.
type departure struct {
	Instance string `json:"instance"`
	// Start is the latest start of these processes, in Unix milliseconds, or 0 if it is
	// unknown.
	Start int64 `json:"start"`
}

// departureLog holds the latest departures of the local target, the last one at the end. They are stored before
// the target's report is acknowledged, so that they are still known after all daemons
// have restarted. The zero value is not ready to use: due must be set.
type departureLog struct {
	mu      sync.Mutex
	entries []departure
	// stored is closed once all entries are in the store. It is nil if none was added.
	stored chan struct{}
	// due receives a value when an entry is added.
	due chan struct{}
	// version is that of the store's key, if synced is set. Only writeDepartures uses them.
	version uint64
	synced  bool
}

// add adds a departure.
func (l *departureLog) add(e departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.merge(e) {
		return
	}
	if l.stored == nil || isClosed(l.stored) {
		l.stored = make(chan struct{})
	}
	select {
	case l.due <- struct{}{}:
	default:
	}
}

// merge adds a departure unless it is known, and drops the oldest ones beyond maxDepartures.
// It reports whether it has added it. The caller holds the lock.
func (l *departureLog) merge(e departure) bool {
	same := func(o departure) bool { return o.Instance == e.Instance }
	if i := slices.IndexFunc(l.entries, same); i >= 0 && l.entries[i].Start >= e.Start {
		return false
	}
	entries := append(slices.DeleteFunc(slices.Clone(l.entries), same), e)
	l.entries = entries[max(0, len(entries)-maxDepartures):]
	return true
}

// mergeOlder adds departures that were read from the store before those that are known.
func (l *departureLog) mergeOlder(older []departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newer := l.entries
	l.entries = nil
	for _, e := range slices.Concat(older, newer) {
		l.merge(e)
	}
}

// pending returns the entries that have to be stored and the channel to be closed then. The
// channel is nil if all are stored.
func (l *departureLog) pending() ([]departure, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stored == nil || isClosed(l.stored) {
		return nil, nil
	}
	return l.entries, l.stored
}

// setStored records that entries, as returned by pending, are in the store.
func (l *departureLog) setStored(entries []departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(entries, l.entries) && !isClosed(l.stored) {
		close(l.stored)
	}
}

// wait waits until all departures are stored. It returns false if that takes longer than
// the timeout.
func (l *departureLog) wait(ctx context.Context, timeout time.Duration) bool {
	_, stored := l.pending()
	if stored == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stored:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// departureKey returns the key of the local target's departures.
func (d *Daemon) departureKey() string { return d.platform.DeparturePrefix + d.settings.Name }

// writeDepartures reads the departures from before the daemon's start and stores new ones,
// until ctx ends.
func (d *Daemon) writeDepartures(ctx context.Context) {
	for ctx.Err() == nil {
		startTime := d.clock.Now()
		err := d.syncDeparturesTwice(ctx)
		switch {
		case err == nil:
			select {
			case <-d.departures.due:
			case <-ctx.Done():
			}
		case errors.Is(err, storer.ErrConflict):
			d.log.Info("departures were changed in the store; reading them again")
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

// syncDeparturesTwice is like syncDepartures. If the departures were read before, it calls
// the store a second time after a timeout of firstWriteTimeout.
func (d *Daemon) syncDeparturesTwice(ctx context.Context) error {
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
	var known []byte
	if !l.synced {
		item, err := d.platform.Store.Get(ctx, d.departureKey())
		if err != nil {
			return err
		}
		l.version, l.synced, known = item.Version, true, item.Value
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

// expireDepartures removes old departures from the store until ctx ends. Relays do that for
// all daemons, because a VM that is gone for good does not remove its own. It does not rely on
// the time of day, which may be wrong.
func (d *Daemon) expireDepartures(ctx context.Context) {
	var seen map[string]uint64
	for ctx.Err() == nil {
		sleep(ctx, departureRetention)
		if ctx.Err() == nil && d.isRelay() {
			seen = d.removeOldDepartures(ctx, seen)
		}
	}
}

// removeOldDepartures removes the keys that have the versions seen by an earlier call, and
// returns the versions of the others.
func (d *Daemon) removeOldDepartures(ctx context.Context, seen map[string]uint64) map[string]uint64 {
	result, err := d.platform.Store.Range(ctx, d.platform.DeparturePrefix)
	if err != nil {
		d.log.Warn("departures not read", "err", err)
		return seen
	}
	others := map[string]uint64{}
	for _, c := range result.Changes {
		if seen[c.Key] != c.Version {
			others[c.Key] = c.Version
			continue
		}
		if err := d.platform.Store.DeleteIf(ctx, c.Key, c.Version); err != nil {
			d.log.Debug("departures not removed", "key", c.Key, "err", err)
		}
	}
	return others
}
