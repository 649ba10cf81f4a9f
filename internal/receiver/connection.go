package receiver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// Sizes and times of a connection.
const (
	// maxPipelined bounds the requests of one connection that are under way.
	maxPipelined = 32
	// readSize is the size of the read buffer, in bytes.
	readSize = 4 << 10
	// bodyTimeout bounds the reading of one body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the writing of one response.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a client that was told of the close is read from,
	// so that its unread bytes don't reset the response.
	lingerTime = 500 * time.Millisecond
)

// exchange is a request with the response that is due for it.
type exchange struct {
	request  *Request
	response chan *Response
	// last means that nothing more is read from the connection.
	last bool
}

// connection is one client's connection. One goroutine reads requests, another
// writes the responses in the requests' order.
type connection struct {
	server *Server
	conn   net.Conn
	limit  *limitedReader
	reader *bufio.Reader
	queue  chan *exchange
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// due counts the responses that are due, and waiting is set while the
	// reader waits for a request's first byte.
	due     int
	waiting bool
	// closing is set once the client was told that the connection closes.
	closing bool
}

func newConnection(s *Server, conn net.Conn) *connection {
	limit := &limitedReader{Reader: conn}
	ctx, cancel := context.WithCancel(forwarder.WithConn(context.Background(), conn))
	return &connection{
		server: s,
		conn:   conn,
		limit:  limit,
		reader: bufio.NewReaderSize(limit, readSize),
		queue:  make(chan *exchange, maxPipelined),
		ctx:    ctx,
		cancel: cancel,
	}
}

// serve answers the connection until it ends.
func (c *connection) serve() {
	defer c.server.remove(c)
	defer c.conn.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	gone := c.read()
	close(c.queue)
	if gone {
		c.cancel()
	}
	<-written
	c.cancel()
	if !gone {
		c.linger()
	}
}

// linger reads on for a moment, so that the close doesn't reset the response.
func (c *connection) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.conn)
}

func (c *connection) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return c.due + 1
	}
	return c.due
}

// read reads requests until the connection ends or is to be closed; gone means
// that the client is no longer there.
func (c *connection) read() (gone bool) {
	for {
		if err := c.awaitByte(); err != nil {
			return c.ended(err)
		}
		if c.server.stopped.Load() {
			return false
		}
		r, status, err := c.readRequest()
		if status == 0 && err != nil {
			return true
		}
		x := &exchange{
			request:  r,
			response: make(chan *Response, 1),
			last:     err != nil || r.Close,
		}
		if !c.push(x) {
			return false
		}
		if err != nil {
			c.server.Refused(status, err)
			x.response <- refusal(status)
			return false
		}
		go c.handle(x)
		if x.last {
			return c.watchClose()
		}
	}
}

// ended reports whether an error while waiting for a request means that the
// client is gone. A connection that was idle for too long, or that the writer
// has closed, is at its end without that.
func (c *connection) ended(err error) (gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !errors.Is(err, os.ErrDeadlineExceeded)
}

// watchClose waits until the last response was written or the client is gone.
func (c *connection) watchClose() (gone bool) {
	c.limit.left = readSize
	_, err := c.reader.Peek(1)
	if err == nil {
		return false
	}
	return c.ended(err)
}

// push queues an exchange; it reports false when the connection is closing.
func (c *connection) push(x *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.due++
	c.mu.Unlock()
	c.queue <- x
	return true
}

// awaitByte waits for the first byte of the next request.
func (c *connection) awaitByte() error {
	c.limit.left = c.server.Limits().HeaderBytes + readSize
	if c.reader.Buffered() > 0 {
		return nil
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	_, err := c.reader.Peek(1)
	return err
}

func (c *connection) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	c.setIdleDeadline()
}

// setIdleDeadline bounds the wait for a request while no response is due. The
// caller holds the lock.
func (c *connection) setIdleDeadline() {
	switch {
	case c.closing:
	case c.waiting && c.due == 0:
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
	default:
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

var errBody = Class.New("body longer than its limit")

// readRequest reads one whole request. Status is 0 if the client went away
// meanwhile, and otherwise the answer to a request that can't be taken.
func (c *connection) readRequest() (r *Request, status int, err error) {
	limits := c.server.Limits()
	began := time.Now()
	_ = c.conn.SetReadDeadline(began.Add(limits.HeaderTimeout))
	head, err := http.ReadRequest(c.reader)
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, Class.New("header not read in time")
	case errors.Is(err, errHeader):
		return nil, http.StatusRequestHeaderFieldsTooLarge, err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return nil, 0, err
	default:
		return nil, http.StatusBadRequest, err
	}
	if head.Host == "" || head.ProtoMajor != 1 {
		return nil, http.StatusBadRequest, Class.New("no host, or not HTTP/1")
	}
	if head.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errBody
	}
	c.limit.left = unlimited
	body, status, err := c.readBody(head, limits)
	if err != nil {
		return nil, status, err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return &Request{
		Request: head,
		Body:    body,
		Began:   began,
	}, 0, nil
}

func (c *connection) readBody(head *http.Request, limits Limits) (body []byte, status int, err error) {
	if head.ContentLength == 0 {
		return nil, 0, nil
	}
	expected := max(head.ContentLength, readSize)
	if c.server.held.Add(expected) > c.server.MaxHeld {
		c.server.held.Add(-expected)
		return nil, http.StatusServiceUnavailable, Class.New("no memory for the body")
	}
	defer c.server.held.Add(-expected)
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(head.Header.Get("Expect"), "100-continue") && c.pending() == 1 {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	var buffer bytes.Buffer
	if head.ContentLength > 0 {
		buffer.Grow(int(head.ContentLength))
	}
	n, err := buffer.ReadFrom(io.LimitReader(head.Body, limits.BodyBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, Class.New("body not read in time")
	case err != nil && isMalformed(err):
		return nil, http.StatusBadRequest, err
	case err != nil:
		return nil, 0, err
	case n > limits.BodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errBody
	}
	return buffer.Bytes(), 0, nil
}

// isMalformed reports whether a body broke the protocol, other than by ending
// early.
func isMalformed(err error) bool {
	var network net.Error
	return !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !errors.As(err, &network)
}

// handle answers one request.
func (c *connection) handle(x *exchange) {
	held := int64(len(x.request.Body))
	c.server.held.Add(held)
	defer c.server.held.Add(-held)
	x.response <- c.server.Handle(c.ctx, x.request)
}

// write writes the responses in order. Once it returns, the reader ends.
func (c *connection) write() {
	for x := range c.queue {
		resp := <-x.response
		final := c.answering(x)
		if resp.Break || c.ctx.Err() != nil || c.writeResponse(x, resp, final) != nil {
			c.abort()
			break
		}
		c.answered()
		if final {
			c.mu.Lock()
			c.closing = true
			_ = c.conn.SetReadDeadline(time.Now())
			c.mu.Unlock()
			break
		}
	}
	for x := range c.queue {
		<-x.response
	}
}

// abort closes the connection and cancels what is under way on it.
func (c *connection) abort() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.conn.Close()
}

// answering reports whether a response closes the connection: nothing else may
// be due then.
func (c *connection) answering(x *exchange) (final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final = x.last || (c.server.draining.Load() && c.due == 1 && c.waiting)
	c.closing = c.closing || final
	return final
}

// answered counts a response as written.
func (c *connection) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due--
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
	var buffer bytes.Buffer
	if err := out.Write(&buffer); err != nil {
		return err
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(buffer.Bytes())
	return err
}
