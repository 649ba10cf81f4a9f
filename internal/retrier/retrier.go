// Package retrier retries failed attempts of a call if their verdict permits
// it.
//
// An attempt that did not run may be retried on every route. An
// attempt that may have run is retried at most once, and only on an idempotent
// route. An attempt that ran is retried only if the target itself responded that
// it is overloaded, and only on an idempotent route. Each retry is paid for
// from the retry budget of its service, to which successes add. A retry also
// needs time before the caller's deadline and a request body that can still be
// sent whole.
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

// Limits of the retries of one call.
const (
	// maxAttempts bounds the attempts of one call, including the first.
	maxAttempts = 3
	// maxMayHaveRun bounds the attempts of one call that may have run. A request
	// that crashes targets thus crashes at most two of them, however late the
	// report of the crash reaches other daemons.
	maxMayHaveRun = 2
	// lateFactor is the multiple of the service's latency goal after which an
	// attempt is cancelled for a retry.
	lateFactor = 2
	// minTimeLeft is the time before the deadline that a retry needs.
	minTimeLeft = 5 * time.Millisecond
)

// Retrier retries failed attempts of calls. It is safe for concurrent use.
type Retrier struct {
	// Clock provides the time that is compared with deadlines.
	Clock timekeeper.Clock
	// OnRetry is called for each retry. It may be nil.
	OnRetry func(service string)

	budgets budgets
}

// Attempt describes an attempt of a call that has ended.
type Attempt struct {
	// NonIdempotent is set if the route is non-idempotent.
	NonIdempotent bool
	// Verdict is the verdict of the attempt's failure.
	Verdict classifier.Verdict
	// Shed is set if the target itself responded that it is overloaded.
	Shed bool
	// Attempts is the number of attempts of the call so far. PossiblyRun is the
	// number of those that may have run.
	Attempts, PossiblyRun int
	// TimeLeft is the time left before the caller's deadline.
	TimeLeft time.Duration
	// Resendable is set if the request body can still be sent whole.
	Resendable bool
}

// Retryable reports whether the attempt may be retried, regardless of the retry
// budget.
func (a Attempt) Retryable() bool {
	if a.Attempts >= maxAttempts || a.TimeLeft < minTimeLeft || !a.Resendable {
		return false
	}
	switch a.Verdict {
	case classifier.NotRun:
		return true
	case classifier.MayHaveRun:
		return !a.NonIdempotent && a.PossiblyRun < maxMayHaveRun
	default:
		return a.Shed && !a.NonIdempotent
	}
}

// RecordSuccess adds a success to the service's retry budget.
func (r *Retrier) RecordSuccess(service string) { r.budgets.deposit(service) }

// Allow reports whether the attempt may be retried. If so, it pays for the
// retry from the service's retry budget.
func (r *Retrier) Allow(service string, a Attempt) bool {
	if !a.Retryable() || !r.budgets.withdraw(service) {
		return false
	}
	if r.OnRetry != nil {
		r.OnRetry(service)
	}
	return true
}

// Middleware returns an endpoint that retries next, which sends a
// *forwarder.Call.
func (r *Retrier) Middleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		call := request.(*forwarder.Call)
		var worst error
		mayHaveRun := 0
		for attempts := 1; ; attempts++ {
			resp, err := r.attemptOnce(ctx, call, attempts, next)
			shed := err == nil && isShed(resp)
			if err != nil && classifier.VerdictOf(err) == classifier.MayHaveRun {
				mayHaveRun++
			}
			if err == nil && !shed {
				r.recordSuccess(call.Match.Service, resp)
				return resp, nil
			}
			allowed := !errors.Is(err, forwarder.ErrNoTarget) &&
				r.Allow(call.Match.Service, r.newAttempt(ctx, call, attempts, mayHaveRun, err, shed))
			if shed && !allowed {
				return resp, nil
			}
			if shed {
				err = errShed
				closeResponse(resp)
			}
			worst = WorseError(worst, err)
			if !allowed {
				return nil, worst
			}
		}
	}
}

// attemptOnce makes one attempt and cancels it after attemptTimeout, if that is
// not 0.
func (r *Retrier) attemptOnce(ctx context.Context, call *forwarder.Call, attempts int, next endpoint.Endpoint) (any, error) {
	timeout := r.attemptTimeout(ctx, call, attempts)
	if timeout == 0 {
		return next(ctx, call)
	}
	// The response body is read under ctx, so after a success ctx must stay valid
	// until the call ends.
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	resp, err := next(ctx, call)
	if !timer.Stop() || err != nil {
		cancel()
	}
	return resp, err
}

// attemptTimeout returns the time after which an attempt is cancelled for a
// retry, or 0 if it is not. An attempt is cancelled only on an idempotent route,
// after lateFactor times the service's latency goal, if the same time remains for
// a retry, the body is buffered and the budget suffices. This covers a network
// partition of the target that has not been detected yet.
func (r *Retrier) attemptTimeout(ctx context.Context, call *forwarder.Call, attempts int) time.Duration {
	timeout := lateFactor * call.Match.MaxLatency
	deadline, ok := ctx.Deadline()
	if timeout == 0 || !ok || call.Match.Route.NonIdempotent || attempts >= maxAttempts || !call.Buffered() {
		return 0
	}
	if deadline.Sub(r.Clock.Now()) < 2*timeout || !r.budgets.affords(call.Match.Service) {
		return 0
	}
	return timeout
}

// errShed replaces a target's overload response that is not returned to the
// caller.
var errShed = classifier.NewFailure(classifier.Ran, "target overloaded", nil)

// recordSuccess adds a success to the budget unless the response is a server
// error.
func (r *Retrier) recordSuccess(service string, resp any) {
	a, ok := resp.(*forwarder.Answer)
	if !ok || a.Response.StatusCode < http.StatusInternalServerError {
		r.RecordSuccess(service)
	}
}

// newAttempt returns the description of an attempt that ended with err, or with an
// overload response if shed is set.
func (r *Retrier) newAttempt(ctx context.Context, call *forwarder.Call, attempts, mayHaveRun int, err error, shed bool) Attempt {
	a := Attempt{
		NonIdempotent: call.Match.Route.NonIdempotent,
		Verdict:       classifier.VerdictOf(err),
		Shed:          shed,
		Attempts:      attempts,
		PossiblyRun:   mayHaveRun,
		TimeLeft:      minTimeLeft,
		Resendable:    call.Resendable(),
	}
	if shed {
		a.Verdict = classifier.Ran
	}
	if deadline, ok := ctx.Deadline(); ok {
		a.TimeLeft = deadline.Sub(r.Clock.Now())
	}
	if ctx.Err() != nil {
		a.TimeLeft = 0
	}
	return a
}

// isShed reports whether the target itself responded that it is overloaded.
func isShed(resp any) bool {
	a, ok := resp.(*forwarder.Answer)
	return ok && a.Response.StatusCode == http.StatusServiceUnavailable
}

func closeResponse(resp any) {
	if a, ok := resp.(*forwarder.Answer); ok {
		_ = a.Response.Body.Close()
	}
}

// WorseError returns the error whose verdict has the higher rank. In descending
// order, the ranks are Ran, MayHaveRun and NotRun. A call is thus reported as not run only if
// none of its attempts may have run.
func WorseError(a, b error) error {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case rank(classifier.VerdictOf(b)) > rank(classifier.VerdictOf(a)):
		return b
	default:
		return a
	}
}

// rank orders verdicts by how much of the request may have been executed.
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
