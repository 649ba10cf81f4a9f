// Package tallier counts what targets began to run, by customer and window of time. A Ledger
// holds the counts of one daemon, and a Book those that were collected from all of them.
package tallier

import (
	"maps"
	"sync"
)

// Counts holds the number of requests by customer.
type Counts map[string]int

// Total returns the number of requests of all customers.
func (c Counts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// Delta is what has changed in a ledger. Its counts are totals, not differences, so that
// applying it twice has no effect.
type Delta struct {
	// Incarnation identifies the start of the daemon. Its ledger is empty then.
	Incarnation uint64 `json:"inc"`
	// Sequence increases with each change of the ledger.
	Sequence uint64           `json:"seq"`
	Windows  map[int64]Counts `json:"windows,omitempty"`
}

// cell is one count of a ledger, with the sequence number of its last change.
type cell struct {
	count    int
	sequence uint64
}

// window holds the cells of a window by customer, and the latest of their sequence numbers.
type window struct {
	cells    map[string]cell
	sequence uint64
}

// Ledger holds the counts of one daemon. It is safe for concurrent use.
type Ledger struct {
	incarnation uint64

	mu       sync.Mutex
	sequence uint64
	windows  map[int64]*window
	// kept is the earliest window that is kept.
	kept int64
}

// NewLedger returns an empty ledger. The incarnation must differ from those of the daemon's
// earlier starts.
func NewLedger(incarnation uint64) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		windows:     map[int64]*window{},
	}
}

// Add adds n requests of a customer, which may be negative, to a window.
func (l *Ledger) Add(number int64, customer string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number < l.kept {
		return
	}
	w := l.windows[number]
	if w == nil {
		w = &window{cells: map[string]cell{}}
		l.windows[number] = w
	}
	l.sequence++
	w.sequence = l.sequence
	w.cells[customer] = cell{
		count:    w.cells[customer].count + n,
		sequence: l.sequence,
	}
}

// Since returns what has changed after a sequence number of an incarnation, or everything if
// that is not the ledger's.
func (l *Ledger) Since(incarnation, sequence uint64) Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		sequence = 0
	}
	d := Delta{
		Incarnation: l.incarnation,
		Sequence:    l.sequence,
	}
	for number, w := range l.windows {
		if w.sequence <= sequence {
			continue
		}
		if d.Windows == nil {
			d.Windows = map[int64]Counts{}
		}
		counts := Counts{}
		for customer, c := range w.cells {
			if c.sequence > sequence {
				counts[customer] = c.count
			}
		}
		d.Windows[number] = counts
	}
	return d
}

// Sequence returns the sequence number of the last change.
func (l *Ledger) Sequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

// Forget drops the windows before a number.
func (l *Ledger) Forget(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = max(l.kept, before)
	maps.DeleteFunc(l.windows, func(number int64, _ *window) bool { return number < l.kept })
}
