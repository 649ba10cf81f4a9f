package shifter

// Results adds up the counts that daemons report about a version's targets. Each report
// has all responses since the daemon started. The responses of a daemon that is gone or has
// restarted stay counted. The zero value has no counts.
type Results struct {
	lastReports map[string]Totals
	// byDaemon holds the counts of each daemon, those before its restarts included.
	byDaemon map[string]Totals
	total    Totals
}

// Add counts what a daemon reports.
func (c *Results) Add(daemon string, report Totals) {
	last := c.lastReports[daemon]
	if !report.atLeast(last) {
		// The daemon has restarted.
		last = Totals{}
	}
	if c.lastReports == nil {
		c.lastReports = map[string]Totals{}
		c.byDaemon = map[string]Totals{}
	}
	added := report.minus(last)
	c.total = c.total.plus(added)
	c.byDaemon[daemon] = c.byDaemon[daemon].plus(added)
	c.lastReports[daemon] = report
}

// Total returns all counts.
func (c *Results) Total() Totals { return c.total }

// Bad reports whether the version's failures or slow responses exceed their thresholds.
// baselineFailureRate is the old version's failure rate, 0 to 1. The slow responses of the
// daemon that reports most of them do not count, as its target may be slow by itself.
func (c *Results) Bad(baselineFailureRate float64) bool {
	var slowest Totals
	for _, t := range c.byDaemon {
		if t.Slow > slowest.Slow {
			slowest = t
		}
	}
	return c.total.failsTooOften(baselineFailureRate) || c.total.minus(slowest).slowTooOften()
}
