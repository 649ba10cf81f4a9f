package chooser

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spiller"
)

// ZoneChoice is a choice between the own zone and the others.
type ZoneChoice struct {
	Service, Rule string
	// Left means that a target of another zone was chosen. Forced means that the own zone
	// had none that could be chosen.
	Left, Forced bool
	// Before and After are the shares in force before the choice and for it.
	Before, After spiller.Spill
}

// ownAttempts is the number of attempts after which a request may leave the own zone beyond
// the share that does.
const ownAttempts = 2

// group holds the targets of the own zone or those of the others.
type group struct {
	// targets is the number of targets, size that of those that may be chosen, and
	// excluded that of the rest.
	targets, size, excluded int
	// use is the sum of the reported loads per slot, each weighted by the freshness of its
	// report, and freshness the sum of the weights.
	use, freshness float64
	// target has the lowest cost, and secondCost is the cost of the second-best.
	target           *Target
	cost, secondCost time.Duration
	// expected is the lowest cost without the random part, and reportedAt is the time of
	// the latest report of a load.
	expected   time.Duration
	reportedAt time.Time
}

// groupOf returns the group of a target.
func groupOf(t *Target, own, other *group) *group {
	if t.SameZone {
		return own
	}
	return other
}

// count counts a target and its reported load.
func (g *group) count(s *targetState, t *Target, now time.Time) {
	g.targets++
	freshness := 1 - s.staleness(now)
	g.freshness += freshness
	g.use += freshness * float64(s.load.Running+s.load.Queued) / float64(max(1, t.Slots))
}

// meanUse returns the mean load per slot of the targets that have reported one.
func (g *group) meanUse() float64 {
	return g.use / max(1, g.freshness)
}

// add adds a target with its expected cost and with the cost that decides.
func (g *group) add(t *Target, expected, cost time.Duration, reportedAt time.Time) {
	if g.size == 0 {
		g.target, g.cost, g.secondCost = t, cost, suspectPenalty
		g.expected = expected
	} else if cost < g.cost {
		g.target, g.cost, g.secondCost = t, cost, g.cost
	} else {
		g.secondCost = min(g.secondCost, cost)
	}
	g.size++
	g.expected = min(g.expected, expected)
	if reportedAt.After(g.reportedAt) {
		g.reportedAt = reportedAt
	}
}

// merge returns the group of the targets of two groups.
func (g group) merge(o group) group {
	if o.size == 0 {
		return g
	}
	if g.size == 0 {
		return o
	}
	if o.cost < g.cost {
		g, o = o, g
	}
	g.secondCost = min(g.secondCost, o.cost)
	g.size += o.size
	return g
}

// zone describes the targets to package spiller. transfer is the part of their cost that
// is no response time.
func (g group) zone(now time.Time, transfer time.Duration) spiller.Zone {
	return spiller.Zone{
		Usable:    g.size > 0 && g.expected < suspectPenalty,
		Expected:  g.expected - transfer,
		ReportAge: now.Sub(g.reportedAt),
	}
}

// spillKey identifies the requests with a common share.
type spillKey struct{ service, version, rule string }

// spillState is a share and what of it is due.
type spillState struct {
	spill  spiller.Spill
	credit float64
	usedAt time.Time
}

// stays reports whether requests leave the own zone only as package spiller decides.
func (c *Chooser) stays(own group, r Request) bool {
	return c.StayTargets > 0 && own.targets >= c.StayTargets && r.Objective > 0 && c.demand(r).Stays()
}

// demand describes a rule's requests to package spiller.
func (c *Chooser) demand(r Request) spiller.Demand {
	return spiller.Demand{
		Objective:   r.Objective,
		ServiceTime: c.meanServiceTime(r.Rule),
		Bytes:       r.Bytes + c.responseBytes[r.Rule],
	}
}

// chooseZone returns the group in which a request goes to the best target, or both groups
// if neither has one that accepts requests.
func (c *Chooser) chooseZone(own, other group, r Request, now time.Time) group {
	transfer := spiller.TransferCost(r.Bytes)
	ownZone, otherZone := own.zone(now, 0), other.zone(now, transfer)
	key := spillKey{service: r.Service, rule: r.Rule}
	if own.size > 0 {
		key.version = own.target.Version
	} else {
		key.version = other.target.Version
	}
	s, ok := c.spills[key]
	if !ok {
		s = &spillState{}
		c.spills[key] = s
	}
	s.usedAt = now
	choice := ZoneChoice{
		Service: r.Service,
		Rule:    r.Rule,
		Before:  s.spill,
	}
	demand := c.demand(r)
	// The best target of a request that has been turned away does not stand for its zone.
	if r.Attempts == 0 && own.excluded == 0 && other.excluded == 0 {
		s.spill = s.spill.With(now, demand, ownZone, otherZone)
	}
	choice.After = s.spill
	s.credit = min(1, s.credit+s.spill.Share)
	chosen := own
	switch {
	case !ownZone.Usable && !otherZone.Usable:
		return own.merge(other)
	case !ownZone.Usable:
		chosen, choice.Left, choice.Forced = other, true, true
	case !otherZone.Usable:
	case other.cost >= own.cost:
	case s.credit >= 1:
		s.credit--
		chosen, choice.Left = other, true
	case r.Attempts >= ownAttempts && demand.MayLeave(ownZone.Expected, otherZone.Expected):
		chosen, choice.Left = other, true
	}
	if chosen.size == 1 {
		chosen.secondCost = own.merge(other).secondCost
	}
	if c.OnZone != nil {
		c.OnZone(choice)
	}
	return chosen
}

// recordResponseBytes records the size of a response of a rule.
func (c *Chooser) recordResponseBytes(rule string, bytes int) {
	if mean, ok := c.responseBytes[rule]; ok {
		bytes = mean + int(meanWeight*float64(bytes-mean))
	}
	c.responseBytes[rule] = bytes
}

// sweepSpills deletes the shares that have not been used for stateTTL.
func (c *Chooser) sweepSpills(now time.Time) {
	for key, s := range c.spills {
		if now.Sub(s.usedAt) > stateTTL {
			delete(c.spills, key)
		}
	}
}
