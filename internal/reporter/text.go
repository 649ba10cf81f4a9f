package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as plain text tables.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := printer{w: w}
	p.printf("coltsfootlane report of %s, revision %d\n", r.At.Format(time.RFC3339), r.Revision)
	r.writeMoves(&p)
	r.writeLevels(&p)
	r.writeCapacity(&p)
	for _, name := range r.Silent {
		p.printf("\nnot known: %s (no accountant answered)\n", name)
	}
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}

// printer writes formatted text and stores the first error. It writes nothing
// after an error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (r Report) writeMoves(p *printer) {
	p.printf("\nMOVES\nSERVICE\tTO\tPHASE\tSHARE\tBY\tSINCE\tREASON\n")
	for _, m := range r.Moves {
		p.printf("%s\t%s\t%s\t%d%%\t%s\t%s\t%s\n", m.Service, m.To, m.Phase, m.Share, formatTime(m.By), formatTime(m.Since), m.Reason)
	}
}

// formatTime formats a time as RFC 3339, or as a dash if it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func (r Report) writeLevels(p *printer) {
	p.printf("\nSERVICE LEVELS (burn 1.0 spends the budget exactly)\nSERVICE\tGOAL")
	for _, w := range windows {
		p.printf("\tBURN %s", w.Name)
	}
	p.printf("\tBUDGET LEFT\n")
	for _, l := range r.Levels {
		p.printf("%s\t%s", l.Service, formatGoal(l.Goal))
		for _, b := range l.Burns {
			p.printf("\t%s", formatBurn(b, l.Goal))
		}
		p.printf("\t%s\n", formatBudgetLeft(l))
	}
}

func formatGoal(goal float64) string {
	if goal == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g%%", goal*100)
}

func formatBurn(b BurnRate, goal float64) string {
	if b.Calls == 0 || goal == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", b.Rate)
}

func formatBudgetLeft(l ServiceLevel) string {
	if l.Goal == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", l.Left*100)
}

func (r Report) writeCapacity(p *printer) {
	p.printf("\nCAPACITY THAT CARRIED LOAD, LAST HOUR\nSERVICE\tVERSION\tDC\tTARGETS\tSLOTS\tIN USE\tCALLS\n")
	for _, c := range r.Capacity {
		p.printf("%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%d\n", c.Service, c.Version, c.DC, c.Targets, c.Slots, c.InUse, c.Calls)
	}
}
