// Package classifier classifies a failed request by whether it may have run.
//
// Every failure that is sent between processes carries a Verdict. A request is
// retried only if the verdict is NotRun or its route is idempotent.
package classifier

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("classifier")

// Verdict classifies a request by whether it may have run. The zero value is
// MayHaveRun, which guarantees nothing.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request has run.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request has run, even if its response was lost.
	Ran
)

var verdictNames = [...]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the verdict's name as used in headers and problem details responses.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("Verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// ParseVerdict returns the verdict named by s.
func ParseVerdict(s string) (Verdict, error) {
	for v, name := range verdictNames {
		if name == s {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, Class.New("unknown verdict %q", s)
}

// MarshalText returns the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText sets the verdict from its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := ParseVerdict(string(text))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Failure is an error with a verdict.
type Failure struct {
	// Verdict is the verdict on the failed request.
	Verdict Verdict
	// Reason is a short, stable phrase for logs and problem details responses.
	Reason string
	// Err is the cause, or nil.
	Err error
}

// Error returns the reason, the verdict and the cause.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s (%s)", f.Reason, f.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// NewFailure returns a Failure.
func NewFailure(v Verdict, reason string, err error) *Failure {
	return &Failure{
		Verdict: v,
		Reason:  reason,
		Err:     err,
	}
}

// VerdictOf returns the verdict of the first Failure in err's chain, or MayHaveRun if
// there is none.
func VerdictOf(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return MayHaveRun
}
