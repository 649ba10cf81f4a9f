package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

// Relays watch the store for all daemons of their zone, so that its calls do not
// grow with the daemons.
const (
	// relaysPerZone is the number of daemons in a zone that watch.
	relaysPerZone = 2
	// newsPeriod is how often a relay tells what it has, and newsTrust how long
	// a daemon relies on that.
	newsPeriod = 500 * time.Millisecond
	newsTrust  = 1600 * time.Millisecond
	// relayRetry is a relay's pause after a watch that failed, and watchRetry that
	// of the others, who learn what changes from a relay once it reaches the
	// store.
	relayRetry = 300 * time.Millisecond
	watchRetry = 2 * time.Second
)

// news is what a relay tells of the records it has.
type news struct {
	From    string `json:"from"`
	Control string `json:"control"`
	// Reached means that the relay reaches the store.
	Reached bool `json:"reached"`
	// Returns is how often the relay has found the store back.
	Returns uint64 `json:"returns"`
	// Revisions are those of its copies, by prefix.
	Revisions map[string]uint64 `json:"revisions"`
}

// relaysOf returns the daemons that watch for a zone.
func (d *Daemon) relaysOf(zone string) []string {
	var ids []string
	for _, m := range d.members.All() {
		if m.DC == zone && m.Status == prober.Alive {
			ids = append(ids, m.ID)
		}
	}
	return ranker.Top("relay", ids, relaysPerZone)
}

// isRelay reports whether the daemon watches for its zone.
func (d *Daemon) isRelay() bool {
	return slices.Contains(d.relaysOf(d.settings.DC), d.settings.Name)
}

// watching reports whether the daemon watches the store itself: as a relay, or
// since no relay that reaches the store was heard of lately.
func (d *Daemon) watching() bool {
	heard := d.heardNews.Load()
	return d.isRelay() || heard == nil || d.clock.Now().Sub(*heard) > newsTrust
}

// retryPause returns the pause after a watch that failed.
func (d *Daemon) retryPause() time.Duration {
	if d.isRelay() {
		return relayRetry
	}
	return watchRetry
}

// reachesStore reports whether the daemon's calls to the store are answered.
func (d *Daemon) reachesStore() bool {
	return d.isReached("store "+d.operator.Prefix) && d.isReached("store registration")
}

// relay tells the daemons of the zone, and the relays of the others, what the
// daemon has.
func (d *Daemon) relay(ctx context.Context) {
	ticker := time.NewTicker(newsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-d.changed:
		case <-ctx.Done():
			return
		}
		if !d.left.Load() && d.isRelay() {
			d.tellNews()
		}
	}
}

// tellNews sends the news.
func (d *Daemon) tellNews() {
	n := news{
		From:      d.settings.Name,
		Control:   d.settings.ControlAddress(),
		Reached:   d.reachesStore(),
		Returns:   d.returns.Load(),
		Revisions: map[string]uint64{},
	}
	for _, f := range d.followers() {
		if c, ok := f.Copy(); ok {
			n.Revisions[f.Prefix] = c.Revision
		}
	}
	relays := map[string][]string{}
	for _, m := range d.members.All() {
		if m.ID == d.settings.Name || m.Status > prober.Suspect {
			continue
		}
		if _, known := relays[m.DC]; !known {
			relays[m.DC] = d.relaysOf(m.DC)
		}
		if m.DC != d.settings.DC && !slices.Contains(relays[m.DC], m.ID) {
			continue
		}
		go func() {
			if err := d.client.Call(context.Background(), m.Control, newsMethod, n, nil); err != nil {
				d.count("news.failed")
				d.log.Debug("news not told", "peer", m.ID, "err", err)
			}
		}()
	}
}

// answerNews takes in what a relay has, and fetches what is newer.
func (d *Daemon) answerNews(_ context.Context, n news) (struct{}, error) {
	if n.Reached {
		now := d.clock.Now()
		d.heardNews.Store(&now)
		if known, ok := d.heardReturns.Swap(n.From, n.Returns); ok && known != n.Returns {
			d.noteReturn()
		}
	}
	for _, f := range d.followers() {
		known, _ := f.Copy()
		if n.Revisions[f.Prefix] > known.Revision {
			go d.fetch(context.Background(), f, n.Control)
		}
	}
	return struct{}{}, nil
}

func (d *Daemon) followers() []*follower.Follower {
	return []*follower.Follower{d.operator, d.outcomes}
}

// fetch takes over another daemon's copy if it is newer. One fetch of a prefix
// is under way at a time; a further one follows if it leaves something out.
func (d *Daemon) fetch(ctx context.Context, f *follower.Follower, address string) {
	if _, busy := d.fetching.LoadOrStore(f.Prefix, true); busy {
		return
	}
	defer d.fetching.Delete(f.Prefix)
	known, _ := f.Copy()
	var packed follower.Packed
	err := d.client.Call(ctx, address, copyMethod, copyQuestion{
		Prefix:   f.Prefix,
		Revision: known.Revision,
	}, &packed)
	if err != nil {
		d.log.Debug("no records from a peer", "peer", address, "err", err)
		return
	}
	if packed.Revision <= known.Revision {
		return
	}
	c, err := packed.Unpack()
	if err != nil {
		d.log.Error("records of a peer not understood", "peer", address, "prefix", f.Prefix, "err", err)
		return
	}
	if f.Offer(c) {
		d.log.Info("records learned from a peer", "peer", address, "prefix", f.Prefix, "revision", c.Revision)
	}
}

// copyQuestion asks another daemon for its copy of the records under a prefix if
// that is newer than a revision.
type copyQuestion struct {
	Prefix   string `json:"prefix"`
	Revision uint64 `json:"revision"`
}

// answerCopy answers another daemon's question.
func (d *Daemon) answerCopy(_ context.Context, q copyQuestion) (follower.Packed, error) {
	for _, f := range d.followers() {
		if c, ok := f.Copy(); ok && f.Prefix == q.Prefix && c.Revision > q.Revision {
			return d.pack(f.Prefix, c)
		}
	}
	return follower.Packed{}, nil
}

// pack packs a copy, once for all who ask for it.
func (d *Daemon) pack(prefix string, c follower.Copy) (follower.Packed, error) {
	d.packing.Lock()
	defer d.packing.Unlock()
	if p, ok := d.packed[prefix]; ok && p.Revision == c.Revision {
		return p, nil
	}
	p, err := c.Pack()
	if err != nil {
		return follower.Packed{}, err
	}
	d.packed[prefix] = p
	return p, nil
}

// notify lets the relay tell its news at once.
func (d *Daemon) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
