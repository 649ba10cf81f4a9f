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

// Call is one caller's request on its way.
type Call struct {
	ID      string
	View    *View
	Match   router.Match
	Request *http.Request
	// body is the whole body when it is small, else nil.
	body []byte
	// stream is the body when it is large.
	stream *Body
	// tried holds the VMs of the daemons that the call was sent to.
	tried []string
}

// Answer is a target's answer, with its body still to be read.
type Answer struct {
	Response *http.Response
	// Member is the daemon that admitted the call.
	Member prober.Member
}

// smallBody is the size of the largest body that is held so that it can be
// sent again, in bytes.
const smallBody = 64 << 10

func (c *Call) takeBody(limit int64) (status int, err error) {
	r := c.Request
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		c.stream = &Body{Reader: http.MaxBytesReader(nil, r.Body, limit)}
		return 0, nil
	}
	if c.body, err = io.ReadAll(r.Body); err != nil {
		return http.StatusBadRequest, classifier.Fail(classifier.NotRun, "body broke off", err)
	}
	return 0, nil
}

// Fingerprint identifies what is sent: the method, the path with its query, and
// the body. Of a large body only the length counts.
func (c *Call) Fingerprint() string {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %d\n", c.Request.Method, c.Request.URL.RequestURI(), c.Request.ContentLength)
	_, _ = digest.Write(c.body)
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// changingHeaders differ when a caller sends the same request again.
var changingHeaders = []string{
	"Baggage",
	"Date",
	"Idempotency-Key",
	"Traceparent",
	"Tracestate",
	"X-B3-Spanid",
	"X-B3-Traceid",
	"X-Request-Id",
}

// print identifies what may crash a target: what Fingerprint does, and the
// headers but for those that change with each sending.
func (c *Call) print(headers http.Header) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, c.Fingerprint())
	for _, name := range slices.Sorted(maps.Keys(headers)) {
		if strings.HasPrefix(name, ownPrefix) || slices.Contains(changingHeaders, name) {
			continue
		}
		_, _ = fmt.Fprintf(digest, "%q %q\n", name, headers[name])
	}
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is the length of a fingerprint before it is written as hex
// digits.
const fingerprintBytes = 16

// Held reports whether the call's whole body is held, so that it can be sent
// again whatever becomes of a try.
func (c *Call) Held() bool { return c.stream == nil }

// Resendable reports whether the call's body can still be sent whole.
func (c *Call) Resendable() bool {
	return c.stream == nil || !c.stream.read.Load()
}

// Tried returns the VMs of the daemons that the call was sent to. The next try
// avoids them.
func (c *Call) Tried() []string { return slices.Clone(c.tried) }

func (c *Call) wasTried(id string) bool { return slices.Contains(c.tried, id) }
