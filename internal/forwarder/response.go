package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// responseBody is a response body that calls onEnd once, with the error that ended
// reading. io.EOF means that the body is complete.
type responseBody struct {
	io.ReadCloser
	onEnd func(err error)
	once  sync.Once
}

// errUnread is passed to onEnd if a body is closed before its end has been
// read.
var errUnread = classifier.NewFailure(classifier.Ran, "answer not read to its end", nil)

// Read implements io.Reader. Any error, including io.EOF, ends the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}

// Close closes the body. If its end has not been read, onEnd gets errUnread.
func (b *responseBody) Close() error {
	b.once.Do(func() { b.onEnd(errUnread) })
	return b.ReadCloser.Close()
}

// responseResult returns the result of an attempt whose response body ended
// with err.
func responseResult(ctx context.Context, resp *http.Response, err error) balancer.Result {
	switch {
	case resp.StatusCode >= http.StatusInternalServerError:
		return balancer.Failed
	case err == io.EOF:
		return balancer.Succeeded
	case err == errUnread || ctx.Err() == context.Canceled:
		return balancer.Aborted
	default:
		return balancer.Failed
	}
}

// failureResult returns the result of an attempt that failed with err. resp is
// the error response of the target's daemon, or nil if there was no response.
func failureResult(ctx context.Context, resp *http.Response, out *http.Request, err error) balancer.Result {
	notRun := classifier.VerdictOf(err) == classifier.NotRun
	switch {
	case resp != nil && notRun:
		return balancer.Refused
	case ctx.Err() == context.Canceled || bodyError(out) != nil:
		return balancer.Aborted
	case notRun:
		return balancer.Unreachable
	default:
		return balancer.Failed
	}
}

// recordHeadroom passes the headroom in the headers of a response to the
// balancer.
func (e *Entry) recordHeadroom(c balancer.Choice, resp *http.Response) {
	if resp == nil {
		return
	}
	free, err := strconv.Atoi(resp.Header.Get(HeadroomHeader))
	if err != nil {
		return
	}
	allowance, err := strconv.Atoi(resp.Header.Get(AllowanceHeader))
	if err != nil {
		allowance = 1
	}
	e.Balancer.RecordHeadroom(c, balancer.Headroom{
		Free:      free,
		Allowance: allowance,
	})
}
