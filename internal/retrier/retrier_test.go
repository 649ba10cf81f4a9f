package retrier_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/retrier"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

func ExampleAttempt_Retryable() {
	a := retrier.Attempt{
		NonIdempotent: true,
		Attempts:      1,
		TimeLeft:      time.Second,
		Resendable:    true,
	}
	for _, v := range []classifier.Verdict{classifier.NotRun, classifier.MayHaveRun, classifier.Ran} {
		a.Verdict = v
		fmt.Println(v, a.Retryable())
	}
	// Output:
	// not-run true
	// may-have-run false
	// ran false
}

// result is the result of one attempt: a response with the status, or if that is
// 0, a failure with the verdict.
type result struct {
	verdict classifier.Verdict
	status  int
}

func call(nonIdempotent bool) *forwarder.Call {
	return &forwarder.Call{Match: router.Match{
		Service: "renewal",
		Route:   parser.Route{NonIdempotent: nonIdempotent},
	}}
}

// run makes a call whose attempts end with the given results. It returns the
// number of attempts and the result of the call.
func run(ctx context.Context, r *retrier.Retrier, nonIdempotent bool, results ...result) (attempts, status int, err error) {
	next := func(context.Context, any) (any, error) {
		current := results[min(attempts, len(results)-1)]
		attempts++
		if current.status == 0 {
			return nil, classifier.NewFailure(current.verdict, "injected failure", nil)
		}
		return &forwarder.Answer{Response: &http.Response{
			StatusCode: current.status,
			Body:       io.NopCloser(strings.NewReader("")),
		}}, nil
	}
	resp, err := r.Middleware(next)(ctx, call(nonIdempotent))
	if err == nil {
		status = resp.(*forwarder.Answer).Response.StatusCode
	}
	return attempts, status, err
}

func newRetrier() *retrier.Retrier {
	return &retrier.Retrier{Clock: timekeeper.System{}}
}

func TestRetryByVerdict(t *testing.T) {
	var (
		notRun     = result{verdict: classifier.NotRun}
		mayHaveRun = result{verdict: classifier.MayHaveRun}
		ran        = result{verdict: classifier.Ran}
		good       = result{status: 200}
		shed       = result{status: 503}
		broken     = result{status: 500}
	)
	tests := []struct {
		name          string
		nonIdempotent bool
		results       []result
		attempts      int
		status        int
		verdict       classifier.Verdict
	}{
		{"not run, non-idempotent", true, []result{notRun, good}, 2, 200, 0},
		{"may have run, non-idempotent", true, []result{mayHaveRun, good}, 1, 0, classifier.MayHaveRun},
		{"may have run", false, []result{mayHaveRun, good}, 2, 200, 0},
		{"may have run twice", false, []result{mayHaveRun, mayHaveRun, good}, 2, 0, classifier.MayHaveRun},
		{"ran", false, []result{ran, good}, 1, 0, classifier.Ran},
		{"shed, non-idempotent", true, []result{shed, good}, 1, 503, 0},
		{"shed", false, []result{shed, good}, 2, 200, 0},
		{"always shed", false, []result{shed, shed, shed}, 3, 503, 0},
		{"server error", false, []result{broken, good}, 1, 500, 0},
		{"never runs", false, []result{notRun}, 3, 0, classifier.NotRun},
		{"may have run, then not run", false, []result{mayHaveRun, notRun}, 3, 0, classifier.MayHaveRun},
		{"shed, then not run", false, []result{shed, notRun}, 3, 0, classifier.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			attempts, status, err := run(t.Context(), newRetrier(), tt.nonIdempotent, tt.results...)
			if attempts != tt.attempts || status != tt.status {
				t.Errorf("%d attempts and status %d, want %d and %d", attempts, status, tt.attempts, tt.status)
			}
			if status == 0 && classifier.VerdictOf(err) != tt.verdict {
				t.Errorf("verdict %v, want %v", classifier.VerdictOf(err), tt.verdict)
			}
		})
	}
}

func TestNoRetryNearDeadline(t *testing.T) {
	clock := timekeeper.NewVirtual(time.Now())
	ctx, cancel := context.WithDeadline(t.Context(), clock.Now().Add(time.Hour))
	defer cancel()
	clock.Advance(time.Hour - time.Millisecond)
	attempts, _, _ := run(ctx, &retrier.Retrier{Clock: clock}, false, result{verdict: classifier.NotRun})
	if attempts != 1 {
		t.Errorf("%d attempts with a millisecond before the deadline, want 1", attempts)
	}
}

// TestOutageIsNotAmplified checks that a call makes at most 1.1 attempts on
// average while every attempt at a service fails.
func TestOutageIsNotAmplified(t *testing.T) {
	const calls, maxAmplification = 1000, 1.1
	r := newRetrier()
	for range calls {
		if _, status, _ := run(t.Context(), r, false, result{status: 200}); status != 200 {
			t.Fatal("a call to a target that responds with status 200 failed, want status 200")
		}
	}
	total := 0
	for range calls {
		attempts, _, _ := run(t.Context(), r, false, result{verdict: classifier.NotRun})
		total += attempts
	}
	if amplification := float64(total) / calls; amplification > maxAmplification {
		t.Errorf("%v attempts for each call during an outage, want at most %v", amplification, maxAmplification)
	}
}

func TestSuccessesFillBudget(t *testing.T) {
	r := newRetrier()
	for range 30 {
		_, _, _ = run(t.Context(), r, false, result{verdict: classifier.NotRun})
	}
	for range 10 {
		_, _, _ = run(t.Context(), r, false, result{status: 200})
	}
	attempts, status, _ := run(t.Context(), r, false, result{verdict: classifier.NotRun}, result{status: 200})
	if attempts != 2 || status != 200 {
		t.Errorf("%d attempts after ten successes, want 2 and a response with status 200", attempts)
	}
	attempts, _, _ = run(t.Context(), r, false, result{verdict: classifier.NotRun})
	if attempts != 1 {
		t.Errorf("%d attempts with the budget used up, want 1", attempts)
	}
}

// TestCallVerdict draws the results of all attempts. It checks that a
// non-idempotent request runs at most once, and that a call is reported as not
// run only if no attempt may have run.
func TestCallVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nonIdempotent := rapid.Bool().Draw(t, "non-idempotent")
		results := make([]result, 3)
		for i := range results {
			results[i].verdict = classifier.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
			results[i].status = rapid.SampledFrom([]int{0, 0, 0, 200, 500, 503}).Draw(t, "status")
		}
		attempts, status, err := run(context.Background(), newRetrier(), nonIdempotent, results...)
		ran := 0
		for _, res := range results[:attempts] {
			if res.status != 0 || res.verdict != classifier.NotRun {
				ran++
			}
		}
		if nonIdempotent && ran > 1 {
			t.Fatalf("a non-idempotent request may have run %d times, want at most once", ran)
		}
		if status == 0 && ran > 0 && classifier.VerdictOf(err) == classifier.NotRun {
			t.Fatalf("verdict not-run after %v, want another one", results[:attempts])
		}
	})
}

// TestSilentAttemptIsCancelled sends a call to a target that never responds, as
// behind a network partition. It checks when the attempt is cancelled for a retry
// at a target that responds.
func TestSilentAttemptIsCancelled(t *testing.T) {
	tests := []struct {
		name          string
		nonIdempotent bool
		latencyGoal   time.Duration
		timeLeft      time.Duration
		attempts      int
	}{
		{"idempotent", false, 10 * time.Millisecond, maxWait, 2},
		{"non-idempotent", true, 10 * time.Millisecond, 200 * time.Millisecond, 1},
		{"no latency goal", false, 0, 200 * time.Millisecond, 1},
		{"too little time for a retry", false, 60 * time.Millisecond, 200 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), tt.timeLeft)
			defer cancel()
			attempts := 0
			next := func(ctx context.Context, _ any) (any, error) {
				attempts++
				if attempts == 1 {
					<-ctx.Done()
					return nil, classifier.NewFailure(classifier.MayHaveRun, "no answer in time", ctx.Err())
				}
				if err := ctx.Err(); err != nil {
					t.Errorf("context of the second attempt: error %v, want none", err)
				}
				return &forwarder.Answer{Response: &http.Response{StatusCode: http.StatusOK}}, nil
			}
			c := call(tt.nonIdempotent)
			c.Match.MaxLatency = tt.latencyGoal
			_, err := newRetrier().Middleware(next)(ctx, c)
			if attempts != tt.attempts || (err == nil) != (tt.attempts == 2) {
				t.Errorf("%d attempts, error %v; want %d attempts", attempts, err, tt.attempts)
			}
			if tt.attempts == 2 && ctx.Err() != nil {
				t.Error("the call's deadline was exceeded, want a retry before it")
			}
		})
	}
}

// maxWait bounds every wait. A passing test does not reach it.
const maxWait = 60 * time.Second
