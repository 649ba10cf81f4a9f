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

func ExampleTry_Allowed() {
	t := retrier.Try{
		Once:       true,
		Tries:      1,
		Left:       time.Second,
		Resendable: true,
	}
	for _, v := range []classifier.Verdict{classifier.NotRun, classifier.MayHaveRun, classifier.Ran} {
		t.Verdict = v
		fmt.Println(v, t.Allowed())
	}
	// Output:
	// not-run true
	// may-have-run false
	// ran false
}

// end is how one try ends: with a verdict, or with a status when that is set.
type end struct {
	verdict classifier.Verdict
	status  int
}

func call(once bool) *forwarder.Call {
	return &forwarder.Call{Match: router.Match{
		Service: "renewal",
		Route:   parser.Route{Once: once},
	}}
}

// run makes a call whose tries end as given and returns what came of it.
func run(ctx context.Context, r *retrier.Retrier, once bool, ends ...end) (tries, status int, err error) {
	next := func(context.Context, any) (any, error) {
		e := ends[min(tries, len(ends)-1)]
		tries++
		if e.status == 0 {
			return nil, classifier.Fail(e.verdict, "for the test", nil)
		}
		return &forwarder.Answer{Response: &http.Response{
			StatusCode: e.status,
			Body:       io.NopCloser(strings.NewReader("")),
		}}, nil
	}
	answer, err := r.Middleware(next)(ctx, call(once))
	if err == nil {
		status = answer.(*forwarder.Answer).Response.StatusCode
	}
	return tries, status, err
}

func newRetrier() *retrier.Retrier {
	return &retrier.Retrier{Clock: timekeeper.System{}}
}

func TestVerdictsDecide(t *testing.T) {
	var (
		notRun = end{verdict: classifier.NotRun}
		may    = end{verdict: classifier.MayHaveRun}
		ran    = end{verdict: classifier.Ran}
		good   = end{status: 200}
		shed   = end{status: 503}
		broken = end{status: 500}
	)
	tests := []struct {
		name    string
		once    bool
		ends    []end
		tries   int
		status  int
		verdict classifier.Verdict
	}{
		{"not run, once", true, []end{notRun, good}, 2, 200, 0},
		{"may have run, once", true, []end{may, good}, 1, 0, classifier.MayHaveRun},
		{"may have run", false, []end{may, good}, 2, 200, 0},
		{"may have run, twice", false, []end{may, may, good}, 2, 0, classifier.MayHaveRun},
		{"ran", false, []end{ran, good}, 1, 0, classifier.Ran},
		{"shed, once", true, []end{shed, good}, 1, 503, 0},
		{"shed", false, []end{shed, good}, 2, 200, 0},
		{"shed for good", false, []end{shed, shed, shed}, 3, 503, 0},
		{"failed by the target", false, []end{broken, good}, 1, 500, 0},
		{"never run", false, []end{notRun}, 3, 0, classifier.NotRun},
		{"may have run and then not", false, []end{may, notRun}, 3, 0, classifier.MayHaveRun},
		{"shed and then not run", false, []end{shed, notRun}, 3, 0, classifier.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tries, status, err := run(t.Context(), newRetrier(), tt.once, tt.ends...)
			if tries != tt.tries || status != tt.status {
				t.Errorf("%d tries and status %d, want %d and %d", tries, status, tt.tries, tt.status)
			}
			if status == 0 && classifier.Of(err) != tt.verdict {
				t.Errorf("verdict %v, want %v", classifier.Of(err), tt.verdict)
			}
		})
	}
}

func TestDeadlineEndsRetries(t *testing.T) {
	clock := timekeeper.NewVirtual(time.Now())
	ctx, cancel := context.WithDeadline(t.Context(), clock.Now().Add(time.Hour))
	defer cancel()
	clock.Advance(time.Hour - time.Millisecond)
	tries, _, _ := run(ctx, &retrier.Retrier{Clock: clock}, false, end{verdict: classifier.NotRun})
	if tries != 1 {
		t.Errorf("%d tries with a millisecond left, want 1", tries)
	}
}

// TestOutageIsNotAmplified checks the goal of at most 1.1 tries for each call
// while every try of a service fails.
func TestOutageIsNotAmplified(t *testing.T) {
	const calls, goal = 1000, 1.1
	r := newRetrier()
	for range calls {
		if _, status, _ := run(t.Context(), r, false, end{status: 200}); status != 200 {
			t.Fatal("a good call failed")
		}
	}
	total := 0
	for range calls {
		tries, _, _ := run(t.Context(), r, false, end{verdict: classifier.NotRun})
		total += tries
	}
	if amplification := float64(total) / calls; amplification > goal {
		t.Errorf("%v tries for each call in an outage, goal %v", amplification, goal)
	}
}

func TestSuccessesFillTheBudget(t *testing.T) {
	r := newRetrier()
	for range 30 {
		_, _, _ = run(t.Context(), r, false, end{verdict: classifier.NotRun})
	}
	for range 10 {
		_, _, _ = run(t.Context(), r, false, end{status: 200})
	}
	tries, status, _ := run(t.Context(), r, false, end{verdict: classifier.NotRun}, end{status: 200})
	if tries != 2 || status != 200 {
		t.Errorf("%d tries after ten successes, want 2", tries)
	}
	tries, _, _ = run(t.Context(), r, false, end{verdict: classifier.NotRun})
	if tries != 1 {
		t.Errorf("%d tries with the budget spent, want 1", tries)
	}
}

// TestVerdictOfACallIsTrue draws the ends of all tries and checks that a
// once-route runs at most once and that "not run" is said only when no try may
// have run.
func TestVerdictOfACallIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := rapid.Bool().Draw(t, "once")
		ends := make([]end, 3)
		for i := range ends {
			ends[i].verdict = classifier.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
			ends[i].status = rapid.SampledFrom([]int{0, 0, 0, 200, 500, 503}).Draw(t, "status")
		}
		tries, status, err := run(context.Background(), newRetrier(), once, ends...)
		ran := 0
		for _, e := range ends[:tries] {
			if e.status != 0 || e.verdict != classifier.NotRun {
				ran++
			}
		}
		if once && ran > 1 {
			t.Fatalf("a once-request may have run %d times", ran)
		}
		if status == 0 && ran > 0 && classifier.Of(err) == classifier.NotRun {
			t.Fatalf("said not to have run after %v", ends[:tries])
		}
	})
}

// TestSilentTryIsGivenUp sends a call to a target that never answers, as one
// behind a cut, and then to one that does.
func TestSilentTryIsGivenUp(t *testing.T) {
	tests := []struct {
		name  string
		once  bool
		late  time.Duration
		left  time.Duration
		tries int
	}{
		{"repeatable", false, 10 * time.Millisecond, patience, 2},
		{"once", true, 10 * time.Millisecond, 200 * time.Millisecond, 1},
		{"no goal", false, 0, 200 * time.Millisecond, 1},
		{"too little time for another", false, 60 * time.Millisecond, 200 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), tt.left)
			defer cancel()
			tries := 0
			next := func(ctx context.Context, _ any) (any, error) {
				tries++
				if tries == 1 {
					<-ctx.Done()
					return nil, classifier.Fail(classifier.MayHaveRun, "no answer in time", ctx.Err())
				}
				if err := ctx.Err(); err != nil {
					t.Errorf("the second try's context: %v", err)
				}
				return &forwarder.Answer{Response: &http.Response{StatusCode: http.StatusOK}}, nil
			}
			c := call(tt.once)
			c.Match.Late = tt.late
			_, err := newRetrier().Middleware(next)(ctx, c)
			if tries != tt.tries || (err == nil) != (tt.tries == 2) {
				t.Errorf("%d tries, %v; want %d", tries, err, tt.tries)
			}
			if tt.tries == 2 && ctx.Err() != nil {
				t.Error("the call's own time ran out")
			}
		})
	}
}

// patience bounds a wait; a pass never takes that long.
const patience = 60 * time.Second
