package tallier

import (
	"maps"
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

// MaxClockError is the difference from the median of all clocks up to which a clock is left
// alone.
const MaxClockError = 300 * time.Millisecond

// minClocks is the number of clocks that have a median.
const minClocks = 5

// Consensus is what most clocks agree on.
type Consensus struct {
	// Offset is the median of the offsets of the clocks from a reference.
	Offset time.Duration
	// Corrections holds, by daemon, by how much the clocks have to be moved that differ from
	// it.
	Corrections map[string]time.Duration
}

// Agree returns the consensus of clocks, given their offsets from a reference that is not
// moved meanwhile. It has no corrections if there are too few clocks.
func Agree(offsets map[string]time.Duration) Consensus {
	var c Consensus
	if len(offsets) < minClocks {
		return c
	}
	sorted := slices.Sorted(maps.Values(offsets))
	c.Offset, c.Corrections = sorted[len(sorted)/2], map[string]time.Duration{}
	for daemon, offset := range offsets {
		if by := c.Offset - offset; by.Abs() > MaxClockError {
			c.Corrections[daemon] = by
		}
	}
	return c
}
