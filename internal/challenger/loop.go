package challenger

import (
	"container/heap"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// event is a function that is called at a time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	// at is the time relative to the loop's start.
	at       time.Duration
	sequence int
	do       func()
}

// events is a heap of events that implements heap.Interface.
type events []*event

// Len returns the number of events.
func (es events) Len() int { return len(es) }

// Less orders events by time, then by the order in which they were scheduled.
func (es events) Less(i, j int) bool {
	if es[i].at == es[j].at {
		return es[i].sequence < es[j].sequence
	}
	return es[i].at < es[j].at
}

// Swap swaps two events.
func (es events) Swap(i, j int) { es[i], es[j] = es[j], es[i] }

// Push adds an event.
func (es *events) Push(e any) { *es = append(*es, e.(*event)) }

// Pop removes and returns the last element.
func (es *events) Pop() any {
	last := len(*es) - 1
	e := (*es)[last]
	(*es)[last] = nil
	*es = (*es)[:last]
	return e
}

// loop runs events on a virtual clock.
type loop struct {
	clock    *timekeeper.Virtual
	start    time.Time
	events   events
	sequence int
}

func newLoop(start time.Time) *loop {
	return &loop{
		clock: timekeeper.NewVirtual(start),
		start: start,
	}
}

// at schedules a function to run at the time t.
func (l *loop) at(t time.Time, do func()) {
	l.sequence++
	heap.Push(&l.events, &event{
		at:       t.Sub(l.start),
		sequence: l.sequence,
		do:       do,
	})
}

// after schedules a function to run after the duration d.
func (l *loop) after(d time.Duration, do func()) { l.at(l.clock.Now().Add(d), do) }

// run runs all events in order and advances the clock to the time of each.
func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(*event)
		l.clock.Set(l.start.Add(e.at))
		e.do()
	}
}
