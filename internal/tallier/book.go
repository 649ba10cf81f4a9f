package tallier

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// page holds what was collected from one start of a daemon.
type page struct {
	sequence uint64
	windows  map[int64]Counts
}

// source holds what was collected from a daemon, by incarnation.
type source struct {
	incarnation uint64
	pages       map[uint64]*page
	// through is the time up to which its counts were collected.
	through time.Time
}

// Book holds the counts that were collected from all daemons, also from those that are gone. It
// is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	sources map[string]*source
	// kept is the earliest window that is kept.
	kept int64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{sources: map[string]*source{}}
}

// Position returns the incarnation and the sequence number up to which a daemon's counts were
// collected.
func (b *Book) Position(daemon string) (incarnation, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sources[daemon]
	if s == nil {
		return 0, 0
	}
	return s.incarnation, s.pages[s.incarnation].sequence
}

// Apply adds a daemon's counts up to a time. A delta that is older than what is known of the
// same incarnation has no effect.
func (b *Book) Apply(daemon string, d Delta, through time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sources[daemon]
	if s == nil {
		s = &source{pages: map[uint64]*page{}}
		b.sources[daemon] = s
	}
	p := s.pages[d.Incarnation]
	if p == nil {
		p = &page{windows: map[int64]Counts{}}
		s.pages[d.Incarnation] = p
	}
	if d.Sequence < p.sequence {
		return
	}
	s.incarnation, s.through, p.sequence = d.Incarnation, through, d.Sequence
	for number, counts := range d.Windows {
		if number < b.kept {
			continue
		}
		if p.windows[number] == nil {
			p.windows[number] = Counts{}
		}
		maps.Copy(p.windows[number], counts)
	}
}

// Close records that a daemon has no more counts up to a time, because its process has ended.
func (b *Book) Close(daemon string, through time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.sources[daemon]; s != nil {
		s.through = through
	}
}

// Missing returns those of the daemons whose counts were not collected up to a time, in order.
func (b *Book) Missing(daemons []string, through time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var missing []string
	for _, daemon := range daemons {
		if s := b.sources[daemon]; s == nil || s.through.Before(through) {
			missing = append(missing, daemon)
		}
	}
	slices.Sort(missing)
	return missing
}

// Sum returns the counts of a window over all daemons. It has only positive ones.
func (b *Book) Sum(number int64) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := Counts{}
	for _, s := range b.sources {
		for _, p := range s.pages {
			for customer, n := range p.windows[number] {
				sum[customer] += n
			}
		}
	}
	maps.DeleteFunc(sum, func(_ string, n int) bool { return n <= 0 })
	return sum
}

// Forget drops the windows before a number, and the daemons that are not live and have no
// others.
func (b *Book) Forget(before int64, live []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = max(b.kept, before)
	for daemon, s := range b.sources {
		for incarnation, p := range s.pages {
			maps.DeleteFunc(p.windows, func(number int64, _ Counts) bool { return number < b.kept })
			if len(p.windows) == 0 && incarnation != s.incarnation {
				delete(s.pages, incarnation)
			}
		}
		if len(s.pages) == 1 && len(s.pages[s.incarnation].windows) == 0 && !slices.Contains(live, daemon) {
			delete(b.sources, daemon)
		}
	}
}
