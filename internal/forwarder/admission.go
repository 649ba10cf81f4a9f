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

// Local is the target on the daemon's own VM and the limiter of its requests.
type Local struct {
	Service string
	Version string
	// Address is the target's IP:port.
	Address string
	Limiter *limiter.Limiter
}

// Admission is the handler of requests forwarded by other daemons. It admits
// them to the target on its VM. All requests to the target pass through
// Admission, so it is certain that a request refused here has not run.
type Admission struct {
	// Key is the secret shared by all daemons; it is sent in KeyHeader.
	Key string
	// Local returns the target announced on this VM, or nil if there is none. A target that
	// was replaced has another limiter.
	Local func() *Local
	// Transport sends requests to the target.
	Transport http.RoundTripper
	Clock     timekeeper.Clock
	// Revision returns the current configuration revision.
	Revision func() uint64
	// OnOutcome is called with the outcome of each admitted request.
	OnOutcome func(l *Local, r *http.Request, o limiter.Outcome)
}

var (
	errWrongKey = classifier.NewFailure(classifier.NotRun, "wrong key", nil)
	errNoTarget = classifier.NewFailure(classifier.NotRun, "no such target here", nil)
)

// ServeHTTP admits a request and relays the target's response, or refuses the
// request with the verdict NotRun.
func (a *Admission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	w.Header().Set(RevisionHeader, strconv.FormatUint(a.Revision(), 10))
	w.Header().Set(HeadroomHeader, "0")
	w.Header().Set(AllowanceHeader, "0")
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(KeyHeader)), []byte(a.Key)) != 1 {
		writeError(w, http.StatusForbidden, id, errWrongKey)
		return
	}
	l := a.Local()
	if l == nil || l.Service != r.Header.Get(ServiceHeader) || l.Version != r.Header.Get(VersionHeader) {
		writeError(w, http.StatusServiceUnavailable, id, errNoTarget)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout(r.Header, maxTimeout))
	defer cancel()
	ticket, err := l.Limiter.Acquire(ctx, r.Header.Get(RouteHeader))
	if err != nil {
		setHeadroom(w.Header(), l)
		writeError(w, http.StatusServiceUnavailable, id, err)
		return
	}
	a.run(w, r.WithContext(ctx), l, ticket)
}

// maxTimeout is the timeout of a forwarded request without a TimeoutHeader, and
// the upper bound of a timeout in that header.
const maxTimeout = 10 * time.Minute

func setHeadroom(h http.Header, l *Local) {
	h.Set(HeadroomHeader, strconv.Itoa(l.Limiter.Headroom()))
	h.Set(AllowanceHeader, strconv.Itoa(l.Limiter.Allowance()))
}

// run sends an admitted request to the target and relays the response.
func (a *Admission) run(w http.ResponseWriter, r *http.Request, l *Local, ticket *limiter.Ticket) {
	start, began := a.Clock.Now(), time.Now()
	outcome := limiter.Outcome{Failed: true}
	defer func() {
		outcome = outcome.WithDuration(a.Clock.Now().Sub(start))
		ticket.Done(outcome)
		a.OnOutcome(l, r, outcome)
	}()
	_ = http.NewResponseController(w).EnableFullDuplex()
	out := a.request(r, l)
	resp, err := roundTripFramed(a.Transport, out, func() error {
		if now := a.Local(); now == nil || now.Limiter != l.Limiter {
			return errNoTarget
		}
		setTimeLeft(out)
		return nil
	})
	setHeadroom(w.Header(), l)
	if err != nil {
		outcome = failedOutcome(r.Context(), out, began)
		writeError(w, errorStatus(err), r.Header.Get(RequestIDHeader), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := relayResponse(w, resp); err != nil {
		outcome = failedOutcome(r.Context(), out, began)
		panic(http.ErrAbortHandler)
	}
	outcome.Failed = resp.StatusCode >= http.StatusInternalServerError
}

// lateFraction is the fraction of a request's time that may be left when the caller's daemon
// cancels the request because its time is over.
const lateFraction = 0.1

// failedOutcome returns the outcome of a request without a complete response, which began at
// the given time. It is a failure of the target unless the caller cancelled the request before
// its time was nearly over, or the request's body could not be read.
func failedOutcome(ctx context.Context, out *http.Request, began time.Time) limiter.Outcome {
	cancelledByCaller := ctx.Err() == context.Canceled
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < time.Duration(lateFraction*float64(deadline.Sub(began))) {
		cancelledByCaller = false
	}
	return limiter.Outcome{
		Failed:  !cancelledByCaller && bodyError(out) == nil,
		Aborted: ctx.Err() != nil || bodyError(out) != nil,
	}
}

// request returns the request to send to the target.
func (a *Admission) request(r *http.Request, l *Local) *http.Request {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = l.Address
	out.Header = ForwardedHeader(r.Header)
	setTimeLeft(out)
	out.Body = &Body{Reader: r.Body}
	out.GetBody = nil
	return out
}
