package carrier

import (
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Headers between daemons, beside those of package forwarder. Durations are in
// microseconds.
const (
	instanceHeader = "Coltsfoot-Instance"
	idHeader       = "Coltsfoot-Id"
	kindHeader     = "Coltsfoot-Kind"
	rankHeader     = "Coltsfoot-Rank"
	callerHeader   = "Coltsfoot-Caller"
	patienceHeader = "Coltsfoot-Patience"
	leftHeader     = "Coltsfoot-Left"
	usefulHeader   = "Coltsfoot-Useful"
	runningHeader  = "Coltsfoot-Running"
	queuedHeader   = "Coltsfoot-Queued"
	slotsHeader    = "Coltsfoot-Slots"
	workHeader     = "Coltsfoot-Work"
	failingHeader  = "Coltsfoot-Failing"
	faultyHeader   = "Coltsfoot-Faulty"
	reopenHeader   = "Coltsfoot-Reopen"
	spentHeader    = "Coltsfoot-Spent"
	reasonHeader   = "Coltsfoot-Reason"
	arrivedHeader  = "Coltsfoot-Arrived"
	pauseHeader    = "Coltsfoot-Pause"
	statusHeader   = "Coltsfoot-Status"
)

func setDuration(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(d.Microseconds(), 10))
}

// number reads a number that another daemon of the system has written; a
// missing one is zero.
func number(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return n
}

// share reads a number from 0 to 1 in the same way.
func share(h http.Header, name string) float64 {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil {
		return 0
	}
	return f
}

func duration(h http.Header, name string) time.Duration {
	return time.Duration(number(h, name)) * time.Microsecond
}

// write sets the headers that carry an order; key is what daemons share.
func (o *Order) write(h http.Header, key string) {
	h.Set(forwarder.KeyHeader, key)
	h.Set(forwarder.ServiceHeader, o.Service)
	h.Set(forwarder.VersionHeader, o.Version)
	h.Set(forwarder.RouteHeader, o.Rule)
	h.Set(instanceHeader, o.Instance)
	h.Set(idHeader, o.ID)
	h.Set(kindHeader, strconv.Itoa(int(o.Kind)))
	h.Set(rankHeader, strconv.Itoa(o.Rank))
	h.Set(callerHeader, o.Caller)
	setDuration(h, patienceHeader, o.Patience)
	setDuration(h, usefulHeader, time.Until(o.Objective))
	setDuration(h, leftHeader, time.Until(o.Deadline))
}

// readOrder reads the order that a request between daemons carries; its body is
// still to be read.
func readOrder(r *http.Request) *Order {
	h := r.Header
	return &Order{
		ID:        h.Get(idHeader),
		Service:   h.Get(forwarder.ServiceHeader),
		Version:   h.Get(forwarder.VersionHeader),
		Instance:  h.Get(instanceHeader),
		Rule:      h.Get(forwarder.RouteHeader),
		Kind:      matcher.Kind(number(h, kindHeader)),
		Rank:      number(h, rankHeader),
		Caller:    h.Get(callerHeader),
		Deadline:  time.Now().Add(duration(h, leftHeader)),
		Objective: time.Now().Add(duration(h, usefulHeader)),
		Patience:  duration(h, patienceHeader),
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    forwarder.Carried(h),
	}
}

func writeLoad(h http.Header, l chooser.Load) {
	h.Set(runningHeader, strconv.Itoa(l.Running))
	h.Set(queuedHeader, strconv.Itoa(l.Queued))
	h.Set(slotsHeader, strconv.Itoa(l.Slots))
	h.Set(failingHeader, strconv.FormatFloat(l.Failing, 'f', 3, 64))
	h.Set(faultyHeader, strconv.FormatFloat(l.Faulty, 'f', 3, 64))
	setDuration(h, workHeader, l.Work)
	setDuration(h, reopenHeader, l.Wait)
}

func readLoad(h http.Header) chooser.Load {
	return chooser.Load{
		Running: number(h, runningHeader),
		Queued:  number(h, queuedHeader),
		Slots:   number(h, slotsHeader),
		Work:    duration(h, workHeader),
		Failing: share(h, failingHeader),
		Faulty:  share(h, faultyHeader),
		Wait:    duration(h, reopenHeader),
	}
}

func writeFailure(h http.Header, f *Failure) {
	h.Set(forwarder.VerdictHeader, f.Verdict.String())
	h.Set(reasonHeader, f.Reason)
	h.Set(arrivedHeader, strconv.FormatBool(f.Arrived))
	setDuration(h, pauseHeader, f.Pause)
	writeLoad(h, f.Load)
}

// readFailure reads the failure that an answer between daemons carries. An
// answer without a verdict promises nothing.
func readFailure(h http.Header) *Failure {
	verdict, err := classifier.ParseVerdict(h.Get(forwarder.VerdictHeader))
	if err != nil {
		verdict = classifier.MayHaveRun
	}
	return &Failure{
		Failure: classifier.Fail(verdict, h.Get(reasonHeader), nil),
		Arrived: h.Get(arrivedHeader) == "true",
		Told:    true,
		Load:    readLoad(h),
		Pause:   duration(h, pauseHeader),
	}
}
