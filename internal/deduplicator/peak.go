package deduplicator

import "time"

// peakPeriod is the minimum time for which a peak is returned. The maximum is
// twice that time if Record is called at least once a period; after a longer
// pause the first call still returns the old peak.
const peakPeriod = time.Hour

// Peak is the largest number recorded in the current and the previous period of
// at least peakPeriod each. It is not safe for concurrent use.
type Peak struct {
	current, previous int
	// periodStart is the start of the current period.
	periodStart time.Time
}

// Record records a number and returns the peak.
func (p *Peak) Record(n int, now time.Time) int {
	if now.Sub(p.periodStart) >= peakPeriod {
		p.previous = p.current
		p.current = 0
		p.periodStart = now
	}
	p.current = max(p.current, n)
	return max(p.current, p.previous)
}
