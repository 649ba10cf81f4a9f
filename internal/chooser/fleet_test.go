package chooser_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// The fleet of TestFleetUnderLoad.
const (
	fleetEntries   = 195
	fleetTargets   = 160
	fleetZones     = 5
	fleetSlots     = 5
	fleetRate      = 1440 // requests a second
	fleetWork      = 200 * time.Millisecond
	fleetTime      = 4 * time.Second
	fleetObjective = 800 * time.Millisecond
	maxTries       = 3
)

// event is a step of the simulation at a time.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is a simulation of entries that choose among targets. Each target has slots and a
// queue with the timeout that the chooser sets.
type fleet struct {
	clock      *timekeeper.Virtual
	random     *rand.Rand
	events     events
	entries    []*chooser.Chooser
	targets    []*fleetTarget
	byInstance map[string]*fleetTarget
	took       []time.Duration
	refused    int
}

type fleetTarget struct {
	chooser.Target
	speed       float64
	running     int
	serviceTime time.Duration
	queue       []func()
}

func newFleet(targets int) *fleet {
	f := &fleet{
		clock:      timekeeper.NewVirtual(time.Unix(1000, 0)),
		random:     rand.New(rand.NewPCG(1, 2)),
		byInstance: map[string]*fleetTarget{},
	}
	for range fleetEntries {
		f.entries = append(f.entries, chooser.New(f.clock))
	}
	for i := range targets {
		f.targets = append(f.targets, &fleetTarget{
			Target: chooser.Target{
				Daemon:   fmt.Sprint("vm-", i),
				Instance: fmt.Sprint("i-", i),
				Slots:    fleetSlots,
			},
			speed: []float64{0.6, 1, 1.4}[i%3],
		})
		f.byInstance[f.targets[i].Instance] = f.targets[i]
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{at: f.clock.Now().Add(d), run: run})
}

// exponential returns a random duration with a mean.
func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

// send sends one request from an entry.
func (f *fleet) send(entry int, start time.Time, excluded map[string]bool) {
	c := f.entries[entry]
	targets := make([]chooser.Target, len(f.targets))
	for i, t := range f.targets {
		targets[i] = t.Target
		targets[i].SameZone = i%fleetZones == entry%fleetZones
	}
	request := chooser.Request{
		Rule:    "status",
		Exclude: func(instance string) bool { return excluded[instance] },
	}
	choice, ok := c.Pick(targets, request)
	if !ok {
		f.refused++
		return
	}
	t := f.byInstance[choice.Instance]
	c.RequestStarted(t.Instance)
	respond := func() {
		c.RequestEnded(t.Instance)
		c.RecordLoad(t.Instance, "status", chooser.Load{
			Running:     t.running,
			Queued:      len(t.queue),
			Slots:       fleetSlots,
			ServiceTime: t.serviceTime,
		})
	}
	run := func() {
		t.running++
		work := time.Duration(float64(fleetWork) * t.speed * math.Exp(0.3*f.random.NormFloat64()))
		f.after(work, func() {
			t.running--
			if t.serviceTime == 0 {
				t.serviceTime = work
			}
			t.serviceTime += (work - t.serviceTime) / 8
			f.took = append(f.took, f.clock.Now().Sub(start))
			respond()
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	wait := time.Duration(float64(len(t.queue)+1) * float64(t.serviceTime) / fleetSlots)
	switch {
	case t.running < fleetSlots:
		run()
	case wait > choice.QueueTimeout && len(excluded) < maxTries:
		respond()
		excluded[t.Instance] = true
		f.after(2*time.Millisecond, func() { f.send(entry, start, excluded) })
	case wait > fleetObjective:
		respond()
		f.refused++
	default:
		t.queue = append(t.queue, run)
	}
}

// run sends requests at a rate for fleetTime and returns the share of them that got a
// response within the objective, and the 50th and 99th percentile of the response times.
func (f *fleet) run(perSecond float64) (inTime float64, p50, p99 time.Duration) {
	end := f.clock.Now().Add(fleetTime)
	sent := 0
	var arrive func()
	arrive = func() {
		if f.clock.Now().After(end) {
			return
		}
		sent++
		f.send(f.random.IntN(fleetEntries), f.clock.Now(), map[string]bool{})
		f.after(f.exponential(time.Duration(float64(time.Second)/perSecond)), arrive)
	}
	f.after(0, arrive)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.run()
	}
	slices.Sort(f.took)
	within, _ := slices.BinarySearch(f.took, fleetObjective)
	return float64(within) / float64(sent), f.took[len(f.took)/2], f.took[len(f.took)*99/100]
}

// TestFleetUnderLoad plays requests of many entries, each of which hears of a target every 20
// seconds, on all targets and on two thirds of them.
func TestFleetUnderLoad(t *testing.T) {
	for name, c := range map[string]struct {
		targets int
		rate    float64
		inTime  float64
	}{
		"calm":                     {targets: fleetTargets, rate: fleetRate, inTime: 0.99},
		"a third away":             {targets: fleetTargets * 2 / 3, rate: fleetRate, inTime: 0.98},
		"a third away and a burst": {targets: fleetTargets * 2 / 3, rate: 1.4 * fleetRate, inTime: 0.9},
		"twice the requests":       {targets: fleetTargets, rate: 2 * fleetRate, inTime: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.targets)
			inTime, p50, p99 := f.run(c.rate)
			t.Logf("%.3f in time, p50 %v, p99 %v, %d refused", inTime, p50, p99, f.refused)
			if inTime < c.inTime {
				t.Errorf("%.3f in time, want %.2f", inTime, c.inTime)
			}
		})
	}
}
