package shifter

// Results adds up the counts that daemons report about a version's targets. Each report
// has all responses since the daemon started. The responses of a daemon that is gone or has
// restarted stay counted. The zero value has no counts.
type Results struct {
	lastReports map[string]Totals
	total       Totals
}

// Add counts what a daemon reports.
func (c *Results) Add(daemon string, report Totals) {
	last := c.lastReports[daemon]
	if !report.atLeast(last) {
		// The daemon has restarted.
		last = Totals{}
	}
	c.total = c.total.plus(report.minus(last))
	if c.lastReports == nil {
		c.lastReports = map[string]Totals{}
	}
	c.lastReports[daemon] = report
}

// Total returns all counts.
func (c *Results) Total() Totals { return c.total }
