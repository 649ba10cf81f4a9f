package sidecar

import (
	"context"
	"sync"
	"time"
)

// lossRetention is the time after the store's return from an older copy within which the
// operators write again what it has lost. Until then it stays in force. What they have withdrawn
// instead of writing it again can't be seen, since the store has nothing to remove.
const lossRetention = 15 * time.Second

// eraLog holds the store's present era as far as the daemon knows it from its own calls and
// from other daemons. The zero value knows none.
type eraLog struct {
	mu  sync.Mutex
	era uint64
	// since is the time at which the first daemon saw the era, as far as known.
	since time.Time
}

// add adds an era that was seen at a time. It returns the era before, and whether the store
// has begun another since, which is not known of the first era that is seen.
func (l *eraLog) add(era uint64, seen time.Time) (before uint64, restored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.era
	switch {
	case era > before:
		l.era, l.since = era, seen
		return before, before != 0
	case era == before && seen.Before(l.since):
		l.since = seen
	}
	return before, false
}

// current returns the era and the time since which it is known.
func (l *eraLog) current() (era uint64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era, l.since
}

// era returns the store's present era, or 0 if it has none.
func (d *Daemon) era() uint64 {
	era, _ := d.eras.current()
	return era
}

// observeStoreEra looks at the era that the store's responses have named.
func (d *Daemon) observeStoreEra() {
	if d.platform.Store.Era != nil {
		d.observeEra(d.platform.Store.Era(), d.clock.Now())
	}
}

// observeEra handles an era that a daemon has seen at a time. In a later one than before, the
// store has lost its newest changes and leases: the watches start again, the daemon
// registers again, and writes the departures of its target again.
func (d *Daemon) observeEra(era uint64, seen time.Time) {
	before, restored := d.eras.add(era, seen)
	if !restored {
		return
	}
	d.incrementCounter("store.restores")
	d.log.Warn("store has come back from an older copy", "era", era, "before", before)
	d.restartWatches()
	d.signalStoreRecovery()
	d.departures.signal()
	go d.writeDeparturesOfOthers(context.Background())
	d.triggerRelayUpdate()
}

// forgetLosses drops what the store has lost once the operators have had the time to write
// it again.
func (d *Daemon) forgetLosses() {
	era, since := d.eras.current()
	if d.clock.Now().Sub(since) < lossRetention {
		return
	}
	for _, f := range d.followers() {
		f.ForgetLosses(era)
	}
}
