package admitter_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// rig is a gate on a virtual clock.
type rig struct {
	*admitter.Gate
	clock  *timekeeper.Virtual
	closed bool
}

func newRig(t admitter.Target) *rig {
	r := &rig{clock: timekeeper.NewVirtual(time.Unix(1000, 0))}
	r.Gate = &admitter.Gate{
		Clock:  r.clock,
		Closed: func(admitter.Target) bool { return r.closed },
	}
	r.Announce(t)
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

// ask returns a request with a second left.
func (r *rig) ask() admitter.Ask {
	return admitter.Ask{
		Instance: "i-1",
		Rule:     "status",
		Rank:     2,
		Deadline: r.clock.Now().Add(time.Second),
		// Objectives are far off where a test isn't about them.
		Objective: r.clock.Now().Add(time.Hour),
	}
}

func (r *rig) enter(a admitter.Ask) error { return r.Enter(context.Background(), a) }

// queue lets a request wait and returns where its answer comes.
func (r *rig) queue(t *testing.T, a admitter.Ask) chan error {
	t.Helper()
	a.Patience = time.Hour
	queued := r.Load("").Queued
	answer := make(chan error, 1)
	go func() { answer <- r.enter(a) }()
	for range 10000 {
		if r.Load("").Queued != queued || len(answer) > 0 {
			return answer
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("neither queued nor answered")
	return nil
}

func TestRefusals(t *testing.T) {
	leaving := target()
	leaving.Leaving = true
	for name, test := range map[string]struct {
		target admitter.Target
		closed bool
		busy   int
		change func(*admitter.Ask)
		want   error
	}{
		"free":             {target: target()},
		"other start":      {target: target(), change: func(a *admitter.Ask) { a.Instance = "i-0" }, want: admitter.ErrUnknown},
		"leaving":          {target: leaving, want: admitter.ErrLeaving},
		"closed":           {target: target(), closed: true, want: admitter.ErrClosed},
		"busy":             {target: target(), busy: 2, want: admitter.ErrBusy},
		"too little time":  {target: target(), change: func(a *admitter.Ask) { a.Deadline = a.Deadline.Add(-990 * time.Millisecond) }, want: admitter.ErrShort},
		"no time to queue": {target: target(), busy: 2, change: func(a *admitter.Ask) { a.Patience = time.Hour; a.Deadline = a.Deadline.Add(-930 * time.Millisecond) }, want: admitter.ErrBusy},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(test.target)
			r.closed = test.closed
			for range test.busy {
				if err := r.enter(r.ask()); err != nil {
					t.Fatal(err)
				}
			}
			a := r.ask()
			if test.change != nil {
				test.change(&a)
			}
			err := r.enter(a)
			if !errors.Is(err, test.want) {
				t.Fatalf("%v, want %v", err, test.want)
			}
			if err != nil && classifier.Of(err) != classifier.NotRun {
				t.Errorf("a refusal with the verdict %v", classifier.Of(err))
			}
		})
	}
}

// TestColdRate counts what a cold target is handed in every second.
func TestColdRate(t *testing.T) {
	cold := target()
	cold.Cold = 3 * time.Second
	cold.Slots = 100
	r := newRig(cold)
	var sent []time.Time
	for range 290 {
		if err := r.enter(r.ask()); err == nil {
			sent = append(sent, r.clock.Now())
			r.Leave("status", admitter.Outcome{Duration: 10 * time.Millisecond})
		}
		r.clock.Advance(10 * time.Millisecond)
	}
	for i, first := range sent {
		n := 0
		for _, s := range sent[i:] {
			if s.Sub(first) < time.Second {
				n++
			}
		}
		if n > 5 {
			t.Fatalf("%d requests in a second from %v, want at most 5", n, first)
		}
	}
	if len(sent) < 14 {
		t.Errorf("%d requests in 2.9 s, want 5 a second", len(sent))
	}
	r.clock.Advance(200 * time.Millisecond)
	for range 50 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatalf("warm: %v", err)
		}
	}
}

// TestDoubtedTargetIsCold covers a target that may have been started anew: what
// it got before counts too.
func TestDoubtedTargetIsCold(t *testing.T) {
	many := target()
	many.Slots = 100
	r := newRig(many)
	for range 20 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
	}
	r.Doubt()
	if err := r.enter(r.ask()); !errors.Is(err, admitter.ErrCold) {
		t.Errorf("doubted: %v", err)
	}
	r.Announce(many)
	if err := r.enter(r.ask()); err != nil {
		t.Errorf("announced again: %v", err)
	}
}

// TestQueueIsRefusedOnLeave looks again at the moment of sending.
func TestQueueIsRefusedOnLeave(t *testing.T) {
	for name, change := range map[string]func(*rig){
		"leaving": func(r *rig) {
			leaving := target()
			leaving.Leaving = true
			r.Announce(leaving)
		},
		"closed": func(r *rig) {
			r.closed = true
			r.Recheck()
		},
		"started anew": func(r *rig) {
			next := target()
			next.Instance = "i-2"
			r.Announce(next)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(target())
			for range 2 {
				if err := r.enter(r.ask()); err != nil {
					t.Fatal(err)
				}
			}
			answer := r.queue(t, r.ask())
			change(r)
			if err := <-answer; classifier.Of(err) != classifier.NotRun || err == nil {
				t.Errorf("%v, want a refusal", err)
			}
			r.Leave("status", admitter.Outcome{})
			if n := r.Running(); n != 1 {
				t.Errorf("%d running, want 1", n)
			}
		})
	}
}

func TestRankGoesFirst(t *testing.T) {
	r := newRig(target())
	for range 2 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
	}
	low := r.queue(t, r.ask())
	urgent := r.ask()
	urgent.Rank = 1
	high := r.queue(t, urgent)
	r.Leave("status", admitter.Outcome{Duration: 10 * time.Millisecond})
	if err := <-high; err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-low:
		t.Fatalf("the lower rank was answered too: %v", err)
	default:
	}
	r.Leave("status", admitter.Outcome{Duration: 10 * time.Millisecond})
	if err := <-low; err != nil {
		t.Error(err)
	}
}

// TestRankGoesBeforeAFullQueue refuses the last of the lower ranks.
func TestRankGoesBeforeAFullQueue(t *testing.T) {
	r := newRig(target())
	long := r.ask()
	long.Deadline = r.clock.Now().Add(time.Minute)
	for range 2 {
		if err := r.enter(long); err != nil {
			t.Fatal(err)
		}
	}
	var low []chan error
	for range 8 {
		low = append(low, r.queue(t, long))
	}
	full := long
	full.Patience = time.Hour
	if err := r.enter(full); !errors.Is(err, admitter.ErrBusy) {
		t.Fatalf("full: %v", err)
	}
	urgent := long
	urgent.Rank = 1
	urgent.Patience = time.Hour
	high := make(chan error, 1)
	go func() { high <- r.enter(urgent) }()
	if err := <-low[7]; !errors.Is(err, admitter.ErrBusy) {
		t.Errorf("last of the lower rank: %v", err)
	}
	r.Leave("status", admitter.Outcome{Duration: time.Millisecond})
	if err := <-high; err != nil {
		t.Errorf("urgent: %v", err)
	}
}

func TestGoneClientLeavesTheQueue(t *testing.T) {
	r := newRig(target())
	for range 2 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
	}
	a := r.ask()
	a.Patience = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	answer := make(chan error, 1)
	go func() { answer <- r.Enter(ctx, a) }()
	for r.Load("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-answer; !errors.Is(err, admitter.ErrGone) {
		t.Errorf("%v", err)
	}
	if n := r.Load("").Queued; n != 0 {
		t.Errorf("%d queued", n)
	}
}

// TestStandingQueueRefusesTheLate lets a burst queue, but not for long.
func TestStandingQueueRefusesTheLate(t *testing.T) {
	r := newRig(target())
	for range 2 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
	}
	late := r.ask()
	late.Deadline = r.clock.Now().Add(time.Minute)
	late.Objective = r.clock.Now().Add(50 * time.Millisecond)
	r.queue(t, late)
	r.queue(t, late)
	r.clock.Advance(300 * time.Millisecond)
	late.Objective = r.clock.Now().Add(50 * time.Millisecond)
	late.Patience = time.Hour
	if err := r.enter(late); !errors.Is(err, admitter.ErrBusy) {
		t.Errorf("late in a standing queue: %v", err)
	}
	timely := late
	timely.Objective = r.clock.Now().Add(time.Second)
	r.queue(t, timely)
	if n := r.Load("").Queued; n != 3 {
		t.Errorf("%d queued, want 3", n)
	}
}

// TestPatience refuses a request that would wait for longer than is worth it.
func TestPatience(t *testing.T) {
	r := newRig(target())
	for range 2 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
	}
	a := r.ask()
	a.Patience = 5 * time.Millisecond
	if err := r.enter(a); !errors.Is(err, admitter.ErrBusy) {
		t.Errorf("impatient: %v", err)
	}
	a.Patience = 100 * time.Millisecond
	go func() { _ = r.enter(a) }()
	for r.Load("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestTurnedAwayTeachesNoServiceTime covers a target that sheds at once: it must
// not look fast.
func TestTurnedAwayTeachesNoServiceTime(t *testing.T) {
	r := newRig(target())
	if err := r.enter(r.ask()); err != nil {
		t.Fatal(err)
	}
	r.Leave("status", admitter.Outcome{Duration: 100 * time.Millisecond})
	for range 20 {
		r.clock.Advance(time.Second) // the gate is shut for less in between
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
		r.Leave("status", admitter.Outcome{Duration: time.Millisecond, TurnedAway: true})
	}
	l := r.Load("status")
	if l.Work != 100*time.Millisecond || l.Failing < 0.5 || l.Faulty != 0 {
		t.Errorf("%+v", l)
	}
}

// TestShutWhileTurningAway lets a target turn requests away and take them again.
func TestShutWhileTurningAway(t *testing.T) {
	away := admitter.Outcome{TurnedAway: true}
	well := admitter.Outcome{Duration: 20 * time.Millisecond}
	r := newRig(target())
	run := func(o admitter.Outcome) error {
		if err := r.enter(r.ask()); err != nil {
			return err
		}
		r.Leave("status", o)
		return nil
	}
	for i, step := range []struct {
		after   time.Duration
		outcome admitter.Outcome
		want    error
	}{
		{outcome: away},
		{outcome: away},
		{outcome: away},
		{outcome: well},
		{outcome: away},
		{outcome: away},
		{outcome: away},
		{outcome: away},
		{want: admitter.ErrShut},
		{after: 49 * time.Millisecond, want: admitter.ErrShut},
		// On trial, and turned away again: shut for twice as long.
		{after: time.Millisecond, outcome: away},
		{after: 99 * time.Millisecond, want: admitter.ErrShut},
		{after: time.Millisecond, outcome: well},
		{outcome: well},
	} {
		r.clock.Advance(step.after)
		if err := run(step.outcome); !errors.Is(err, step.want) || (err == nil) != (step.want == nil) {
			t.Fatalf("step %d: %v, want %v", i, err, step.want)
		}
	}
}

// TestOneRequestOnTrial holds the others back while one is on trial, and tells
// how long to wait.
func TestOneRequestOnTrial(t *testing.T) {
	r := newRig(target())
	for range 4 {
		if err := r.enter(r.ask()); err != nil {
			t.Fatal(err)
		}
		r.Leave("status", admitter.Outcome{TurnedAway: true})
	}
	if wait := r.Load("status").Wait; wait != 50*time.Millisecond {
		t.Errorf("wait %v", wait)
	}
	r.clock.Advance(50 * time.Millisecond)
	if err := r.enter(r.ask()); err != nil {
		t.Fatal(err)
	}
	if err := r.enter(r.ask()); !errors.Is(err, admitter.ErrShut) {
		t.Errorf("second request while one is on trial: %v", err)
	}
	r.Leave("status", admitter.Outcome{Duration: 20 * time.Millisecond})
	if err := r.enter(r.ask()); err != nil {
		t.Error(err)
	}
}
