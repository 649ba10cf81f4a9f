package prober

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

// Limits on gossip.
const (
	// gossipFanout is the number of peers that get a message at each tick while
	// updates wait.
	gossipFanout = 2
	// maxMessageUpdates is the maximum number of updates of each type in one
	// message.
	maxMessageUpdates = 16
	// maxUpdateAge is the age after which an update is no longer gossiped.
	// Anti-entropy delivers it to the peers that missed it.
	maxUpdateAge = 10 * time.Second
	// Rate in bytes per second, and burst in bytes, of gossip.
	gossipRate  = 3 << 10
	gossipBurst = 64 << 10
	// updateBytes is the approximate size of one update on the wire, and
	// callBytes that of a call and its answer on a new connection.
	updateBytes = 50
	callBytes   = 700
)

// tokenBucket is a rate limiter. rate is in tokens per second.
type tokenBucket struct {
	rate, burst, tokens float64
	refilled            time.Time
}

func newBucket(rate, burst float64, now time.Time) tokenBucket {
	return tokenBucket{
		rate:     rate,
		burst:    burst,
		tokens:   burst,
		refilled: now,
	}
}

// refill adds the tokens for the time since the last call.
func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
	}
	b.refilled = now
}

// spend takes n tokens if the balance is positive and reports whether it did.
// The balance may become negative; later refills make up for it.
func (b *tokenBucket) spend(n int, now time.Time) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// transmitLimit returns how many times each update is sent.
func (p *Prober) transmitLimit() int {
	return 4 + 2*bits.Len(uint(p.table.liveCount(p.table.Self().DC)))
}

// queueMember queues m for gossip. If m belongs to the daemon's own data centre
// and is not suspect, it is also queued for export.
func (p *Prober) queueMember(m Member, now time.Time) {
	p.memberQueue.Put(m.ID, m, now)
	if m.DC == p.table.Self().DC && m.Status != Suspect {
		p.memberExports = append(p.memberExports, m)
	}
}

// queueFact queues f for gossip.
func (p *Prober) queueFact(f spreader.Fact, now time.Time) {
	p.factQueue.Put(f.Key(), f, now)
}

// mergeFact adds a fact received from data centre dc, and queues it for gossip
// if it is new. A new fact from the daemon's own data centre is also exported
// to the others.
func (p *Prober) mergeFact(f spreader.Fact, dc string, now time.Time) {
	if !p.facts.Add(f) {
		p.factQueue.CountTransmission(f.Key())
		return
	}
	p.queueFact(f, now)
	if dc == p.table.Self().DC {
		p.factExports = append(p.factExports, f)
	}
	if p.onNewFact != nil {
		p.onNewFact(f)
	}
}

// pending reports whether updates wait for gossip.
func (p *Prober) pending() bool { return p.memberQueue.Len()+p.factQueue.Len()+p.reachQueue.Len() > 0 }

// gossip returns the calls that send updates at this tick.
func (p *Prober) gossip(now time.Time) []Call {
	var calls []Call
	for range gossipFanout {
		if !p.pending() {
			break
		}
		msg := p.newMessage(Push)
		p.piggyback(&msg, now)
		if len(msg.Members)+len(msg.Facts)+len(msg.Reachabilities) == 0 {
			break
		}
		p.updateBytes.spend(callBytes, now)
		calls = append(calls, p.callPeer(p.randomPeer(""), msg)...)
	}
	return calls
}

// piggyback adds waiting updates to a message. The byte budget limits only
// member updates; facts and reachability are always added.
func (p *Prober) piggyback(msg *Message, now time.Time) {
	if !p.pending() {
		return
	}
	transmitLimit := p.transmitLimit()
	msg.Facts = p.factQueue.NextBatch(maxMessageUpdates, transmitLimit, now, maxUpdateAge)
	msg.Reachabilities = p.reachQueue.NextBatch(maxMessageUpdates, transmitLimit, now, maxUpdateAge)
	p.updateBytes.refill(now)
	if p.updateBytes.tokens <= 0 {
		return
	}
	msg.Members = p.memberQueue.NextBatch(maxMessageUpdates, transmitLimit, now, maxUpdateAge)
	p.updateBytes.spend(updateBytes*len(msg.Members), now)
}

// sortedKeys returns the sorted keys of a map, so that tests with a fixed seed
// are reproducible.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
