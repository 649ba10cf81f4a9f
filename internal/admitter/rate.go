package admitter

import (
	"math"
	"time"
)

// minLimit is the lowest limit that is enforced, in requests per second. A target that
// names a lower one still gets a request at times, as only its responses show the end of
// the limit.
const minLimit = 0.25

// maxRateWindow is the longest sliding window of a rate limit: one request at minLimit.
const maxRateWindow = time.Duration(float64(time.Second) / minLimit)

// SetLimit sets the rate limit of an instance in requests per second, or removes it if
// perSecond is 0. It reports whether the limit has changed.
func (g *Gate) SetLimit(instance string, perSecond float64) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if perSecond > 0 {
		perSecond = max(minLimit, perSecond)
	}
	if g.target == nil || g.target.Instance != instance || g.limit == perSecond {
		return false
	}
	g.limit = perSecond
	g.serveQueue()
	return true
}

// rate returns the rate limit in force, in requests per second: that of the target or,
// while it is cold, the cold rate if that is lower. It returns 0 if there is none.
func (g *Gate) rate(now time.Time) float64 {
	if coldRate := g.coldRate(); coldRate > 0 && g.cold(now) && (g.limit == 0 || coldRate < g.limit) {
		return coldRate
	}
	return g.limit
}

// rateWait returns the time until the target can take the next request, or 0 if there is
// no bound. The target may have got as many requests as it can take until Since.
func (g *Gate) rateWait(now time.Time) time.Duration {
	rate := g.rate(now)
	if rate == 0 {
		return 0
	}
	allowed := int(math.Ceil(rate))
	last := g.Since
	if float64(len(g.admittedAt)) >= rate {
		last = g.admittedAt[len(g.admittedAt)-allowed]
	}
	return max(0, last.Add(rateDuration(allowed, rate)).Sub(now))
}

// rateError returns the rejection of a request that would exceed the rate.
func (g *Gate) rateError(now time.Time) error {
	if g.rate(now) == g.limit {
		return ErrLimited
	}
	return ErrCold
}

// rateDuration returns the time in which a number of requests may be admitted at a rate.
func rateDuration(requests int, rate float64) time.Duration {
	return time.Duration(float64(requests) * float64(time.Second) / rate)
}
