package dispatcher

import (
	"cmp"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/throttler"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

const (
	// patientFactor is the least ratio of a rule's timeout to its objective with which its
	// clients have the time to come back after a rejection.
	patientFactor = 2.75
	// maxRejections is the number of rejections for lack of a free slot after which a
	// patient request is rejected. The targets of a service are about equally busy then,
	// and each further attempt costs processor time at two daemons.
	maxRejections = 2
	// serviceMargin is the multiple of the mean service time within which most requests
	// are answered.
	serviceMargin = 1.5
	// firstWaitFraction is the largest part of the useful wait for which a request queues
	// at a target that is not the last one to be asked.
	firstWaitFraction = 0.5
	// maxPatience bounds the time that a client may state, as a multiple of the rule's
	// timeout, so that a client that states a very long one doesn't make all others late.
	maxPatience = 3
)

// isPatient reports whether a rule's clients have the time to come back after a rejection.
func isPatient(r *matcher.Rule) bool {
	return r.Patience() >= patientFactor
}

// limitsRejections reports whether the request is rejected after maxRejections. A nested
// request is not, since the work of the target that makes it would be lost.
func (c *call) limitsRejections() bool { return c.patient && !c.nested }

// isRejectedOften counts a rejection for lack of a free slot and reports whether the request
// must not be sent again.
func (c *call) isRejectedOften(err error) bool {
	f := carrier.NewFailure(err)
	if f.Verdict != classifier.NotRun || !f.Reported || f.Arrived || f.Load.Slots == 0 || f.Load.Running < f.Load.Slots {
		return false
	}
	c.rejections++
	return c.limitsRejections() && c.rejections >= maxRejections
}

// usefulWait returns how long a request may queue and still be answered by its objective,
// or, if that is longer, half a service time.
func (d *Dispatcher) usefulWait(c *call, objective time.Time) time.Duration {
	serviceTime := d.Chooser.MeanServiceTime(c.rule.Name)
	return max(serviceTime/2, objective.Sub(d.Clock.Now())-time.Duration(serviceMargin*float64(serviceTime)))
}

// worthwhileWait returns how long a request may queue at the next target: at the last one for
// as long as is useful, before that the longer the more requests find no free slot anywhere.
func (d *Dispatcher) worthwhileWait(c *call, objective time.Time) time.Duration {
	wait := d.usefulWait(c, objective)
	if c.rejections == maxRejections-1 {
		return wait
	}
	fraction := min(firstWaitFraction, 2*d.Throttler.Rejected(c.kind()))
	return time.Duration(fraction * float64(wait))
}

func (c *call) kind() throttler.Kind {
	return throttler.Kind{
		Service: c.service,
		Rule:    c.rule.Name,
		Late:    c.late,
	}
}

// isLate reports whether the client of a patient request has waited for longer than its
// objective already. A client that doesn't state its time has not.
func (d *Dispatcher) isLate(c *call) bool {
	left := min(c.client.TimeLeft, maxPatience*c.rule.Timeout)
	return c.limitsRejections() && left > 0 && d.Throttler.IsLate(c.kind(), left, c.rule.Objective)
}

// mayAsk reports whether a request may ask for a slot. A request whose client has less time
// left than the rule allows, or states no time, always may, since it hardly comes back.
func (d *Dispatcher) mayAsk(c *call) bool {
	if !c.limitsRejections() || c.client.TimeLeft < c.rule.Timeout {
		return true
	}
	return d.Throttler.Admit(c.kind())
}

// recordRoom records whether a patient request got a slot.
func (d *Dispatcher) recordRoom(c *call, err error) {
	switch {
	case !c.limitsRejections():
	case c.deliveries > 0:
		d.Throttler.Record(c.kind(), true)
	case err != nil && c.rejections > 0:
		d.Throttler.Record(c.kind(), false)
	}
}

// retryAfter returns the retry delay to report.
func (d *Dispatcher) retryAfter(c *call) time.Duration {
	if c.rule == nil || !c.limitsRejections() || c.deliveries > 0 {
		return c.retryAfter
	}
	left := cmp.Or(c.client.TimeLeft, c.rule.Timeout) - d.Clock.Now().Sub(c.request.Began)
	return max(c.retryAfter, d.Throttler.RetryAfter(c.kind(), left))
}
