package prober

import (
	"time"
)

// removeExpired removes tombstones older than tombstoneTTL and indirect pings
// that have timed out.
func (p *Prober) removeExpired(now time.Time) {
	for len(p.tombstones) > 0 && now.Sub(p.tombstones[0].created) >= tombstoneTTL {
		p.table.removeTombstone(p.tombstones[0].version)
		p.tombstones = p.tombstones[1:]
	}
	for id, v := range p.indirectAcks {
		if now.After(v.expires) {
			delete(p.indirectAcks, id)
		}
	}
}

// queueSelf queues the daemon's own entry for gossip if it has changed.
func (p *Prober) queueSelf(now time.Time) {
	self := p.table.Self()
	if self.Incarnation == p.queuedIncarnation {
		return
	}
	p.queuedIncarnation = self.Incarnation
	p.queueMember(self, now)
}

// applyMessage merges the members, facts and reachability that a message
// carries.
func (p *Prober) applyMessage(m Message, now time.Time) {
	if m.From != p.table.Self().ID {
		p.lastContact = now
	}
	p.recordContact(m.DC, now)
	for _, o := range m.Members {
		if p.acceptsUpdate(o, m, now) {
			p.mergeMember(o, now)
		}
	}
	for _, f := range m.Facts {
		p.mergeFact(f, m.DC, now)
	}
	if m.DC == p.table.Self().DC {
		p.mergeReachability(m.Reachabilities, now)
	}
}

// acceptsUpdate reports whether the sender of m may report o. A sender in
// another data centre may not declare a member of this data centre suspect or
// dead, since it doesn't probe that member. The exception is the receiving
// daemon, which refutes such an entry about itself. The sender may also still
// hold members whose tombstones have expired here; these are rejected.
func (p *Prober) acceptsUpdate(o Member, m Message, now time.Time) bool {
	self := p.table.Self()
	if !o.Valid() || (o.DC == self.DC) == (m.DC == self.DC) || o.DC != self.DC || o.ID == m.From {
		return o.Valid()
	}
	if o.Status == Suspect || o.Status == Dead {
		return o.ID == self.ID
	}
	_, known := p.table.Get(o.ID)
	return known || !p.wasRemoved(o.Incarnation, now)
}

// wasRemoved reports whether an unknown member of the daemon's own data centre
// must have been removed after its tombstone expired. That holds if both the
// member and this daemon started more than tombstoneTTL ago.
func (p *Prober) wasRemoved(incarnation uint64, now time.Time) bool {
	cutoff := now.Add(-tombstoneTTL)
	return p.started.Before(cutoff) && time.UnixMilli(int64(incarnation)).Before(cutoff)
}

// mergeMember merges m into the table and queues it for gossip if it is new. It
// reports whether the table changed.
func (p *Prober) mergeMember(m Member, now time.Time) bool {
	old, known := p.table.Get(m.ID)
	if !p.table.Merge(m) {
		if known && old.version() == m.version() {
			p.memberQueue.CountTransmission(m.ID)
		}
		return false
	}
	self := p.table.Self()
	if m.ID == self.ID {
		p.queueSelf(now)
		return true
	}
	p.updateTimers(m, now)
	if m.DC == self.DC && m.Status <= Suspect && (!known || old.Status > Suspect) {
		p.insertPeer(m.ID)
	}
	p.queueMember(m, now)
	return true
}

// updateTimers updates the suspicion, probe and tombstone of a changed member.
func (p *Prober) updateTimers(m Member, now time.Time) {
	if m.Status != Suspect {
		delete(p.suspicions, m.ID)
	}
	switch m.Status {
	case Suspect:
		p.suspicions[m.ID] = suspicion{
			incarnation: m.Incarnation,
			deadline:    now.Add(p.scaled(p.suspicionTimeout())),
		}
	case Dead, Left:
		delete(p.probes, m.ID)
		p.tombstones = append(p.tombstones, tombstone{
			version: m.version(),
			created: now,
		})
	}
}

// appendCorrections adds to the answer what the sender needs to correct wrong or
// stale entries: the sender's own entry if it is suspect, dead or left
// here, a request for the entry of an unknown sender, and the daemon's own
// entry if the sender holds an older one.
func (p *Prober) appendCorrections(m Message, answer *Message) {
	sender, ok := p.table.Get(m.From)
	switch {
	case !ok && m.From != "":
		answer.Wanted = append(answer.Wanted, m.From)
	case ok && sender.Status != Alive && sender.ID != p.table.Self().ID:
		answer.Members = append(answer.Members, sender)
	}
	for _, o := range m.Members {
		if self := p.table.Self(); o.ID == self.ID && o.Incarnation < self.Incarnation {
			answer.Members = append(answer.Members, self)
		}
	}
}
