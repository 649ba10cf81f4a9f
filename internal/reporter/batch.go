// Package reporter counts calls and the slots of the targets that served them. It
// reports rollouts, error budget burn rates over several windows, and capacity
// for each service, version and data centre.
//
// Counts are aggregated over two hops, so that no daemon receives messages from
// all others. A daemon sends its counts of calls to a service to one daemon of
// that service, the collector. A collector sends the sums of the counts that it
// received to two of the service's daemons, the aggregators. An aggregator stores
// the counts of the service. The report calls it an accountant.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("reporter")

// Key identifies what a row counts. Rows that count calls as seen by callers have
// no Version and DC. Rows that count the load of a version's targets have both.
type Key struct {
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
	DC      string `json:"dc,omitempty"`
}

// Tally holds counts of calls and load.
type Tally struct {
	// Calls counts all calls.
	Calls int64 `json:"calls,omitempty"`
	// Bad counts calls that failed or were too slow.
	Bad int64 `json:"bad,omitempty"`
	// Busy is the total time that targets spent on calls, in nanoseconds.
	Busy time.Duration `json:"busy,omitempty"`
	// Slots is the sum over all minutes of the slots of the targets that had load
	// in that minute.
	Slots int64 `json:"slots,omitempty"`
	// Targets is the sum over all minutes of the number of targets that had load
	// in that minute.
	Targets int64 `json:"targets,omitempty"`
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{
		Calls:   t.Calls + o.Calls,
		Bad:     t.Bad + o.Bad,
		Busy:    t.Busy + o.Busy,
		Slots:   t.Slots + o.Slots,
		Targets: t.Targets + o.Targets,
	}
}

// Row is a tally with its key.
type Row struct {
	Key
	Tally
}

// Batch holds the counts that a daemon has collected since its previous batch.
// They are counted in the minute given by Minute. The sender numbers its batches to each
// receiver, so that a repeated batch is counted once.
type Batch struct {
	From string `json:"from"`
	// Run identifies the run of the sender. It increases with each start.
	Run    int64 `json:"run"`
	Number int64 `json:"number"`
	// Minute is the minute of the counts, in minutes since the Unix epoch.
	Minute int64 `json:"minute"`
	Rows   []Row `json:"rows"`
}

// Limits of a batch from a peer.
const (
	maxBatchRows = 4096
	maxNameBytes = 64
)

// Validate returns an error if the batch has too many rows or invalid rows.
func (b Batch) Validate() error {
	if len(b.Rows) > maxBatchRows {
		return Class.New("sheet of %d rows", len(b.Rows))
	}
	for _, r := range b.Rows {
		if r.Service == "" || max(len(r.Service), len(r.Version), len(r.DC)) > maxNameBytes {
			return Class.New("row with a bad name")
		}
		if min(r.Calls, r.Bad, int64(r.Busy), r.Slots, r.Targets) < 0 || r.Bad > r.Calls {
			return Class.New("row with bad counts")
		}
	}
	return nil
}

// Sums adds up rows by key. The zero value is ready to use.
type Sums struct {
	rows map[Key]Tally
}

// Add adds a tally to the sum of a key.
func (s *Sums) Add(k Key, t Tally) {
	if s.rows == nil {
		s.rows = map[Key]Tally{}
	}
	s.rows[k] = s.rows[k].Plus(t)
}

// Drain returns the sums, sorted by key, and removes them.
func (s *Sums) Drain() []Row {
	rows := make([]Row, 0, len(s.rows))
	for k, t := range s.rows {
		rows = append(rows, Row{Key: k, Tally: t})
	}
	s.rows = nil
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.DC, b.DC),
	)
}
