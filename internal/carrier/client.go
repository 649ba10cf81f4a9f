package carrier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Times and sizes of the way between daemons.
const (
	// silence is how long a daemon may say nothing of an order that it was sent
	// before it is avoided: a daemon says at once that it has handed an order
	// over, refuses it, or that it has queued it.
	silence = 150 * time.Millisecond
	// minGiveUp and giveUpShare bound the same time after which the order is
	// given up, by the time that it has left: a daemon on a slow machine or
	// link may need some hundred milliseconds.
	minGiveUp   = 200 * time.Millisecond
	giveUpShare = 0.4
	// expectBytes is the size from which a body is sent only once it is asked
	// for.
	expectBytes = 8 << 10
)

// errSilent is the cause of a send that is given up since the daemon said
// nothing.
var errSilent = errors.New("daemon silent")

// Client sends orders to the daemons of other VMs.
type Client struct {
	Key       string
	Transport http.RoundTripper
	// Silent is told of a daemon that has said nothing for too long.
	Silent func(address string)
	// Keep reports whether orders are to be kept although their daemons are
	// silent; nil means never.
	Keep func() bool
}

// Send sends an order to the daemon at an address. Its error is a *Failure.
func (c *Client) Send(ctx context.Context, address string, o *Order) (*Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	var heard atomic.Bool
	r, body := c.request(address, o)
	watch := time.AfterFunc(silence, func() {
		if heard.Load() {
			return
		}
		c.Silent(address)
	})
	defer watch.Stop()
	last := time.AfterFunc(max(minGiveUp, time.Duration(giveUpShare*float64(time.Until(o.Deadline)))), func() {
		mayGiveUp := o.Kind == matcher.Idempotent || !body.Begun()
		if !heard.Load() && mayGiveUp && (c.Keep == nil || !c.Keep()) {
			giveUp(errSilent)
		}
	})
	defer last.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			heard.Store(true)
			return nil
		},
	})
	resp, err := forwarder.RoundTrip(c.Transport, r.WithContext(ctx))
	if err != nil {
		return nil, c.failed(ctx, err, held(o) && !body.Begun())
	}
	heard.Store(true)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, c.failed(ctx, classifier.Fail(classifier.MayHaveRun, "answer broke off between daemons", err), false)
	}
	return readAnswer(resp, data, time.Since(began))
}

// held reports whether an order's body is sent only once it is asked for: a
// large one, so that a refusal doesn't carry it to another zone, and that of an
// order that may run only once, which has not run while it was not asked for.
func held(o *Order) bool {
	return len(o.Body) >= expectBytes || (o.Kind == matcher.Once && len(o.Body) > 0)
}

// failed returns the failure of a send. Without its body the order has not run.
func (c *Client) failed(ctx context.Context, err error, withoutBody bool) error {
	f := Fail(err)
	verdict, reason := f.Verdict, f.Reason
	if withoutBody {
		verdict = classifier.NotRun
	}
	if context.Cause(ctx) == errSilent {
		reason = "daemon of the target silent"
	}
	return &Failure{
		Failure: classifier.Fail(verdict, reason, err),
		Arrived: verdict != classifier.NotRun,
	}
}

func (c *Client) request(address string, o *Order) (*http.Request, *forwarder.Body) {
	h := forwarder.Carried(o.Header)
	o.write(h, c.Key)
	if held(o) {
		h.Set("Expect", "100-continue")
	}
	body := forwarder.NewBody(o.Body)
	return &http.Request{
		Method:        o.Method,
		URL:           o.URL(address),
		Host:          o.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Body:          body,
		ContentLength: int64(len(o.Body)),
	}, body
}

// URL returns the URL that carries the order's path, byte for byte, to an
// address.
func (o *Order) URL(address string) *url.URL {
	return &url.URL{
		Scheme: "http",
		Host:   address,
		Opaque: o.URI,
	}
}

// readAnswer tells a target's answer from a failure that its daemon reports.
// Either came after a time.
func readAnswer(resp *http.Response, body []byte, took time.Duration) (*Answer, error) {
	lag := max(0, took-duration(resp.Header, spentHeader))
	status, err := strconv.Atoi(resp.Header.Get(statusHeader))
	if err != nil {
		f := readFailure(resp.Header)
		f.Load.Lag = lag
		return nil, f
	}
	answer := &Answer{
		Status: status,
		Header: forwarder.Carried(resp.Header),
		Body:   body,
		Load:   readLoad(resp.Header),
	}
	answer.Load.Lag = lag
	return answer, nil
}
