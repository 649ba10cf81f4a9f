// Package carrier forwards requests between daemons, from the daemon that
// received the request to the daemon on the target's VM.
package carrier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Attempt is one attempt to forward a request to a target.
type Attempt struct {
	// ID is the request ID that the client has set.
	ID      string
	Service string
	Version string
	// Instance identifies the target process that must run the request. A
	// restarted target has a new instance.
	Instance string
	// Rule is the name of the rule that applies to the request.
	Rule string
	Kind matcher.Kind
	// Priority 0 is the highest.
	Priority int
	// Nested means that a target makes the request while it runs another one.
	Nested bool
	// Patient means that the client has the time to come back after a rejection, and Late
	// that it has waited for longer than its objective already.
	Patient, Late bool
	// Caller is the service on the VM that the request comes from.
	Caller string
	// Identity is that of the customer whose key the client has presented, and Identified
	// is when it was stated, by the clock of this daemon's machine.
	Identity   authenticator.Identity
	Identified timekeeper.Reading
	// Deadline is the time after which the client no longer waits for the response.
	Deadline time.Time
	// Objective is the time by which the response should be sent.
	Objective time.Time
	// MaxWait is the queue timeout: how long the attempt may wait for a slot at the
	// target's VM.
	MaxWait time.Duration
	// Baseline is the mean service time of the rule's requests at the old version during a
	// rollout, with which a response of the new version is compared. It is 0 if the sender
	// does not know it or the target runs the old version.
	Baseline time.Duration
	// MayGiveUp is called before the attempt is cancelled because the daemon has not
	// responded, with the verdict of its failure. The attempt goes on if it returns
	// false. If it is nil, the attempt is cancelled.
	MayGiveUp func(v classifier.Verdict) bool

	Method string
	// URI is the path with the query.
	URI    string
	Host   string
	Header http.Header
	Body   allocator.Body
}

// TargetResponse is a complete response of a target.
type TargetResponse struct {
	Status int
	Header http.Header
	Body   []byte
	Load   chooser.Load
	// Done releases the memory of the body. It may be nil.
	Done func()
}

// Release releases the memory of the body when the response is no longer needed.
func (r *TargetResponse) Release() {
	if r.Done != nil {
		r.Done()
	}
}

// Failure is the error of an attempt that got no complete response from the target.
type Failure struct {
	*classifier.Failure
	// Arrived means that the request may have reached the target.
	Arrived bool
	// Reported means that the target's daemon reported the failure, together with its
	// load.
	Reported bool
	Load     chooser.Load
	// RetryAfter is the time after which the target may accept a retry, or 0.
	RetryAfter time.Duration
}

// Unwrap returns the embedded failure with its verdict and cause.
func (f *Failure) Unwrap() error { return f.Failure }

// NewFailure converts err to a new Failure, which the caller may change.
func NewFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		copied := *f
		return &copied
	}
	var c *classifier.Failure
	if errors.As(err, &c) {
		return &Failure{
			Failure: c,
			Arrived: c.Verdict != classifier.NotRun,
		}
	}
	return &Failure{
		Failure: classifier.NewFailure(classifier.MayHaveRun, "failed", err),
		Arrived: true,
	}
}

// Deliver passes an attempt to the target on the daemon's own VM. Its error is a
// *Failure.
type Deliver func(ctx context.Context, a *Attempt) (*TargetResponse, error)
