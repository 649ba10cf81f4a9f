// Package deliverer hands requests to the target on the daemon's own VM, one
// slot each, and takes its whole answers.
package deliverer

import (
	"context"
	"errors"
	"io"
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

// Codec translates between the product and what the targets speak.
type Codec struct {
	// Address sets the headers that tell the target which of its starts is
	// meant, who calls, and how long the answer is of use.
	Address func(h http.Header, o *carrier.Order, left time.Duration)
	// Check tells whether a whole answer is that of the order: nil, or why not,
	// with a verdict.
	Check func(resp *http.Response, o *carrier.Order) error
}

// Deliverer hands requests to the target.
type Deliverer struct {
	// Target is the target's IP:port.
	Target    string
	Gate      *admitter.Gate
	Transport http.RoundTripper
	Codec     Codec
	Clock     timekeeper.Clock
	// Screen looks at an order that is about to be handed over and may refuse
	// it; done is told, once it has ended, whether the connection to the target
	// broke.
	Screen func(o *carrier.Order) (done func(broke bool), err error)
	// Observe is told how each order that was handed over has ended, and Refused
	// of each that the gate refused.
	Observe func(o *carrier.Order, e Ending)
	Refused func(o *carrier.Order, f *carrier.Failure)
}

// Ending is how an order that was handed over has ended.
type Ending struct {
	// Status is the answer's status code, or 0 without a whole answer.
	Status   int
	Duration time.Duration
	// Err is why there is no answer.
	Err error
	// Cut means that the sender broke it off.
	Cut bool
	// TimedOut means that its time ran out.
	TimedOut bool
}

// Bad reports whether the target failed the order.
func (e Ending) Bad() bool {
	return e.Status >= http.StatusInternalServerError ||
		(e.Err != nil && !e.Cut && !e.TimedOut && classifier.Of(e.Err) != classifier.NotRun)
}

// turnedAway reports whether the target did not take the order, although it had
// a slot free for it.
func (e Ending) turnedAway() bool {
	return e.Err != nil && !e.Cut && !e.TimedOut && classifier.Of(e.Err) == classifier.NotRun
}

// maxAnswerBytes is the size of the largest answer that is taken.
const maxAnswerBytes = 64 << 20

// Deliver hands an order over once the gate lets it in. Its error is a
// *carrier.Failure.
func (d *Deliverer) Deliver(ctx context.Context, o *carrier.Order) (*carrier.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	if o.Patience > 0 {
		carrier.Started(ctx)
	}
	if err := d.enter(ctx, o); err != nil {
		f := d.refusal(o, err)
		d.Refused(o, f)
		return nil, f
	}
	answer, ending := d.run(ctx, o)
	d.Gate.Leave(o.Rule, admitter.Outcome{
		Duration:   ending.Duration,
		Failed:     ending.Bad(),
		TurnedAway: ending.turnedAway(),
		Cut:        ending.Cut || ending.TimedOut,
	})
	d.Observe(o, ending)
	if ending.Err != nil {
		return nil, d.failure(o, ending.Err)
	}
	answer.Load = d.Gate.Load(o.Rule)
	return answer, nil
}

// enter waits for a slot, after the turn of a large body, so that the slot stands
// idle for no longer than that body takes to arrive.
func (d *Deliverer) enter(ctx context.Context, o *carrier.Order) error {
	ask := admitter.Ask{
		Instance:  o.Instance,
		Rule:      o.Rule,
		Rank:      o.Rank,
		Deadline:  o.Deadline,
		Objective: o.Objective,
		Patience:  o.Patience,
	}
	if carrier.NeedsTurn(ctx) {
		if err := d.Gate.Judge(ask); err != nil {
			return err
		}
		if err := carrier.AwaitTurn(ctx, o.Patience); err != nil {
			return err
		}
	}
	return d.Gate.Enter(ctx, ask)
}

// refusal is the failure of an order that the gate refused.
func (d *Deliverer) refusal(o *carrier.Order, err error) *carrier.Failure {
	f := carrier.Fail(err)
	f.Told = true
	f.Load = d.Gate.Load(o.Rule)
	f.Pause = d.Gate.Pause(o.Rule)
	return f
}

// failure is the failure of an order that was let in. One without a connection
// to the target, or that the target says it did not run, has not run.
func (d *Deliverer) failure(o *carrier.Order, err error) *carrier.Failure {
	f := carrier.Fail(err)
	f.Told = true
	f.Load = d.Gate.Load(o.Rule)
	if f.Verdict == classifier.NotRun {
		f.Pause = d.Gate.Pause(o.Rule)
	}
	return f
}

// run hands the order to the target and takes its answer.
func (d *Deliverer) run(ctx context.Context, o *carrier.Order) (answer *carrier.Answer, ending Ending) {
	start := d.Clock.Now()
	if err := carrier.ReadBody(ctx); err != nil {
		return nil, Ending{Err: classifier.Fail(classifier.NotRun, "body broke off", err), Cut: true}
	}
	if forwarder.HungUp(ctx) {
		return nil, Ending{Err: admitter.ErrGone, Cut: true}
	}
	done, err := d.Screen(o)
	if err != nil {
		return nil, Ending{Err: err, Cut: true}
	}
	defer func() { done(ending.Err != nil && ctx.Err() == nil && broken(ending.Err)) }()
	carrier.Started(ctx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := forwarder.RoundTrip(d.Transport, d.request(traced, o))
	if err == nil {
		answer, err = d.take(resp, o)
	}
	ending = Ending{
		Duration: d.Clock.Now().Sub(start),
		Err:      err,
		Cut:      ctx.Err() == context.Canceled,
		TimedOut: ctx.Err() == context.DeadlineExceeded,
	}
	if answer != nil {
		ending.Status = answer.Status
	}
	if err != nil && ctx.Err() == nil && !connected.Load() {
		d.Gate.Doubt()
	}
	return answer, ending
}

// broken reports whether an error means that the connection to the target broke
// or could not be made, as when the target has ended.
func broken(err error) bool {
	var f *classifier.Failure
	return errors.As(err, &f) && f.Err != nil
}

// request returns the request that the target gets.
func (d *Deliverer) request(ctx context.Context, o *carrier.Order) *http.Request {
	h := forwarder.Carried(o.Header)
	d.Codec.Address(h, o, time.Until(o.Deadline))
	r := &http.Request{
		Method:        o.Method,
		URL:           o.URL(d.Target),
		Host:          o.Host,
		Header:        h,
		Body:          forwarder.NewBody(o.Body),
		ContentLength: int64(len(o.Body)),
	}
	return r.WithContext(ctx)
}

// take reads the whole answer and checks it.
func (d *Deliverer) take(resp *http.Response, o *carrier.Order) (*carrier.Answer, error) {
	defer func() { _ = resp.Body.Close() }()
	if err := d.Codec.Check(resp, o); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &carrier.Failure{
			Failure: classifier.Fail(classifier.Ran, "answer of the target broke off", err),
			Arrived: true,
		}
	}
	if len(body) > maxAnswerBytes {
		return nil, &carrier.Failure{
			Failure: classifier.Fail(classifier.Ran, "answer of the target too long", nil),
			Arrived: true,
		}
	}
	return &carrier.Answer{
		Status: resp.StatusCode,
		Header: forwarder.Carried(resp.Header),
		Body:   body,
	}, nil
}
