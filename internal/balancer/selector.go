package balancer

import "time"

// selector chooses one target from a pool.
type selector struct {
	balancer      *Balancer
	pool          *pool
	avoid         func(id string) bool
	nonIdempotent bool
	now           time.Time
	// point is a random number in [0, 1). A data centre may be chosen only if
	// its weight is above point.
	point float64
	// lastResort allows ejected targets and targets that admit nothing.
	lastResort bool
}

// Parameters of the choice.
const (
	// maxDraws bounds the random draws of one target. If none is eligible, all
	// targets are examined in turn.
	maxDraws = 4
	// spillThreshold is the fraction of free slots at the local target picked
	// below which some requests go to other data centres.
	spillThreshold = 0.25
	// minFree is the number of free slots assumed at a target without free
	// slots. It keeps the weight of every target above zero.
	minFree = 0.05
)

// choose returns the chosen target, or nil if there is none. If no target is
// eligible, it retries without the data centres' weights, except that weight 0
// still excludes a data centre. After that it also allows ejected targets and
// targets that admit nothing.
func (s *selector) choose() *target {
	if t := s.chooseDC(); t != nil {
		return t
	}
	s.point = 0
	if t := s.chooseDC(); t != nil {
		return t
	}
	s.lastResort = true
	return s.chooseDC()
}

// chooseDC chooses between a target of the local data centre and, if requests
// spill over, a target of the other data centres.
func (s *selector) chooseDC() *target {
	all := s.pool.targets
	local := s.pickOfTwo(all[:s.pool.local])
	if local != nil && !s.spills(local) {
		return local
	}
	remote := s.pickOfTwo(all[s.pool.local:])
	if local == nil || remote != nil && s.freeShare(remote) > s.freeShare(local) {
		return remote
	}
	return local
}

// spills reports, at random, whether targets in other data centres are
// considered. The probability rises as the local target's fraction of free slots
// falls below spillThreshold.
func (s *selector) spills(local *target) bool {
	freeShare := s.freeShare(local)
	return freeShare < spillThreshold && s.balancer.Random()*spillThreshold >= freeShare
}

// freeShare returns a target's expected free slots as a fraction of its
// capacity.
func (s *selector) freeShare(t *target) float64 {
	return t.stats.free(t.Slots, s.now) / t.stats.capacity(t.Slots, s.now)
}

// pickOfTwo draws two targets and returns one of them at random, with
// probabilities in proportion to their weights.
func (s *selector) pickOfTwo(ts []target) *target {
	a := s.drawOne(ts)
	b := s.drawOne(ts)
	if a == nil || a == b {
		return b
	}
	if b == nil {
		return a
	}
	x, y := s.weight(a), s.weight(b)
	if s.balancer.Random()*(x+y) < x {
		return a
	}
	return b
}

// weight returns a target's weight in the choice between two. Consecutive
// failures lower it even before they lead to an ejection.
func (s *selector) weight(t *target) float64 {
	free := max(minFree, t.stats.free(t.Slots, s.now)) / float64(1+t.stats.consecutiveFailures)
	return free * free
}

// drawOne draws a random eligible target. If maxDraws draws fail, it returns
// the first eligible target after a random index.
func (s *selector) drawOne(ts []target) *target {
	if len(ts) == 0 {
		return nil
	}
	for range maxDraws {
		t := &ts[s.randomIndex(len(ts))]
		if s.usable(t) && s.withinWeight(t) {
			return t
		}
	}
	start := s.randomIndex(len(ts))
	for i := range ts {
		t := &ts[(start+i)%len(ts)]
		if s.usable(t) && s.withinWeight(t) {
			return t
		}
	}
	return nil
}

func (s *selector) randomIndex(n int) int { return int(s.balancer.Random() * float64(n)) }

// usable reports whether a target may be chosen, apart from the weight of its
// data centre. Ejected targets are usable if more of the pool is ejected than
// mayEject allows.
func (s *selector) usable(t *target) bool {
	if s.avoid != nil && s.avoid(t.ID) {
		return false
	}
	if s.now.Before(t.stats.closedUntil) && !s.lastResort {
		return false
	}
	if !t.stats.ejected() || s.lastResort || !s.pool.mayEject(s.pool.ejected) {
		return true
	}
	return !s.nonIdempotent && t.stats.mayProbe(s.now)
}

// withinWeight reports whether the weight of the target's data centre permits
// this request.
func (s *selector) withinWeight(t *target) bool {
	if s.balancer.Weight == nil {
		return true
	}
	return s.point < s.balancer.Weight(t.DC)
}
