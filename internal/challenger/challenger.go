// Package challenger simulates admission, load balancing and retries on a virtual
// clock, and compares them with a baseline on the same arrivals. The arrivals are
// drawn from a seed.
//
// Only calls, targets and network delays are modelled. The decisions are made by the
// limiter, balancer and retrier that a daemon uses.
package challenger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Case is a load with a sequence of events.
type Case struct {
	// Name is short, for tables.
	Name string
	// Load is the call rate as a fraction of the capacity of all targets when
	// they are warm.
	Load float64
	// InitialTargets is the number of targets at the start. The others join in an
	// event. Zero means all.
	InitialTargets int
	// Events happen at times relative to the start of the measurement.
	Events []Event
	// SlotWarmup is the time in which a cold target gains the capacity for one
	// more concurrent request; zero means slotWarmup.
	SlotWarmup time.Duration
	// CallTimeout is the timeout of a call; zero means callTimeout.
	CallTimeout time.Duration
	// Measured limits the counted calls to those that start within this time after
	// the start of the measurement. Zero means all calls of the measurement.
	Measured time.Duration
}

// Event is a change to the fleet.
type Event struct {
	At time.Duration
	Do func(f *Fleet)
}

// Policy defines how calls are admitted, sent and retried.
type Policy struct {
	// Name is short, for tables.
	Name string
	// Baseline selects the baseline: round robin, up to three retries of any
	// failed call, no admission.
	Baseline bool
	// MaxQueued is the maximum number of requests that wait at a target.
	MaxQueued int
	// Replicas is the number of targets to which each attempt of an idempotent
	// call is sent; zero means one.
	Replicas int
	// CancelDelay is the delay from the start of one replica until the others
	// are cancelled.
	CancelDelay time.Duration
	// QueueTimeout returns the queue timeout of a request, given the time left
	// until its deadline. If it is nil, the limiter sets the timeout.
	QueueTimeout func(random *rand.Rand, left time.Duration) time.Duration
}

// Result contains the measurements of a case under a policy.
type Result struct {
	Case   string
	Policy string
	// Calls is the number of calls. InTime is the number of those with a
	// complete response before the deadline.
	Calls  int
	InTime int
	// Latencies contains the latencies of those responses.
	Latencies []time.Duration
	// NotRun is the number of calls that were rejected with the verdict NotRun.
	NotRun int
	// Attempts is the number of attempts that were sent to targets' VMs.
	Attempts int
	// ColdOverCapacity is the number of requests that cold targets started beyond
	// their current capacity. ColdStarts is the number of all requests that
	// they started.
	ColdOverCapacity int
	ColdStarts       int
	// RepeatedRuns is the number of non-idempotent calls that ran more than once.
	RepeatedRuns int
	// WrongNotRun is the number of calls with the verdict NotRun that have run.
	WrongNotRun int
	// TotalWork is the total processing time of targets. UsefulWork is the part of it
	// that led to responses before the deadline.
	TotalWork  time.Duration
	UsefulWork time.Duration
}

// Share returns the fraction of calls with a complete response in time.
func (r Result) Share() float64 { return float64(r.InTime) / float64(r.Calls) }

// Amplification returns the number of attempts per call.
func (r Result) Amplification() float64 { return float64(r.Attempts) / float64(r.Calls) }

// Waste returns the fraction of the targets' processing time that did not lead to a
// response in time.
func (r Result) Waste() float64 {
	if r.TotalWork == 0 {
		return 0
	}
	return 1 - float64(r.UsefulWork)/float64(r.TotalWork)
}

// P99 returns the 99th percentile of the latencies of responses in time.
func (r Result) P99() time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Latencies))
	return sorted[len(sorted)*99/100]
}

// Plus returns the sum of two results. Case and Policy are those of r.
func (r Result) Plus(o Result) Result {
	r.Calls += o.Calls
	r.InTime += o.InTime
	r.Latencies = slices.Concat(r.Latencies, o.Latencies)
	r.NotRun += o.NotRun
	r.Attempts += o.Attempts
	r.ColdOverCapacity += o.ColdOverCapacity
	r.ColdStarts += o.ColdStarts
	r.RepeatedRuns += o.RepeatedRuns
	r.WrongNotRun += o.WrongNotRun
	r.TotalWork += o.TotalWork
	r.UsefulWork += o.UsefulWork
	return r
}

// Table returns the results as a Markdown table.
func Table(results []Result) string {
	var b strings.Builder
	b.WriteString("| case | policy | calls | in time | p99 ms | refused not run | tries a call | cold starts | of them over capacity | once run twice | untrue | work wasted |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %d | %.4f | %.0f | %.4f | %.3f | %d | %d | %d | %d | %.3f |\n",
			r.Case, r.Policy, r.Calls, r.Share(), r.P99().Seconds()*1000, float64(r.NotRun)/float64(r.Calls), r.Amplification(),
			r.ColdStarts, r.ColdOverCapacity, r.RepeatedRuns, r.WrongNotRun, r.Waste())
	}
	return b.String()
}

// Parameters of the model. They correspond to the larger of the existing
// sites.
const (
	targets = 10
	slots   = 10
	// maxBaselineRequests is the maximum number of concurrent requests at a target
	// under the baseline policy.
	maxBaselineRequests = 130
	dataCentres         = 3
	// entries is the number of daemons that receive calls.
	entries = 12
	// interDCDelay is the one-way network delay between data centres, and
	// intraDCDelay the one-way delay within a data centre.
	interDCDelay = time.Millisecond
	intraDCDelay = 100 * time.Microsecond
	// meanServiceTime is the mean of the exponentially distributed processing
	// times.
	meanServiceTime = 100 * time.Millisecond
	// callTimeout is the timeout of a call.
	callTimeout = time.Second
	// nonIdempotentShare is the fraction of calls that are non-idempotent.
	nonIdempotentShare = 0.2
	// slotWarmup is the time in which a cold target gains the capacity for one
	// more concurrent request.
	slotWarmup = 800 * time.Millisecond
	// failureTime is the time until a failing target fails a request.
	failureTime = time.Millisecond
	// warmupTime is the time before the measurement. All limiters are cold at
	// its start.
	warmupTime = 12 * time.Second
	// measurement is the duration of the measurement of a case.
	measurement = 10 * time.Second
)

// RunSeeds runs a case under a policy with the seeds from 1 to n and returns the sum
// of the results.
func RunSeeds(c Case, p Policy, n uint64) Result {
	r := Run(c, p, 1)
	for seed := uint64(2); seed <= n; seed++ {
		r = r.Plus(Run(c, p, seed))
	}
	return r
}

// Run runs a case under a policy with one seed.
func Run(c Case, p Policy, seed uint64) Result {
	f := newFleet(c, p, seed)
	start := f.loop.clock.Now().Add(warmupTime)
	for _, e := range c.Events {
		f.loop.at(start.Add(e.At), func() { e.Do(f) })
	}
	measured := c.Measured
	if measured == 0 {
		measured = measurement
	}
	f.measuredFrom, f.measuredUntil = start, start.Add(measured)
	f.scheduleArrivals(start.Add(measurement))
	f.loop.run()
	return f.result
}
