package prober

import (
	"math"
	"time"
)

// detectPause checks the time since the last tick. A long gap, or a negative
// one, means that the daemon was paused or its clock changed, so missing
// answers are no sign of failed peers. The daemon then lengthens its timeouts,
// treats itself as isolated until a peer sends something, drops open probes,
// extends the deadlines of suspects by the gap, resets the contact times of other
// data centres, and makes a digest exchange due at once.
func (p *Prober) detectPause(now time.Time) {
	gap := now.Sub(p.lastTick)
	p.lastTick = now
	if gap < maxTickGap && gap >= 0 {
		return
	}
	p.healthPenalty = max(p.healthPenalty, lateTickPenalty)
	p.lastContact = now.Add(-isolationTimeout)
	clear(p.probes)
	for id, s := range p.suspicions {
		s.deadline = s.deadline.Add(gap)
		p.suspicions[id] = s
	}
	for _, r := range p.remotes {
		r.reset(now)
	}
	p.nextSync = now
}

// probePeriod returns the interval until the next probe.
func (p *Prober) probePeriod() time.Duration {
	if len(p.suspicions) > 0 {
		return suspectProbePeriod
	}
	return probePeriod
}

// newPing returns a ping with waiting updates. A suspect also gets its own
// entry, so that it can refute the suspicion.
func (p *Prober) newPing(id string, now time.Time) Message {
	msg := p.newMessage(Ping)
	p.piggyback(&msg, now)
	if m, ok := p.table.Get(id); ok && m.Status == Suspect {
		msg.Members = append(msg.Members, m)
	}
	return msg
}

// nextPeer returns the ID of the next member to probe, or "" if there is none.
// The probe order is shuffled again after each full round.
func (p *Prober) nextPeer() string {
	for tries := len(p.peers); tries >= 0; tries-- {
		if p.nextPeerIndex >= len(p.peers) {
			p.shuffle()
		}
		if len(p.peers) == 0 {
			return ""
		}
		id := p.peers[p.nextPeerIndex]
		p.nextPeerIndex++
		if m, ok := p.table.Get(id); ok && m.Status <= Suspect {
			return id
		}
	}
	return ""
}

// shuffle rebuilds the probe order from the live members of the data centre.
func (p *Prober) shuffle() {
	self := p.table.Self()
	p.nextPeerIndex = 0
	p.peers = p.peers[:0]
	for _, id := range p.table.ids(self.DC) {
		if id != self.ID {
			p.peers = append(p.peers, id)
		}
	}
	p.random.Shuffle(len(p.peers), func(i, j int) { p.peers[i], p.peers[j] = p.peers[j], p.peers[i] })
}

// insertPeer adds a new member at a random position among those not yet probed
// in this round.
func (p *Prober) insertPeer(id string) {
	i := p.nextPeerIndex + p.random.IntN(len(p.peers)-p.nextPeerIndex+1)
	p.peers = append(p.peers, id)
	last := len(p.peers) - 1
	p.peers[i], p.peers[last] = p.peers[last], p.peers[i]
}

// randomPeer returns the ID of a random alive member of the data centre other
// than exclude, or "" if it finds none.
func (p *Prober) randomPeer(exclude string) string {
	const maxTries = 8
	for range maxTries {
		if len(p.peers) == 0 {
			return ""
		}
		id := p.peers[p.random.IntN(len(p.peers))]
		if m, ok := p.table.Get(id); ok && m.Status == Alive && id != exclude {
			return id
		}
	}
	return ""
}

// checkProbes starts indirect probes of members that are late to answer, and
// marks those as suspect that didn't answer in time.
func (p *Prober) checkProbes(now time.Time) []Call {
	var calls []Call
	for _, id := range sortedKeys(p.probes) {
		pr := p.probes[id]
		switch waited := now.Sub(pr.sent); {
		case waited >= p.scaled(indirectProbeTimeout):
			delete(p.probes, id)
			p.markSuspect(id, now)
		case waited >= p.scaled(probeTimeout) && !pr.indirectSent:
			pr.indirectSent = true
			calls = append(calls, p.startIndirectProbes(id, now)...)
		}
	}
	return calls
}

// startIndirectProbes pings the member again and asks a few peers to ping it
// too.
func (p *Prober) startIndirectProbes(id string, now time.Time) []Call {
	calls := p.callPeer(id, p.newPing(id, now))
	m, ok := p.table.Get(id)
	if !ok {
		return calls
	}
	msg := p.newMessage(PingRequest)
	msg.Subject = id
	msg.Address = m.Control
	for range indirectProbes {
		calls = append(calls, p.callPeer(p.randomPeer(id), msg)...)
	}
	return calls
}

// probeOnBehalf pings a member on behalf of the peer that sent m.
func (p *Prober) probeOnBehalf(m Message, now time.Time) []Call {
	subject, ok := p.table.Get(m.Subject)
	if !ok {
		return nil
	}
	v := p.indirectAcks[m.Subject]
	if v == nil {
		v = &indirectAcks{}
		p.indirectAcks[m.Subject] = v
	}
	if len(v.calls) >= maxIndirectAcks {
		return nil
	}
	ack := p.newMessage(IndirectAck)
	ack.Subject = m.Subject
	v.calls = append(v.calls, p.callPeer(m.From, ack)...)
	v.expires = now.Add(indirectPingTimeout)
	return []Call{callMember(subject, p.newPing(m.Subject, now))}
}

// takeIndirectAcks removes and returns the calls that report a member's answer
// to the peers that requested a ping of it.
func (p *Prober) takeIndirectAcks(id string) []Call {
	v := p.indirectAcks[id]
	if v == nil {
		return nil
	}
	delete(p.indirectAcks, id)
	return v.calls
}

// completeProbe ends the open probe of a member that has answered, and lowers
// the health penalty.
func (p *Prober) completeProbe(id string) {
	if p.probes[id] == nil {
		return
	}
	delete(p.probes, id)
	p.healthPenalty = max(p.healthPenalty-1, 0)
}

// markSuspect marks an unresponsive member as suspect unless the daemon is
// isolated. It also raises the health penalty, since no other peer has reported
// the member yet and the fault may be local.
func (p *Prober) markSuspect(id string, now time.Time) {
	m, ok := p.table.Get(id)
	if !ok || m.Status != Alive {
		return
	}
	p.healthPenalty = min(p.healthPenalty+1, maxHealthPenalty)
	if p.isolated(now) {
		return
	}
	p.mergeMember(m.WithStatus(Suspect), now)
}

// suspicionTimeout returns the time after which a suspect that has not refuted
// the suspicion is declared dead. It grows with the logarithm of the size of the
// data centre.
func (p *Prober) suspicionTimeout() time.Duration {
	scale := math.Log10(float64(max(p.table.liveCount(p.table.Self().DC), 1)))
	return max(minSuspicionTimeout, time.Duration(scale*float64(baseSuspicionTimeout)))
}

// declareDead declares those suspects dead whose deadline has passed without a
// refutation.
func (p *Prober) declareDead(now time.Time) {
	if p.isolated(now) {
		return
	}
	for _, id := range sortedKeys(p.suspicions) {
		s := p.suspicions[id]
		if now.Before(s.deadline) {
			continue
		}
		delete(p.suspicions, id)
		m, ok := p.table.Get(id)
		if ok && m.Status == Suspect && m.Incarnation == s.incarnation {
			p.mergeMember(m.WithStatus(Dead), now)
		}
	}
}
