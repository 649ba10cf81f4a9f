package dispatcher

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// call is the state of one client request while it is forwarded.
type call struct {
	client  Client
	plan    *matcher.Plan
	rule    *matcher.Rule
	service string
	request *receiver.Request
	// uri is the path with the query, as the client has sent it.
	uri string
	// header holds the headers to forward.
	header http.Header
	// identity is that of the customer, stated at the time identified, and priority that of
	// the request.
	identity   authenticator.Identity
	identified timekeeper.Reading
	priority   int
	deadline   time.Time
	canary     bool
	// patient means that the client has the time to come back after a rejection. nested means
	// that the local target makes the request while it runs another one, under a plan with
	// patient rules.
	patient, nested bool
	// late means that the client has waited for longer than its objective already.
	late bool
	// rejections counts the rejections by daemons whose targets have no free slot.
	rejections int
	// excluded holds the instances that must not get the request again, and busy
	// those that had no free slot for it.
	excluded, busy map[string]bool
	// mayQueue lets attempts queue for a slot until the deadline. It is set when all
	// targets are busy or excluded, or after noQueueAttempts attempts.
	mayQueue bool
	// attempts counts all attempts, and deliveries those that may have reached a
	// target.
	attempts, deliveries int
	lastTarget           chooser.Target
	// retryAfter is the retry delay to report: the shortest one that a daemon has
	// returned with a rejection, or startupRetryAfter while no configuration is
	// loaded.
	retryAfter time.Duration
	// reportedErr is the error to report: the first one whose verdict is not
	// NotRun, or else the latest one.
	reportedErr error
	// retryReserved is set when a retry has been taken from the budget before the
	// attempt that it follows was cancelled.
	retryReserved atomic.Bool
	// retryPaid means that a retry has been taken from the budget for an attempt that
	// has not reached a target.
	retryPaid bool
	// failedResponse is a target's response with a 5xx status.
	failedResponse *carrier.TargetResponse
	// responses holds the responses whose memory has not been released.
	responses []*carrier.TargetResponse
}

// requestTarget returns the path with the query of a request target, without a change of
// its bytes. A target in absolute form loses its scheme and authority.
func requestTarget(target string) string {
	_, rest, ok := strings.Cut(target, "://")
	if strings.HasPrefix(target, "/") || !ok {
		return target
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// recordDelivery records that an attempt may have reached a target.
func (c *call) recordDelivery() {
	c.deliveries++
	c.retryPaid = false
}

// release releases the memory of all responses.
func (c *call) release() {
	for _, r := range c.responses {
		r.Release()
	}
}

// rejectedByDaemon reports whether a target's daemon rejected a request before
// it reached the target.
func rejectedByDaemon(err error) bool {
	f := carrier.NewFailure(err)
	return f.Reported && !f.Arrived
}

func (d *Dispatcher) newAttempt(c *call, t chooser.Choice) *carrier.Attempt {
	r := c.request
	objective := r.Began.Add(c.rule.Objective)
	queueTimeout := t.QueueTimeout
	switch {
	case c.limitsRejections():
		queueTimeout = max(queueTimeout, d.worthwhileWait(c, objective))
	case c.mayQueue:
		queueTimeout = time.Until(c.deadline)
	}
	var baseline time.Duration
	if c.canary {
		baseline = d.Chooser.ServiceTimeAt(c.rule.Name, d.Pool(c.service).Targets)
	}
	return &carrier.Attempt{
		ID:         c.client.ID,
		Service:    c.service,
		Version:    t.Version,
		Instance:   t.Instance,
		Rule:       c.rule.Name,
		Kind:       c.rule.Kind,
		Priority:   c.priority,
		Nested:     c.nested,
		Patient:    c.patient,
		Late:       c.late,
		Caller:     d.Caller,
		Identity:   c.identity,
		Identified: c.identified,
		Deadline:   c.deadline,
		Objective:  objective,
		MaxWait:    queueTimeout,
		Baseline:   baseline,
		MayGiveUp:  d.mayGiveUp(c),
		Method:     r.Method,
		URI:        c.uri,
		Host:       r.Host,
		Header:     c.header,
		Body:       r.Body,
	}
}

// shouldRetryResponse reports whether a response is a failure to retry at
// another target. If so, it takes the retry from the budget.
func (d *Dispatcher) shouldRetryResponse(c *call, resp *carrier.TargetResponse) bool {
	if resp.Status < http.StatusInternalServerError || resp.Status == http.StatusGatewayTimeout || c.rule.Kind != matcher.Idempotent {
		return false
	}
	c.failedResponse = resp
	c.retryPaid = d.reserveRetry(c, c.deliveries, ranCost)
	return c.retryPaid
}

// mayGiveUp returns the function that decides whether the next attempt may be cancelled
// because its daemon is silent: only if the request will be retried. It takes the retry
// from the budget.
func (d *Dispatcher) mayGiveUp(c *call) func(classifier.Verdict) bool {
	deliveries := c.deliveries
	return func(v classifier.Verdict) bool {
		switch {
		case v == classifier.NotRun && deliveries == 0:
			return true
		case v == classifier.NotRun:
			c.retryReserved.Store(d.reserveRetry(c, deliveries, notRunCost))
		case c.rule.Kind == matcher.Idempotent:
			c.retryReserved.Store(d.reserveRetry(c, deliveries+1, ranCost))
		}
		return c.retryReserved.Load()
	}
}

// shouldRetryError reports whether a request without a response may be sent
// again. If so, and if an attempt may have reached a target, it takes the retry
// from the budget. A retry that has not reached a daemon is not paid again.
func (d *Dispatcher) shouldRetryError(c *call, err error) bool {
	f := carrier.NewFailure(err)
	if f.Verdict != classifier.NotRun && c.rule.Kind != matcher.Idempotent {
		return false
	}
	switch {
	case c.retryReserved.Swap(false):
		c.retryPaid = true
	case c.deliveries == 0:
		return true
	case c.retryPaid && f.Verdict == classifier.NotRun && !f.Reported && !f.Arrived:
		return d.hasTimeForRetry(c)
	case f.Verdict == classifier.NotRun:
		c.retryPaid = d.reserveRetry(c, c.deliveries, notRunCost)
	default:
		c.retryPaid = d.reserveRetry(c, c.deliveries, ranCost)
	}
	return c.retryPaid
}

// reserveRetry takes a retry from the budget and reports whether it could. A
// request that has reached MaxAttempts deliveries or has too little time left
// gets none.
func (d *Dispatcher) reserveRetry(c *call, deliveries int, cost float64) bool {
	if deliveries >= c.rule.MaxAttempts {
		return false
	}
	return d.hasTimeForRetry(c) && d.RetryBudget.TryWithdraw(c.service, cost)
}

// hasTimeForRetry reports whether a retry could end before the deadline.
func (d *Dispatcher) hasTimeForRetry(c *call) bool {
	return !d.Clock.Now().Add(d.Chooser.MeanServiceTime(c.rule.Name) / 2).After(c.deadline)
}

// recordError updates and returns the error to report for the request.
func (c *call) recordError(err error) error {
	if c.reportedErr == nil || classifier.VerdictOf(c.reportedErr) == classifier.NotRun {
		c.reportedErr = err
	}
	return c.reportedErr
}

// errorResponse returns the response to a request that no target has answered.
func (c *call) errorResponse(err error, now time.Time) *receiver.Response {
	h := http.Header{}
	status := http.StatusBadGateway
	switch {
	case err == errNoRule:
		status = http.StatusNotFound
	case err == errBadHeaders, err == errBadTarget:
		status = http.StatusBadRequest
	case isKeyRefused(err):
		status = http.StatusUnauthorized
		h.Set("WWW-Authenticate", "ApiKey")
	case classifier.VerdictOf(err) == classifier.NotRun:
		status = http.StatusServiceUnavailable
		retryAfter := min(maxRetryAfter, max(minRetryAfter, c.retryAfter))
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	case c.deadline.Before(now):
		status = http.StatusGatewayTimeout
	}
	return &receiver.Response{
		Status: status,
		Header: h,
	}
}
