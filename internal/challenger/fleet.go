package challenger

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/retrier"
)

// Fleet contains the targets of a case, the daemons at which calls enter, and the
// event loop.
type Fleet struct {
	loop   *loop
	policy Policy
	load   float64
	// callTimeout is the timeout of calls.
	callTimeout time.Duration
	// slotWarmup is the time in which a cold target gains the capacity for one
	// more concurrent request.
	slotWarmup time.Duration
	// random generates the arrival times and the properties of calls.
	// queueTimeout is a separate generator, of the random queue timeouts, so that
	// the calls do not depend on the policy.
	random       *rand.Rand
	queueTimeout *rand.Rand
	targets      []*target
	joined       []*target
	entries      []*entry
	// measuredFrom and measuredUntil bound the start times of measured calls.
	measuredFrom  time.Time
	measuredUntil time.Time
	result        Result
}

// target models a target and the limiter of its daemon.
type target struct {
	fleet   *Fleet
	id      string
	dc      int
	limiter *limiter.Limiter
	// coldSince is when the target started or last became cold.
	coldSince   time.Time
	running     int
	unreachable bool
	failing     bool
}

// entry is a daemon that receives callers' requests.
type entry struct {
	dc       int
	balancer *balancer.Balancer
	retrier  *retrier.Retrier
	// nextTarget is the baseline's position in the round robin.
	nextTarget int
}

func newFleet(c Case, p Policy, seed uint64) *Fleet {
	start := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	f := &Fleet{
		loop:         newLoop(start),
		policy:       p,
		load:         c.Load,
		callTimeout:  cmp.Or(c.CallTimeout, callTimeout),
		slotWarmup:   cmp.Or(c.SlotWarmup, slotWarmup),
		random:       rand.New(rand.NewPCG(seed, seed)),
		queueTimeout: rand.New(rand.NewPCG(seed, targets)),
		result: Result{
			Case:   c.Name,
			Policy: p.Name,
		},
	}
	for i := range targets {
		f.targets = append(f.targets, f.newTarget(i, start))
	}
	f.joined = f.targets
	if c.InitialTargets > 0 {
		f.joined = f.targets[:c.InitialTargets]
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i, seed))
	}
	return f
}

// newTarget returns a fully warm target.
func (f *Fleet) newTarget(i int, start time.Time) *target {
	return &target{
		fleet:     f,
		id:        fmt.Sprintf("vm-%d", i),
		dc:        i % dataCentres,
		coldSince: start.Add(-time.Hour),
		limiter: limiter.New(limiter.Options{
			Slots:     slots,
			MaxQueued: f.policy.MaxQueued,
			Clock:     f.loop.clock,
		}),
	}
}

func (f *Fleet) newEntry(i int, seed uint64) *entry {
	e := &entry{
		dc:         i % dataCentres,
		balancer:   balancer.New(f.loop.clock),
		retrier:    &retrier.Retrier{Clock: f.loop.clock},
		nextTarget: i,
	}
	e.balancer.Random = rand.New(rand.NewPCG(seed, uint64(i))).Float64
	return e
}

// Join adds the targets that have not joined yet. They start cold.
func (f *Fleet) Join() {
	for _, t := range f.targets[len(f.joined):] {
		t.coldSince = f.loop.clock.Now()
	}
	f.joined = append([]*target(nil), f.targets...)
}

// MakeCold makes a target cold without notifying its limiter or the entries.
func (f *Fleet) MakeCold(i int) { f.targets[i].coldSince = f.loop.clock.Now() }

// SetFailing makes a target fail all requests, or none if failing is false.
func (f *Fleet) SetFailing(i int, failing bool) { f.targets[i].failing = failing }

// SetAllUnreachable makes all targets unreachable, or reachable again.
func (f *Fleet) SetAllUnreachable(unreachable bool) {
	for _, t := range f.targets {
		t.unreachable = unreachable
	}
}

// SetAllFailing makes all targets fail all requests, or none if failing is false.
func (f *Fleet) SetAllFailing(failing bool) {
	for i := range f.targets {
		f.SetFailing(i, failing)
	}
}

// scheduleArrivals starts calls until the given time. The gaps between calls are
// distributed exponentially.
func (f *Fleet) scheduleArrivals(until time.Time) {
	rate := f.load * targets * slots / meanServiceTime.Seconds()
	gap := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.loop.after(gap, func() {
		if f.loop.clock.Now().After(until) {
			return
		}
		f.call()
		f.scheduleArrivals(until)
	})
}

// networkDelay returns the one-way delay between two data centres.
func networkDelay(a, b int) time.Duration {
	if a == b {
		return intraDCDelay
	}
	return interDCDelay
}

// capacity returns the number of concurrent requests that the target runs at full
// speed.
func (t *target) capacity() int {
	age := t.fleet.loop.clock.Now().Sub(t.coldSince)
	return min(slots, 1+int(age/t.fleet.slotWarmup))
}

// run is the processing of a request at a target.
type run struct {
	target *target
	call   *call
	start  time.Time
	// duration is set when the run is done.
	duration time.Duration
	done     bool
	// onEnd is called once with the outcome of the run.
	onEnd func(o limiter.Outcome)
}

// start starts to process a request. A target with more requests than its capacity
// is slower.
func (t *target) start(c *call, onEnd func(limiter.Outcome)) *run {
	f := t.fleet
	r := &run{
		target: t,
		call:   c,
		start:  f.loop.clock.Now(),
		onEnd:  onEnd,
	}
	t.running++
	c.runs++
	capacity := t.capacity()
	if c.measured && capacity < slots {
		f.result.ColdStarts++
		if t.running > capacity {
			f.result.ColdOverCapacity++
		}
	}
	duration := c.work * time.Duration(max(capacity, t.running)) / time.Duration(capacity)
	if t.failing {
		duration = failureTime
	}
	f.loop.after(duration, func() { r.end(limiter.Outcome{Failed: t.failing}) })
	return r
}

// end ends a run. Further calls have no effect.
func (r *run) end(o limiter.Outcome) {
	if r.done {
		return
	}
	r.done = true
	r.target.running--
	r.duration = r.target.fleet.loop.clock.Now().Sub(r.start)
	o.Duration = r.duration
	if r.call.measured {
		r.target.fleet.result.TotalWork += o.Duration
	}
	r.onEnd(o)
}
