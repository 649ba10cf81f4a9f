package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxDepartures is the number of departures that are kept for one target.
const maxDepartures = 4

// lateCallTime is the time after the store's return from an older copy within which it may
// execute calls that were sent before.
const lateCallTime = 10 * time.Second

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
	// version is that of the store's key in the era, if synced is set. Only writeDepartures
	// uses them.
	version uint64
	era     uint64
	synced  bool
	// lateCheck receives a value when a call that was sent before the era may have changed
	// the key. It is nil in the first era.
	lateCheck <-chan time.Time
}

// add adds a departure.
func (l *departureLog) add(e departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.merge(e) {
		return
	}
	l.reopen()
	l.signal()
}

// signal makes writeDepartures look at the log.
func (l *departureLog) signal() {
	select {
	case l.due <- struct{}{}:
	default:
	}
}

// reopen marks the entries as missing in the store. The caller holds the lock.
func (l *departureLog) reopen() {
	if l.stored == nil || isClosed(l.stored) {
		l.stored = make(chan struct{})
	}
}

// beginEra makes the next synchronization read the entries and write those that are missing,
// if the store has begun another era.
func (l *departureLog) beginEra(era uint64) {
	if l.era == era {
		return
	}
	if l.era != 0 {
		l.lateCheck = time.After(lateCallTime)
	}
	l.era = era
	l.recheck()
}

// recheck makes the next synchronization read the entries and write those that are missing.
func (l *departureLog) recheck() {
	l.synced = false
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) > 0 {
		l.reopen()
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
