package limiter_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// fixture is a limiter on a virtual clock that records the results of its
// requests.
type fixture struct {
	clock   *timekeeper.Virtual
	limiter *limiter.Limiter
	running []*limiter.Ticket
	refused []error
}

func newFixture(slots, queue int) *fixture {
	clock := timekeeper.NewVirtual(start)
	return &fixture{
		clock: clock,
		limiter: limiter.New(limiter.Options{
			Slots:     slots,
			MaxQueued: queue,
			Clock:     clock,
		}),
	}
}

// submit requests a slot with the given time before the deadline; 0 means no
// deadline.
func (f *fixture) submit(left time.Duration) {
	r := &limiter.Request{OnResult: func(t *limiter.Ticket, err error) {
		if err != nil {
			f.refused = append(f.refused, err)
			return
		}
		f.running = append(f.running, t)
	}}
	if left > 0 {
		r.Deadline = f.clock.Now().Add(left)
	}
	f.limiter.Submit(r)
}

// finish ends the running request that was granted first.
func (f *fixture) finish(o limiter.Outcome) {
	t := f.running[0]
	f.running = f.running[1:]
	t.Done(o)
}

// serve completes at least n requests in rounds that use the whole allowance.
func (f *fixture) serve(n int, o limiter.Outcome) {
	for n > 0 {
		for f.limiter.Headroom() > 0 {
			f.submit(0)
		}
		f.clock.Advance(o.Duration)
		for len(f.running) > 0 {
			f.finish(o)
			n--
		}
	}
}

// warm completes 2000 successful requests to raise the allowance to all slots.
func (f *fixture) warm() {
	f.serve(2000, limiter.Outcome{Duration: 20 * time.Millisecond})
}

func ExampleLimiter_Submit() {
	clock := timekeeper.NewVirtual(start)
	l := limiter.New(limiter.Options{
		Slots:     10,
		MaxQueued: 1,
		Clock:     clock,
	})
	for range 3 {
		l.Submit(&limiter.Request{OnResult: func(_ *limiter.Ticket, err error) {
			fmt.Println("granted:", err == nil, "not run:", classifier.VerdictOf(err) == classifier.NotRun)
		}})
	}
	// Output:
	// granted: true not run: false
	// granted: false not run: true
}

func TestAllowanceGrowsToSlots(t *testing.T) {
	f := newFixture(10, 0)
	if got := f.limiter.Allowance(); got != 1 {
		t.Fatalf("allowance of a cold target: %d, want 1", got)
	}
	last := 1
	for range 600 {
		f.serve(1, limiter.Outcome{Duration: 20 * time.Millisecond})
		got := f.limiter.Allowance()
		if got < last || got > last+max(1, last/4) {
			t.Fatalf("allowance changed from %d to %d in one round, want no decrease and an increase of at most one slot or a quarter", last, got)
		}
		last = got
	}
	if last != 10 {
		t.Errorf("allowance after 600 rounds: %d, want 10", last)
	}
}

func TestUnusedAllowanceDoesNotGrow(t *testing.T) {
	f := newFixture(10, 0)
	for range 1000 {
		f.submit(0)
		f.clock.Advance(20 * time.Millisecond)
		f.finish(limiter.Outcome{Duration: 20 * time.Millisecond})
	}
	if got := f.limiter.Allowance(); got > 3 {
		t.Errorf("allowance after one request at a time: %d, want at most 3", got)
	}
}

func TestJumpResetsAllowance(t *testing.T) {
	tests := []struct {
		name    string
		outcome limiter.Outcome
		rounds  int
		cold    bool
	}{
		{"unchanged", limiter.Outcome{Duration: 20 * time.Millisecond}, 500, false},
		{"1.5 times slower", limiter.Outcome{Duration: 30 * time.Millisecond}, 500, false},
		{"eight times slower", limiter.Outcome{Duration: 160 * time.Millisecond}, 20, true},
		{"failing", limiter.Outcome{Failed: true, Duration: time.Millisecond}, 10, true},
		{"no response before timeout", limiter.Outcome{Failed: true, Aborted: true, Duration: time.Second}, 10, true},
		{"cancelled early by callers", limiter.Outcome{Aborted: true, Duration: time.Millisecond}, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(10, 0)
			f.warm()
			lowest := 10
			for range tt.rounds {
				f.serve(1, tt.outcome)
				lowest = min(lowest, f.limiter.Allowance())
			}
			if cold := lowest == 1; cold != tt.cold {
				t.Errorf("lowest allowance %d, want cold %v", lowest, tt.cold)
			}
		})
	}
}

func TestStallResetsAllowanceBeforeCompletion(t *testing.T) {
	f := newFixture(10, 1)
	f.warm()
	warm := f.limiter.Allowance()
	for f.limiter.Headroom() > 0 {
		f.submit(0)
	}
	f.clock.Advance(40 * time.Millisecond)
	f.submit(0)
	if got := f.limiter.Allowance(); got != warm || warm < 9 {
		t.Fatalf("allowance with requests running for twice the service time: %d, want it unchanged at %d, and at least 9", got, warm)
	}
	f.clock.Advance(160 * time.Millisecond)
	f.submit(0)
	if got := f.limiter.Allowance(); got != 1 {
		t.Errorf("allowance with requests running for ten times the service time: %d, want 1", got)
	}
}

func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	f := newFixture(4, 4)
	f.warm()
	f.submit(0)
	f.submit(10 * time.Millisecond)
	if len(f.refused) != 1 || !errors.Is(f.refused[0], limiter.ErrDeadline) {
		t.Fatalf("deadline in 10 ms with a service time of 20 ms: %v, want ErrDeadline", f.refused)
	}
	for range 3 {
		f.submit(0)
	}
	f.submit(45 * time.Millisecond)
	if len(f.refused) != 1 {
		t.Fatalf("deadline in 45 ms with an expected wait of 5 ms: refused with %v, want no refusal", f.refused[1:])
	}
	f.clock.Advance(30 * time.Millisecond)
	f.finish(limiter.Outcome{Duration: 30 * time.Millisecond})
	if len(f.refused) != 2 || !errors.Is(f.refused[1], limiter.ErrQueueTimeout) {
		t.Errorf("queued until 15 ms before the deadline: %v, want ErrQueueTimeout", f.refused)
	}
}

func TestIdleTargetIgnoresStaleEstimate(t *testing.T) {
	f := newFixture(4, 4)
	f.serve(100, limiter.Outcome{Duration: time.Second})
	f.submit(100 * time.Millisecond)
	if len(f.running) != 1 {
		t.Errorf("an idle target refused a request: %v, want a grant", f.refused)
	}
}

func TestRoutesHaveSeparateEstimates(t *testing.T) {
	f := newFixture(4, 0)
	for range 100 {
		for route, elapsed := range map[string]time.Duration{"/check": 5 * time.Millisecond, "/upload": 2 * time.Second} {
			f.limiter.Submit(&limiter.Request{
				Route:    route,
				OnResult: func(t *limiter.Ticket, _ error) { t.Done(limiter.Outcome{Duration: elapsed}) },
			})
			f.clock.Advance(elapsed)
		}
	}
	f.submit(0)
	f.limiter.Submit(&limiter.Request{
		Route:    "/check",
		Deadline: f.clock.Now().Add(50 * time.Millisecond),
		OnResult: func(_ *limiter.Ticket, err error) {
			if err != nil {
				t.Errorf("deadline in ten times the service time of /check: error %v, want none", err)
			}
		},
	})
}

func TestCloseRefusesQueuedAndKeepsRunning(t *testing.T) {
	f := newFixture(1, 2)
	f.submit(0)
	f.submit(0)
	f.limiter.Close()
	f.submit(0)
	if len(f.refused) != 2 || !errors.Is(f.refused[0], limiter.ErrClosed) || !errors.Is(f.refused[1], limiter.ErrClosed) {
		t.Errorf("refused: %v, want ErrClosed twice", f.refused)
	}
	if f.limiter.Running() != 1 || f.limiter.Headroom() != 0 {
		t.Errorf("running %d, headroom %d, want 1 and 0", f.limiter.Running(), f.limiter.Headroom())
	}
	f.finish(limiter.Outcome{})
	f.limiter.Open()
	f.submit(0)
	if len(f.running) != 1 {
		t.Error("a reopened limiter did not grant the first request, want a grant")
	}
}

// TestAllowanceIsNeverExceeded performs random operations on a limiter and
// checks three invariants: no grant exceeds the allowance, each request is
// granted or refused once, and no request is queued while none is running.
func TestAllowanceIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 12).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "queue"))
		submitted, ended := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				before := len(f.running)
				f.submit(time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Millisecond)
				submitted++
				checkGrants(t, f, before)
			},
			"finish": func(t *rapid.T) {
				if len(f.running) == 0 {
					t.Skip("no running request")
				}
				before := len(f.running) - 1
				f.finish(limiter.Outcome{
					Failed:   rapid.IntRange(0, 9).Draw(t, "failed") == 0,
					Aborted:  rapid.IntRange(0, 9).Draw(t, "aborted") == 0,
					Duration: time.Duration(rapid.IntRange(1, 40).Draw(t, "duration")) * time.Millisecond,
				})
				ended++
				checkGrants(t, f, before)
			},
			"resize": func(t *rapid.T) {
				before := len(f.running)
				f.limiter.Resize(rapid.IntRange(1, 12).Draw(t, "new slots"))
				checkGrants(t, f, before)
			},
			"advance": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "advance")) * time.Millisecond)
			},
			"close": func(t *rapid.T) { f.limiter.Close() },
			"open":  func(t *rapid.T) { f.limiter.Open() },
			"": func(t *rapid.T) {
				if f.limiter.Running() != len(f.running) {
					t.Fatalf("running %d, want %d", f.limiter.Running(), len(f.running))
				}
				waiting := submitted - ended - len(f.running) - len(f.refused)
				if waiting < 0 || waiting > 5 {
					t.Fatalf("%d requests queued, want 0 to 5", waiting)
				}
				if waiting > 0 && len(f.running) == 0 {
					t.Fatalf("%d requests queued while none is running, want none", waiting)
				}
			},
		})
	})
}

// checkGrants fails the test if requests were granted beyond the allowance.
func checkGrants(t *rapid.T, f *fixture, before int) {
	if len(f.running) > before && len(f.running) > f.limiter.Allowance() {
		t.Fatalf("%d requests running, want at most the allowance of %d", len(f.running), f.limiter.Allowance())
	}
}

// TestAcquireConcurrently counts running requests independently of the limiter
// while many goroutines acquire slots, time out and finish.
func TestAcquireConcurrently(t *testing.T) {
	const slots = 4
	l := limiter.New(limiter.Options{
		Slots:     slots,
		MaxQueued: 8,
		Clock:     timekeeper.System{},
	})
	var running, highest, refused atomic.Int64
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(5+i%50)*time.Millisecond)
			defer cancel()
			ticket, err := l.Acquire(ctx, "")
			if err != nil {
				if classifier.VerdictOf(err) != classifier.NotRun {
					t.Errorf("refusal %v: want the verdict NotRun", err)
				}
				refused.Add(1)
				return
			}
			now := running.Add(1)
			for seen := highest.Load(); now > seen && !highest.CompareAndSwap(seen, now); seen = highest.Load() {
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			ticket.Done(limiter.Outcome{Duration: time.Millisecond})
			ticket.Done(limiter.Outcome{Duration: time.Millisecond})
		})
	}
	group.Wait()
	if highest.Load() > slots || l.Running() != 0 {
		t.Errorf("most requests running at once: %d, want at most %d; running at the end: %d, want 0", highest.Load(), slots, l.Running())
	}
}
