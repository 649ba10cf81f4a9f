package carrier

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Timeouts and sizes for attempts between daemons.
const (
	// silenceTimeout is the time without any response from a daemon after which
	// Client.OnSilent is called. A daemon that queues an attempt or passes it to the
	// target sends 102 Processing at once, and it rejects others at once.
	silenceTimeout = 150 * time.Millisecond
	// An attempt without any response may be cancelled after giveUpFraction of its
	// remaining time, or a patient one after objectiveFraction of the time until its
	// objective, but not before minGiveUp, because a daemon on a slow machine or link may
	// need a few hundred milliseconds. A non-idempotent attempt is not cancelled once part
	// of its body may have been sent.
	minGiveUp         = 200 * time.Millisecond
	giveUpFraction    = 0.4
	objectiveFraction = 0.6
	// expectBytes is the size from which a body is sent only after 100 Continue.
	expectBytes = 8 << 10
	// maxInterim bounds the informational responses to an attempt. A daemon sends at
	// most 102 Processing and 100 Continue.
	maxInterim = 8
)

// errInterim ends an attempt with more informational responses than maxInterim.
var errInterim = errors.New("too many informational responses")

// errSilent is the cancellation cause of an attempt to which the daemon has not
// responded.
var errSilent = errors.New("daemon silent")

// Client sends attempts to the daemons of other VMs.
type Client struct {
	// Key is the secret that all daemons share.
	Key       string
	Transport http.RoundTripper
	// Memory bounds the bodies of responses.
	Memory *Memory
	// OnSilent is called with the address of a daemon that has not responded to an
	// attempt within silenceTimeout.
	OnSilent func(address string)
	// KeepWaiting reports whether attempts without any response continue until their
	// deadline. If it is nil or returns false, they may be cancelled earlier.
	KeepWaiting func() bool
}

// Send sends an attempt to the daemon at an address. Its error is a *Failure.
func (c *Client) Send(ctx context.Context, address string, a *Attempt) (*TargetResponse, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	var responded atomic.Bool
	handoff := handoffOf(ctx)
	r, body := c.newRequest(address, a, handoff)
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		if responded.Load() {
			return
		}
		c.OnSilent(address)
	})
	defer silenceTimer.Stop()
	giveUpTimer := time.AfterFunc(a.giveUpAfter(), func() {
		if !responded.Load() && c.mayGiveUp(a, body) {
			giveUp(errSilent)
		}
	})
	defer giveUpTimer.Stop()
	interim := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			responded.Store(true)
			if interim++; interim > maxInterim {
				return errInterim
			}
			return nil
		},
	})
	resp, err := forwarder.RoundTripIf(c.Transport, r.WithContext(ctx), func() error {
		a.writeTimes(r.Header)
		if !expectsContinue(a) && !handoff.Begin() {
			return forwarder.ErrRecalled
		}
		return nil
	})
	if err != nil {
		return nil, c.sendFailure(ctx, err, handoff.Recalled() || (expectsContinue(a) && !body.Started()))
	}
	responded.Store(true)
	defer func() { _ = resp.Body.Close() }()
	data, release, err := c.Memory.ReadBody(resp)
	switch {
	case forwarder.IsTooLong(err):
		return nil, &Failure{
			Failure:  classifier.NewFailure(classifier.MayHaveRun, "answer too long between daemons", err),
			Arrived:  true,
			Reported: true,
			Load:     readLoad(resp.Header),
		}
	case err != nil:
		return nil, c.sendFailure(ctx, classifier.NewFailure(classifier.MayHaveRun, "answer broke off between daemons", err), handoff.Recalled())
	}
	targetResponse, err := readTargetResponse(resp, data, time.Since(began))
	if err != nil {
		release()
		return nil, err
	}
	targetResponse.Done = release
	return targetResponse, nil
}

// giveUpAfter returns the time without any response after which an attempt may be cancelled.
func (a *Attempt) giveUpAfter() time.Duration {
	limit := giveUpFraction * float64(time.Until(a.Deadline))
	if useful := time.Until(a.Objective); a.Patient && useful > 0 {
		limit = min(limit, objectiveFraction*float64(useful))
	}
	return max(minGiveUp, time.Duration(limit))
}

// mayGiveUp reports whether an attempt without any response may be cancelled.
func (c *Client) mayGiveUp(a *Attempt, body *forwarder.Body) bool {
	started := body.Started()
	if (a.Kind != matcher.Idempotent && started) || (c.KeepWaiting != nil && c.KeepWaiting()) {
		return false
	}
	verdict := classifier.MayHaveRun
	if expectsContinue(a) && !started {
		verdict = classifier.NotRun
	}
	return a.MayGiveUp == nil || a.MayGiveUp(verdict)
}

// expectsContinue reports whether an attempt sends its body only after 100
// Continue. This avoids sending a large body to another zone if the attempt is
// rejected. A non-idempotent request waits for 100 Continue whatever the size of
// its body, because it cannot have run before the body is sent.
func expectsContinue(a *Attempt) bool {
	return AwaitsTurn(a.Body.Len()) || (a.Kind == matcher.NonIdempotent && a.Body.Len() > 0)
}

// AwaitsTurn reports whether a body of a size is sent only when the daemon of the target
// has a turn for it.
func AwaitsTurn(bytes int) bool { return bytes >= expectBytes }

// sendFailure returns the Failure of an attempt that the daemon has not responded
// to in full. If notBegun is set, the request has not run.
func (c *Client) sendFailure(ctx context.Context, err error, notBegun bool) error {
	f := NewFailure(err)
	verdict, reason := f.Verdict, f.Reason
	if notBegun {
		verdict = classifier.NotRun
	}
	if context.Cause(ctx) == errSilent {
		reason = "daemon of the target silent"
	}
	return &Failure{
		Failure: classifier.NewFailure(verdict, reason, err),
		Arrived: verdict != classifier.NotRun,
	}
}

// newRequest returns the request of an attempt. Its times are set when it is sent.
func (c *Client) newRequest(address string, a *Attempt, handoff *forwarder.Handoff) (*http.Request, *forwarder.Body) {
	h := forwarder.ForwardedHeader(a.Header)
	a.writeHeader(h, c.Key)
	if expectsContinue(a) {
		h.Set("Expect", "100-continue")
	}
	body := &forwarder.Body{
		Reader:  a.Body.Reader(),
		Handoff: handoff,
	}
	return &http.Request{
		Method:        a.Method,
		URL:           a.URL(address),
		Host:          a.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Body:          body,
		ContentLength: int64(a.Body.Len()),
	}, body
}

// URL returns the URL of the attempt at an address. Its request target is URI, byte for
// byte, if IsTarget reports true for that.
func (a *Attempt) URL(address string) *url.URL {
	return targetURL(address, a.URI)
}

// IsTarget reports whether a path with a query can be sent as the target of a request
// without a change.
func IsTarget(uri string) bool {
	return strings.HasPrefix(uri, "/") && targetURL("", uri).RequestURI() == uri
}

// targetURL returns the URL of a request target at an address. An opaque URL keeps all
// bytes, but one that begins with two slashes would be written in absolute form.
func targetURL(address, uri string) *url.URL {
	if strings.HasPrefix(uri, "//") {
		if u, err := url.ParseRequestURI(uri); err == nil {
			u.Scheme, u.Host = "http", address
			return u
		}
	}
	return &url.URL{
		Scheme: "http",
		Host:   address,
		Opaque: uri,
	}
}

// readTargetResponse returns the target's response, or the failure that its daemon
// reports. elapsed is the time since the attempt was sent.
func readTargetResponse(resp *http.Response, body []byte, elapsed time.Duration) (*TargetResponse, error) {
	lag := max(0, elapsed-durationHeader(resp.Header, processingTimeHeader))
	status, err := strconv.Atoi(resp.Header.Get(statusHeader))
	if err != nil || !forwarder.IsFinalStatus(status) {
		f := readFailure(resp.Header)
		f.Load.Lag = lag
		return nil, f
	}
	targetResponse := &TargetResponse{
		Status: status,
		Header: forwarder.ForwardedHeader(resp.Header),
		Body:   body,
		Load:   readLoad(resp.Header),
	}
	targetResponse.Load.Lag = lag
	targetResponse.Load.ResponseBytes = len(body)
	return targetResponse, nil
}
