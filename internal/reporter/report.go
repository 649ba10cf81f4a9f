package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

// Report is the report for operators and finance.
type Report struct {
	At       time.Time `json:"at"`
	Revision uint64    `json:"revision"`
	// Moves holds the rollouts, sorted by service: for each service its past
	// rollouts, oldest first, then its current one, which may have ended.
	Moves []MoveRow `json:"moves"`
	// Levels holds the service levels in ascending order of the remaining error
	// budget.
	Levels []ServiceLevel `json:"levels"`
	// Capacity holds the capacity that carried load over the last hour.
	Capacity []Capacity `json:"capacity"`
	// Silent names the services for which no aggregator responded. Their load is
	// unknown rather than zero.
	Silent []string `json:"silent,omitempty"`
}

// MoveRow is one rollout.
type MoveRow struct {
	Service string        `json:"service"`
	To      string        `json:"to"`
	Phase   applier.Phase `json:"phase"`
	// Share is the new version's share of the traffic in percent.
	Share int `json:"share"`
	// By is the deadline of the rollout. Since is the time at which the current
	// phase, or the current step of the traffic share, began.
	By     time.Time `json:"by"`
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
}

// ServiceLevel holds the burn rates and the remaining error budget of one service.
type ServiceLevel struct {
	Service string `json:"service"`
	// Goal is the fraction of calls that must be good, or 0 if no goal is
	// declared.
	Goal  float64    `json:"goal"`
	Burns []BurnRate `json:"burns"`
	// Left is the fraction of the error budget that remains over the longest
	// window. It is negative if the budget is overspent.
	Left float64 `json:"left"`
	// Minutes holds the tallies of each minute of the last hour, oldest first.
	Minutes []Tally `json:"minutes"`
}

// BurnRate is the burn rate of the error budget over one window.
type BurnRate struct {
	Window string `json:"window"`
	Calls  int64  `json:"calls"`
	Bad    int64  `json:"bad"`
	// Rate is 1 if the bad calls, at the same rate, use up the error budget
	// exactly at the end of its period.
	Rate float64 `json:"rate"`
}

// Capacity is the load of a version's targets in one data centre, averaged over
// those minutes of the last hour that had calls.
type Capacity struct {
	Key
	Calls int64 `json:"calls"`
	// Slots and Targets are averages over the minutes with calls. Targets
	// without load are not counted.
	Slots   float64 `json:"slots"`
	Targets float64 `json:"targets"`
	// InUse is the average number of slots in use.
	InUse   float64 `json:"inuse"`
	Minutes []Tally `json:"minutes"`
}

// Build returns the report for a state from the accounts of its services.
func Build(s *applier.State, accounts []Account, now time.Time) Report {
	r := Report{
		At:       now.UTC(),
		Revision: s.Revision(),
		Silent:   silent(s, accounts),
	}
	for _, p := range s.MoveHistories() {
		for _, m := range p.Moves {
			r.Moves = append(r.Moves, moveRow(m))
		}
	}
	for _, m := range s.Moves() {
		r.Moves = append(r.Moves, moveRow(m))
	}
	slices.SortStableFunc(r.Moves, func(a, b MoveRow) int { return cmp.Compare(a.Service, b.Service) })
	for _, a := range accounts {
		svc, ok := s.Service(a.Service)
		if !ok {
			continue
		}
		r.Levels = append(r.Levels, serviceLevel(a, svc.Objectives.GoodShare))
		for _, c := range a.Load {
			r.Capacity = append(r.Capacity, capacity(c))
		}
	}
	slices.SortStableFunc(r.Levels, func(a, b ServiceLevel) int { return cmp.Compare(a.Left, b.Left) })
	return r
}

// moveRow returns the row of a rollout.
func moveRow(m applier.MoveStatus) MoveRow {
	return MoveRow{
		Service: m.Service,
		To:      m.Move.To,
		Phase:   m.Phase,
		Share:   m.Share,
		By:      m.Move.By,
		Since:   m.Since,
		Reason:  m.Reason,
	}
}

// silent returns the names of the services without an account.
func silent(s *applier.State, accounts []Account) []string {
	var names []string
	for _, svc := range s.Services() {
		hasAccount := slices.ContainsFunc(accounts, func(a Account) bool { return a.Service == svc.Name })
		if !hasAccount {
			names = append(names, svc.Name)
		}
	}
	return names
}

// serviceLevel returns the service level of an account for a goal.
func serviceLevel(a Account, goal float64) ServiceLevel {
	l := ServiceLevel{
		Service: a.Service,
		Goal:    goal,
		Left:    1,
		Minutes: a.Minutes,
	}
	for _, w := range a.Windows {
		b := burnRate(w, goal)
		l.Burns = append(l.Burns, b)
		l.Left = 1 - b.Rate
	}
	return l
}

// burnRate returns the burn rate over a window: the fraction of bad calls divided by
// the fraction that the goal permits. It is 0 without calls or without a goal.
func burnRate(w WindowSum, goal float64) BurnRate {
	b := BurnRate{
		Window: w.Window,
		Calls:  w.Calls,
		Bad:    w.Bad,
	}
	if w.Calls == 0 || goal == 0 {
		return b
	}
	b.Rate = float64(w.Bad) / float64(w.Calls) / (1 - goal)
	return b
}

// capacity returns the load of a version in one data centre, averaged over the
// minutes with calls.
func capacity(c Load) Capacity {
	row := Capacity{
		Key:     c.Key,
		Calls:   c.Calls,
		Minutes: c.Minutes,
	}
	loaded := 0
	for _, m := range c.Minutes {
		if m.Calls > 0 {
			loaded++
		}
	}
	if loaded == 0 {
		return row
	}
	row.Slots = float64(c.Slots) / float64(loaded)
	row.Targets = float64(c.Targets) / float64(loaded)
	row.InUse = c.Busy.Minutes() / float64(loaded)
	return row
}
