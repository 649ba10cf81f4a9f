package deduplicator

import "time"

// peakPeriod is the length of a period. A peak is returned for between one and
// two periods, or longer if Record is not called in that time.
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
