package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Problem is the body of an error response (RFC 9457), extended by the verdict.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Verdict classifier.Verdict `json:"verdict"`
	Request string             `json:"request,omitempty"`
}

// retryAfterSeconds is the Retry-After value of error responses with status 503
// to requests that did not run.
const retryAfterSeconds = "1"

// Refuse writes an error response for err, as the target's daemon does.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	writeError(w, errorStatus(err), r.Header.Get(RequestIDHeader), err)
}

// writeError writes the error response for err. The verdict is in a header and in
// the body.
func writeError(w http.ResponseWriter, status int, id string, err error) {
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

// reason returns the reason of err for the caller, without the underlying error.
func reason(err error) string {
	var f *classifier.Failure
	if errors.As(err, &f) {
		return f.Reason
	}
	return "failed"
}

// StatusError is a failure with its own status code.
type StatusError struct {
	// Status is the HTTP status code of the error response.
	Status int
	*classifier.Failure
}

// Unwrap returns the failure.
func (e *StatusError) Unwrap() error { return e.Failure }

// errorStatus returns the HTTP status code for an error.
func errorStatus(err error) int {
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
