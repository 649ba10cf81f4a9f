package reporter

import "slices"

// History holds all tallies that an aggregator has stored for one service. It is
// sent to a daemon that becomes an aggregator of the service.
type History struct {
	Rows []HistoryRow `json:"rows,omitempty"`
}

// HistoryRow holds the tallies of one key. Buckets without counts are omitted.
type HistoryRow struct {
	Key
	Minutes []HistoryBucket `json:"minutes,omitempty"`
	Hours   []HistoryBucket `json:"hours,omitempty"`
}

// HistoryBucket is one bucket of a series.
type HistoryBucket struct {
	// Number is the number of buckets between the Unix epoch and this one.
	Number int64 `json:"n"`
	Tally
}

// Calls returns the number of calls in the hourly buckets of all rows.
func (h History) Calls() int64 {
	var n int64
	for _, r := range h.Rows {
		for _, s := range r.Hours {
			n += s.Calls
		}
	}
	return n
}

// Contains reports whether the ledger holds tallies of a service.
func (l *Ledger) Contains(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownServices[service]
}

// History returns all stored tallies of a service.
func (l *Ledger) History(service string) History {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all History
	for k, h := range l.histories {
		if k.Service == service {
			all.Rows = append(all.Rows, HistoryRow{
				Key:     k,
				Minutes: h.minutes.buckets(),
				Hours:   h.hours.buckets(),
			})
		}
	}
	slices.SortFunc(all.Rows, func(a, b HistoryRow) int { return compareKeys(a.Key, b.Key) })
	return all
}

// Import adds the tallies of a service from another ledger, for the minutes
// earlier than end. It does nothing if the ledger already holds tallies of the
// service.
func (l *Ledger) Import(service string, h History, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.knownServices[service] {
		return
	}
	l.knownServices[service] = true
	for _, r := range h.Rows {
		if r.Service == service {
			l.importRow(r, end)
		}
	}
}

// importRow adds the tallies of a row for the minutes earlier than end. The
// tally of the hour of end is reduced by the excluded minutes.
func (l *Ledger) importRow(r HistoryRow, end int64) {
	h := l.history(r.Key)
	if h == nil {
		return
	}
	var excluded Tally
	for _, s := range r.Minutes {
		if s.Number < end {
			h.minutes.add(s.Number, s.Tally)
		} else {
			excluded = excluded.Plus(s.Tally)
		}
	}
	for _, s := range r.Hours {
		t := s.Tally
		if s.Number == end/minutesPerHour {
			t = t.minus(excluded)
		}
		h.hours.add(s.Number*minutesPerHour, t)
	}
}

// minus returns the difference t - o. The tallies in o must be included in t.
func (t Tally) minus(o Tally) Tally {
	return Tally{
		Calls:   t.Calls - o.Calls,
		Bad:     t.Bad - o.Bad,
		Busy:    t.Busy - o.Busy,
		Slots:   t.Slots - o.Slots,
		Targets: t.Targets - o.Targets,
	}
}

// buckets returns the buckets with counts, oldest first.
func (s *series) buckets() []HistoryBucket {
	var buckets []HistoryBucket
	size := int64(len(s.tallies))
	for n := max(0, s.newest-size+1); n <= s.newest; n++ {
		if t := s.tallies[n%size]; t != (Tally{}) {
			buckets = append(buckets, HistoryBucket{Number: n, Tally: t})
		}
	}
	return buckets
}
