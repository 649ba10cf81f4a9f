package shifter

import "time"

// minFullShareCalls is the number of responses that a version must have given since it
// got all requests before its rollout can complete.
const minFullShareCalls = 24

// Trial records how long the version of a rollout has been able to get requests, as seen
// by one daemon. Time without a target that can get requests does not count. Trials are
// immutable.
type Trial struct {
	// received is the time at which the rollout was received, and began that from which
	// time counts. It is zero before.
	received, began time.Time
	elapsed         time.Duration
	// countedSince is the time from which more time counts, zero while none does.
	countedSince time.Time
	// fullShare means that the version has got all requests, and callsBefore is the
	// number of responses until then.
	fullShare   bool
	callsBefore int
}

// With returns the trial of r at the given time. From then on time counts if serving is
// true. Calls is the number of the version's responses that are known.
func (t Trial) With(r Rollout, now time.Time, serving bool, calls int) Trial {
	t.elapsed = t.Elapsed(now)
	t.countedSince = time.Time{}
	if serving {
		t.countedSince = now
		if t.began.IsZero() {
			t.began = now
		}
	}
	// Fewer responses may be known than before.
	t.callsBefore = min(t.callsBefore, calls)
	if !t.fullShare && t.Share(r, now) == 1 {
		t.fullShare = true
		t.callsBefore = calls
	}
	return t
}

// NewTrial returns the trial of a rollout that was received at the given time.
func NewTrial(received time.Time) Trial {
	return Trial{received: received}
}

// Share returns the share of the requests, 0 to 1, that goes to the version.
func (t Trial) Share(r Rollout, now time.Time) float64 {
	return t.fitted(r).Share(t.Elapsed(now))
}

// fitted returns the rollout with a shorter period, so that it completes when it would have
// if the trial had begun with the receipt. The period is half as long at least.
func (t Trial) fitted(r Rollout) Rollout {
	if !t.began.IsZero() {
		wait := t.began.Sub(t.received)
		r.Period = max(r.Period-time.Duration(float64(wait)/(firstStepFraction+rampFraction)), r.Period/2)
	}
	return r
}

// Elapsed returns the time that counts.
func (t Trial) Elapsed(now time.Time) time.Duration {
	if t.countedSince.IsZero() {
		return t.elapsed
	}
	return t.elapsed + max(0, now.Sub(t.countedSince))
}

// NeedsCalls reports whether the version gets most requests and its completion depends on
// further responses.
func (t Trial) NeedsCalls(r Rollout, now time.Time, calls int) bool {
	if t.fullShare {
		return calls-t.callsBefore < minFullShareCalls
	}
	return t.Share(r, now) >= rampShares[len(rampShares)-1]
}

// Completes reports whether a version that was not found bad has been tried long enough,
// and with enough requests, for the rollout r to complete.
func (t Trial) Completes(r Rollout, now time.Time, calls int) bool {
	return t.fullShare && t.Elapsed(now) >= t.fitted(r).CompletionTime() && calls-t.callsBefore >= minFullShareCalls
}
