package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Problem is the body of a refusal (RFC 9457), extended by the verdict.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Verdict classifier.Verdict `json:"verdict"`
	Request string             `json:"request,omitempty"`
}

// retryAfterSeconds is the Retry-After value for refused requests that did not
// run.
const retryAfterSeconds = "1"

// Refuse answers a request that the daemon of the target refuses with err.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	writeRefusal(w, refusalStatus(err), r.Header.Get(RequestIDHeader), err)
}

// writeRefusal answers a request that failed with err. The verdict is in a
// header and in the body.
func writeRefusal(w http.ResponseWriter, status int, id string, err error) {
	p := Problem{
		Type:    "about:blank",
		Title:   reason(err),
		Status:  status,
		Verdict: classifier.VerdictOf(err),
		Request: id,
	}
	body, _ := json.Marshal(p)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(VerdictHeader, p.Verdict.String())
	if status == http.StatusServiceUnavailable && p.Verdict == classifier.NotRun {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// reason returns the text for the caller. It does not include the underlying
// error.
func reason(err error) string {
	var f *classifier.Failure
	if errors.As(err, &f) {
		return f.Reason
	}
	return "failed"
}

// StatusError is a failure with its own status code.
type StatusError struct {
	// Status is the HTTP status code of the refusal.
	Status int
	*classifier.Failure
}

// Unwrap returns the failure.
func (e *StatusError) Unwrap() error { return e.Failure }

// refusalStatus returns the HTTP status code for an error.
func refusalStatus(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status
	}
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return http.StatusRequestEntityTooLarge
	}
	switch classifier.VerdictOf(err) {
	case classifier.NotRun:
		return http.StatusServiceUnavailable
	case classifier.Ran:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}
