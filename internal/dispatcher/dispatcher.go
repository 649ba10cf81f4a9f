// Package dispatcher answers clients' requests: it finds the rule of each, sends
// it to a target's daemon, and repeats what may be repeated.
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Bounds of one request.
const (
	// maxSends bounds the daemons that one request is sent to.
	maxSends = 6
	// eagerSends is the number of daemons that are asked for a slot before the
	// request queues at one for as long as it can.
	eagerSends = 3
	// answerMargin is kept of a request's time to write the answer.
	answerMargin = 5 * time.Millisecond
	// minPause and maxPause bound what a refused client is asked to wait.
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
	// startPause is what a client is asked to wait before a configuration is
	// known; a daemon reads one within a second of its start.
	startPause = 250 * time.Millisecond
)

// Client is what a request says of its client.
type Client struct {
	// ID is the client's name for the request.
	ID string
	// Left is the time that the client waits; 0 means that it doesn't say.
	Left time.Duration
}

// Pool is the targets that a service's requests may go to.
type Pool struct {
	Targets []chooser.Target
	// Trial is the targets of a version that is being moved to, and Share the
	// part of the requests that it gets.
	Trial []chooser.Target
	Share float64
}

// Dispatcher answers clients' requests.
type Dispatcher struct {
	// Daemon names the dispatcher's own VM, and Caller the service on it.
	Daemon string
	Caller string
	// Plan returns the plan in force, or nil before there is one.
	Plan func() *matcher.Plan
	// Pool returns a service's targets.
	Pool func(service string) Pool
	// Client reads what a request says of its client.
	Client func(h http.Header) (Client, error)
	// Send sends an order to another VM's daemon, and Deliver hands one to the
	// target on the own VM.
	Send    func(ctx context.Context, address string, o *carrier.Order) (*carrier.Answer, error)
	Deliver carrier.Deliver
	Chooser *chooser.Chooser
	Budget  *Budget
	Clock   timekeeper.Clock
	// Observe is told how each request has ended.
	Observe func(e Ending)

	mu     sync.Mutex
	splits map[string]*matcher.Splitter
	trials map[string]float64
}

// Ending is how a request has ended.
type Ending struct {
	ID      string
	Rule    string
	Service string
	Status  int
	// Plan is the version of the plan that it was handled by.
	Plan uint64
	// Daemon and Instance say where it was sent last, after Sends sends.
	Daemon   string
	Instance string
	Sends    int
	Duration time.Duration
	// Err is why it was not answered by a target.
	Err error
}

var (
	errNoPlan   = classifier.Fail(classifier.NotRun, "no configuration yet", nil)
	errNoRule   = classifier.Fail(classifier.NotRun, "no rule for this host and path", nil)
	errNoTarget = classifier.Fail(classifier.NotRun, "no target takes this", nil)
	errExpired  = classifier.Fail(classifier.NotRun, "time ran out before it was sent", nil)
	errHeaders  = classifier.Fail(classifier.NotRun, "bad request headers", nil)
)

// Handle answers one request.
func (d *Dispatcher) Handle(ctx context.Context, r *receiver.Request) *receiver.Response {
	c := &call{
		request: r,
		avoid:   map[string]bool{},
		busy:    map[string]bool{},
	}
	answer, err := d.handle(ctx, c)
	if err != nil && c.failure != nil {
		answer, err = c.failure, nil
	}
	var resp *receiver.Response
	switch {
	case err == nil:
		resp = &receiver.Response{
			Status: answer.Status,
			Header: answer.Header,
			Body:   answer.Body,
		}
	default:
		resp = c.refuse(err, d.Clock.Now())
	}
	d.observe(c, resp.Status, err)
	return resp
}

func (d *Dispatcher) observe(c *call, status int, err error) {
	e := Ending{
		ID:       c.client.ID,
		Service:  c.service,
		Status:   status,
		Daemon:   c.last.Daemon,
		Instance: c.last.Instance,
		Sends:    c.sends,
		Duration: d.Clock.Now().Sub(c.request.Began),
		Err:      err,
	}
	if c.plan != nil {
		e.Plan = c.plan.Version
	}
	if c.rule != nil {
		e.Rule = c.rule.Name
	}
	d.Observe(e)
}

// handle finds the request's rule and sends it.
func (d *Dispatcher) handle(ctx context.Context, c *call) (*carrier.Answer, error) {
	var err error
	if c.client, err = d.Client(c.request.Header); err != nil {
		return nil, errHeaders
	}
	if c.plan = d.Plan(); c.plan == nil {
		c.pause = startPause
		return nil, errNoPlan
	}
	rule, ok := c.plan.Match(c.request.Host, c.request.URL.Path)
	if !ok {
		return nil, errNoRule
	}
	c.rule = rule
	left := rule.Timeout
	if c.client.Left > 0 {
		left = min(left, c.client.Left)
	}
	c.deadline = c.request.Began.Add(left - answerMargin)
	c.service = d.split(rule)
	d.Budget.Earn(c.service)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return d.send(ctx, c)
}

// split deals the request to one of the rule's parts.
func (d *Dispatcher) split(rule *matcher.Rule) string {
	if len(rule.Parts) == 1 {
		return rule.Parts[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.splits == nil {
		d.splits = map[string]*matcher.Splitter{}
	}
	s, ok := d.splits[rule.Name]
	if !ok {
		s = &matcher.Splitter{}
		d.splits[rule.Name] = s
	}
	return rule.Parts[s.Next(rule.Parts)].Service
}

// toTrial reports whether a request goes to the version that is being moved to.
func (d *Dispatcher) toTrial(service string, share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.trials == nil {
		d.trials = map[string]float64{}
	}
	credit := d.trials[service] + share
	chosen := credit >= 1
	if chosen {
		credit--
	}
	d.trials[service] = min(credit, 1)
	return chosen
}

// send sends the request until it is answered or may not be sent again.
func (d *Dispatcher) send(ctx context.Context, c *call) (*carrier.Answer, error) {
	for first := true; c.sends < maxSends; first = false {
		if d.Clock.Now().After(c.deadline) {
			return nil, c.failed(errExpired)
		}
		target, ok := d.pick(c, first)
		if !ok {
			return nil, c.failed(errNoTarget)
		}
		answer, err := d.try(ctx, c, target)
		if err == nil && !d.repeatAnswer(c, answer) {
			return answer, nil
		}
		if err != nil {
			c.failed(err)
			if ctx.Err() != nil || !d.mayRepeat(c, err) {
				return nil, c.worst
			}
		}
		if err != nil && !c.wait && refused(err) {
			c.busy[target.Instance] = true
		} else {
			c.avoid[target.Instance] = true
		}
	}
	return nil, c.worst
}

// pick chooses the next target.
func (d *Dispatcher) pick(c *call, first bool) (chooser.Choice, bool) {
	pool := d.Pool(c.service)
	wanted := chooser.Wanted{
		Rule:  c.rule.Name,
		Bytes: len(c.request.Body),
		Avoid: func(instance string) bool { return c.avoid[instance] || (!c.wait && c.busy[instance]) },
	}
	if first {
		c.trial = len(pool.Trial) > 0 && d.toTrial(c.service, pool.Share)
	}
	if choice, ok := d.pickFrom(c, pool, wanted); ok && c.sends < eagerSends {
		return choice, true
	}
	c.wait = true
	return d.pickFrom(c, pool, wanted)
}

// pickFrom chooses from the request's part of the pool. Requests of the trial
// fall back on the other targets, and the others on the trial only where it
// gets all.
func (d *Dispatcher) pickFrom(c *call, pool Pool, w chooser.Wanted) (chooser.Choice, bool) {
	targets, others := pool.Targets, pool.Trial
	if c.trial {
		targets, others = others, targets
	}
	if choice, ok := d.Chooser.Pick(targets, w); ok {
		return choice, true
	}
	if !c.trial && pool.Share < 1 {
		return chooser.Choice{}, false
	}
	return d.Chooser.Pick(others, w)
}

// try sends the request to one target's daemon.
func (d *Dispatcher) try(ctx context.Context, c *call, t chooser.Choice) (*carrier.Answer, error) {
	c.sends++
	c.last = t.Target
	o := d.order(c, t)
	d.Chooser.Started(t.Instance)
	var answer *carrier.Answer
	var err error
	if t.Daemon == d.Daemon {
		answer, err = d.Deliver(ctx, o)
	} else {
		answer, err = d.Send(ctx, t.Address, o)
	}
	d.Chooser.Ended(t.Instance)
	if err != nil {
		d.learn(ctx, c, t.Target, carrier.Fail(err))
		return nil, err
	}
	c.arrivals++
	d.Chooser.Heard(t.Instance, c.rule.Name, answer.Load)
	return answer, nil
}

// learn takes in what a failure says of the target.
func (d *Dispatcher) learn(ctx context.Context, c *call, t chooser.Target, f *carrier.Failure) {
	if f.Arrived {
		c.arrivals++
	}
	switch {
	case f.Told:
		d.Chooser.Heard(t.Instance, c.rule.Name, f.Load)
		if f.Verdict == classifier.NotRun && (c.pause == 0 || f.Pause < c.pause) {
			c.pause = f.Pause
		}
	case ctx.Err() == nil:
		d.Chooser.Unreachable(t.Instance)
	}
}
