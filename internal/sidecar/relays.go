package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/attester"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

// Relays watch the store on behalf of all daemons of their data centre, so that the
// load on the store does not grow with the number of daemons.
const (
	// relaysPerDC is the number of relays in a data centre.
	relaysPerDC = 2
	// relayUpdatePeriod is the interval at which a relay sends updates, and
	// relayUpdateTTL the time after which the last update has expired.
	relayUpdatePeriod = 500 * time.Millisecond
	relayUpdateTTL    = 1600 * time.Millisecond
	// relayRetryPause is a relay's pause after a failed watch, and otherRetryPause
	// that of the other daemons, which receive changes from a relay as soon as it
	// reaches the store.
	relayRetryPause = 300 * time.Millisecond
	otherRetryPause = 2 * time.Second
)

// relayUpdate is the message by which a daemon, usually a relay, announces the revisions
// of its records.
type relayUpdate struct {
	From    string `json:"from"`
	Control string `json:"control"`
	// StoreReachable reports whether the relay's last calls to the store succeeded.
	StoreReachable bool `json:"reached"`
	// Recoveries is the number of times that the relay found the store reachable
	// again after an outage.
	Recoveries uint64 `json:"returns"`
	// Revisions holds the revisions of the relay's copies, by key prefix. If the store has
	// eras, Marks holds their marks; daemons of older versions know only the revisions.
	Revisions map[string]uint64        `json:"revisions"`
	Marks     map[string]follower.Mark `json:"marks,omitempty"`
	// Era is the store's era, 0 if it has none, and EraAge the time for which it is known, in
	// milliseconds.
	Era    uint64 `json:"era,omitempty"`
	EraAge int64  `json:"eraage,omitempty"`
	// Proof proves the sender's copy of the operators' records to the receiver.
	Proof *attester.Proof `json:"proof,omitempty"`
	// Reply marks an update that is sent only because the receiver's own lacks losses.
	Reply bool `json:"reply,omitempty"`
}

// mark returns the mark of the sender's copy of a prefix.
func (u relayUpdate) mark(prefix string) follower.Mark {
	if m, ok := u.Marks[prefix]; ok {
		return m
	}
	return follower.Mark{Revision: u.Revisions[prefix]}
}

// relaysOf returns the IDs of the daemons that are relays of a data centre.
func (d *Daemon) relaysOf(dc string) []string {
	var ids []string
	for _, m := range d.members.All() {
		if m.DC == dc && m.Status == prober.Alive {
			ids = append(ids, m.ID)
		}
	}
	return ranker.Top("relay", ids, relaysPerDC)
}

// isRelay reports whether the daemon is a relay of its data centre.
func (d *Daemon) isRelay() bool {
	return slices.Contains(d.relaysOf(d.settings.DC), d.settings.Name)
}

// watching reports whether the daemon watches the store itself: as a relay, or
// because no relay that reaches the store has sent an update within relayUpdateTTL or a
// proof in time.
func (d *Daemon) watching() bool {
	return d.isRelay() || !d.hasRelay() || d.proofOverdue()
}

// hasRelay reports whether a relay that reaches the store has sent an update within
// relayUpdateTTL. It forgets the relays whose updates are older.
func (d *Daemon) hasRelay() bool {
	now := d.clock.Now()
	d.relayUpdatesMu.Lock()
	defer d.relayUpdatesMu.Unlock()
	maps.DeleteFunc(d.relayUpdates, func(_ string, received time.Time) bool { return now.Sub(received) > relayUpdateTTL })
	return len(d.relayUpdates) > 0
}

// recordRelayUpdate records whether a relay reaches the store. One that no longer does is
// forgotten at once.
func (d *Daemon) recordRelayUpdate(relay string, storeReachable bool) {
	d.relayUpdatesMu.Lock()
	defer d.relayUpdatesMu.Unlock()
	if storeReachable {
		d.relayUpdates[relay] = d.clock.Now()
	} else {
		delete(d.relayUpdates, relay)
	}
}

// retryPause returns the pause after a failed watch.
func (d *Daemon) retryPause() time.Duration {
	if d.isRelay() {
		return relayRetryPause
	}
	return otherRetryPause
}

// storeReachable reports whether the daemon's last calls to the store succeeded: the
// watch of the operators' records and the registration.
func (d *Daemon) storeReachable() bool {
	return d.dependencyReached("store "+d.operatorFollower.Prefix) && d.dependencyReached("store registration")
}

// runRelay sends updates until ctx ends: every relayUpdatePeriod, and at once after a
// change.
func (d *Daemon) runRelay(ctx context.Context) {
	ticker := time.NewTicker(relayUpdatePeriod)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ticker.C:
		case <-d.relayUpdateDue:
			changed = true
		case <-ctx.Done():
			return
		}
		d.forgetLosses()
		if !d.left.Load() {
			d.sendRelayUpdate(d.updateReceivers(changed))
		}
	}
}

// updateReceivers returns the daemons to which an update is due. A relay sends its updates
// to the daemons of its data centre and to the relays of the other data centres. While no
// relay reaches the store, each other daemon informs the relays of its data centre of
// changes, which they pass on.
func (d *Daemon) updateReceivers(changed bool) []prober.Member {
	fromRelay := d.isRelay()
	if !fromRelay && (!changed || d.hasRelay()) {
		return nil
	}
	var receivers []prober.Member
	relays := map[string][]string{}
	for _, m := range d.members.All() {
		if m.ID == d.settings.Name || m.Status > prober.Suspect {
			continue
		}
		if _, known := relays[m.DC]; !known {
			relays[m.DC] = d.relaysOf(m.DC)
		}
		sameDC := m.DC == d.settings.DC
		toRelay := slices.Contains(relays[m.DC], m.ID)
		if (sameDC && toRelay) || (fromRelay && (sameDC || toRelay)) {
			receivers = append(receivers, m)
		}
	}
	return receivers
}

// sendRelayUpdate sends the revisions of the daemon's copies to other daemons. Only an
// update of a relay says that the store is reachable, since its receivers then rely on
// further updates.
func (d *Daemon) sendRelayUpdate(receivers []prober.Member) {
	if len(receivers) == 0 {
		return
	}
	u := d.relayUpdate()
	d.retainStamps(receivers)
	for _, m := range receivers {
		go func() {
			d.sendUpdateTo(m.ID, m.Control, d.withProof(u, m.ID))
		}()
	}
}

// sendUpdateTo sends an update to the daemon at an address.
func (d *Daemon) sendUpdateTo(daemon, address string, u relayUpdate) {
	var receipt updateReceipt
	if err := d.client.Call(context.Background(), address, relayUpdateMethod, u, &receipt); err != nil {
		d.incrementCounter("news.failed")
		d.log.Debug("relay update not sent", "peer", address, "err", err)
		return
	}
	d.recordReceipt(daemon, receipt)
}

// relayUpdate returns the update that the daemon sends at present.
func (d *Daemon) relayUpdate() relayUpdate {
	era, since := d.eras.current()
	u := relayUpdate{
		From:           d.settings.Name,
		Control:        d.settings.ControlAddress(),
		StoreReachable: d.isRelay() && d.storeReachable(),
		Recoveries:     d.storeRecoveries.Load(),
		Revisions:      map[string]uint64{},
	}
	if era > 0 {
		u.Marks = map[string]follower.Mark{}
		u.Era, u.EraAge = era, d.clock.Now().Sub(since).Milliseconds()
	}
	for _, f := range d.followers() {
		if c, ok := f.Copy(); ok {
			u.Revisions[f.Prefix] = c.Revision
			if era > 0 {
				u.Marks[f.Prefix] = c.Mark()
			}
		}
	}
	return u
}

// handleRelayUpdate records a relay's update and fetches the relay's records that
// are newer than the daemon's own.
func (d *Daemon) handleRelayUpdate(_ context.Context, u relayUpdate) (updateReceipt, error) {
	d.recordRelayUpdate(u.From, u.StoreReachable)
	if u.StoreReachable {
		if known, ok := d.relayRecoveries.Swap(u.From, u.Recoveries); ok && known != u.Recoveries {
			d.signalStoreRecovery()
		}
	}
	if u.Era > 0 {
		d.observeEra(u.Era, d.clock.Now().Add(-time.Duration(u.EraAge)*time.Millisecond))
	}
	for _, f := range d.followers() {
		go d.compareCopies(f, u)
	}
	return d.newReceipt(), nil
}

// compareCopies fetches the sender's copy of a prefix if it has something that the daemon's own
// lacks, and tells the sender of losses that it lacks.
func (d *Daemon) compareCopies(f *follower.Follower, u relayUpdate) {
	announced := u.mark(f.Prefix)
	if f.Lacks(announced) {
		d.fetchAnnouncedCopy(f, u.Control)
	}
	d.acceptProof(f, u)
	if c, ok := f.Copy(); ok && !u.Reply && announced.LacksLosses(c.Mark()) {
		reply := d.relayUpdate()
		reply.Reply = true
		d.sendUpdateTo(u.From, u.Control, reply)
	}
}

// followers returns the followers of all key prefixes that the daemon watches.
func (d *Daemon) followers() []*follower.Follower {
	return []*follower.Follower{d.operatorFollower, d.outcomeFollower}
}

// triggerRelayUpdate makes the relay send an update at once.
func (d *Daemon) triggerRelayUpdate() {
	select {
	case d.relayUpdateDue <- struct{}{}:
	default:
	}
}
