package prober

import (
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

// Timing and limits of the traffic between data centres.
const (
	// gatewayCount is the number of daemons of a data centre that exchange
	// updates with other data centres.
	gatewayCount = 3
	// crossDCPingPeriod is the interval at which a gateway pings each other data
	// centre. crossDCSync is the interval at which it exchanges digests with one
	// of them.
	crossDCPingPeriod = 1500 * time.Millisecond
	crossDCSync       = time.Second
	// A data centre is unreachable if nothing has arrived from it for
	// unreachableTimeout and at least unreachablePings pings are unanswered.
	unreachableTimeout = 4 * time.Second
	unreachablePings   = 3
	// exportPeriod is the interval between batches of updates to other data
	// centres and maxExportItems their maximum size. If more than
	// maxRedundantItems members wait, only one gateway sends them to each data
	// centre.
	exportPeriod      = 200 * time.Millisecond
	maxExportItems    = 64
	maxRedundantItems = 16
	// Rate in bytes per second, and burst in bytes, of exported member updates.
	exportRate  = 6 << 10
	exportBurst = 256 << 10
	// maxReachabilitySkew is how far ahead of the local clock the time of a
	// Reachability may be.
	maxReachabilitySkew = time.Minute
)

// remote records a gateway's contact with another data centre.
type remote struct {
	lastContact     time.Time
	unansweredPings int
	nextPing        time.Time
}

// reset records a contact at the given time.
func (r *remote) reset(now time.Time) {
	r.lastContact = now
	r.unansweredPings = 0
}

// cachedGateways caches the gateway IDs of a data centre, with the digest that
// they were computed from and the time.
type cachedGateways struct {
	digestSum uint64
	computed  time.Time
	ids       []string
}

// gatewayCacheTTL is the minimum time for which cached gateways are used.
const gatewayCacheTTL = time.Second

// gatewaysOf returns the IDs of a data centre's gateways: the first
// gatewayCount of its members by rendezvous hashing. All daemons compute the
// same list, and the failure of one gateway doesn't replace the others.
func (p *Prober) gatewaysOf(dc string) []string {
	now := p.lastTick
	digest := p.table.digest(dc)
	g, ok := p.cachedGateways[dc]
	if ok && (g.digestSum == digest.Sum || now.Sub(g.computed) < gatewayCacheTTL) {
		return g.ids
	}
	ids := ranker.Top(dc, p.table.ids(dc), gatewayCount)
	p.cachedGateways[dc] = cachedGateways{
		digestSum: digest.Sum,
		computed:  now,
		ids:       ids,
	}
	return ids
}

// IsGateway reports whether the daemon is a gateway of its data centre.
func (p *Prober) IsGateway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isGateway()
}

func (p *Prober) isGateway() bool {
	self := p.table.Self()
	return slices.Contains(p.gatewaysOf(self.DC), self.ID)
}

// randomGateway returns a random gateway of a data centre. It reports false if
// there is none with a control address.
func (p *Prober) randomGateway(dc string) (Member, bool) {
	ids := p.gatewaysOf(dc)
	if len(ids) == 0 {
		return Member{}, false
	}
	m, ok := p.table.Get(ids[p.random.IntN(len(ids))])
	return m, ok && m.Control != ""
}

// randomMember returns a random live member of a data centre. It reports false
// if there is none with a control address.
func (p *Prober) randomMember(dc string) (Member, bool) {
	ids := p.table.ids(dc)
	if len(ids) == 0 {
		return Member{}, false
	}
	m, ok := p.table.Get(ids[p.random.IntN(len(ids))])
	return m, ok && m.Control != ""
}

// crossDCCalls returns the calls of a gateway to other data centres that are
// due.
func (p *Prober) crossDCCalls(now time.Time) []Call {
	if !p.isGateway() {
		p.memberExports, p.factExports = nil, nil
		clear(p.remotes)
		return nil
	}
	var calls []Call
	var others []string
	for _, dc := range p.table.DataCentres() {
		if dc == p.table.Self().DC {
			continue
		}
		calls = append(calls, p.checkDataCentre(dc, now)...)
		if p.table.Reachable(dc) {
			others = append(others, dc)
		}
	}
	calls = append(calls, p.export(others, now)...)
	return append(calls, p.crossDCSync(others, now)...)
}

// checkDataCentre pings another data centre if a ping is due, and marks it
// unreachable if it has not answered. The first ping goes to a gateway, and
// further ones to any member until there is an answer.
func (p *Prober) checkDataCentre(dc string, now time.Time) []Call {
	r := p.remotes[dc]
	if r == nil {
		r = &remote{nextPing: now.Add(p.jitter(crossDCPingPeriod))}
		r.reset(now)
		p.remotes[dc] = r
	}
	if r.unansweredPings >= unreachablePings && now.Sub(r.lastContact) >= unreachableTimeout {
		p.setReachability(dc, false, now)
	}
	if now.Before(r.nextPing) {
		return nil
	}
	r.nextPing = now.Add(p.jitter(crossDCPingPeriod))
	r.unansweredPings++
	m, ok := p.randomGateway(dc)
	if r.unansweredPings > 1 {
		m, ok = p.randomMember(dc)
	}
	if !ok {
		return nil
	}
	return []Call{callMember(m, p.newMessage(Ping))}
}

// recordContact records that a message from the data centre has arrived and
// marks it reachable.
func (p *Prober) recordContact(dc string, now time.Time) {
	r := p.remotes[dc]
	if r == nil {
		return
	}
	r.reset(now)
	p.setReachability(dc, true, now)
}

// setReachability records whether another data centre is reachable. It queues
// the value for gossip inside the data centre if it has changed.
func (p *Prober) setReachability(dc string, up bool, now time.Time) {
	if p.table.Reachable(dc) == up {
		return
	}
	at := now
	if old, ok := p.reachability[dc]; ok && !at.After(old.At) {
		at = old.At.Add(time.Nanosecond)
	}
	p.mergeReachability([]Reachability{{
		DC: dc,
		Up: up,
		At: at,
	}}, now)
	p.nextCrossDCSync = now
}

// mergeReachability merges reports on which data centres are reachable, and
// queues the newer ones for gossip.
func (p *Prober) mergeReachability(reachability []Reachability, now time.Time) {
	for _, r := range reachability {
		old, known := p.reachability[r.DC]
		if known && !r.At.After(old.At) {
			if r.At.Equal(old.At) {
				p.reachQueue.CountTransmission(r.DC)
			}
			continue
		}
		if !validName(r.DC) || r.At.Sub(now) > maxReachabilitySkew || !known && p.table.liveCount(r.DC) == 0 {
			continue
		}
		p.reachability[r.DC] = r
		p.table.SetReachable(r.DC, r.Up)
		p.reachQueue.Put(r.DC, r, now)
	}
}

// allReachability returns the latest report on each data centre that has been
// unreachable since the daemon started.
func (p *Prober) allReachability() []Reachability {
	var reachability []Reachability
	for _, dc := range sortedKeys(p.reachability) {
		reachability = append(reachability, p.reachability[dc])
	}
	return reachability
}

// export returns the calls that send updates of the daemon's own data centre to
// the given other data centres. Member updates that exceed the rate limit are
// dropped; anti-entropy delivers them later.
func (p *Prober) export(others []string, now time.Time) []Call {
	if len(p.memberExports)+len(p.factExports) == 0 || now.Before(p.nextExport) {
		return nil
	}
	p.nextExport = now.Add(exportPeriod)
	members := p.memberExports[:min(len(p.memberExports), maxExportItems)]
	facts := p.factExports[:min(len(p.factExports), maxExportItems)]
	p.memberExports = p.memberExports[len(members):]
	p.factExports = p.factExports[len(facts):]
	if !p.exportLimiter.spend(memberBytes*len(members)*len(others), now) {
		members = nil
	}
	var calls []Call
	for _, dc := range others {
		msg := p.newPush(members...)
		if len(members)+len(p.memberExports) > maxRedundantItems && !p.isDesignatedGateway(dc) {
			msg.Members = nil
		}
		msg.Facts = facts
		m, ok := p.randomGateway(dc)
		if ok && len(msg.Members)+len(msg.Facts) > 0 {
			calls = append(calls, callMember(m, msg))
		}
	}
	return calls
}

// isDesignatedGateway reports whether this gateway, and no other one of its
// data centre, sends large batches to the given data centre.
func (p *Prober) isDesignatedGateway(dc string) bool {
	self := p.table.Self()
	return ranker.First(dc, p.gatewaysOf(self.DC)) == self.ID
}

// crossDCSync exchanges digests with a random other data centre if an exchange
// is due.
func (p *Prober) crossDCSync(others []string, now time.Time) []Call {
	if len(others) == 0 || now.Before(p.nextCrossDCSync) {
		return nil
	}
	p.nextCrossDCSync = now.Add(p.jitter(crossDCSync))
	m, ok := p.randomGateway(others[p.random.IntN(len(others))])
	if !ok {
		return nil
	}
	return []Call{callMember(m, p.newSync())}
}
