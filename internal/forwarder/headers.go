// Package forwarder carries callers' requests to targets: from the daemon that
// a caller reached (Entry) to the daemon on the target's VM (Admission) and on
// to the target.
package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the system's own.
const (
	// VerdictHeader is on every refusal: whether the request may have run.
	VerdictHeader = "Coltsfoot-Verdict"
	// TimeoutHeader carries the time left to answer, in milliseconds.
	TimeoutHeader = "Coltsfoot-Timeout"
	// ServiceHeader and VersionHeader name what a forwarded request is for.
	ServiceHeader = "Coltsfoot-Service"
	VersionHeader = "Coltsfoot-Version"
	// RouteHeader names the route of a forwarded request.
	RouteHeader = "Coltsfoot-Route"
	// HeadroomHeader carries the free slots of the target that answered.
	HeadroomHeader = "Coltsfoot-Headroom"
	// AllowanceHeader carries the number of requests that the target may run
	// at once at present; 0 means that it takes nothing.
	AllowanceHeader = "Coltsfoot-Allowance"
	// RevisionHeader carries the sender's configuration revision.
	RevisionHeader = "Coltsfoot-Revision"
	// KeyHeader carries the key that daemons share.
	KeyHeader = "Coltsfoot-Key"
	// IdempotencyHeader carries the key under which a caller sends a request
	// again.
	IdempotencyHeader = "Idempotency-Key"
	// PrintHeader carries the fingerprint of a forwarded request.
	PrintHeader = "Coltsfoot-Print"
	// RequestHeader carries the request's id from end to end.
	RequestHeader = "X-Request-Id"
)

// ownPrefix is the prefix of headers that never come in from outside.
const ownPrefix = "Coltsfoot-"

// hopHeaders are meant for one connection and are not carried on (RFC 9110,
// section 7.6.1). Expect is answered hop by hop too: each reads the body when
// the next one asks for it.
var hopHeaders = []string{
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

// Carried returns a copy of the headers without those of one connection and
// without the system's own.
func Carried(h http.Header) http.Header {
	c := make(http.Header, len(h)+4)
	for name, values := range h {
		if !strings.HasPrefix(name, ownPrefix) {
			c[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(c, name)
	}
	return c
}

// timeout returns the time left that a request states, or the given limit when
// that is shorter or none is stated.
func timeout(h http.Header, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(h.Get(TimeoutHeader), 10, 64)
	if err != nil || ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(max(0, ms)) * time.Millisecond
}

func setTimeout(h http.Header, left time.Duration) {
	h.Set(TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
}
