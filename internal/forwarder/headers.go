// Package forwarder forwards callers' requests to targets: from the daemon that
// received the request (Entry) to the daemon on the target's VM (Admission) and
// from there to the target.
package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers used by this system.
const (
	// VerdictHeader is set on every error response of a daemon. It states whether
	// the request may have run.
	VerdictHeader = "Coltsfoot-Verdict"
	// TimeoutHeader carries the time left before the deadline, in milliseconds.
	TimeoutHeader = "Coltsfoot-Timeout"
	// ServiceHeader and VersionHeader name the service and version to which a
	// request is forwarded.
	ServiceHeader = "Coltsfoot-Service"
	VersionHeader = "Coltsfoot-Version"
	// RouteHeader carries the path of a forwarded request's route.
	RouteHeader = "Coltsfoot-Route"
	// HeadroomHeader carries the number of free slots of the target.
	HeadroomHeader = "Coltsfoot-Headroom"
	// AllowanceHeader carries the number of requests that the target may
	// currently run concurrently; 0 means that it admits none.
	AllowanceHeader = "Coltsfoot-Allowance"
	// RevisionHeader carries the sender's configuration revision.
	RevisionHeader = "Coltsfoot-Revision"
	// KeyHeader carries the secret shared by all daemons.
	KeyHeader = "Coltsfoot-Key"
	// IdempotencyKeyHeader carries the key by which a caller marks repetitions of
	// one request.
	IdempotencyKeyHeader = "Idempotency-Key"
	// FingerprintHeader carries the fingerprint of a forwarded request.
	FingerprintHeader = "Coltsfoot-Print"
	// RequestIDHeader carries the request ID. It is forwarded to the target and
	// returned to the caller.
	RequestIDHeader = "X-Request-Id"
)

// internalPrefix is the prefix of this system's headers. They are not forwarded
// from callers' requests or targets' responses. TimeoutHeader
// is the only one that is read from a caller's request.
const internalPrefix = "Coltsfoot-"

// hopByHopHeaders are not forwarded (RFC 9110, section 7.6.1). Expect is also
// handled hop by hop: a daemon sends 100 Continue to the previous hop only when
// it reads the body.
var hopByHopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// ForwardedHeader returns a copy of the headers to forward, without hop-by-hop
// headers and headers of this system.
func ForwardedHeader(h http.Header) http.Header {
	c := make(http.Header, len(h)+4)
	for name, values := range h {
		if !strings.HasPrefix(name, internalPrefix) {
			c[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(c, name)
	}
	return c
}

// timeout returns the timeout stated in the headers, or limit if none is stated
// or limit is shorter.
func timeout(h http.Header, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(h.Get(TimeoutHeader), 10, 64)
	if err != nil || ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(max(0, ms)) * time.Millisecond
}

// setTimeLeft sets the header that states the time left until the request's deadline, if it
// has one.
func setTimeLeft(r *http.Request) {
	if deadline, ok := r.Context().Deadline(); ok {
		r.Header.Set(TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
}
