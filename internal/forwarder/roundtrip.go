package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Timeouts of connections.
const (
	// dialTimeout bounds the time to connect. Within a region, connecting takes
	// a few milliseconds.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// probeIdle, probeInterval and probeCount configure TCP keep-alive, so that
	// a dead idle connection is detected within seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout bounds the time that sent data may remain unacknowledged.
	unackedTimeout = 1500 * time.Millisecond
)

// NewTransport returns the transport for requests to daemons and targets. It
// reuses connections, at most the given number to one address; 0 means no bound.
func NewTransport(connections int) *http.Transport {
	return NewTransportWith(TransportOptions{
		MaxConnections: connections,
		Dial:           dialTimeout,
		Idle:           idleTimeout,
	})
}

// TransportOptions configures a transport.
type TransportOptions struct {
	// MaxConnections bounds the number of connections to one address; 0 means no bound. Beyond
	// it requests wait for a connection.
	MaxConnections int
	// Dial bounds the time to connect.
	Dial time.Duration
	// Idle is the time after which an unused connection is closed.
	Idle time.Duration
	// MaxResponseHead bounds the head of a response in bytes, together with the
	// informational responses before it; 0 means defaultMaxResponseHead.
	MaxResponseHead int64
	// Traffic returns the counter of the bytes that are sent to and received from an
	// address, or nil if they are not counted. Traffic may be nil.
	Traffic func(address string) *atomic.Int64
}

// defaultMaxResponseHead allows for the head of a target's response to grow on its
// way between daemons.
const defaultMaxResponseHead = 128 << 10

// NewTransportWith returns a transport with the given options. A connection is
// closed if the peer does not acknowledge sent data in time.
func NewTransportWith(o TransportOptions) *http.Transport {
	dialer := &net.Dialer{
		Timeout: o.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: setUserTimeout,
	}
	maxHead := cmp.Or(o.MaxResponseHead, defaultMaxResponseHead)
	maxIdle := cmp.Or(o.MaxConnections, math.MaxInt)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countingConn{
				Conn:    conn,
				maxHead: maxHead,
			}
			if o.Traffic != nil {
				counted.traffic = o.Traffic(address)
			}
			return counted, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		MaxConnsPerHost:        o.MaxConnections,
		IdleConnTimeout:        o.Idle,
		ExpectContinueTimeout:  maxTimeout,
		MaxResponseHeaderBytes: maxHead,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection
// if sent data remains unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// countingConn is a connection that counts the bytes read from it, the bytes
// written to it and the writes in progress. It resets connections on which a request
// is unanswered, and tells an end in order from one that is only the rest of a reset.
type countingConn struct {
	net.Conn
	// maxHead is the transport's bound of a response's head.
	maxHead       int64
	pendingWrites atomic.Int64
	written       atomic.Int64
	received      atomic.Int64
	// writeFailed is set when a write has failed.
	writeFailed atomic.Bool
	// unanswered is set from the start of a request to the first byte of a response.
	unanswered atomic.Bool
	// traffic counts the bytes of several connections. It may be nil.
	traffic *atomic.Int64
}

// addTraffic counts bytes that were sent or received.
func (c *countingConn) addTraffic(n int) {
	if c.traffic != nil {
		c.traffic.Add(int64(n))
	}
}

// Read implements io.Reader and counts the bytes read. It returns io.EOF only if the peer
// has closed the connection in order.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.addTraffic(n)
	if n > 0 {
		c.unanswered.Store(false)
	}
	if err == io.EOF && !c.closedInOrder() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// closedInOrder reports whether the end of what the peer has sent is certain not to be that
// of a reset. The kernel reports a reset only once: if to a write, the next read returns
// io.EOF.
func (c *countingConn) closedInOrder() bool {
	if c.pendingWrites.Load() == 0 && !c.writeFailed.Load() {
		return true
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	closeWait := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closeWait = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return closeWait
}

// Close implements io.Closer. It resets the connection if there is no response to a
// request yet, so that a peer that has not read the request can drop it. A peer that
// has begun to respond reads the connection, and an orderly close reaches it more
// reliably: a lost reset is not sent again.
func (c *countingConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unanswered.Load() {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// Write implements io.Writer and counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	c.pendingWrites.Add(1)
	defer c.pendingWrites.Add(-1)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.addTraffic(n)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// NewBody returns a Body that holds data.
func NewBody(data []byte) *Body {
	return &Body{Reader: bytes.NewReader(data)}
}

// Started reports whether the transport has begun to read the body. Part of it may
// then have been sent.
func (b *Body) Started() bool { return b.read.Load() }

// Body is a request body that the transport sends at most once: the transport
// can neither rewind it nor detect that it is empty. It records whether it was
// read and the error that ended reading.
type Body struct {
	io.Reader
	// Handoff begins before the first byte is read. It may be nil.
	Handoff *Handoff
	read    atomic.Bool
	failed  atomic.Pointer[error]
}

// Read implements io.Reader. It fails if the request was recalled.
func (b *Body) Read(p []byte) (int, error) {
	if b.Handoff != nil && !b.Handoff.Begin() {
		return 0, ErrRecalled
	}
	b.read.Store(true)
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(&err)
	}
	return n, err
}

// Close does nothing. The server closes the caller's body.
func (b *Body) Close() error { return nil }

// bodyError returns the error that occurred while the request's body was read, or
// nil.
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

// connTrace records the connection on which a request is sent, and the numbers of
// bytes written to it and read from it before the request.
type connTrace struct {
	// ctx is the context of the request, with its client's connection.
	ctx context.Context
	// check is called when the request has a connection, and cancel ends the request if it is
	// rejected. They may be nil.
	check         func() error
	cancel        context.CancelCauseFunc
	conn          atomic.Pointer[countingConn]
	connected     atomic.Bool
	startOffset   atomic.Int64
	startReceived atomic.Int64
	// rejected is the reason why the request was not written, or nil.
	rejected atomic.Pointer[error]
}

// gotConn records the connection. If the request must not be sent any more after it has
// waited for a connection, it closes the connection, so that the request is not written.
func (ct *connTrace) gotConn(info httptrace.GotConnInfo) {
	if err := ct.checkRequest(); err != nil {
		ct.rejected.Store(&err)
		if ct.cancel != nil {
			ct.cancel(err)
		}
		_ = info.Conn.Close()
	}
	if c, ok := info.Conn.(*countingConn); ok {
		ct.startOffset.Store(c.written.Load())
		ct.startReceived.Store(c.received.Load())
		c.unanswered.Store(true)
		ct.conn.Store(c)
	}
	ct.connected.Store(true)
}

// checkRequest returns the reason why the request must not be sent any more, or nil.
func (ct *connTrace) checkRequest() error {
	switch {
	case ClientGone(ct.ctx):
		return ErrCancelled
	case ct.check != nil:
		return ct.check()
	}
	return nil
}

// nothingWritten reports whether it is certain that no byte of the request was
// written.
func (ct *connTrace) nothingWritten() bool {
	if !ct.connected.Load() {
		return true
	}
	c := ct.conn.Load()
	return c != nil && c.pendingWrites.Load() == 0 && c.written.Load() == ct.startOffset.Load()
}

// closeConn closes the connection, so that its further bytes are not taken for a response.
func (ct *connTrace) closeConn() {
	if c := ct.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// headTooLong returns the number of bytes received in response to the request if
// they reach the bound of a response's head.
func (ct *connTrace) headTooLong() (received int64, ok bool) {
	c := ct.conn.Load()
	if c == nil {
		return 0, false
	}
	received = c.received.Load() - ct.startReceived.Load()
	return received, received >= c.maxHead
}

// TooLongError is the cause of a failure if a response exceeds a bound.
type TooLongError struct {
	// Read is the number of bytes of the response that have been read.
	Read int64
}

// Error implements error.
func (e *TooLongError) Error() string { return strconv.FormatInt(e.Read, 10) + " bytes read" }

// IsTooLong reports whether err means that a response exceeds a bound.
func IsTooLong(err error) bool {
	var tooLong *TooLongError
	return errors.As(err, &tooLong)
}

// ErrCancelled means that the client left, or that the time ran out, before the
// request was written.
var ErrCancelled = classifier.NewFailure(classifier.NotRun, "cancelled before it was written", nil)

// roundTripFramed sends a request once, like RoundTripIf. It fails if the response has no
// framing by which its end can be detected.
func roundTripFramed(rt http.RoundTripper, req *http.Request, check func() error) (*http.Response, error) {
	resp, err := RoundTripIf(rt, req, check)
	if err != nil {
		return nil, err
	}
	return checkFraming(resp)
}

// Status codes of final responses.
const (
	minStatus = 200
	maxStatus = 599
)

// IsFinalStatus reports whether a status code is one of a final response. RFC 9110,
// section 15, has no class below 100 nor above 599, and 1xx responses are interim.
func IsFinalStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// RoundTrip sends a request once. The body must not be rewindable, so that the
// transport cannot send it again. The error has the verdict NotRun only if no
// byte can have been written. A response whose status is not one of a final response
// is an error, and its connection is closed.
func RoundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	return RoundTripIf(rt, req, nil)
}

// RoundTripIf sends a request like RoundTrip, unless check returns an error, which must have
// the verdict NotRun. check is called when the request has a connection, before any byte is
// written, and may change the values of its headers. After an error, the context of the
// request that rt has got is done, so that rt doesn't blame the connection.
func RoundTripIf(rt http.RoundTripper, req *http.Request, check func() error) (*http.Response, error) {
	ctx := req.Context()
	ct := connTrace{
		ctx:   ctx,
		check: check,
	}
	if check != nil {
		ctx, ct.cancel = context.WithCancelCause(ctx)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: ct.gotConn})
	resp, err := rt.RoundTrip(req.WithContext(ctx))
	switch {
	case err == nil && IsFinalStatus(resp.StatusCode):
		return resp, nil
	case err == nil:
		ct.closeConn()
		_ = resp.Body.Close()
		return nil, classifier.NewFailure(classifier.MayHaveRun, "answer with an invalid status", nil)
	case !ct.connected.Load():
		return nil, classifier.NewFailure(classifier.NotRun, "no connection", err)
	case ct.rejected.Load() != nil:
		return nil, *ct.rejected.Load()
	case bodyError(req) != nil:
		return nil, classifier.NewFailure(classifier.MayHaveRun, "body broke off", bodyError(req))
	case ctx.Err() != nil:
		return nil, classifier.NewFailure(classifier.MayHaveRun, "no answer in time", err)
	case ct.nothingWritten():
		return nil, classifier.NewFailure(classifier.NotRun, "connection broke before use", err)
	}
	if received, ok := ct.headTooLong(); ok {
		return nil, classifier.NewFailure(classifier.MayHaveRun, "head of the answer too long", &TooLongError{Read: received})
	}
	return nil, classifier.NewFailure(classifier.MayHaveRun, "connection broke", err)
}

// checkFraming fails if the end of the response could not be distinguished from
// a broken connection, because it has neither a length nor chunks.
func checkFraming(resp *http.Response) (*http.Response, error) {
	chunked := len(resp.TransferEncoding) > 0
	isHead := resp.Request != nil && resp.Request.Method == http.MethodHead
	if resp.ContentLength >= 0 || chunked || isHead || resp.ProtoMajor > 1 {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, classifier.NewFailure(classifier.Ran, "answer of unknown length", nil)
}

// copyBufferSize is the size of the buffer for copying bodies, in bytes.
const copyBufferSize = 32 << 10

// relayResponse copies a response to the caller as it arrives. If it fails, the
// handler must abort the caller's connection, so that the truncated response
// does not look complete.
func relayResponse(w http.ResponseWriter, resp *http.Response) error {
	h := w.Header()
	for name, values := range ForwardedHeader(resp.Header) {
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	streaming := resp.ContentLength < 0
	return copyBody(w, resp.Body, streaming)
}

// copyBody copies a body. If streaming, it flushes after each read.
func copyBody(w http.ResponseWriter, r io.Reader, streaming bool) error {
	if !streaming {
		_, err := io.Copy(w, r)
		return err
	}
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
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
