package tallier

import (
	"slices"
	"time"
)

// Calendar divides time into windows and says when they are reported.
type Calendar struct {
	// Window is the length of a window. Window k begins k times that after the start of 1970.
	Window time.Duration
	// Settle is the time after a window's end after which its counts don't change any more.
	Settle time.Duration
	// Patience is the time after a window's end for which a report waits for the counts of all
	// daemons.
	Patience time.Duration
}

// Number returns the number of the window at a time.
func (c Calendar) Number(t time.Time) int64 {
	return t.UnixMilli() / c.Window.Milliseconds()
}

// End returns the end of a window.
func (c Calendar) End(number int64) time.Time {
	return time.UnixMilli((number + 1) * c.Window.Milliseconds())
}

// Due reports whether the report of a window is due, and those of the live daemons whose counts
// are missing in it.
func (c Calendar) Due(number int64, now time.Time, b *Book, live []string) (due bool, missing []string) {
	settled := c.End(number).Add(c.Settle)
	if now.Before(settled) {
		return false, nil
	}
	missing = b.Missing(live, settled)
	return len(missing) == 0 || !now.Before(c.End(number).Add(c.Patience)), missing
}

// maxClockError is the difference from the median of all clocks up to which a clock is left
// alone, and minClocks the number of clocks that have a median.
const (
	maxClockError = 300 * time.Millisecond
	minClocks     = 5
)

// Corrections returns, by daemon, by how much the clocks have to be moved that differ from most
// others. The parameter offsets holds what each of them is ahead of one of them.
func Corrections(offsets map[string]time.Duration) map[string]time.Duration {
	corrections := map[string]time.Duration{}
	if len(offsets) < minClocks {
		return corrections
	}
	sorted := make([]time.Duration, 0, len(offsets))
	for _, offset := range offsets {
		sorted = append(sorted, offset)
	}
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	for daemon, offset := range offsets {
		if by := median - offset; by.Abs() > maxClockError {
			corrections[daemon] = by
		}
	}
	return corrections
}
