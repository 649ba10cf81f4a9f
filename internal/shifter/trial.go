package shifter

import "time"

// minFullShareCalls is the number of responses that a version must have given since it
// got all requests before its rollout can complete.
const minFullShareCalls = 24

// Trial records how long the version of a rollout has been able to get requests, as seen
// by one daemon. Time without a target that can get requests does not count. Trials are
// immutable; the zero value has not begun.
type Trial struct {
	elapsed time.Duration
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
	}
	// The responses of a daemon that is gone are no longer known.
	t.callsBefore = min(t.callsBefore, calls)
	if !t.fullShare && r.Share(t.elapsed) == 1 {
		t.fullShare = true
		t.callsBefore = calls
	}
	return t
}

// Elapsed returns the time that counts.
func (t Trial) Elapsed(now time.Time) time.Duration {
	if t.countedSince.IsZero() {
		return t.elapsed
	}
	return t.elapsed + max(0, now.Sub(t.countedSince))
}

// Completes reports whether a version that was not found bad has been tried long enough,
// and with enough requests, for the rollout r to complete.
func (t Trial) Completes(r Rollout, now time.Time, calls int) bool {
	return t.fullShare && t.Elapsed(now) >= r.CompletionTime() && calls-t.callsBefore >= minFullShareCalls
}
