package receiver

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// Sizes and timeouts of a connection.
const (
	// maxPipelined bounds the requests of one connection that are in flight.
	maxPipelined = 32
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// DefaultPause is the default of Server.Pause. No client stays idle for as long.
	DefaultPause = 30 * time.Second
	// progressBytes is the part of a body that must arrive in Server.Pause.
	progressBytes = 4 << 10
	// connectionBytes is the memory of a connection without a request, with its
	// goroutines and its read buffer, and requestBytes that of a request without header
	// and body. A header takes headerFactor of its size.
	connectionBytes = 20 << 10
	requestBytes    = 8 << 10
	headerFactor    = 2
	// writeSize is the size of the parts in which responses are written.
	writeSize = 64 << 10
	// writeTimeout bounds the time to write a part of a response, of writeSize bytes.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the server reads on after it has announced the
	// close to the client. Unread bytes would make the close reset the connection
	// before the client has the response.
	lingerTimeout = 500 * time.Millisecond
	// firstRequestTimeout is how long a connection without a request so far waits for
	// one after Stop. A client sends a request as soon as it has connected.
	firstRequestTimeout = 100 * time.Millisecond
	// CloseTime is how long the server takes at most after Stop to close a connection
	// on which no request arrives.
	CloseTime = firstRequestTimeout + lingerTimeout
)

// exchange is a request with its pending response.
type exchange struct {
	request  *Request
	response chan *Response
	// held accounts for the response from its end until it has been written. It is nil
	// for an empty one.
	held *allocator.Holding
	// last means that no further request is read from the connection.
	last bool
}

// connection is a connection of one client. One goroutine reads requests, and
// another writes the responses in the order of the requests.
type connection struct {
	server    *Server
	conn      net.Conn
	limit     *limitedReader
	reader    *bufio.Reader
	exchanges chan *exchange
	ctx       context.Context
	cancel    context.CancelFunc
	// held accounts for the connection without its requests.
	held *allocator.Holding

	mu sync.Mutex
	// pending holds the requests whose responses have not been written. reading is
	// true while a request is being read or is in the buffer.
	pending []*exchange
	reading bool
	// used means that a request was begun.
	used bool
	// closing is true when no response will follow the current one, or when the
	// connection was aborted.
	closing bool
	// ending is what is known about the end of the connection. reported means that
	// OnUnanswered was called, or will not be.
	ending   Ending
	reported bool
}

func newConnection(s *Server, conn net.Conn) *connection {
	limit := &limitedReader{conn: conn}
	ctx, cancel := context.WithCancel(forwarder.WithConn(context.Background(), conn))
	c := &connection{
		server:    s,
		conn:      conn,
		limit:     limit,
		reader:    bufio.NewReaderSize(limit, readBufferSize),
		exchanges: make(chan *exchange, maxPipelined),
		ctx:       ctx,
		cancel:    cancel,
	}
	c.held = s.Account.Open(allocator.Connections, c.closeIfIdle)
	return c
}

// serve serves the connection until it ends, and closes it.
func (c *connection) serve() {
	defer c.server.removeConnection(c)
	defer c.conn.Close()
	defer c.held.Release() // the account must not close the connection while it ends
	if c.held.Grow(connectionBytes) != nil {
		c.cancel()
		c.server.refused.Add(1)
		return
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeResponses()
	}()
	clientGone := c.readRequests()
	close(c.exchanges)
	if clientGone {
		c.cancel()
	}
	<-writerDone
	c.cancel()
	discarded := int64(c.reader.Buffered())
	if !clientGone {
		discarded += c.linger()
	}
	c.discard(discarded)
	c.report()
}

// closeIfIdle ends the wait for a request. One that has arrived is read.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 && !c.reading && !c.closing {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// revokeRequest ends the reading of a request.
func (c *connection) revokeRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit.revoked.Store(true)
	_ = c.conn.SetReadDeadline(time.Now())
}

// setReadDeadline sets the deadline for reading a request, unless it is revoked.
func (c *connection) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limit.revoked.Load() {
		_ = c.conn.SetReadDeadline(t)
	}
}

// linger reads and discards data until the client closes the connection, for at
// most lingerTimeout, and returns the number of bytes. Without it, the close could
// reset the connection before the client has the last response.
func (c *connection) linger() int64 {
	if halfCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	n, _ := io.Copy(io.Discard, c.conn)
	return n
}

// busy reports whether a response is pending, a request is being read, or the
// client may not have the last response yet.
func (c *connection) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 || c.reading || c.closing
}

// readRequests reads requests until the connection ends or is to be closed.
// clientGone means that the client has closed the connection.
func (c *connection) readRequests() (clientGone bool) {
	for {
		if err := c.awaitRequest(); err != nil {
			return c.isClientGone(err)
		}
		stopped := c.server.stopped.Load()
		r, status, err := c.readRequest()
		if status == 0 && err != nil {
			c.end(reasonClientGone, err)
			return true
		}
		if stopped && err == nil {
			status, err = http.StatusServiceUnavailable, errStopped
		}
		x := &exchange{
			request:  r,
			response: make(chan *Response, 1),
			last:     err != nil || r.Close || c.held.Revoked(),
		}
		if !c.enqueue(x) {
			r.release()
			return false
		}
		if err != nil {
			r.release()
			if r == nil {
				err = Class.New("client %v: %w", c.conn.RemoteAddr(), err)
			}
			c.server.OnRejected(r, status, err)
			x.response <- errorResponse(status)
			return false
		}
		go c.handle(x)
		if x.last {
			return c.awaitClose()
		}
	}
}

// isClientGone reports whether an error while waiting for a request means that
// the client has closed the connection. It is false for an idle timeout and if
// the connection is closing.
func (c *connection) isClientGone(err error) (clientGone bool) {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	switch {
	case closing:
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason := reasonIdle
		if c.server.stopped.Load() {
			reason = reasonStopped
		}
		c.end(reason, nil)
		return false
	default:
		c.end(reasonClientGone, err)
		return true
	}
}

// awaitClose waits until the last response has been written, the client has closed
// the connection, or more data arrives.
func (c *connection) awaitClose() (clientGone bool) {
	c.limit.remaining = readBufferSize
	_, err := c.reader.Peek(1)
	if err == nil {
		return false
	}
	return c.isClientGone(err)
}

// beginRequest records that a request is being read. It returns false if the
// connection is closing.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closing
	c.used = true
	c.held.SetState(allocator.Kept)
	return c.reading
}

// enqueue queues an exchange. It returns false if the connection is closing.
func (c *connection) enqueue(x *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.pending = append(c.pending, x)
	c.reading = !x.last && c.reader.Buffered() > 0
	c.mu.Unlock()
	c.exchanges <- x
	return true
}

// errClosing means that no request is read because the connection is closing.
var errClosing = Class.New("connection closing")

// awaitRequest waits for the first byte of the next request.
func (c *connection) awaitRequest() error {
	c.limit.remaining = c.server.Limits().HeaderBytes + readBufferSize
	c.setIdleDeadline()
	c.limit.strictDeadline = true
	_, err := c.reader.Peek(1)
	c.limit.strictDeadline = false
	if errors.Is(err, os.ErrDeadlineExceeded) && c.closeUnlessArrived() {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		return err
	}
	if !c.beginRequest() {
		return errClosing
	}
	return nil
}

// closeUnlessArrived closes the write side of the connection unless data has arrived
// that was not read, and reports whether there is such data. After a deadline, Read does
// not look for it. Nothing may hold up the process between the two steps: the connection
// looks open to its client, and a request that arrives then gets no response.
func (c *connection) closeUnlessArrived() (arrived bool) {
	syscallConn, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	p := make([]byte, 1)
	_ = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if arrived = n > 0; err == unix.EAGAIN {
			_ = unix.Shutdown(int(fd), unix.SHUT_WR)
		}
	})
	return arrived
}

// setIdleDeadline bounds the wait for a request if no response is pending. After
// Stop, the wait ends at once unless it is for the first request.
func (c *connection) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || c.reading || c.closing {
		return
	}
	c.held.SetState(allocator.Idle)
	deadline := time.Now()
	switch {
	case !c.server.stopped.Load():
		deadline = deadline.Add(c.server.Limits().IdleTimeout)
	case !c.used:
		deadline = deadline.Add(firstRequestTimeout)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

var errStopped = Class.New("daemon stopped before the request was read")

var errBodyTooLarge = Class.New("body exceeds the size limit")

// readRequest reads a whole request. On error, status is the response status, or
// 0 if the connection failed.
func (c *connection) readRequest() (r *Request, status int, err error) {
	limits := c.server.Limits()
	began := time.Now()
	held := c.server.Account.Open(allocator.Requests, c.revokeRequest)
	defer func() {
		if err != nil {
			held.Release()
		}
	}()
	held.SetState(allocator.Unfinished)
	if err := held.Grow(requestBytes + headerFactor*int64(c.reader.Buffered())); err != nil {
		return nil, http.StatusServiceUnavailable, err
	}
	c.setReadDeadline(began.Add(limits.HeaderTimeout))
	c.limit.header = held
	req, err := http.ReadRequest(c.reader)
	c.limit.header = nil
	if err != nil && c.limit.err != nil {
		// ReadRequest calls a line that breaks off malformed.
		err = c.limit.err
	}
	switch {
	case err == nil:
	case c.isRevoked(err):
		return nil, http.StatusServiceUnavailable, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, Class.New("timeout while reading the header")
	case errors.Is(err, errHeaderTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge, err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return nil, 0, err
	default:
		return nil, http.StatusBadRequest, err
	}
	if req.Host == "" || req.ProtoMajor != 1 {
		return nil, http.StatusBadRequest, Class.New("missing Host header or unsupported HTTP version")
	}
	if req.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	c.limit.remaining = unlimited
	body, status, err := c.readBody(req, limits, held)
	if err != nil {
		return nil, status, err
	}
	held.SetState(allocator.Kept)
	if held.Revoked() {
		return nil, http.StatusServiceUnavailable, errRevoked
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return &Request{
		Request: req,
		Body:    body,
		Began:   began,
		held:    held,
	}, 0, nil
}

// isRevoked reports whether a request was not read because there is no memory for it.
func (c *connection) isRevoked(err error) bool {
	return c.limit.revoked.Load() || errors.Is(err, allocator.ErrFull) || errors.Is(err, allocator.ErrRevoked)
}

// readBody reads a body of limited size. On error, status is the response status,
// or 0 if the connection failed.
func (c *connection) readBody(req *http.Request, limits Limits, held *allocator.Holding) (body allocator.Body, status int, err error) {
	if req.ContentLength == 0 {
		return nil, 0, nil
	}
	pause := cmp.Or(c.server.Pause, DefaultPause)
	c.setReadDeadline(time.Now().Add(pause))
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && !c.responsePending() {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	arrived := 0
	body, err = held.ReadBody(req.Body, req.ContentLength, limits.BodyBytes, func(bytes int) {
		if arrived += bytes; arrived >= progressBytes {
			arrived = 0
			held.Advance()
			c.setReadDeadline(time.Now().Add(pause))
		}
	})
	switch {
	case err == nil:
		return body, 0, nil
	case c.isRevoked(err):
		return nil, http.StatusServiceUnavailable, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, Class.New("timeout while reading the body")
	case errors.Is(err, allocator.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	case isMalformed(err):
		return nil, http.StatusBadRequest, err
	default:
		return nil, 0, err
	}
}

// responsePending reports whether the response to an earlier request is pending.
func (c *connection) responsePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// isMalformed reports whether a body violates the protocol, other than by ending
// early.
func isMalformed(err error) bool {
	var netErr net.Error
	return !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !errors.As(err, &netErr)
}

// handle runs the handler for one request.
func (c *connection) handle(x *exchange) {
	resp := c.callHandler(x.request)
	if len(resp.Body) > 0 {
		x.held = c.server.Account.Open(allocator.Responses, func() { c.abort(reasonUnread, nil) })
		x.held.Take(int64(len(resp.Body)))
	}
	if resp.Done != nil {
		resp.Done()
	}
	x.request.release()
	x.response <- resp
}

// callHandler calls the handler. A panic in it ends the request and not the process.
func (c *connection) callHandler(r *Request) (resp *Response) {
	defer func() {
		if value := recover(); value != nil {
			c.server.OnPanic(r, value)
			resp = errorResponse(http.StatusBadGateway)
		}
	}()
	return c.server.Handle(c.ctx, r)
}

// writeResponses writes the responses in the order of the requests. After the final
// response, or if writing fails, it stops the reader and waits for the remaining
// handlers.
func (c *connection) writeResponses() {
	for x := range c.exchanges {
		resp := <-x.response
		final := c.beginResponse(x)
		if resp.Abort || c.ctx.Err() != nil {
			x.release()
			c.abort(reasonAborted, nil)
			break
		}
		x.held.SetState(allocator.Unread)
		err := c.writeResponse(x, resp, final)
		x.release()
		if err != nil {
			c.abort(reasonWriteFailed, err)
			break
		}
		c.endResponse()
		if final {
			c.mu.Lock()
			c.closing = true
			_ = c.conn.SetReadDeadline(time.Now())
			c.mu.Unlock()
			break
		}
	}
	for x := range c.exchanges {
		<-x.response
		x.release()
	}
}

// release releases the memory of the response.
func (x *exchange) release() {
	if x.held != nil {
		x.held.Release()
	}
}

// abort closes the connection and cancels the requests in flight on it.
func (c *connection) abort(reason string, err error) {
	c.end(reason, err)
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.conn.Close()
}

// beginResponse reports whether the connection closes after the response, and
// marks it as closing in that case. While draining, it closes if no other response
// is pending and no request is being read.
func (c *connection) beginResponse(x *exchange) (final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final = x.last || (c.server.draining() && len(c.pending) == 1 && !c.reading)
	c.closing = c.closing || final
	return final
}

// endResponse records that a response has been written.
func (c *connection) endResponse() {
	c.mu.Lock()
	c.pending = slices.Delete(c.pending, 0, 1)
	c.mu.Unlock()
	c.setIdleDeadline()
}

func (c *connection) writeResponse(x *exchange, r *Response, final bool) error {
	out := &http.Response{
		StatusCode:    r.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        r.Header,
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
		Close:         final,
	}
	if x.request != nil {
		out.Request = x.request.Request
	}
	w := bufio.NewWriterSize(&responseWriter{
		conn: c.conn,
		held: x.held,
	}, min(writeSize, headBytes+len(r.Body)))
	if err := out.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// headBytes is the size of most responses' heads.
const headBytes = 1 << 10

// responseWriter writes a response in parts, and records that it advances.
type responseWriter struct {
	conn net.Conn
	held *allocator.Holding
}

// Write writes to the connection.
func (w *responseWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.conn.Write(p[written:min(len(p), written+writeSize)])
		written += n
		if err != nil {
			return written, err
		}
		w.held.Advance()
	}
	return written, nil
}
