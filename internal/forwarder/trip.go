package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Times of connections.
const (
	// dialTimeout bounds the making of a connection; inside a region it takes
	// a few milliseconds.
	dialTimeout = time.Second
	// idleTimeout closes a connection that was not used.
	idleTimeout = 30 * time.Second
	// probeIdle and probeInterval are the times after which an idle connection
	// is probed, so that one that went silent is noticed within seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout bounds the time that sent bytes stay unacknowledged.
	unackedTimeout = 1500 * time.Millisecond
)

// NewTransport returns the transport for requests between daemons and to
// targets. Connections are kept and reused.
func NewTransport(connections int) *http.Transport {
	return NewTransportWith(TransportOptions{
		Connections: connections,
		Dial:        dialTimeout,
		Idle:        idleTimeout,
	})
}

// TransportOptions set up a transport.
type TransportOptions struct {
	// Connections bounds the connections to one address.
	Connections int
	// Dial bounds the making of a connection.
	Dial time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
}

// NewTransportWith returns a transport set up by options. A connection on which
// the peer acknowledges nothing is given up.
func NewTransportWith(o TransportOptions) *http.Transport {
	dialer := &net.Dialer{
		Timeout: o.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: limitUnacked,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:    true,
		MaxIdleConnsPerHost:   o.Connections,
		MaxConnsPerHost:       o.Connections,
		IdleConnTimeout:       o.Idle,
		ExpectContinueTimeout: maxTimeout,
	}
}

// limitUnacked lets the kernel give a connection up whose sent bytes stay
// unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// countingConn is a connection that counts what is written to it.
type countingConn struct {
	net.Conn
	writing atomic.Int64
	written atomic.Int64
}

// Write writes and counts the bytes that were taken.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// NewBody returns a request body that is sent at most once.
func NewBody(data []byte) *Body {
	return &Body{Reader: bytes.NewReader(data)}
}

// Begun reports whether any of the body may have been sent.
func (b *Body) Begun() bool { return b.read.Load() }

// Body is a request body that the transport sends at most once, since it is
// neither empty nor rewindable to it. It notes whether it was read and how
// reading failed.
type Body struct {
	io.Reader
	read   atomic.Bool
	failed atomic.Pointer[error]
}

// Read reads and notes it.
func (b *Body) Read(p []byte) (int, error) {
	b.read.Store(true)
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(&err)
	}
	return n, err
}

// Close leaves the caller's body open: its server closes it.
func (b *Body) Close() error { return nil }

// bodyError returns how reading the request's body failed, or nil.
func bodyError(req *http.Request) error {
	b, ok := req.Body.(*Body)
	if !ok {
		return nil
	}
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// trip notes the connection that a request is sent on.
type trip struct {
	conn  atomic.Pointer[countingConn]
	got   atomic.Bool
	start atomic.Int64
}

func (t *trip) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*countingConn); ok {
		t.start.Store(c.written.Load())
		t.conn.Store(c)
	}
	t.got.Store(true)
}

// unsent reports whether provably nothing was written.
func (t *trip) unsent() bool {
	if !t.got.Load() {
		return true
	}
	c := t.conn.Load()
	return c != nil && c.writing.Load() == 0 && c.written.Load() == t.start.Load()
}

// roundTrip sends one request once and refuses an answer of unknown length.
func roundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	resp, err := RoundTrip(rt, req)
	if err != nil {
		return nil, err
	}
	return whole(resp)
}

// RoundTrip sends one request once; its body must not be rewindable. The
// verdict of its error is NotRun when nothing can have been written.
func RoundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	var t trip
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: t.gotConn})
	resp, err := rt.RoundTrip(req.WithContext(ctx))
	switch {
	case err == nil:
		return resp, nil
	case !t.got.Load():
		return nil, classifier.Fail(classifier.NotRun, "no connection", err)
	case bodyError(req) != nil:
		return nil, classifier.Fail(classifier.MayHaveRun, "body broke off", bodyError(req))
	case ctx.Err() != nil:
		return nil, classifier.Fail(classifier.MayHaveRun, "no answer in time", err)
	case t.unsent():
		return nil, classifier.Fail(classifier.NotRun, "connection broke before use", err)
	default:
		return nil, classifier.Fail(classifier.MayHaveRun, "connection broke", err)
	}
}

// whole refuses an answer whose end could not be told from a broken
// connection: one without a length and without chunks.
func whole(resp *http.Response) (*http.Response, error) {
	chunked := len(resp.TransferEncoding) > 0
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	if resp.ContentLength >= 0 || chunked || head || resp.ProtoMajor > 1 {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, classifier.Fail(classifier.Ran, "answer of unknown length", nil)
}

// bufferSize is the size of the pieces in which bodies are copied, in bytes.
const bufferSize = 32 << 10

// relay copies an answer to the caller as it arrives. An answer that breaks
// off breaks the caller's connection too, so that it never looks whole.
func relay(w http.ResponseWriter, resp *http.Response) error {
	h := w.Header()
	for name, values := range Carried(resp.Header) {
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	streaming := resp.ContentLength < 0
	return copyBody(w, resp.Body, streaming)
}

// copyBody copies the body, flushing each piece of one whose length is not
// known.
func copyBody(w http.ResponseWriter, r io.Reader, streaming bool) error {
	if !streaming {
		_, err := io.Copy(w, r)
		return err
	}
	flusher := http.NewResponseController(w)
	buffer := make([]byte, bufferSize)
	for {
		n, err := r.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}
