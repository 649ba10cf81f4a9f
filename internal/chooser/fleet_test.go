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

// maxTries is the number of targets that may turn a request away before it waits for one.
const maxTries = 3

// shape describes a fleet. An entry or a target of index i stands in zone i modulo the
// number of zones, and has speed i modulo the number of speeds.
type shape struct {
	entries, targets, zones, slots int
	// rate is the number of requests per second.
	rate float64
	// work is the mean service time, spread the logarithmic standard deviation of service
	// times, and speeds are the factors of targets.
	work      time.Duration
	spread    float64
	speeds    []float64
	time      time.Duration
	objective time.Duration
	// short is the fraction of the targets of zone 0 that are away, and busy the factor by
	// which more requests arrive there.
	short, busy float64
	// wave is the fraction by which the rate rises and falls within wavePeriod.
	wave float64
	// phase is the part of wavePeriod by which the wave of each zone follows that of the one before.
	phase float64
	// body is the size of a request in bytes.
	body int
}

// wavePeriod is the period of a shape's wave.
const wavePeriod = 8 * time.Second

// manyEntries is the shape of TestFleetUnderLoad.
var manyEntries = shape{
	entries:   195,
	targets:   160,
	zones:     5,
	slots:     5,
	rate:      1440,
	work:      200 * time.Millisecond,
	spread:    0.3,
	speeds:    []float64{0.6, 1, 1.4},
	time:      4 * time.Second,
	objective: 800 * time.Millisecond,
	busy:      1,
}

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
	shape
	clock      *timekeeper.Virtual
	random     *rand.Rand
	events     events
	entries    []*chooser.Chooser
	targets    []*fleetTarget
	byInstance map[string]*fleetTarget
	took       []time.Duration
	refused    int
	// zoneSent and zoneInTime count the requests of each zone's entries and those among
	// them that were answered in time. left counts the attempts in other zones.
	zoneSent, zoneInTime []int
	sends, left          int
}

type fleetTarget struct {
	chooser.Target
	zone        int
	speed       float64
	running     int
	serviceTime time.Duration
	queue       []func()
	ran         int
}

func newFleet(s shape) *fleet {
	f := &fleet{
		shape:      s,
		clock:      timekeeper.NewVirtual(time.Unix(1000, 0)),
		random:     rand.New(rand.NewPCG(1, 2)),
		byInstance: map[string]*fleetTarget{},
		zoneSent:   make([]int, s.zones),
		zoneInTime: make([]int, s.zones),
	}
	for range s.entries {
		c := chooser.New(f.clock)
		c.Random = f.random.Float64
		f.entries = append(f.entries, c)
	}
	for i := range s.targets {
		if i%s.zones == 0 && float64(i/s.zones) < s.short*float64(s.targets/s.zones) {
			continue
		}
		t := &fleetTarget{
			Target: chooser.Target{
				Daemon:   fmt.Sprint("vm-", i),
				Instance: fmt.Sprint("i-", i),
				Slots:    s.slots,
			},
			zone:  i % s.zones,
			speed: s.speeds[i/s.zones%len(s.speeds)],
		}
		f.targets = append(f.targets, t)
		f.byInstance[t.Instance] = t
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
		targets[i].SameZone = t.zone == entry%f.zones
	}
	request := chooser.Request{
		Rule:      "status",
		Objective: f.objective,
		Bytes:     f.body,
		Attempts:  len(excluded),
		Exclude:   func(instance string) bool { return excluded[instance] },
	}
	choice, ok := c.Pick(targets, request)
	if !ok {
		f.refused++
		return
	}
	t := f.byInstance[choice.Instance]
	f.sends++
	if t.zone != entry%f.zones {
		f.left++
	}
	c.RequestStarted(t.Instance)
	respond := func() {
		c.RequestEnded(t.Instance)
		c.RecordLoad(t.Instance, "status", chooser.Load{
			Running:     t.running,
			Queued:      len(t.queue),
			Slots:       f.slots,
			ServiceTime: t.serviceTime,
		})
	}
	run := func() {
		t.running++
		work := time.Duration(float64(f.work) * t.speed * math.Exp(f.spread*f.random.NormFloat64()))
		f.after(work, func() {
			t.running--
			if t.serviceTime == 0 {
				t.serviceTime = work
			}
			t.serviceTime += (work - t.serviceTime) / 8
			t.ran++
			took := f.clock.Now().Sub(start)
			f.took = append(f.took, took)
			if took <= f.objective {
				f.zoneInTime[entry%f.zones]++
			}
			respond()
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	wait := time.Duration(float64(len(t.queue)+1) * float64(t.serviceTime) / float64(f.slots))
	switch {
	case t.running < f.slots:
		run()
	case wait > choice.QueueTimeout && len(excluded) < maxTries:
		respond()
		excluded[t.Instance] = true
		f.after(2*time.Millisecond, func() { f.send(entry, start, excluded) })
	case wait > f.objective:
		respond()
		f.refused++
	default:
		t.queue = append(t.queue, run)
	}
}

// arrival returns the entry of the next request, or false if none arrives.
func (f *fleet) arrival(elapsed time.Duration) (entry int, ok bool) {
	entry = f.random.IntN(f.shape.entries)
	zone := entry % f.zones
	factor := 1 + f.wave*math.Sin(2*math.Pi*(float64(elapsed)/float64(wavePeriod)-f.phase*float64(zone)))
	if zone == 0 {
		factor *= f.busy
	}
	return entry, f.random.Float64()*f.busy*(1+f.wave) < factor
}

// run sends requests and returns the share of them that got a response within the
// objective, and the 50th and 99th percentile of the response times.
func (f *fleet) run() (inTime float64, p50, p99 time.Duration) {
	start := f.clock.Now()
	end := start.Add(f.time)
	sent := 0
	var arrive func()
	arrive = func() {
		now := f.clock.Now()
		if now.After(end) {
			return
		}
		if entry, ok := f.arrival(now.Sub(start)); ok {
			sent++
			f.zoneSent[entry%f.zones]++
			f.send(entry, now, map[string]bool{})
		}
		f.after(f.exponential(time.Duration(float64(time.Second)/(f.rate*f.busy*(1+f.wave)))), arrive)
	}
	f.after(0, arrive)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.run()
	}
	slices.Sort(f.took)
	within, _ := slices.BinarySearch(f.took, f.objective)
	return float64(within) / float64(sent), f.took[len(f.took)/2], f.took[len(f.took)*99/100]
}

// worstZone returns the share of requests in time of the zone where it is lowest.
func (f *fleet) worstZone() float64 {
	worst := 1.0
	for z, sent := range f.zoneSent {
		worst = min(worst, float64(f.zoneInTime[z])/float64(max(1, sent)))
	}
	return worst
}

// busiest returns the largest number of requests that a target ran, as a multiple of the
// mean.
func (f *fleet) busiest() float64 {
	most, sum := 0, 0
	for _, t := range f.targets {
		most = max(most, t.ran)
		sum += t.ran
	}
	return float64(most*len(f.targets)) / float64(sum)
}

// TestFleetUnderLoad plays requests of many entries, each of which hears of a target every 20
// seconds, on all targets and on two thirds of them.
func TestFleetUnderLoad(t *testing.T) {
	for name, c := range map[string]struct {
		targets int
		load    float64
		inTime  float64
	}{
		"calm":                     {targets: manyEntries.targets, load: 1, inTime: 0.99},
		"a third away":             {targets: manyEntries.targets * 2 / 3, load: 1, inTime: 0.98},
		"a third away and a burst": {targets: manyEntries.targets * 2 / 3, load: 1.4, inTime: 0.9},
		"twice the requests":       {targets: manyEntries.targets, load: 2, inTime: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			s := manyEntries
			s.targets = c.targets
			s.rate *= c.load
			f := newFleet(s)
			inTime, p50, p99 := f.run()
			t.Logf("%.3f in time, p50 %v, p99 %v, %d refused", inTime, p50, p99, f.refused)
			if inTime < c.inTime {
				t.Errorf("%.3f in time, want %.2f", inTime, c.inTime)
			}
		})
	}
}
