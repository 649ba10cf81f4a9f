// Package dispatcher handles clients' requests. It finds the rule for each
// request, forwards it to the daemon of a target, and retries it where that is
// allowed.
package dispatcher

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/throttler"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Limits of one request.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// noQueueAttempts is the number of attempts before the request may queue for a
	// slot until its deadline.
	noQueueAttempts = 3
	// responseMargin is the part of a request's timeout that is reserved for
	// writing the response.
	responseMargin = 5 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After value of a rejection.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// startupRetryAfter is the Retry-After value while no configuration is loaded.
	// A daemon loads one within a second of its start.
	startupRetryAfter = 250 * time.Millisecond
)

// Client holds what the headers of a request state about its client.
type Client struct {
	// ID is the request ID that the client has set.
	ID string
	// TimeLeft is how long the client waits for a response, or 0 if it is not stated.
	TimeLeft time.Duration
	// Key is the key that the client presents, or empty.
	Key string
	// Parent is the ID of the request during which a target may have sent this one, or
	// empty.
	Parent string
}

// Pool holds the targets that a service's requests may go to.
type Pool struct {
	Targets []chooser.Target
	// Canary holds the canary targets of a rollout, and Share is the fraction of
	// requests that they get, from 0 to 1.
	Canary []chooser.Target
	Share  float64
}

// Dispatcher forwards clients' requests to targets.
type Dispatcher struct {
	// Daemon is the name of the daemon's own VM, and Caller that of the service on
	// the VM.
	Daemon string
	Caller string
	// Plan returns the plan in force, or nil if none is loaded.
	Plan func() *matcher.Plan
	// Pool returns a service's targets.
	Pool func(service string) Pool
	// Client parses the request headers that describe the client.
	Client func(h http.Header) (Client, error)
	// Authenticator checks the keys of requests. WithoutCredentials returns a copy of
	// headers without those that state a key or a customer. Both are used only under a plan
	// with keys.
	Authenticator      *authenticator.Authenticator
	WithoutCredentials func(h http.Header) http.Header
	// Send sends an attempt to the daemon of another VM, and Deliver passes one to
	// the target on the daemon's own VM.
	Send        func(ctx context.Context, address string, a *carrier.Attempt) (*carrier.TargetResponse, error)
	Deliver     carrier.Deliver
	Chooser     *chooser.Chooser
	RetryBudget *RetryBudget
	Throttler   *throttler.Throttler
	// IsRunning reports whether the local target runs a request, and whether that is
	// patient.
	IsRunning func(id string) (running, patient bool)
	Clock     timekeeper.Clock
	// ServesUntil returns the time at which the process ends, or the zero time if that is
	// not known. Requests with a later deadline are rejected.
	ServesUntil func() time.Time
	// OnResult is called when a request has ended.
	OnResult func(r Result)

	mu           sync.Mutex
	splitters    map[string]*matcher.Splitter
	canaryCredit map[string]float64

	inFlight inFlight
}

// Result is the result of a request, for logs and metrics.
type Result struct {
	ID      string
	Rule    string
	Service string
	Status  int
	// Plan is the version of the plan that applied to the request.
	Plan uint64
	// Customer is the name of the customer on whose behalf the request was made, or empty.
	Customer string
	// Daemon and Instance identify the target of the last attempt, and Attempts is
	// the number of attempts.
	Daemon   string
	Instance string
	Attempts int
	Duration time.Duration
	// Nested means that the local target made the request while it ran another one, and
	// Late that the client had waited for longer than its objective before.
	Nested, Late bool
	// Rejections counts the rejections for lack of a free slot. Throttled means that the
	// request was rejected without an attempt.
	Rejections int
	Throttled  bool
	// RetryAfter is the retry delay that was reported, if no target has answered.
	RetryAfter time.Duration
	// Err is the reason why no target has answered, or nil.
	Err error
}

var (
	errNoPlan     = classifier.NewFailure(classifier.NotRun, "no configuration yet", nil)
	errNoRule     = classifier.NewFailure(classifier.NotRun, "no rule for this host and path", nil)
	errNoTarget   = classifier.NewFailure(classifier.NotRun, "no target takes this", nil)
	errClientGone = classifier.NewFailure(classifier.NotRun, "client went away before it was sent", nil)
	errExpired    = classifier.NewFailure(classifier.NotRun, "time ran out before it was sent", nil)
	errStopping   = classifier.NewFailure(classifier.NotRun, "daemon stops before the request may end", nil)
	errBadTarget  = classifier.NewFailure(classifier.NotRun, "request target that can't be passed on", nil)
	errThrottled  = classifier.NewFailure(classifier.NotRun, "too many requests for the free slots", nil)
	errBadHeaders = classifier.NewFailure(classifier.NotRun, "bad request headers", nil)
)

// Handle forwards one request and returns the response to it.
func (d *Dispatcher) Handle(ctx context.Context, r *receiver.Request) *receiver.Response {
	c := &call{
		request:  r,
		uri:      requestTarget(r.RequestURI),
		header:   r.Header,
		excluded: map[string]bool{},
		busy:     map[string]bool{},
	}
	handled := false
	defer func() {
		if !handled { // it panics
			c.release()
		}
	}()
	targetResponse, err := d.forward(ctx, c)
	if err != nil && c.failedResponse != nil {
		targetResponse, err = c.failedResponse, nil
	}
	var resp *receiver.Response
	switch {
	case err == nil:
		resp = &receiver.Response{
			Status: targetResponse.Status,
			Header: targetResponse.Header,
			Body:   targetResponse.Body,
		}
	default:
		c.retryAfter = d.retryAfter(c)
		resp = c.errorResponse(err, d.Clock.Now())
	}
	resp.Done = c.release
	d.reportResult(c, resp.Status, err)
	handled = true
	return resp
}

func (d *Dispatcher) reportResult(c *call, status int, err error) {
	result := Result{
		ID:         c.client.ID,
		Service:    c.service,
		Status:     status,
		Daemon:     c.lastTarget.Daemon,
		Instance:   c.lastTarget.Instance,
		Customer:   c.identity.Customer,
		Attempts:   c.attempts,
		Nested:     c.nested,
		Late:       c.late,
		Rejections: c.rejections,
		Throttled:  err == errThrottled,
		RetryAfter: c.retryAfter,
		Duration:   d.Clock.Now().Sub(c.request.Began),
		Err:        err,
	}
	if c.plan != nil {
		result.Plan = c.plan.Version
	}
	if c.rule != nil {
		result.Rule = c.rule.Name
	}
	d.OnResult(result)
}

// forward finds the request's rule and forwards the request.
func (d *Dispatcher) forward(ctx context.Context, c *call) (*carrier.TargetResponse, error) {
	var err error
	if c.client, err = d.Client(c.request.Header); err != nil {
		return nil, errBadHeaders
	}
	if c.plan = d.Plan(); c.plan == nil {
		c.retryAfter = startupRetryAfter
		return nil, errNoPlan
	}
	path, _, _ := strings.Cut(c.uri, "?")
	rule, ok := c.plan.Match(c.request.Host, path)
	if !ok {
		return nil, errNoRule
	}
	if !carrier.IsTarget(c.uri) {
		return nil, errBadTarget
	}
	c.rule = rule
	if err := d.authenticate(c); err != nil {
		return nil, err
	}
	remaining := rule.Timeout
	if c.client.TimeLeft > 0 {
		remaining = min(remaining, c.client.TimeLeft)
	}
	c.deadline = c.request.Began.Add(remaining - responseMargin)
	if end := d.ServesUntil(); !end.IsZero() && c.deadline.After(end) {
		return nil, errStopping
	}
	c.service = d.chooseService(rule)
	d.RetryBudget.Deposit(c.service)
	c.patient = isPatient(rule)
	if c.client.Parent != "" {
		if running, patient := d.IsRunning(c.client.Parent); running {
			c.nested = c.plan.Patience >= patientFactor
			c.patient = c.patient && patient
		}
	}
	c.late = d.isLate(c)
	if !d.mayAsk(c) {
		return nil, errThrottled
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	targetResponse, err := d.sendWithRetries(ctx, c)
	d.recordRoom(c, err)
	return targetResponse, err
}

// chooseService returns the service that the rule's traffic split selects.
func (d *Dispatcher) chooseService(rule *matcher.Rule) string {
	if len(rule.Splits) == 1 {
		return rule.Splits[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.splitters == nil {
		d.splitters = map[string]*matcher.Splitter{}
	}
	s, ok := d.splitters[rule.Name]
	if !ok {
		s = &matcher.Splitter{}
		d.splitters[rule.Name] = s
	}
	return rule.Splits[s.Next(rule.Splits)].Service
}

// useCanary reports whether a request goes to the canary targets. It accumulates
// share for each request, so that the fraction holds without a random choice.
func (d *Dispatcher) useCanary(service string, share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.canaryCredit == nil {
		d.canaryCredit = map[string]float64{}
	}
	credit := d.canaryCredit[service] + share
	chosen := credit >= 1
	if chosen {
		credit--
	}
	d.canaryCredit[service] = min(credit, 1)
	return chosen
}

// sendWithRetries sends the request until it is answered or must not be sent
// again.
func (d *Dispatcher) sendWithRetries(ctx context.Context, c *call) (*carrier.TargetResponse, error) {
	for first := true; c.attempts < maxAttempts; first = false {
		if d.Clock.Now().After(c.deadline) {
			return nil, c.recordError(errExpired)
		}
		if forwarder.ClientGone(ctx) {
			return nil, c.recordError(errClientGone)
		}
		if d.endsTooSoon(c) {
			c.retryAfter = d.ServesUntil().Sub(d.Clock.Now()) // this daemon would reject it again
			return nil, c.recordError(errStopping)
		}
		if !first {
			if err := d.authenticate(c); err != nil {
				return nil, c.recordError(err)
			}
		}
		target, ok := d.pickTarget(c, first)
		if !ok {
			return nil, c.recordError(errNoTarget)
		}
		targetResponse, err := d.attempt(ctx, c, target)
		if err == nil && !d.shouldRetryResponse(c, targetResponse) {
			return targetResponse, nil
		}
		if err != nil {
			c.recordError(err)
			if ctx.Err() != nil || !d.shouldRetryError(c, err) || c.isRejectedOften(err) {
				return nil, c.reportedErr
			}
		}
		if err != nil && !c.mayQueue && rejectedByDaemon(err) {
			c.busy[target.Instance] = true
		} else {
			c.excluded[target.Instance] = true
		}
	}
	return nil, c.reportedErr
}

// pickTarget chooses the target of the next attempt.
func (d *Dispatcher) pickTarget(c *call, first bool) (chooser.Choice, bool) {
	pool := d.Pool(c.service)
	req := chooser.Request{
		Rule:       c.rule.Name,
		Service:    c.service,
		Attempts:   c.attempts,
		Bytes:      c.request.Body.Len(),
		AwaitsTurn: carrier.AwaitsTurn(c.request.Body.Len()),
		Exclude:    func(instance string) bool { return c.excluded[instance] || (!c.mayQueue && c.busy[instance]) },
	}
	if c.plan.Patience >= patientFactor {
		req.Objective = c.rule.Objective
	}
	if first {
		c.canary = len(pool.Canary) > 0 && d.useCanary(c.service, pool.Share)
	}
	if choice, ok := d.pickFromPool(c, pool, req); ok && c.attempts < noQueueAttempts {
		return choice, true
	}
	c.mayQueue = true
	return d.pickFromPool(c, pool, req)
}

// pickFromPool chooses from the canary or the baseline targets. Canary requests
// fall back to the baseline. Baseline requests fall back to the canary only if
// its share is 1.
func (d *Dispatcher) pickFromPool(c *call, pool Pool, req chooser.Request) (chooser.Choice, bool) {
	targets, fallback := pool.Targets, pool.Canary
	if c.canary {
		targets, fallback = fallback, targets
	}
	if choice, ok := d.Chooser.Pick(targets, req); ok {
		return choice, true
	}
	if !c.canary && pool.Share < 1 {
		return chooser.Choice{}, false
	}
	return d.Chooser.Pick(fallback, req)
}

// attempt sends the request once, to the daemon of one target.
func (d *Dispatcher) attempt(ctx context.Context, c *call, t chooser.Choice) (*carrier.TargetResponse, error) {
	c.attempts++
	c.lastTarget = t.Target
	a := d.newAttempt(c, t)
	ctx, ended := d.inFlight.add(ctx, c, t.Daemon)
	defer ended()
	d.Chooser.RequestStarted(t.Instance)
	var targetResponse *carrier.TargetResponse
	var err error
	if t.Daemon == d.Daemon {
		targetResponse, err = d.Deliver(ctx, a)
	} else {
		targetResponse, err = d.Send(ctx, t.Address, a)
	}
	d.Chooser.RequestEnded(t.Instance)
	if err != nil {
		d.recordFailure(ctx, c, t.Target, carrier.NewFailure(err))
		return nil, err
	}
	c.recordDelivery()
	c.responses = append(c.responses, targetResponse)
	d.Chooser.RecordLoad(t.Instance, c.rule.Name, targetResponse.Load)
	return targetResponse, nil
}

// recordFailure updates the state of the request and of the target after a
// failed attempt.
func (d *Dispatcher) recordFailure(ctx context.Context, c *call, t chooser.Target, f *carrier.Failure) {
	if f.Arrived {
		c.recordDelivery()
	}
	switch {
	case f.Reported:
		d.Chooser.RecordLoad(t.Instance, c.rule.Name, f.Load)
		if f.Verdict == classifier.NotRun && (c.retryAfter == 0 || f.RetryAfter < c.retryAfter) {
			c.retryAfter = f.RetryAfter
		}
	case !forwarder.ClientGone(ctx):
		d.Chooser.RecordUnreachable(t.Instance)
	}
}
