// Package retrier repeats failed tries of a call where its verdict allows it.
//
// A try that has provably not run may be repeated on any route, one that may
// have run only on a route that is not marked once and not more than once, and
// one that has run never. Each retry takes a token from its service's budget, which successes
// fill, and needs time before the caller's deadline and a body that can still
// be sent whole.
package retrier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Limits of one call's retries.
const (
	// maxTries bounds the tries of one call, the first one included.
	maxTries = 3
	// maxUnclear bounds the tries of one call that may have run: a request that
	// crashes targets ends two of them at most, however late the others hear.
	maxUnclear = 2
	// lateFactor is how many times the service's goal a try may take before it
	// is given up for another.
	lateFactor = 2
	// leastLeft is the time before the deadline that a retry needs.
	leastLeft = 5 * time.Millisecond
)

// Retrier repeats tries. It is safe for concurrent use.
type Retrier struct {
	// Clock is the one that deadlines are read by.
	Clock timekeeper.Clock
	// Observe is told of each retry; nil tells nobody.
	Observe func(service string)

	budgets budgets
}

// Try is one try of a call that has ended.
type Try struct {
	// Once means that the route is marked once.
	Once bool
	// Verdict is that of the failure.
	Verdict classifier.Verdict
	// Shed means that the target itself answered that it is overloaded.
	Shed bool
	// Tries counts the call's tries so far, and Unclear those of them that may
	// have run.
	Tries, Unclear int
	// Left is the time before the caller's deadline.
	Left time.Duration
	// Resendable means that the body can still be sent whole.
	Resendable bool
}

// Allowed reports whether the try may be repeated, budget aside.
func (t Try) Allowed() bool {
	if t.Tries >= maxTries || t.Left < leastLeft || !t.Resendable {
		return false
	}
	switch t.Verdict {
	case classifier.NotRun:
		return true
	case classifier.MayHaveRun:
		return !t.Once && t.Unclear < maxUnclear
	default:
		return t.Shed && !t.Once
	}
}

// Succeeded fills the service's budget.
func (r *Retrier) Succeeded(service string) { r.budgets.deposit(service) }

// Allow reports whether a try may be repeated and, if so, takes a token from
// the service's budget.
func (r *Retrier) Allow(service string, t Try) bool {
	if !t.Allowed() || !r.budgets.withdraw(service) {
		return false
	}
	if r.Observe != nil {
		r.Observe(service)
	}
	return true
}

// Middleware wraps the sending of a *forwarder.Call with retries.
func (r *Retrier) Middleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		call := request.(*forwarder.Call)
		var worst error
		unclear := 0
		for tries := 1; ; tries++ {
			answer, err := r.tryOnce(ctx, call, tries, next)
			shed := err == nil && isShed(answer)
			if err != nil && classifier.Of(err) == classifier.MayHaveRun {
				unclear++
			}
			if err == nil && !shed {
				r.count(call.Match.Service, answer)
				return answer, nil
			}
			allowed := !errors.Is(err, forwarder.ErrNoServing) &&
				r.Allow(call.Match.Service, r.try(ctx, call, tries, unclear, err, shed))
			if shed && !allowed {
				return answer, nil
			}
			if shed {
				err = errShed
				closeAnswer(answer)
			}
			worst = Worse(worst, err)
			if !allowed {
				return nil, worst
			}
		}
	}
}

// tryOnce makes one try, and gives it up when another may still be answered in
// time.
func (r *Retrier) tryOnce(ctx context.Context, call *forwarder.Call, tries int, next endpoint.Endpoint) (any, error) {
	limit := r.tryLimit(ctx, call, tries)
	if limit == 0 {
		return next(ctx, call)
	}
	// The answer's body is read under this context, so it is not cancelled with
	// the try but with the call.
	ctx, cancel := context.WithCancel(ctx)
	giveUp := time.AfterFunc(limit, cancel)
	answer, err := next(ctx, call)
	if !giveUp.Stop() || err != nil {
		cancel()
	}
	return answer, err
}

// tryLimit returns the time after which a try is given up for another, or 0
// for never. Only a try of a repeatable route is, when it is far beyond the
// service's goal, as much time is left again, and a retry can be paid for: the
// target may be behind a cut that has not been noticed.
func (r *Retrier) tryLimit(ctx context.Context, call *forwarder.Call, tries int) time.Duration {
	limit := lateFactor * call.Match.Late
	deadline, ok := ctx.Deadline()
	if limit == 0 || !ok || call.Match.Route.Once || tries >= maxTries || !call.Held() {
		return 0
	}
	if deadline.Sub(r.Clock.Now()) < 2*limit || !r.budgets.affords(call.Match.Service) {
		return 0
	}
	return limit
}

// errShed stands for a target's own refusal that was not passed on.
var errShed = classifier.Fail(classifier.Ran, "target overloaded", nil)

// count fills the budget after an answer that is no failure of the target.
func (r *Retrier) count(service string, answer any) {
	a, ok := answer.(*forwarder.Answer)
	if !ok || a.Response.StatusCode < http.StatusInternalServerError {
		r.Succeeded(service)
	}
}

func (r *Retrier) try(ctx context.Context, call *forwarder.Call, tries, unclear int, err error, shed bool) Try {
	t := Try{
		Once:       call.Match.Route.Once,
		Verdict:    classifier.Of(err),
		Shed:       shed,
		Tries:      tries,
		Unclear:    unclear,
		Left:       leastLeft,
		Resendable: call.Resendable(),
	}
	if shed {
		t.Verdict = classifier.Ran
	}
	if deadline, ok := ctx.Deadline(); ok {
		t.Left = deadline.Sub(r.Clock.Now())
	}
	if ctx.Err() != nil {
		t.Left = 0
	}
	return t
}

// isShed reports whether the target itself answered that it is overloaded.
func isShed(answer any) bool {
	a, ok := answer.(*forwarder.Answer)
	return ok && a.Response.StatusCode == http.StatusServiceUnavailable
}

func closeAnswer(answer any) {
	if a, ok := answer.(*forwarder.Answer); ok {
		_ = a.Response.Body.Close()
	}
}

// Worse returns the error of two tries that promises less, so that a call is
// said not to have run only if none of its tries may have run.
func Worse(a, b error) error {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case rank(classifier.Of(b)) > rank(classifier.Of(a)):
		return b
	default:
		return a
	}
}

// rank orders verdicts by what is known to have happened.
func rank(v classifier.Verdict) int {
	switch v {
	case classifier.NotRun:
		return 0
	case classifier.MayHaveRun:
		return 1
	default:
		return 2
	}
}
