// Package receiver serves HTTP/1.1 connections of clients.
//
// It runs pipelined requests concurrently and writes their responses in order. A
// client that closes its connection cancels its requests in flight. The server
// of net/http does neither for pipelined requests.
package receiver

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/tracker"
)

// Class is the class of the errors of this package.
var Class = errs.Class("receiver")

// Request is a request that has been read completely.
type Request struct {
	*http.Request
	// Body is the complete body.
	Body allocator.Body
	// Began is the time at which the server began to read the request.
	Began time.Time
	// held accounts for the request until it has been handled.
	held *allocator.Holding
}

// release releases the memory of a request that has been handled or won't be. r may be nil.
func (r *Request) release() {
	if r != nil {
		r.held.Release()
	}
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection without a response.
	Abort bool
	// Done releases what the handler accounts for the body. It may be nil.
	Done func()
}

// Limits bounds the requests on a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server serves connections.
type Server struct {
	// Handle returns the response to a request. ctx ends when the client closes
	// its connection.
	Handle func(ctx context.Context, r *Request) *Response
	// Limits returns the current limits.
	Limits func() Limits
	// OnRejected is called for each request that is not handled, with the status of
	// the response. r is nil if the request could not be read.
	OnRejected func(r *Request, status int, err error)
	// OnPanic is called with the value of a panic of Handle. The request gets status 502,
	// since it may have run.
	OnPanic func(r *Request, value any)
	// OnUnanswered is called for each connection that ended without a response to a
	// request.
	OnUnanswered func(e Ending)

	// drainStart is the time of the first call of Drain, or nil before it.
	drainStart atomic.Pointer[time.Time]
	stopped    atomic.Bool

	mu          sync.Mutex
	listeners   map[*tracker.Listener]bool
	connections map[*connection]bool

	// Account accounts for the memory of connections, requests and responses.
	Account *allocator.Account
	// Pause is the longest time in which progressBytes of a body, or its end, must
	// arrive; 0 means DefaultPause.
	Pause time.Duration
	// MaxConnections bounds the open connections; 0 means no bound. Beyond it, one whose
	// request has stopped arriving is closed, or else one that has no request.
	MaxConnections int
	// refused counts the connections that were closed when they were accepted.
	refused atomic.Int64
}

// Serve serves the connections of a listener until ctx ends or Stop is called. After
// Stop, it first accepts the connections that are established.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	l := &tracker.Listener{Listener: ln}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	s.addListener(l)
	defer s.removeListener(l)
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(conn)
		case ctx.Err() != nil, s.stopped.Load() && errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			s.Account.RevokeConnection()
			time.Sleep(acceptRetryDelay)
		default:
			return Class.Wrap(err)
		}
	}
}

func (s *Server) serveConn(conn net.Conn) {
	if !s.admitConnection() {
		s.refused.Add(1)
		_ = conn.Close()
		return
	}
	c := newConnection(s, conn)
	s.addConnection(c)
	go c.serve()
}

// admitConnection reports whether a further connection may be served. If there are too
// many, it closes another one. Those that are closing may exceed the bound by an eighth.
func (s *Server) admitConnection() bool {
	s.mu.Lock()
	open := len(s.connections)
	s.mu.Unlock()
	if s.MaxConnections == 0 || open < s.MaxConnections {
		return true
	}
	return open < s.MaxConnections+s.MaxConnections/8 && s.Account.RevokeConnection()
}

// Refused returns the number of connections that were closed when they were accepted.
func (s *Server) Refused() int64 { return s.refused.Load() }

// acceptRetryDelay is the delay before the next accept after a temporary error,
// such as a lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Drain starts a graceful shutdown: the server closes a connection after a response
// if no other response is pending on it.
func (s *Server) Drain() {
	now := time.Now()
	s.drainStart.CompareAndSwap(nil, &now)
}

func (s *Server) draining() bool { return s.drainStart.Load() != nil }

// BusyConnections returns the number of connections on which a request or a
// response is under way.
func (s *Server) BusyConnections() int {
	_, busy := s.Connections()
	return busy
}

// Connections returns the number of open connections, and of the busy ones among
// them.
func (s *Server) Connections() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.busy() {
			busy++
		}
	}
	return len(s.connections), busy
}

// ReportOpen calls OnUnanswered for the connections whose requests the end of the
// process leaves without a response.
func (s *Server) ReportOpen() {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, c := range open {
		c.end(reasonExit, nil)
		c.report()
	}
}

// Stop closes the listeners and the idle connections. Requests that are in flight
// or being read get their responses. Requests that have arrived without being read, or
// arrive while a connection is still open, are rejected, and their connections closed.
// A connection without a request so far waits shortly for one. Ended reports when all of
// this is done.
func (s *Server) Stop() {
	s.Drain()
	s.stopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.listeners {
		l.Stop()
	}
	for c := range s.connections {
		c.setIdleDeadline()
	}
}

// Ended reports whether Stop was called, the listeners have been closed and all
// connections have ended.
func (s *Server) Ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped.Load() && len(s.listeners) == 0 && len(s.connections) == 0
}

func (s *Server) addListener(l *tracker.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		s.listeners = map[*tracker.Listener]bool{}
	}
	s.listeners[l] = true
	if s.stopped.Load() {
		l.Stop()
	}
}

func (s *Server) removeListener(l *tracker.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

func (s *Server) addConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		s.connections = map[*connection]bool{}
	}
	s.connections[c] = true
}

func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}
