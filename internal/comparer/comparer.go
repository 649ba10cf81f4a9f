// Package comparer simulates rollouts of good and bad versions on a virtual clock.
// Calls are drawn at random from a seed. The rollouts run through the mover and the
// judge that daemons use and, as a baseline, through a fixed threshold instead of
// the judge.
package comparer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

// Summary summarizes the results of a scenario's rollouts over all seeds.
type Summary struct {
	// FailedShare is the mean fraction of the service's calls that the new
	// version failed, MaxFailedShare the largest fraction.
	FailedShare    float64
	MaxFailedShare float64
	// RolledBack is the fraction of rollouts that were rolled back. OnTime is
	// the fraction that were completed before the deadline.
	RolledBack float64
	OnTime     float64
	// ReactionTime is the mean time from the first observable bad call until no call
	// goes to the new version, over the rollouts with a detected fault.
	// WorstReactionTime is the longest such time.
	ReactionTime      time.Duration
	WorstReactionTime time.Duration
}

// Summarize simulates a scenario with the seeds from 0 to seeds-1.
func Summarize(sc Scenario, seeds int, newDetector NewDetector) Summary {
	var s Summary
	var totalReactionTime time.Duration
	detected := 0
	weight := 1 / float64(seeds)
	for seed := range seeds {
		r := Simulate(sc, uint64(seed), newDetector)
		s.FailedShare += r.FailedShare * weight
		s.MaxFailedShare = max(s.MaxFailedShare, r.FailedShare)
		if r.Phase == applier.RolledBack {
			s.RolledBack += weight
		}
		if r.Phase == applier.Done && r.OnTime {
			s.OnTime += weight
		}
		if r.ReactionTime > 0 {
			detected++
			totalReactionTime += r.ReactionTime
			s.WorstReactionTime = max(s.WorstReactionTime, r.ReactionTime)
		}
	}
	s.ReactionTime = totalReactionTime / time.Duration(max(1, detected))
	return s
}

// Row contains the results of a scenario with both detectors.
type Row struct {
	Scenario   Scenario
	Sequential Summary
	Threshold  Summary
}

// RolloutCounts contains the numbers of rollouts that are simulated for each
// scenario.
type RolloutCounts struct {
	Good int
	Bad  int
	// Threshold is the number for the baseline.
	Threshold int
}

// Compare simulates all scenarios with both detectors.
func Compare(counts RolloutCounts) []Row {
	var group errgroup.Group
	rows := make([]Row, len(Scenarios()))
	for i, sc := range Scenarios() {
		group.Go(func() error {
			seeds := counts.Bad
			if sc.Good {
				seeds = counts.Good
			}
			rows[i] = Row{
				Scenario:   sc,
				Sequential: Summarize(sc, seeds, Sequential),
				Threshold:  Summarize(sc, counts.Threshold, Threshold),
			}
			return nil
		})
	}
	_ = group.Wait()
	return rows
}

// WriteTable writes the rows as a table.
func WriteTable(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SCENARIO\tJUDGE\tHARMED\tWORST\tGONE\tWORST\tTAKEN BACK\tDONE ON TIME")
	for _, r := range rows {
		writeRow(w, r.Scenario.Name, "sequential", r.Sequential)
		writeRow(w, "", "threshold", r.Threshold)
	}
	return w.Flush()
}

func writeRow(w io.Writer, name, detector string, s Summary) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f%%\t%.2f%%\t%.2fs\t%.2fs\t%.3f\t%.3f\n", name, detector,
		100*s.FailedShare, 100*s.MaxFailedShare, s.ReactionTime.Seconds(), s.WorstReactionTime.Seconds(), s.RolledBack, s.OnTime)
}
