package challenger

import (
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/retrier"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// call is one caller's request.
type call struct {
	fleet    *Fleet
	entry    *entry
	once     bool
	deadline time.Time
	// work is the time that a warm target takes for it.
	work     time.Duration
	measured bool

	// unclear counts the tries that may have run.
	tries, unclear int

	tried []string
	runs  int
	// worst is the failure of the tries that promises least.
	worst error
	done  bool
}

// call makes a call at a random entry. All draws are made here, so that they
// are the same under all policies.
func (f *Fleet) call() {
	now := f.loop.clock.Now()
	c := &call{
		fleet:    f,
		entry:    f.entries[f.random.IntN(len(f.entries))],
		once:     f.random.Float64() < onceShare,
		deadline: now.Add(f.limit),
		work:     time.Duration(f.random.ExpFloat64() * float64(service)),
		measured: !now.Before(f.from) && now.Before(f.until),
	}
	if c.measured {
		f.result.Calls++
	}
	f.loop.at(c.deadline, func() { c.fail(classifier.Fail(classifier.MayHaveRun, "no answer in time", nil)) })
	if f.policy.Plain {
		c.sendPlain()
		return
	}
	c.send()
}

// answer ends the call with a whole answer.
func (c *call) answer(took time.Duration) {
	if c.done {
		return
	}
	c.done = true
	if c.measured {
		c.fleet.result.InTime++
		c.fleet.result.Useful += took
		c.fleet.result.Took = append(c.fleet.result.Took, c.fleet.loop.clock.Now().Sub(c.deadline.Add(-c.fleet.limit)))
	}
}

// fail ends the call without an answer.
func (c *call) fail(err error) {
	if c.done {
		return
	}
	c.done = true
	if !c.measured {
		return
	}
	r := &c.fleet.result
	if classifier.Of(retrier.Worse(c.worst, err)) == classifier.NotRun {
		r.NotRun++
		if c.runs > 0 {
			r.Untrue++
		}
	}
}

// count counts a try that goes to a target's VM.
func (c *call) count() {
	c.tries++
	if c.measured {
		c.fleet.result.Tries++
	}
}

// started counts a once-request that starts for the second time.
func (c *call) started() {
	if c.once && c.runs == 2 && c.measured {
		c.fleet.result.Twice++
	}
}

// try is a try of a call, in one or several copies.
type try struct {
	call   *call
	copies []*copied
	// left counts the copies that have not ended.
	left int
	err  error
}

// copied is a request at one target.
type copied struct {
	try     *try
	choice  balancer.Choice
	target  *target
	request *limiter.Request
	run     *run
	ended   bool
}

// send makes a try through the balancer.
func (c *call) send() {
	t := &try{call: c}
	for range c.copies() {
		choice, ok := c.pick()
		if !ok {
			break
		}
		c.tried = append(c.tried, choice.ID)
		t.copies = append(t.copies, &copied{
			try:    t,
			choice: choice,
			target: c.fleet.joined[choice.Index],
		})
	}
	t.left = len(t.copies)
	if t.left == 0 {
		c.fail(classifier.Fail(classifier.NotRun, "no target serves this", nil))
		return
	}
	c.count()
	for _, p := range t.copies {
		c.fleet.loop.after(distance(c.entry.dc, p.target.dc), p.arrive)
	}
}

func (c *call) copies() int {
	if c.once {
		return 1
	}
	return max(1, c.fleet.policy.Copies)
}

func (c *call) pick() (balancer.Choice, bool) {
	joined := c.fleet.joined
	return c.entry.balancer.Pick(balancer.Source{
		Token: &joined[0],
		Count: len(joined),
		Candidate: func(i int) balancer.Candidate {
			return balancer.Candidate{
				ID:    joined[i].id,
				Near:  joined[i].dc == c.entry.dc,
				Slots: slots,
			}
		},
		Avoid: func(id string) bool { return slices.Contains(c.tried, id) },
		Once:  c.once,
	})
}

// arrive asks for a slot at the target's daemon.
func (p *copied) arrive() {
	if p.target.down {
		p.reply(balancer.Unreachable, classifier.Fail(classifier.NotRun, "no connection", nil))
		return
	}
	c := p.try.call
	f := c.fleet
	p.request = &limiter.Request{Granted: p.granted}
	if f.policy.Patience == nil {
		p.request.Deadline = c.deadline
	}
	p.target.limiter.Offer(p.request)
	if p.run != nil || p.ended {
		return
	}
	patience := p.target.limiter.Patience(p.request)
	if f.policy.Patience != nil {
		left := c.deadline.Sub(f.loop.clock.Now())
		patience = f.policy.Patience(f.patience, left)
	}
	f.loop.after(patience, func() { p.target.limiter.Withdraw(p.request) })
}

// granted starts the request or passes its refusal on.
func (p *copied) granted(ticket *limiter.Ticket, err error) {
	if err != nil {
		p.reply(balancer.Refused, err)
		return
	}
	c := p.try.call
	p.run = p.target.start(c, func(o limiter.Outcome) {
		ticket.Done(o)
		p.finished(o)
	})
	c.started()
	c.fleet.loop.at(c.deadline, func() { p.run.end(limiter.Outcome{Failed: true, Cut: true}) })
	p.cancelOthers()
}

// cancelOthers tells the other copies of the try that this one has started.
func (p *copied) cancelOthers() {
	f := p.try.call.fleet
	for _, o := range p.try.copies {
		if o == p {
			continue
		}
		f.loop.after(f.policy.CancelDelay, o.cancel)
	}
}

// cancel withdraws a copy that waits. One that runs too goes on if it was the
// first to start.
func (p *copied) cancel() {
	switch {
	case p.ended:
	case p.run == nil && p.request != nil:
		p.target.limiter.Withdraw(p.request)
	case p.run != nil && p != p.try.first():
		p.run.end(limiter.Outcome{Cut: true})
	}
}

// first returns the copy that started first.
func (t *try) first() *copied {
	var first *copied
	for _, p := range t.copies {
		if p.run != nil && (first == nil || p.run.start.Before(first.run.start)) {
			first = p
		}
	}
	return first
}

// finished replies after the request has run.
func (p *copied) finished(o limiter.Outcome) {
	switch {
	case o.Cut:
		p.reply(balancer.Cut, classifier.Fail(classifier.MayHaveRun, "cut", nil))
	case o.Failed:
		p.reply(balancer.Failed, classifier.Fail(classifier.Ran, "failed", nil))
	default:
		p.reply(balancer.Good, nil)
	}
}

// reply carries the end of a copy back to the entry.
func (p *copied) reply(r balancer.Result, err error) {
	if p.ended {
		return
	}
	p.ended = true
	heard := balancer.Headroom{
		Free:      p.target.limiter.Headroom(),
		Allowance: p.target.limiter.Allowance(),
	}
	c := p.try.call
	c.fleet.loop.after(distance(c.entry.dc, p.target.dc), func() {
		if r != balancer.Unreachable {
			c.entry.balancer.Heard(p.choice, heard)
		}
		c.entry.balancer.Finished(p.choice, r)
		p.try.end(p, err)
	})
}

// end ends the try when a copy was answered or when all have failed.
func (t *try) end(p *copied, err error) {
	t.left--
	if err == nil {
		t.call.entry.retrier.Succeeded("")
		t.call.answer(p.run.took)
		return
	}
	t.err = retrier.Worse(t.err, err)
	if t.left == 0 && !t.call.done {
		t.call.retry(t.err)
	}
}

// retry makes another try if the retrier allows it.
func (c *call) retry(err error) {
	c.worst = retrier.Worse(c.worst, err)
	if classifier.Of(err) == classifier.MayHaveRun {
		c.unclear++
	}
	allowed := c.entry.retrier.Allow("", retrier.Try{
		Once:       c.once,
		Verdict:    classifier.Of(err),
		Tries:      c.tries,
		Unclear:    c.unclear,
		Left:       c.deadline.Sub(c.fleet.loop.clock.Now()),
		Resendable: true,
	})
	if !allowed {
		c.fail(err)
		return
	}
	c.send()
}

// plainRetries is the number of the baseline's retries.
const plainRetries = 3

// sendPlain makes a try of the baseline.
func (c *call) sendPlain() {
	f := c.fleet
	t := f.joined[c.entry.next%len(f.joined)]
	c.entry.next++
	c.count()
	way := distance(c.entry.dc, t.dc)
	f.loop.after(way, func() {
		if t.down || t.running >= connections {
			f.loop.after(way, c.retryPlain)
			return
		}
		r := t.start(c, func(o limiter.Outcome) { f.loop.after(way, func() { c.endPlain(o) }) })
		c.started()
		f.loop.at(c.deadline, func() { r.end(limiter.Outcome{Cut: true}) })
	})
}

func (c *call) endPlain(o limiter.Outcome) {
	switch {
	case o.Cut:
	case o.Failed:
		c.retryPlain()
	default:
		c.answer(o.Duration)
	}
}

func (c *call) retryPlain() {
	if c.done {
		return
	}
	if c.tries > plainRetries {
		c.fail(classifier.Fail(classifier.MayHaveRun, "failed", nil))
		return
	}
	c.sendPlain()
}
