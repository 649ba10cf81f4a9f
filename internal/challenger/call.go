package challenger

import (
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/retrier"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// call is one caller's request, with its attempts.
type call struct {
	fleet         *Fleet
	entry         *entry
	nonIdempotent bool
	deadline      time.Time
	// work is the processing time at a warm target.
	work     time.Duration
	measured bool

	// mayHaveRun is the number of attempts that may have run.
	attempts, mayHaveRun int

	// triedIDs contains the IDs of the targets that got an attempt.
	triedIDs []string
	// runs is the number of runs that targets have started.
	runs int
	// worstErr is the attempts' error with the weakest guarantee; see
	// retrier.WorseError.
	worstErr error
	done     bool
}

// call starts a call at a random entry. It draws all random values of the call, so
// that they are the same under all policies.
func (f *Fleet) call() {
	now := f.loop.clock.Now()
	c := &call{
		fleet:         f,
		entry:         f.entries[f.random.IntN(len(f.entries))],
		nonIdempotent: f.random.Float64() < nonIdempotentShare,
		deadline:      now.Add(f.callTimeout),
		work:          time.Duration(f.random.ExpFloat64() * float64(meanServiceTime)),
		measured:      !now.Before(f.measuredFrom) && now.Before(f.measuredUntil),
	}
	if c.measured {
		f.result.Calls++
	}
	f.loop.at(c.deadline, func() { c.fail(classifier.NewFailure(classifier.MayHaveRun, "no answer in time", nil)) })
	if f.policy.Baseline {
		c.sendBaseline()
		return
	}
	c.sendAttempt()
}

// succeed ends the call with a complete response.
func (c *call) succeed(duration time.Duration) {
	if c.done {
		return
	}
	c.done = true
	if c.measured {
		c.fleet.result.InTime++
		c.fleet.result.UsefulWork += duration
		c.fleet.result.Latencies = append(c.fleet.result.Latencies, c.fleet.loop.clock.Now().Sub(c.deadline.Add(-c.fleet.callTimeout)))
	}
}

// fail ends the call without a response.
func (c *call) fail(err error) {
	if c.done {
		return
	}
	c.done = true
	if !c.measured {
		return
	}
	r := &c.fleet.result
	if classifier.VerdictOf(retrier.WorseError(c.worstErr, err)) == classifier.NotRun {
		r.NotRun++
		if c.runs > 0 {
			r.WrongNotRun++
		}
	}
}

// countAttempt counts an attempt that is sent to a target's VM.
func (c *call) countAttempt() {
	c.attempts++
	if c.measured {
		c.fleet.result.Attempts++
	}
}

// countRepeatedRun counts a non-idempotent call whose second run has just started.
func (c *call) countRepeatedRun() {
	if c.nonIdempotent && c.runs == 2 && c.measured {
		c.fleet.result.RepeatedRuns++
	}
}

// attempt is one attempt of a call. It is sent to one target or, with replicas, to
// several.
type attempt struct {
	call     *call
	replicas []*replica
	// pending is the number of replicas that have not ended.
	pending int
	err     error
}

// replica is the request of an attempt at one target.
type replica struct {
	attempt *attempt
	choice  balancer.Choice
	target  *target
	request *limiter.Request
	run     *run
	ended   bool
}

// sendAttempt makes an attempt at targets that the balancer chooses.
func (c *call) sendAttempt() {
	a := &attempt{call: c}
	for range c.replicas() {
		choice, ok := c.pick()
		if !ok {
			break
		}
		c.triedIDs = append(c.triedIDs, choice.ID)
		a.replicas = append(a.replicas, &replica{
			attempt: a,
			choice:  choice,
			target:  c.fleet.joined[choice.Index],
		})
	}
	a.pending = len(a.replicas)
	if a.pending == 0 {
		c.fail(classifier.NewFailure(classifier.NotRun, "no target serves this", nil))
		return
	}
	c.countAttempt()
	for _, rp := range a.replicas {
		c.fleet.loop.after(networkDelay(c.entry.dc, rp.target.dc), rp.requestSlot)
	}
}

func (c *call) replicas() int {
	if c.nonIdempotent {
		return 1
	}
	return max(1, c.fleet.policy.Replicas)
}

func (c *call) pick() (balancer.Choice, bool) {
	joined := c.fleet.joined
	return c.entry.balancer.Pick(balancer.Source{
		ListID: &joined[0],
		Count:  len(joined),
		Candidate: func(i int) balancer.Candidate {
			return balancer.Candidate{
				ID:     joined[i].id,
				SameDC: joined[i].dc == c.entry.dc,
				Slots:  slots,
			}
		},
		Avoid:         func(id string) bool { return slices.Contains(c.triedIDs, id) },
		NonIdempotent: c.nonIdempotent,
	})
}

// requestSlot requests a slot at the target's daemon when the request arrives there.
func (rp *replica) requestSlot() {
	if rp.target.unreachable {
		rp.reply(balancer.Unreachable, classifier.NewFailure(classifier.NotRun, "no connection", nil))
		return
	}
	c := rp.attempt.call
	f := c.fleet
	rp.request = &limiter.Request{OnResult: rp.handleSlotResult}
	if f.policy.QueueTimeout == nil {
		rp.request.Deadline = c.deadline
	}
	rp.target.limiter.Submit(rp.request)
	if rp.run != nil || rp.ended {
		return
	}
	queueTimeout := rp.target.limiter.QueueTimeout(rp.request)
	if f.policy.QueueTimeout != nil {
		timeLeft := c.deadline.Sub(f.loop.clock.Now())
		queueTimeout = f.policy.QueueTimeout(f.queueTimeout, timeLeft)
	}
	f.loop.after(queueTimeout, func() { rp.target.limiter.Cancel(rp.request) })
}

// handleSlotResult starts the request, or replies with the error if it was rejected.
func (rp *replica) handleSlotResult(ticket *limiter.Ticket, err error) {
	if err != nil {
		rp.reply(balancer.Refused, err)
		return
	}
	c := rp.attempt.call
	rp.run = rp.target.start(c, func(o limiter.Outcome) {
		ticket.Done(o)
		rp.runFinished(o)
	})
	c.countRepeatedRun()
	c.fleet.loop.at(c.deadline, func() { rp.run.end(limiter.Outcome{Failed: true, Aborted: true}) })
	rp.cancelOthers()
}

// cancelOthers cancels the attempt's other replicas after this one has started.
func (rp *replica) cancelOthers() {
	f := rp.attempt.call.fleet
	for _, o := range rp.attempt.replicas {
		if o == rp {
			continue
		}
		f.loop.after(f.policy.CancelDelay, o.cancel)
	}
}

// cancel withdraws a queued replica and aborts a running one, unless that was the
// first to start.
func (rp *replica) cancel() {
	switch {
	case rp.ended:
	case rp.run == nil && rp.request != nil:
		rp.target.limiter.Cancel(rp.request)
	case rp.run != nil && rp != rp.attempt.firstStarted():
		rp.run.end(limiter.Outcome{Aborted: true})
	}
}

// firstStarted returns the replica that started first.
func (a *attempt) firstStarted() *replica {
	var firstStarted *replica
	for _, rp := range a.replicas {
		if rp.run != nil && (firstStarted == nil || rp.run.start.Before(firstStarted.run.start)) {
			firstStarted = rp
		}
	}
	return firstStarted
}

// runFinished replies with the outcome of the run.
func (rp *replica) runFinished(o limiter.Outcome) {
	switch {
	case o.Aborted:
		rp.reply(balancer.Aborted, classifier.NewFailure(classifier.MayHaveRun, "cut", nil))
	case o.Failed:
		rp.reply(balancer.Failed, classifier.NewFailure(classifier.Ran, "failed", nil))
	default:
		rp.reply(balancer.Succeeded, nil)
	}
}

// reply sends the result of a replica to the entry.
func (rp *replica) reply(r balancer.Result, err error) {
	if rp.ended {
		return
	}
	rp.ended = true
	headroom := balancer.Headroom{
		Free:      rp.target.limiter.Headroom(),
		Allowance: rp.target.limiter.Allowance(),
	}
	c := rp.attempt.call
	c.fleet.loop.after(networkDelay(c.entry.dc, rp.target.dc), func() {
		if r != balancer.Unreachable {
			c.entry.balancer.RecordHeadroom(rp.choice, headroom)
		}
		c.entry.balancer.RecordResult(rp.choice, r)
		rp.attempt.end(rp, err)
	})
}

// end handles the end of a replica. The attempt ends when a replica has succeeded or
// all have failed.
func (a *attempt) end(rp *replica, err error) {
	a.pending--
	if err == nil {
		a.call.entry.retrier.RecordSuccess("")
		a.call.succeed(rp.run.duration)
		return
	}
	a.err = retrier.WorseError(a.err, err)
	if a.pending == 0 && !a.call.done {
		a.call.retry(a.err)
	}
}

// retry makes another attempt if the retrier allows it.
func (c *call) retry(err error) {
	c.worstErr = retrier.WorseError(c.worstErr, err)
	if classifier.VerdictOf(err) == classifier.MayHaveRun {
		c.mayHaveRun++
	}
	allowed := c.entry.retrier.Allow("", retrier.Attempt{
		NonIdempotent: c.nonIdempotent,
		Verdict:       classifier.VerdictOf(err),
		Attempts:      c.attempts,
		PossiblyRun:   c.mayHaveRun,
		TimeLeft:      c.deadline.Sub(c.fleet.loop.clock.Now()),
		Resendable:    true,
	})
	if !allowed {
		c.fail(err)
		return
	}
	c.sendAttempt()
}

// baselineRetries is the maximum number of retries of the baseline policy.
const baselineRetries = 3

// sendBaseline makes an attempt under the baseline policy.
func (c *call) sendBaseline() {
	f := c.fleet
	t := f.joined[c.entry.nextTarget%len(f.joined)]
	c.entry.nextTarget++
	c.countAttempt()
	delay := networkDelay(c.entry.dc, t.dc)
	f.loop.after(delay, func() {
		if t.unreachable || t.running >= maxBaselineRequests {
			f.loop.after(delay, c.retryBaseline)
			return
		}
		r := t.start(c, func(o limiter.Outcome) { f.loop.after(delay, func() { c.endBaseline(o) }) })
		c.countRepeatedRun()
		f.loop.at(c.deadline, func() { r.end(limiter.Outcome{Aborted: true}) })
	})
}

func (c *call) endBaseline(o limiter.Outcome) {
	switch {
	case o.Aborted:
	case o.Failed:
		c.retryBaseline()
	default:
		c.succeed(o.Duration)
	}
}

func (c *call) retryBaseline() {
	if c.done {
		return
	}
	if c.attempts > baselineRetries {
		c.fail(classifier.NewFailure(classifier.MayHaveRun, "failed", nil))
		return
	}
	c.sendBaseline()
}
