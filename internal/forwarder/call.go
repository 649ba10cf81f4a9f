package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Call is a caller's request that is being forwarded.
type Call struct {
	ID      string
	View    *View
	Match   router.Match
	Request *http.Request
	// body is the complete body if it is buffered, and nil otherwise.
	body []byte
	// stream is the body if it is not buffered, and nil otherwise.
	stream *Body
	// tried holds the VM IDs of the daemons to which the call was sent.
	tried []string
}

// Answer is a target's response. Its body has not been read yet.
type Answer struct {
	Response *http.Response
	// Member is the daemon that admitted the request.
	Member prober.Member
}

// maxBufferedBody is the maximum size of a request body that is buffered, in
// bytes. A buffered body can be sent again.
const maxBufferedBody = 64 << 10

// readBody buffers a body of at most maxBufferedBody bytes. A larger body, or one
// of unknown length, becomes a stream of at most limit bytes. If the body cannot
// be read, it returns the HTTP status code of the error response.
func (c *Call) readBody(limit int64) (status int, err error) {
	r := c.Request
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		c.stream = &Body{Reader: http.MaxBytesReader(nil, r.Body, limit)}
		return 0, nil
	}
	if c.body, err = io.ReadAll(r.Body); err != nil {
		return http.StatusBadRequest, classifier.NewFailure(classifier.NotRun, "body broke off", err)
	}
	return 0, nil
}

// Fingerprint returns a hash of the method, the path with its query, the content
// length and the body. A body that is not buffered is left out.
func (c *Call) Fingerprint() string {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %d\n", c.Request.Method, c.Request.URL.RequestURI(), c.Request.ContentLength)
	_, _ = digest.Write(c.body)
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// volatileHeaders lists headers that may differ when a caller repeats a
// request.
var volatileHeaders = []string{
	"Baggage",
	"Date",
	"Idempotency-Key",
	"Traceparent",
	"Tracestate",
	"X-B3-Spanid",
	"X-B3-Traceid",
	"X-Request-Id",
}

// crashFingerprint returns the fingerprint by which requests that crash targets
// are quarantined. It is a hash of Fingerprint and of the headers, except
// volatileHeaders and headers of this system.
func (c *Call) crashFingerprint(headers http.Header) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, c.Fingerprint())
	for _, name := range slices.Sorted(maps.Keys(headers)) {
		if strings.HasPrefix(name, internalPrefix) || slices.Contains(volatileHeaders, name) {
			continue
		}
		_, _ = fmt.Fprintf(digest, "%q %q\n", name, headers[name])
	}
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is the length of a fingerprint in bytes, before hexadecimal
// encoding.
const fingerprintBytes = 16

// Buffered reports whether the whole body is buffered and can be sent again
// after any attempt.
func (c *Call) Buffered() bool { return c.stream == nil }

// Resendable reports whether the whole body can still be sent: it is buffered, or
// none of it has been read yet.
func (c *Call) Resendable() bool {
	return c.stream == nil || !c.stream.read.Load()
}

// Tried returns the VM IDs of the daemons to which the call was sent. Further
// attempts avoid them.
func (c *Call) Tried() []string { return slices.Clone(c.tried) }

func (c *Call) wasTried(id string) bool { return slices.Contains(c.tried, id) }
