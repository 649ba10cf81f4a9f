// Package deliverer forwards attempts to the target on the daemon's own VM. Each
// attempt occupies one slot until the complete response has been read.
package deliverer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Codec sets the headers of requests to the target and checks its responses.
type Codec struct {
	// SetHeaders sets the headers that tell the target the intended instance, the
	// calling service and the time left before the deadline.
	SetHeaders func(h http.Header, a *carrier.Attempt, left time.Duration)
	// CheckResponse returns nil if a response belongs to the attempt, or an error with a
	// verdict.
	CheckResponse func(resp *http.Response, a *carrier.Attempt) error
	// ReadState reads the state that the target reports in the headers of a response.
	ReadState func(h http.Header) TargetState
}

// TargetState is the state that a target reports in the headers of a response.
type TargetState struct {
	// Limit is the target's rate limit in requests per second, or 0 if the response has
	// none.
	Limit float64
	// Leaving means that the target shuts down.
	Leaving bool
}

// Deliverer forwards attempts to the target.
type Deliverer struct {
	// Target is the target's address as IP:port.
	Target    string
	Gate      *admitter.Gate
	Transport http.RoundTripper
	// Memory bounds the bodies of the target's responses.
	Memory *carrier.Memory
	Codec  Codec
	Clock  timekeeper.Clock
	// BeforeForward is called before an attempt is forwarded and may reject it with an
	// error. Otherwise connected is called when the attempt has a connection to the
	// target, and done with the result when the attempt has ended. connectionFailed
	// reports whether the connection broke or was refused.
	BeforeForward func(a *carrier.Attempt) (connected func(), done func(r Result, connectionFailed bool), err error)
	// BeforeSend is called after the last wait, when the attempt has a connection to the
	// target, and may reject it with an error.
	BeforeSend func(a *carrier.Attempt) error
	// OnResult is called when an attempt that got a slot has ended, and OnRejected
	// when an attempt was rejected before it got one.
	OnResult   func(a *carrier.Attempt, r Result)
	OnRejected func(a *carrier.Attempt, f *carrier.Failure)
	// OnLimit is called with the target's new rate limit in requests per second, or 0 if
	// it was removed.
	OnLimit func(a *carrier.Attempt, perSecond float64)
	// OnLeaving is called with each response that says that the target shuts down.
	OnLeaving func(a *carrier.Attempt)
}

// Result is the result of an attempt that got a slot.
type Result struct {
	// Status is the status code of the response, or 0 without a complete response.
	Status   int
	Duration time.Duration
	// Err is the reason for a missing response, or nil.
	Err error
	// Aborted means that the sender cancelled the attempt, or that it was not forwarded
	// to the target.
	Aborted bool
	// TimedOut means that the deadline of the attempt passed before it ended.
	TimedOut bool
}

// TargetFailed reports whether the target failed the request.
func (r Result) TargetFailed() bool {
	return r.Status >= http.StatusInternalServerError ||
		(r.Err != nil && !r.Aborted && !r.TimedOut && classifier.VerdictOf(r.Err) != classifier.NotRun)
}

// notRun reports whether the target did not run the request, although the attempt
// had a slot.
func (r Result) notRun() bool {
	return r.Err != nil && !r.Aborted && !r.TimedOut && classifier.VerdictOf(r.Err) == classifier.NotRun
}

// Deliver forwards an attempt when the gate has admitted it. Its error is a
// *carrier.Failure.
func (d *Deliverer) Deliver(ctx context.Context, a *carrier.Attempt) (*carrier.TargetResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	if a.MaxWait > 0 {
		carrier.Acknowledge(ctx)
	}
	if err := d.acquireSlot(ctx, a); err != nil {
		f := d.rejection(a, err)
		d.OnRejected(a, f)
		return nil, f
	}
	targetResponse, result := d.forward(ctx, a)
	d.Gate.Release(a.Rule, admitter.Outcome{
		Duration: result.Duration,
		Failed:   result.TargetFailed(),
		NotRun:   result.notRun(),
		Aborted:  result.Aborted || result.TimedOut,
	})
	d.OnResult(a, result)
	if result.Err != nil {
		return nil, d.failure(a, result.Err)
	}
	targetResponse.Load = d.Gate.Load(a.Rule)
	return targetResponse, nil
}

// acquireSlot waits for a slot. An attempt with a large body first waits for the
// daemon's body-read permit, so that it does not hold an idle slot while other
// large bodies arrive.
func (d *Deliverer) acquireSlot(ctx context.Context, a *carrier.Attempt) error {
	slotRequest := admitter.Request{
		Instance:  a.Instance,
		Rule:      a.Rule,
		Customer:  a.Identity.Customer,
		Priority:  a.Priority,
		Nested:    a.Nested,
		Patient:   a.Patient,
		Late:      a.Late,
		Deadline:  a.Deadline,
		Objective: a.Objective,
		MaxWait:   a.MaxWait,
	}
	if carrier.NeedsBodyTurn(ctx) {
		if err := d.Gate.Check(slotRequest); err != nil {
			return err
		}
		wait := carrier.Wait{
			Max:      a.MaxWait,
			Standing: time.Until(a.Objective) - d.Gate.Load(a.Rule).ServiceTime,
		}
		watched, watch := d.Gate.Watch(ctx, slotRequest)
		err := carrier.AwaitBodyTurn(watched, wait)
		if rejection := watch.End(); rejection != nil {
			return rejection
		}
		if err != nil {
			return err
		}
	}
	return d.Gate.Acquire(ctx, slotRequest)
}

// rejection returns the failure of an attempt that was rejected before it got a
// slot.
func (d *Deliverer) rejection(a *carrier.Attempt, err error) *carrier.Failure {
	f := carrier.NewFailure(err)
	f.Reported = true
	f.Load = d.Gate.Load(a.Rule)
	f.RetryAfter = max(f.RetryAfter, d.Gate.RetryAfter(a.Rule))
	return f
}

// failure returns the failure of an attempt that got a slot. The verdict is NotRun
// if the attempt was not forwarded, if there was no connection to the target, or if
// the target reports that it did not run the request.
func (d *Deliverer) failure(a *carrier.Attempt, err error) *carrier.Failure {
	f := carrier.NewFailure(err)
	f.Reported = true
	f.Load = d.Gate.Load(a.Rule)
	if f.Verdict == classifier.NotRun {
		f.RetryAfter = d.Gate.RetryAfter(a.Rule)
	}
	return f
}

// forward sends the attempt to the target and reads the response.
func (d *Deliverer) forward(ctx context.Context, a *carrier.Attempt) (targetResponse *carrier.TargetResponse, result Result) {
	start := d.Clock.Now()
	watched, watch := d.Gate.Watch(ctx, admitter.Request{Instance: a.Instance})
	defer func() { _ = watch.End() }()
	if err := carrier.ReadBody(ctx); err != nil {
		return nil, Result{Err: classifier.NewFailure(classifier.NotRun, "body broke off", err), Aborted: true}
	}
	if forwarder.ClientGone(watched) {
		return nil, Result{Err: admitter.Cancelled(watched), Aborted: true}
	}
	onConnected, done, err := d.BeforeForward(a)
	if err != nil {
		return nil, Result{Err: err, Aborted: true}
	}
	defer func() { done(result, result.Err != nil && ctx.Err() == nil && isConnectionError(result.Err)) }()
	carrier.Acknowledge(ctx)
	var connected atomic.Bool
	var conn net.Conn // RoundTrip calls GotConn before it returns
	tracedCtx := httptrace.WithClientTrace(watched, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			connected.Store(true)
		},
	})
	r := d.newRequest(tracedCtx, a)
	var refused error
	resp, err := forwarder.RoundTripIf(d.Transport, r, func() error {
		if refused = d.checkSend(ctx, a, watch); refused != nil {
			return refused
		}
		d.Codec.SetHeaders(r.Header, a, time.Until(a.Deadline))
		onConnected()
		return nil
	})
	if err == nil {
		targetResponse, err = d.readResponse(resp, a)
		if err != nil && classifier.VerdictOf(err) != classifier.NotRun && conn != nil {
			_ = conn.Close() // its next response may belong to this request
		}
	}
	if rejection := watch.Err(); rejection != nil {
		err, refused = rejection, rejection
	}
	result = Result{
		Duration: d.Clock.Now().Sub(start),
		Err:      err,
		Aborted:  refused != nil || ctx.Err() == context.Canceled || (ctx.Err() == nil && errors.Is(err, forwarder.ErrCancelled)),
		TimedOut: ctx.Err() == context.DeadlineExceeded,
	}
	if targetResponse != nil {
		result.Status = targetResponse.Status
	}
	if err != nil && refused == nil && ctx.Err() == nil && !connected.Load() {
		d.Gate.SuspectCold()
	}
	return targetResponse, result
}

// checkSend returns the rejection of an attempt that must not be sent to the target any more
// after all its waits, or nil. It begins the attempt's handoff.
func (d *Deliverer) checkSend(ctx context.Context, a *carrier.Attempt, watch *admitter.Watch) error {
	if err := watch.End(); err != nil {
		return err
	}
	if err := d.BeforeSend(a); err != nil {
		return err
	}
	if !carrier.Begin(ctx) {
		return forwarder.ErrRecalled
	}
	return nil
}

// isConnectionError reports whether err means that the connection to the target
// broke or was refused, for example because the target has exited.
func isConnectionError(err error) bool {
	var f *classifier.Failure
	return errors.As(err, &f) && f.Err != nil && !forwarder.IsTooLong(err)
}

// newRequest returns the request to the target, without the headers of the codec. They are set
// when it is sent.
func (d *Deliverer) newRequest(ctx context.Context, a *carrier.Attempt) *http.Request {
	r := &http.Request{
		Method:        a.Method,
		URL:           a.URL(d.Target),
		Host:          a.Host,
		Header:        forwarder.ForwardedHeader(a.Header),
		Body:          &forwarder.Body{Reader: a.Body.Reader()},
		ContentLength: int64(a.Body.Len()),
	}
	return r.WithContext(ctx)
}

// applyState applies the rate limit and the shutdown notice in the headers of a response. A
// rejection without a limit does not remove the current one.
func (d *Deliverer) applyState(h http.Header, a *carrier.Attempt, refused error) {
	state := d.Codec.ReadState(h)
	if state.Leaving {
		d.OnLeaving(a)
	}
	if refused != nil && state.Limit == 0 {
		return
	}
	if d.Gate.SetLimit(a.Instance, state.Limit) {
		d.OnLimit(a, state.Limit)
	}
}

// readResponse reads and checks the complete response.
func (d *Deliverer) readResponse(resp *http.Response, a *carrier.Attempt) (*carrier.TargetResponse, error) {
	defer func() { _ = resp.Body.Close() }()
	err := d.Codec.CheckResponse(resp, a)
	if err == nil || classifier.VerdictOf(err) == classifier.NotRun {
		d.applyState(resp.Header, a, err)
	}
	if err != nil {
		return nil, err
	}
	body, release, err := d.Memory.ReadBody(resp)
	if err != nil {
		reason := "answer of the target broke off"
		if forwarder.IsTooLong(err) {
			reason = "answer of the target too long"
		}
		return nil, &carrier.Failure{
			Failure: classifier.NewFailure(classifier.Ran, reason, err),
			Arrived: true,
		}
	}
	return &carrier.TargetResponse{
		Status: resp.StatusCode,
		Header: forwarder.ForwardedHeader(resp.Header),
		Body:   body,
		Done:   release,
	}, nil
}
