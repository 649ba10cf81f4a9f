package balancer

import (
	"sync"
	"time"
)

// target is a candidate with the stats of its requests.
type target struct {
	Candidate
	index int
	stats *stats
}

// start counts a request to the target as started.
func (t *target) start() {
	t.stats.inFlight++
	t.stats.sent++
}

// pool holds the targets of one version of a service. Targets in the balancer's
// own data centre, the local one, come first.
type pool struct {
	mu       sync.Mutex
	lastUsed time.Time
	listID   any
	targets  []target
	// local is the number of targets in the local data centre. ejected is the
	// number of ejected targets.
	local   int
	ejected int
}

// setCandidates replaces the targets if the source's candidates have changed.
// The stats of remaining targets are kept; those of removed targets are
// discarded.
func (p *pool) setCandidates(s Source) {
	if p.listID == s.ListID && len(p.targets) == s.Count {
		return
	}
	previous := make(map[string]*stats, len(p.targets))
	for i := range p.targets {
		previous[p.targets[i].ID] = p.targets[i].stats
	}
	var local, remote []target
	p.ejected = 0
	for i := range s.Count {
		c := s.Candidate(i)
		st := previous[c.ID]
		if st == nil {
			st = &stats{}
		}
		if st.ejected() {
			p.ejected++
		}
		t := target{
			Candidate: c,
			index:     i,
			stats:     st,
		}
		if c.SameDC {
			local = append(local, t)
		} else {
			remote = append(remote, t)
		}
	}
	p.listID = s.ListID
	p.local = len(local)
	p.targets = append(local, remote...)
}

// maxEjectedShare is the fraction of a pool that may be ejected.
const maxEjectedShare = 0.5

// mayEject reports whether n targets of the pool may be ejected at the same
// time.
func (p *pool) mayEject(n int) bool {
	return float64(n) <= maxEjectedShare*float64(len(p.targets))
}

// recordResult records the result of a request and ejects or restores the
// target.
func (p *pool) recordResult(s *stats, r Result, now time.Time, random float64) {
	switch r {
	case Succeeded:
		s.recordSuccess()
		if s.ejected() {
			s.restore()
			p.ejected--
		}
	case Failed, Unreachable:
		s.recordFailure(r)
		p.ejectIfOutlier(s, now, random)
	}
}

// ejectIfOutlier ejects a target that has enough failures and fails more than the
// others, unless too many targets are ejected already. An ejected target whose
// probe failed is ejected again.
func (p *pool) ejectIfOutlier(s *stats, now time.Time, random float64) {
	if s.ejected() {
		if !now.Before(s.ejectedUntil) {
			s.eject(now, random)
		}
		return
	}
	if s.hasFailedOften() && p.mayEject(p.ejected+1) && p.failsMoreThanOthers(s) {
		p.ejected++
		s.eject(now, random)
	}
}

// failsMoreThanOthers reports whether a target's failure rate is more than
// outlierFactor times the mean of the others. If all targets fail equally often,
// ejecting some would only increase the load on the rest.
func (p *pool) failsMoreThanOthers(s *stats) bool {
	sum, count := 0.0, 0
	for i := range p.targets {
		o := p.targets[i].stats
		if o != s && o.outcomes > 0 && !o.ejected() {
			sum += o.failureRate
			count++
		}
	}
	return count == 0 || s.failureRate > outlierFactor*sum/float64(count)
}
