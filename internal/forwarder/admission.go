package forwarder

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Local is the target on the daemon's own VM, with the limiter that guards it.
type Local struct {
	Service string
	Version string
	// Address is the target's IP:port.
	Address string
	Limiter *limiter.Limiter
}

// Admission takes forwarded requests to the target on its VM. Its "not run" is
// a fact: it alone hands requests to the target.
type Admission struct {
	// Key is what daemons share.
	Key string
	// Local returns the announced target, or nil.
	Local func() *Local
	// Transport carries requests to the target.
	Transport http.RoundTripper
	Clock     timekeeper.Clock
	// Revision returns the configuration revision in force.
	Revision func() uint64
	// Observe is told how each admitted request ended.
	Observe func(l *Local, r *http.Request, o limiter.Outcome)
}

var (
	errKey      = classifier.Fail(classifier.NotRun, "wrong key", nil)
	errNoTarget = classifier.Fail(classifier.NotRun, "no such target here", nil)
)

// ServeHTTP admits one request, or refuses it with NotRun.
func (a *Admission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(RequestHeader)
	w.Header().Set(RevisionHeader, strconv.FormatUint(a.Revision(), 10))
	w.Header().Set(HeadroomHeader, "0")
	w.Header().Set(AllowanceHeader, "0")
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(KeyHeader)), []byte(a.Key)) != 1 {
		refuse(w, http.StatusForbidden, request, errKey)
		return
	}
	l := a.Local()
	if l == nil || l.Service != r.Header.Get(ServiceHeader) || l.Version != r.Header.Get(VersionHeader) {
		refuse(w, http.StatusServiceUnavailable, request, errNoTarget)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout(r.Header, maxTimeout))
	defer cancel()
	ticket, err := l.Limiter.Acquire(ctx, r.Header.Get(RouteHeader))
	if err != nil {
		setHeadroom(w.Header(), l)
		refuse(w, http.StatusServiceUnavailable, request, err)
		return
	}
	a.run(w, r.WithContext(ctx), l, ticket)
}

// maxTimeout bounds a forwarded request that states no time left.
const maxTimeout = 10 * time.Minute

func setHeadroom(h http.Header, l *Local) {
	h.Set(HeadroomHeader, strconv.Itoa(l.Limiter.Headroom()))
	h.Set(AllowanceHeader, strconv.Itoa(l.Limiter.Allowance()))
}

// run hands an admitted request to the target and its answer back.
func (a *Admission) run(w http.ResponseWriter, r *http.Request, l *Local, ticket *limiter.Ticket) {
	start := a.Clock.Now()
	outcome := limiter.Outcome{Failed: true}
	defer func() {
		outcome = outcome.WithDuration(a.Clock.Now().Sub(start))
		ticket.Done(outcome)
		a.Observe(l, r, outcome)
	}()
	_ = http.NewResponseController(w).EnableFullDuplex()
	out := a.request(r, l)
	resp, err := roundTrip(a.Transport, out)
	setHeadroom(w.Header(), l)
	if err != nil {
		outcome = broken(r.Context(), out)
		refuse(w, refusalStatus(err), r.Header.Get(RequestHeader), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := relay(w, resp); err != nil {
		outcome = broken(r.Context(), out)
		panic(http.ErrAbortHandler)
	}
	outcome.Failed = resp.StatusCode >= http.StatusInternalServerError
}

// broken returns the outcome of a request without a whole answer. It is the
// target's failure unless the caller went away or its body broke off.
func broken(ctx context.Context, out *http.Request) limiter.Outcome {
	left := ctx.Err() == context.Canceled
	return limiter.Outcome{
		Failed: !left && bodyError(out) == nil,
		Cut:    ctx.Err() != nil || bodyError(out) != nil,
	}
}

// request returns the request that the target gets.
func (a *Admission) request(r *http.Request, l *Local) *http.Request {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = l.Address
	out.Header = Carried(r.Header)
	if deadline, ok := r.Context().Deadline(); ok {
		setTimeout(out.Header, time.Until(deadline))
	}
	out.Body = &Body{Reader: r.Body}
	out.GetBody = nil
	return out
}
