package admitter_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// harness is a gate with a virtual clock.
type harness struct {
	*admitter.Gate
	clock  *timekeeper.Virtual
	closed bool
	// end is the time at which the process ends.
	end time.Time
}

func newHarness(t admitter.Target) *harness {
	r := &harness{clock: timekeeper.NewVirtual(time.Unix(1000, 0))}
	r.Gate = &admitter.Gate{
		Clock:       r.clock,
		Closed:      func(admitter.Target) bool { return r.closed },
		ServesUntil: func() time.Time { return r.end },
	}
	r.SetTarget(t)
	return r
}

func target() admitter.Target {
	return admitter.Target{
		Instance: "i-1",
		Service:  "renewal",
		Version:  "v1",
		Slots:    2,
		ColdRate: 5,
	}
}

// newRequest returns a request for a slot with a deadline in one second.
func (r *harness) newRequest() admitter.Request {
	return admitter.Request{
		Instance: "i-1",
		Rule:     "status",
		Priority: 2,
		Deadline: r.clock.Now().Add(time.Second),
		// The objective matters only in tests that set it.
		Objective: r.clock.Now().Add(time.Hour),
	}
}

func (r *harness) acquire(req admitter.Request) error { return r.Acquire(context.Background(), req) }

// enqueue starts a request that queues, and returns the channel for its result.
func (r *harness) enqueue(t *testing.T, req admitter.Request) chan error {
	t.Helper()
	req.MaxWait = time.Hour
	queued := r.Load("").Queued
	result := make(chan error, 1)
	go func() { result <- r.acquire(req) }()
	for range 10000 {
		if r.Load("").Queued != queued || len(result) > 0 {
			return result
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("request was neither queued nor admitted nor rejected")
	return nil
}

func TestRejections(t *testing.T) {
	shuttingDown := target()
	shuttingDown.ShuttingDown = true
	for name, test := range map[string]struct {
		target admitter.Target
		closed bool
		busy   int
		change func(*admitter.Request)
		want   error
	}{
		"free slot":        {target: target()},
		"other instance":   {target: target(), change: func(a *admitter.Request) { a.Instance = "i-0" }, want: admitter.ErrUnknownTarget},
		"shutting down":    {target: shuttingDown, want: admitter.ErrShuttingDown},
		"closed":           {target: target(), closed: true, want: admitter.ErrTargetClosed},
		"busy":             {target: target(), busy: 2, want: admitter.ErrBusy},
		"too little time":  {target: target(), change: func(a *admitter.Request) { a.Deadline = a.Deadline.Add(-990 * time.Millisecond) }, want: admitter.ErrDeadline},
		"no time to queue": {target: target(), busy: 2, change: func(a *admitter.Request) { a.MaxWait = time.Hour; a.Deadline = a.Deadline.Add(-930 * time.Millisecond) }, want: admitter.ErrBusy},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(test.target)
			r.closed = test.closed
			for range test.busy {
				if err := r.acquire(r.newRequest()); err != nil {
					t.Fatal(err)
				}
			}
			a := r.newRequest()
			if test.change != nil {
				test.change(&a)
			}
			err := r.acquire(a)
			if !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if err != nil && classifier.VerdictOf(err) != classifier.NotRun {
				t.Errorf("rejection with verdict %v, want NotRun", classifier.VerdictOf(err))
			}
		})
	}
}

// TestColdRateAfterRestart guards against a cold target that gets more requests in a second
// than it can take because its daemon has restarted and does not know what it has admitted.
func TestColdRateAfterRestart(t *testing.T) {
	cold := target()
	cold.WarmupLeft = 3 * time.Second
	cold.Slots = 100
	before := newHarness(cold)
	n := 0
	for before.acquire(before.newRequest()) == nil {
		n++
	}
	after := newHarness(cold)
	after.Since = after.clock.Now()
	for range 99 {
		if after.acquire(after.newRequest()) == nil {
			n++
		}
		after.clock.Advance(10 * time.Millisecond)
	}
	if n > 5 {
		t.Errorf("%d requests in a second around the restart, want at most 5", n)
	}
	after.clock.Advance(100 * time.Millisecond)
	if err := after.acquire(after.newRequest()); err != nil {
		t.Errorf("a second after the restart: error %v, want nil", err)
	}
}

// TestColdRate checks that a cold target gets no more requests than its ColdRate
// in any second.
func TestColdRate(t *testing.T) {
	cold := target()
	cold.WarmupLeft = 3 * time.Second
	cold.Slots = 100
	r := newHarness(cold)
	var admittedAt []time.Time
	for range 290 {
		if err := r.acquire(r.newRequest()); err == nil {
			admittedAt = append(admittedAt, r.clock.Now())
			r.Release("status", admitter.Outcome{Duration: 10 * time.Millisecond})
		}
		r.clock.Advance(10 * time.Millisecond)
	}
	for i, first := range admittedAt {
		n := 0
		for _, s := range admittedAt[i:] {
			if s.Sub(first) < time.Second {
				n++
			}
		}
		if n > 5 {
			t.Fatalf("%d requests in a second from %v, want at most 5", n, first)
		}
	}
	if len(admittedAt) < 14 {
		t.Errorf("%d requests admitted in 2.9 s, want at least 14", len(admittedAt))
	}
	r.clock.Advance(200 * time.Millisecond)
	for range 50 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatalf("warm target: error %v, want nil", err)
		}
	}
}

// TestLimit checks that a target gets the number of requests per second of its rate limit,
// fractions included, and no more.
func TestLimit(t *testing.T) {
	for _, limit := range []float64{0.01, 0.5, 1.9, 43.7} {
		manySlots := target()
		manySlots.Slots = 100
		r := newHarness(manySlots)
		if !r.SetLimit(manySlots.Instance, limit) || r.SetLimit(manySlots.Instance, limit) {
			t.Errorf("limit %v: SetLimit did not report just the first change", limit)
		}
		if r.SetLimit("another", 1) {
			t.Error("limit of another instance taken over")
		}
		const length = 20 * time.Second
		admitted := 0
		for range length / time.Millisecond {
			if err := r.acquire(r.newRequest()); err == nil {
				admitted++
				r.Release("status", admitter.Outcome{Duration: time.Millisecond})
			} else if !errors.Is(err, admitter.ErrLimited) {
				t.Fatalf("limit %v: error %v, want ErrLimited", limit, err)
			}
			r.clock.Advance(time.Millisecond)
		}
		want := max(limit, 0.25) * length.Seconds()
		if float64(admitted) > want+max(1, limit) || float64(admitted) < want-1 {
			t.Errorf("limit %v: %d requests admitted in %v, want about %.0f", limit, admitted, length, want)
		}
	}
}

// TestHugeLimitIsNoBound guards against a limit that does not fit into an integer.
func TestHugeLimitIsNoBound(t *testing.T) {
	manySlots := target()
	manySlots.Slots = 100
	r := newHarness(manySlots)
	r.SetLimit(manySlots.Instance, math.MaxFloat64)
	for range 50 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSuspectedColdTarget checks that the cold rate applies to a target that may
// have restarted, and that requests admitted earlier count against it.
func TestSuspectedColdTarget(t *testing.T) {
	manySlots := target()
	manySlots.Slots = 100
	r := newHarness(manySlots)
	for range 20 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
	}
	r.SuspectCold()
	if err := r.acquire(r.newRequest()); !errors.Is(err, admitter.ErrCold) {
		t.Errorf("suspected cold: error %v, want ErrCold", err)
	}
	r.SetTarget(manySlots)
	if err := r.acquire(r.newRequest()); err != nil {
		t.Errorf("after the next announcement: error %v, want nil", err)
	}
}

// TestQueueIsRejectedOnChange checks that queued requests are rejected when the
// target shuts down, is closed or restarts.
func TestQueueIsRejectedOnChange(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"shutting down": func(r *harness) {
			shuttingDown := target()
			shuttingDown.ShuttingDown = true
			r.SetTarget(shuttingDown)
		},
		"closed": func(r *harness) {
			r.closed = true
			r.CheckQueue()
		},
		"daemon stops": func(r *harness) {
			r.end = r.newRequest().Deadline.Add(-time.Millisecond)
			r.CheckQueue()
		},
		"restarted": func(r *harness) {
			next := target()
			next.Instance = "i-2"
			r.SetTarget(next)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(target())
			for range 2 {
				if err := r.acquire(r.newRequest()); err != nil {
					t.Fatal(err)
				}
			}
			result := r.enqueue(t, r.newRequest())
			change(r)
			if err := <-result; classifier.VerdictOf(err) != classifier.NotRun || err == nil {
				t.Errorf("error %v, want a rejection", err)
			}
			r.Release("status", admitter.Outcome{})
			if n := r.Running(); n != 1 {
				t.Errorf("%d running, want 1", n)
			}
		})
	}
}

// TestNoRequestIsAdmittedThatMayOutlastTheDaemon guards against requests that are cut at
// the end of a graceful shutdown.
func TestNoRequestIsAdmittedThatMayOutlastTheDaemon(t *testing.T) {
	r := newHarness(target())
	r.end = r.newRequest().Deadline
	if err := r.acquire(r.newRequest()); err != nil {
		t.Errorf("request with its deadline at the end: %v, want it admitted", err)
	}
	r.clock.Advance(time.Millisecond)
	if err := r.acquire(r.newRequest()); err != admitter.ErrStopping {
		t.Errorf("request with a later deadline: %v, want %v", err, admitter.ErrStopping)
	}
}

func TestPriority(t *testing.T) {
	r := newHarness(target())
	for range 2 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
	}
	low := r.enqueue(t, r.newRequest())
	urgent := r.newRequest()
	urgent.Priority = 1
	high := r.enqueue(t, urgent)
	r.Release("status", admitter.Outcome{Duration: 10 * time.Millisecond})
	if err := <-high; err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-low:
		t.Fatalf("the request with the lower priority was admitted or rejected too: error %v", err)
	default:
	}
	r.Release("status", admitter.Outcome{Duration: 10 * time.Millisecond})
	if err := <-low; err != nil {
		t.Error(err)
	}
}

// TestPriorityWithFullQueue checks that a full queue drops its last request for
// one of a higher priority.
func TestPriorityWithFullQueue(t *testing.T) {
	r := newHarness(target())
	long := r.newRequest()
	long.Deadline = r.clock.Now().Add(time.Minute)
	for range 2 {
		if err := r.acquire(long); err != nil {
			t.Fatal(err)
		}
	}
	var low []chan error
	for range 8 {
		low = append(low, r.enqueue(t, long))
	}
	full := long
	full.MaxWait = time.Hour
	if err := r.acquire(full); !errors.Is(err, admitter.ErrBusy) {
		t.Fatalf("full queue: error %v, want ErrBusy", err)
	}
	urgent := long
	urgent.Priority = 1
	urgent.MaxWait = time.Hour
	high := make(chan error, 1)
	go func() { high <- r.acquire(urgent) }()
	if err := <-low[7]; !errors.Is(err, admitter.ErrBusy) {
		t.Errorf("last request with the lower priority: error %v, want ErrBusy", err)
	}
	r.Release("status", admitter.Outcome{Duration: time.Millisecond})
	if err := <-high; err != nil {
		t.Errorf("request with the higher priority: error %v, want nil", err)
	}
}

func TestCancelWhileQueued(t *testing.T) {
	r := newHarness(target())
	for range 2 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
	}
	req := r.newRequest()
	req.MaxWait = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- r.Acquire(ctx, req) }()
	for r.Load("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-result; !errors.Is(err, admitter.ErrCanceled) {
		t.Errorf("error %v, want ErrCanceled", err)
	}
	if n := r.Load("").Queued; n != 0 {
		t.Errorf("%d queued, want 0", n)
	}
}

// TestStandingQueueRejectsLate checks that requests that would miss their
// objective are rejected when the queue has been non-empty for longer than a
// burst.
func TestStandingQueueRejectsLate(t *testing.T) {
	r := newHarness(target())
	for range 2 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
	}
	late := r.newRequest()
	late.Deadline = r.clock.Now().Add(time.Minute)
	late.Objective = r.clock.Now().Add(50 * time.Millisecond)
	r.enqueue(t, late)
	r.enqueue(t, late)
	r.clock.Advance(300 * time.Millisecond)
	late.Objective = r.clock.Now().Add(50 * time.Millisecond)
	late.MaxWait = time.Hour
	if err := r.acquire(late); !errors.Is(err, admitter.ErrBusy) {
		t.Errorf("late request in a standing queue: error %v, want ErrBusy", err)
	}
	timely := late
	timely.Objective = r.clock.Now().Add(time.Second)
	r.enqueue(t, timely)
	if n := r.Load("").Queued; n != 3 {
		t.Errorf("%d queued, want 3", n)
	}
}

// TestQueueTimeout checks that a request is rejected if its expected wait
// exceeds its queue timeout.
func TestQueueTimeout(t *testing.T) {
	r := newHarness(target())
	for range 2 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
	}
	req := r.newRequest()
	req.MaxWait = 5 * time.Millisecond
	if err := r.acquire(req); !errors.Is(err, admitter.ErrBusy) {
		t.Errorf("queue timeout of 5 ms: error %v, want ErrBusy", err)
	}
	req.MaxWait = 100 * time.Millisecond
	go func() { _ = r.acquire(req) }()
	for r.Load("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestNotRunKeepsServiceTime checks that requests that a target does not run
// do not lower its mean service time: otherwise a target that sheds
// load at once would look fast.
func TestNotRunKeepsServiceTime(t *testing.T) {
	r := newHarness(target())
	if err := r.acquire(r.newRequest()); err != nil {
		t.Fatal(err)
	}
	r.Release("status", admitter.Outcome{Duration: 100 * time.Millisecond})
	for range 20 {
		r.clock.Advance(time.Second) // longer than the breaker stays open
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
		r.Release("status", admitter.Outcome{Duration: time.Millisecond, NotRun: true})
	}
	l := r.Load("status")
	if l.ServiceTime != 100*time.Millisecond || l.FailureRate < 0.5 || l.FaultRate != 0 {
		t.Errorf("load %+v, want a service time of 100ms, a failure rate of at least 0.5 and a fault rate of 0", l)
	}
}

// TestBreaker opens the breaker with requests that the target does not run, and
// closes it again.
func TestBreaker(t *testing.T) {
	notRun := admitter.Outcome{NotRun: true}
	succeeded := admitter.Outcome{Duration: 20 * time.Millisecond}
	r := newHarness(target())
	run := func(o admitter.Outcome) error {
		if err := r.acquire(r.newRequest()); err != nil {
			return err
		}
		r.Release("status", o)
		return nil
	}
	for i, step := range []struct {
		after   time.Duration
		outcome admitter.Outcome
		want    error
	}{
		{outcome: notRun},
		{outcome: notRun},
		{outcome: notRun},
		{outcome: succeeded},
		{outcome: notRun},
		{outcome: notRun},
		{outcome: notRun},
		{outcome: notRun},
		{want: admitter.ErrBreakerOpen},
		{after: 49 * time.Millisecond, want: admitter.ErrBreakerOpen},
		// The probe fails: the breaker stays open for twice as long.
		{after: time.Millisecond, outcome: notRun},
		{after: 99 * time.Millisecond, want: admitter.ErrBreakerOpen},
		{after: time.Millisecond, outcome: succeeded},
		{outcome: succeeded},
	} {
		r.clock.Advance(step.after)
		if err := run(step.outcome); !errors.Is(err, step.want) || (err == nil) != (step.want == nil) {
			t.Fatalf("step %d: error %v, want %v", i, err, step.want)
		}
	}
}

// TestBreakerProbe checks that a half-open breaker admits one request at a time,
// and that Load returns the time until the probe.
func TestBreakerProbe(t *testing.T) {
	r := newHarness(target())
	for range 4 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatal(err)
		}
		r.Release("status", admitter.Outcome{NotRun: true})
	}
	if wait := r.Load("status").ReopenAfter; wait != 50*time.Millisecond {
		t.Errorf("ReopenAfter %v, want 50ms", wait)
	}
	r.clock.Advance(50 * time.Millisecond)
	if err := r.acquire(r.newRequest()); err != nil {
		t.Fatal(err)
	}
	if err := r.acquire(r.newRequest()); !errors.Is(err, admitter.ErrBreakerOpen) {
		t.Errorf("second request during a probe: error %v, want ErrBreakerOpen", err)
	}
	r.Release("status", admitter.Outcome{Duration: 20 * time.Millisecond})
	if err := r.acquire(r.newRequest()); err != nil {
		t.Error(err)
	}
}

// TestColdTargetWithoutBound guards against cold targets that get one request per second
// although operators declare no bound for them. After a power loss all targets are cold.
func TestColdTargetWithoutBound(t *testing.T) {
	cold := target()
	cold.WarmupLeft = 3 * time.Second
	cold.ColdRate = 0
	r := newHarness(cold)
	for i := range 20 {
		if err := r.acquire(r.newRequest()); err != nil {
			t.Fatalf("request %d: error %v, want nil", i, err)
		}
		r.Release("status", admitter.Outcome{Duration: 10 * time.Millisecond})
		r.clock.Advance(10 * time.Millisecond)
	}
	r.SetColdRate(5)
	if err := r.acquire(r.newRequest()); !errors.Is(err, admitter.ErrCold) {
		t.Errorf("with a bound: error %v, want %v", err, admitter.ErrCold)
	}
	r.SetColdRate(0)
	r.SetLimit("i-1", 2)
	if err := r.acquire(r.newRequest()); !errors.Is(err, admitter.ErrLimited) {
		t.Errorf("with a limit of the target: error %v, want %v", err, admitter.ErrLimited)
	}
}

// TestQueueOrder checks the order in which requests of one service get slots: calls of
// targets, whose work would be lost, then by priority, those in time, and earlier objectives.
// Requests that are not patient keep the order of their arrival.
func TestQueueOrder(t *testing.T) {
	for name, test := range map[string]struct{ queue, want []string }{
		"patient":     {queue: []string{"low", "late", "second", "first", "high", "nested"}, want: []string{"nested", "high", "first", "second", "late", "low"}},
		"not patient": {queue: []string{"low", "b", "a", "high"}, want: []string{"high", "b", "a", "low"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(target())
			for range target().Slots {
				if err := r.acquire(r.newRequest()); err != nil {
					t.Fatal(err)
				}
			}
			requests := map[string]func(*admitter.Request){
				"low":    func(a *admitter.Request) { a.Priority = 3 },
				"high":   func(a *admitter.Request) { a.Priority = 1 },
				"late":   func(a *admitter.Request) { a.Patient, a.Late = true, true },
				"first":  func(a *admitter.Request) { a.Patient, a.Objective = true, a.Objective.Add(-time.Minute) },
				"second": func(a *admitter.Request) { a.Patient = true },
				"nested": func(a *admitter.Request) { a.Nested, a.Priority = true, 4 },
				"b":      func(*admitter.Request) {},
				"a":      func(a *admitter.Request) { a.Objective = a.Objective.Add(-time.Minute) },
			}
			results := map[string]chan error{}
			for _, name := range test.queue {
				a := r.newRequest()
				a.Deadline = a.Deadline.Add(time.Hour)
				requests[name](&a)
				results[name] = r.enqueue(t, a)
			}
			for _, want := range test.want {
				r.Release("status", admitter.Outcome{Duration: time.Millisecond})
				select {
				case err := <-results[want]:
					if err != nil {
						t.Fatalf("%s: error %v", want, err)
					}
				case <-time.After(10 * time.Second):
					t.Fatalf("%s is not next", want)
				}
			}
		})
	}
}
