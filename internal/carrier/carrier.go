// Package carrier carries requests between daemons: from the one that a client
// reached to the one on the target's VM.
package carrier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Order is a request that a target is to run.
type Order struct {
	// ID is the client's name for the request.
	ID      string
	Service string
	Version string
	// Instance is the start of the target that is to run it.
	Instance string
	Rule     string
	Kind     matcher.Kind
	Rank     int
	// Caller is the service on the VM where the request began.
	Caller string
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// Objective is when the answer is no longer of full use.
	Objective time.Time
	// Patience is how long the request may queue at the target's VM.
	Patience time.Duration

	Method string
	// URI is the path with its query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Load   chooser.Load
}

// Failure is why there is no answer.
type Failure struct {
	*classifier.Failure
	// Arrived means that the request may have reached the target.
	Arrived bool
	// Told means that the target's daemon itself said so, with its load.
	Told bool
	Load chooser.Load
	// Pause is how long to wait before the target may take it, or 0.
	Pause time.Duration
}

// Unwrap returns the failure's verdict and cause.
func (f *Failure) Unwrap() error { return f.Failure }

// Fail returns err as a Failure of its own, which the caller may change.
func Fail(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		own := *f
		return &own
	}
	var c *classifier.Failure
	if errors.As(err, &c) {
		return &Failure{
			Failure: c,
			Arrived: c.Verdict != classifier.NotRun,
		}
	}
	return &Failure{
		Failure: classifier.Fail(classifier.MayHaveRun, "failed", err),
		Arrived: true,
	}
}

// Deliver hands an order to the target on the daemon's own VM. Its error is a
// *Failure.
type Deliver func(ctx context.Context, o *Order) (*Answer, error)
