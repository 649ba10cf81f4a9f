package dispatcher

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// call is one request on its way.
type call struct {
	client   Client
	plan     *matcher.Plan
	rule     *matcher.Rule
	service  string
	request  *receiver.Request
	deadline time.Time
	trial    bool
	// avoid holds the instances that it must not be sent to again, and busy
	// those that had no slot free for it.
	avoid, busy map[string]bool
	// wait lets it queue: no target had a slot free.
	wait bool
	// sends counts the daemons it was sent to, arrivals the targets that it may
	// have reached.
	sends, arrivals int
	last            chooser.Target
	// pause is the shortest wait that a refusing daemon has named.
	pause time.Duration
	// worst is the failure that promises least.
	worst error
	// failure is a target's answer that says that it has failed the request.
	failure *carrier.Answer
}

// refused reports whether a target's daemon turned a request away before it had
// reached the target.
func refused(err error) bool {
	f := carrier.Fail(err)
	return f.Told && !f.Arrived
}

func (d *Dispatcher) order(c *call, t chooser.Choice) *carrier.Order {
	patience := t.Margin
	if c.wait {
		patience = time.Until(c.deadline)
	}
	r := c.request
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	return &carrier.Order{
		ID:        c.client.ID,
		Service:   c.service,
		Version:   t.Version,
		Instance:  t.Instance,
		Rule:      c.rule.Name,
		Kind:      c.rule.Kind,
		Rank:      c.rule.Rank,
		Caller:    d.Caller,
		Deadline:  c.deadline,
		Objective: r.Began.Add(c.rule.Objective),
		Patience:  patience,
		Method:    r.Method,
		URI:       uri,
		Host:      r.Host,
		Header:    r.Header,
		Body:      r.Body,
	}
}

// repeatAnswer reports whether an answer is a failure that is to be tried at
// another target.
func (d *Dispatcher) repeatAnswer(c *call, a *carrier.Answer) bool {
	if a.Status < http.StatusInternalServerError || a.Status == http.StatusGatewayTimeout || c.rule.Kind != matcher.Idempotent {
		return false
	}
	c.failure = a
	return d.affordable(c, ranCost)
}

// mayRepeat reports whether a request that was not answered may be sent again.
func (d *Dispatcher) mayRepeat(c *call, err error) bool {
	if classifier.Of(err) != classifier.NotRun && c.rule.Kind != matcher.Idempotent {
		return false
	}
	switch {
	case c.arrivals == 0:
		return true
	case classifier.Of(err) == classifier.NotRun:
		return d.affordable(c, notRunCost)
	default:
		return d.affordable(c, ranCost)
	}
}

// affordable takes a repeat from the budget if the request may reach one more
// target and has time left for it.
func (d *Dispatcher) affordable(c *call, cost float64) bool {
	if c.arrivals >= c.rule.Attempts {
		return false
	}
	if d.Clock.Now().Add(d.Chooser.Expected(c.rule.Name) / 2).After(c.deadline) {
		return false
	}
	return d.Budget.Spend(c.service, cost)
}

// failed notes a failure and returns the one of the request that promises
// least.
func (c *call) failed(err error) error {
	if c.worst == nil || classifier.Of(c.worst) == classifier.NotRun {
		c.worst = err
	}
	return c.worst
}

// refuse is the final answer to a request that no target has answered.
func (c *call) refuse(err error, now time.Time) *receiver.Response {
	h := http.Header{}
	status := http.StatusBadGateway
	switch {
	case err == errNoRule:
		status = http.StatusNotFound
	case err == errHeaders:
		status = http.StatusBadRequest
	case classifier.Of(err) == classifier.NotRun:
		status = http.StatusServiceUnavailable
		pause := min(maxPause, max(minPause, c.pause))
		h.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	case c.deadline.Before(now):
		status = http.StatusGatewayTimeout
	}
	return &receiver.Response{
		Status: status,
		Header: h,
	}
}
