package spreader

import (
	"cmp"
	"slices"
	"time"
)

// maxQueued limits the updates in a queue. Anti-entropy delivers those that are
// dropped.
const maxQueued = 4096

// Queue holds updates to gossip, each a limited number of times. It is not safe
// for concurrent use.
type Queue[K comparable, V any] struct {
	entries map[K]*entry[V]
	lastSeq uint64
}

// entry is a queued update. sent counts its transmissions.
type entry[V any] struct {
	value    V
	sent     int
	queuedAt time.Time
	// seq numbers the entries in the order of Put.
	seq uint64
}

// NewQueue returns an empty queue.
func NewQueue[K comparable, V any]() *Queue[K, V] {
	return &Queue[K, V]{entries: map[K]*entry[V]{}}
}

// Len returns the number of queued updates.
func (q *Queue[K, V]) Len() int { return len(q.entries) }

// Put queues an update and replaces an older one with the same key. It drops an
// update with a new key if the queue is full.
func (q *Queue[K, V]) Put(key K, value V, now time.Time) {
	if _, ok := q.entries[key]; !ok && len(q.entries) >= maxQueued {
		return
	}
	q.lastSeq++
	q.entries[key] = &entry[V]{
		value:    value,
		queuedAt: now,
		seq:      q.lastSeq,
	}
}

// CountTransmission counts an update received from a peer as one transmission of it.
func (q *Queue[K, V]) CountTransmission(key K) {
	if e := q.entries[key]; e != nil {
		e.sent++
	}
}

// NextBatch returns up to n updates, those with the fewest transmissions first, and
// counts one transmission of each. It removes updates that were transmitted
// limit times or are older than maxAge.
func (q *Queue[K, V]) NextBatch(n, limit int, now time.Time, maxAge time.Duration) []V {
	pending := make([]*entry[V], 0, len(q.entries))
	for key, e := range q.entries {
		if e.sent >= limit || now.Sub(e.queuedAt) > maxAge {
			delete(q.entries, key)
			continue
		}
		pending = append(pending, e)
	}
	slices.SortFunc(pending, func(a, b *entry[V]) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.seq, b.seq))
	})
	pending = pending[:min(len(pending), n)]
	values := make([]V, 0, len(pending))
	for _, e := range pending {
		e.sent++
		values = append(values, e.value)
	}
	return values
}
