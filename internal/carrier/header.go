package carrier

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Headers of attempts and of their responses, in addition to those of package
// forwarder. Durations are in microseconds. A patient attempt has a lateHeader, also if it is
// not late. keyIDHeader identifies the client's key without revealing it.
const (
	instanceHeader       = "Coltsfoot-Instance"
	idHeader             = "Coltsfoot-Id"
	kindHeader           = "Coltsfoot-Kind"
	priorityHeader       = "Coltsfoot-Rank"
	nestedHeader         = "Coltsfoot-Nested"
	lateHeader           = "Coltsfoot-Late"
	callerHeader         = "Coltsfoot-Caller"
	customerHeader       = "Coltsfoot-Customer"
	keyIDHeader          = "Coltsfoot-Held"
	planHeader           = "Coltsfoot-Plan"
	validHeader          = "Coltsfoot-Valid"
	queueTimeoutHeader   = "Coltsfoot-Patience"
	remainingHeader      = "Coltsfoot-Left"
	objectiveHeader      = "Coltsfoot-Useful"
	baselineHeader       = "Coltsfoot-Baseline"
	runningHeader        = "Coltsfoot-Running"
	queuedHeader         = "Coltsfoot-Queued"
	slotsHeader          = "Coltsfoot-Slots"
	serviceTimeHeader    = "Coltsfoot-Work"
	failureRateHeader    = "Coltsfoot-Failing"
	faultRateHeader      = "Coltsfoot-Faulty"
	reopenAfterHeader    = "Coltsfoot-Reopen"
	bodyWaitHeader       = "Coltsfoot-Bodies"
	processingTimeHeader = "Coltsfoot-Spent"
	reasonHeader         = "Coltsfoot-Reason"
	arrivedHeader        = "Coltsfoot-Arrived"
	retryAfterHeader     = "Coltsfoot-Pause"
	statusHeader         = "Coltsfoot-Status"
)

func setDurationHeader(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(d.Microseconds(), 10))
}

// intHeader returns a number that another daemon has sent, or 0 if it is missing
// or invalid.
func intHeader(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return n
}

// floatHeader returns a number that another daemon has sent, or 0 if it is missing
// or invalid. It does not check the range.
func floatHeader(h http.Header, name string) float64 {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil {
		return 0
	}
	return f
}

func durationHeader(h http.Header, name string) time.Duration {
	return time.Duration(intHeader(h, name)) * time.Microsecond
}

// writeHeader sets the headers of an attempt, except those of writeTimes. key is the secret
// that all daemons share.
func (a *Attempt) writeHeader(h http.Header, key string) {
	h.Set(forwarder.KeyHeader, key)
	h.Set(forwarder.ServiceHeader, a.Service)
	h.Set(forwarder.VersionHeader, a.Version)
	h.Set(forwarder.RouteHeader, a.Rule)
	h.Set(instanceHeader, a.Instance)
	h.Set(idHeader, a.ID)
	h.Set(kindHeader, strconv.Itoa(int(a.Kind)))
	h.Set(priorityHeader, strconv.Itoa(a.Priority))
	if a.Nested {
		h.Set(nestedHeader, strconv.FormatBool(a.Nested))
	}
	if a.Patient {
		h.Set(lateHeader, strconv.FormatBool(a.Late))
	}
	h.Set(callerHeader, a.Caller)
	if a.Baseline > 0 {
		setDurationHeader(h, baselineHeader, a.Baseline)
	}
}

// writeTimes sets the headers that state how much time is left. The receiver measures it from
// the arrival on.
func (a *Attempt) writeTimes(h http.Header) {
	if a.Identity.Customer != "" {
		a.writeIdentity(h)
	}
	left := time.Until(a.Deadline)
	setDurationHeader(h, queueTimeoutHeader, min(a.MaxWait, left))
	setDurationHeader(h, objectiveHeader, time.Until(a.Objective))
	setDurationHeader(h, remainingHeader, left)
}

// readAttempt returns the attempt in a request, without its body.
func readAttempt(r *http.Request) *Attempt {
	h := r.Header
	a := &Attempt{
		ID:        h.Get(idHeader),
		Service:   h.Get(forwarder.ServiceHeader),
		Version:   h.Get(forwarder.VersionHeader),
		Instance:  h.Get(instanceHeader),
		Rule:      h.Get(forwarder.RouteHeader),
		Kind:      matcher.Kind(intHeader(h, kindHeader)),
		Priority:  intHeader(h, priorityHeader),
		Nested:    h.Get(nestedHeader) == strconv.FormatBool(true),
		Patient:   h.Get(lateHeader) != "",
		Late:      h.Get(lateHeader) == strconv.FormatBool(true),
		Caller:    h.Get(callerHeader),
		Deadline:  time.Now().Add(durationHeader(h, remainingHeader)),
		Objective: time.Now().Add(durationHeader(h, objectiveHeader)),
		MaxWait:   durationHeader(h, queueTimeoutHeader),
		Baseline:  durationHeader(h, baselineHeader),
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    forwarder.ForwardedHeader(h),
	}
	if h.Get(customerHeader) != "" {
		a.readIdentity(h)
	}
	return a
}

// writeIdentity sets the headers of the customer.
func (a *Attempt) writeIdentity(h http.Header) {
	h.Set(customerHeader, url.QueryEscape(a.Identity.Customer))
	h.Set(keyIDHeader, a.Identity.KeyID)
	h.Set(planHeader, strconv.FormatUint(a.Identity.Plan, 10))
	if a.Identity.Valid > 0 {
		left := a.Identity.Valid - timekeeper.System{}.Read().Since(a.Identified)
		setDurationHeader(h, validHeader, max(time.Microsecond, left))
	}
}

// readIdentity sets the customer of an attempt to that in the headers.
func (a *Attempt) readIdentity(h http.Header) {
	name, err := url.QueryUnescape(h.Get(customerHeader))
	if err != nil {
		return
	}
	plan, _ := strconv.ParseUint(h.Get(planHeader), 10, 64)
	a.Identity = authenticator.Identity{
		Customer: name,
		KeyID:    h.Get(keyIDHeader),
		Plan:     plan,
		Valid:    durationHeader(h, validHeader),
	}
	a.Identified = timekeeper.System{}.Read()
}

func writeLoad(h http.Header, l chooser.Load) {
	h.Set(runningHeader, strconv.Itoa(l.Running))
	h.Set(queuedHeader, strconv.Itoa(l.Queued))
	h.Set(slotsHeader, strconv.Itoa(l.Slots))
	h.Set(failureRateHeader, strconv.FormatFloat(l.FailureRate, 'f', 3, 64))
	h.Set(faultRateHeader, strconv.FormatFloat(l.FaultRate, 'f', 3, 64))
	setDurationHeader(h, serviceTimeHeader, l.ServiceTime)
	setDurationHeader(h, reopenAfterHeader, l.ReopenAfter)
	if l.BodyWait > 0 {
		setDurationHeader(h, bodyWaitHeader, l.BodyWait)
	}
}

func readLoad(h http.Header) chooser.Load {
	return chooser.Load{
		Running:     intHeader(h, runningHeader),
		Queued:      intHeader(h, queuedHeader),
		Slots:       intHeader(h, slotsHeader),
		ServiceTime: durationHeader(h, serviceTimeHeader),
		FailureRate: floatHeader(h, failureRateHeader),
		FaultRate:   floatHeader(h, faultRateHeader),
		ReopenAfter: durationHeader(h, reopenAfterHeader),
		BodyWait:    durationHeader(h, bodyWaitHeader),
	}
}

func writeFailure(h http.Header, f *Failure) {
	h.Set(forwarder.VerdictHeader, f.Verdict.String())
	h.Set(reasonHeader, f.Reason)
	h.Set(arrivedHeader, strconv.FormatBool(f.Arrived))
	setDurationHeader(h, retryAfterHeader, f.RetryAfter)
	writeLoad(h, f.Load)
}

// readFailure returns the failure in a response. The verdict is MayHaveRun if the
// response has no valid one.
func readFailure(h http.Header) *Failure {
	verdict, err := classifier.ParseVerdict(h.Get(forwarder.VerdictHeader))
	if err != nil {
		verdict = classifier.MayHaveRun
	}
	return &Failure{
		Failure:    classifier.NewFailure(verdict, h.Get(reasonHeader), nil),
		Arrived:    h.Get(arrivedHeader) == "true",
		Reported:   true,
		Load:       readLoad(h),
		RetryAfter: durationHeader(h, retryAfterHeader),
	}
}
