// Package receiver serves clients' connections over HTTP/1.1.
//
// Requests that a client sends before earlier ones are answered are handled at
// once and answered in order, and a client that goes away cancels what it has
// under way; neither holds for net/http's server.
package receiver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Class is the class of the errors of this package.
var Class = errs.Class("receiver")

// Request is a whole request.
type Request struct {
	*http.Request
	// Body is the whole body.
	Body []byte
	// Began is when the first byte of it was read.
	Began time.Time
}

// Response is a whole response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Break closes the connection without an answer.
	Break bool
}

// Limits bound what is read from a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server answers connections.
type Server struct {
	// Handle answers one request; ctx ends when its client is gone.
	Handle func(ctx context.Context, r *Request) *Response
	// Limits returns the limits in force.
	Limits func() Limits
	// Refused is told of each request that could not be read.
	Refused func(status int, err error)

	draining, stopped atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]bool
	open      map[*connection]bool
	// held is the number of body bytes in memory.
	held atomic.Int64
	// MaxHeld bounds the body bytes that are held for all connections.
	MaxHeld int64
}

// Serve answers the connections of a listener until it is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	s.listen(ln)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || s.stopped.Load() {
				return nil
			}
			if !temporary(err) {
				return Class.Wrap(err)
			}
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		s.add(c)
		go c.serve()
	}
}

// acceptPause is the time until the next connection is accepted after the
// process has run out of descriptors.
const acceptPause = 20 * time.Millisecond

// Drain lets every answer that is the last one due on its connection close it.
func (s *Server) Drain() { s.draining.Store(true) }

// Busy returns the number of connections on which an answer is due.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.open {
		if c.pending() > 0 {
			busy++
		}
	}
	return busy
}

// Stop takes no further connection or request: those that were read are
// answered, and the others are closed unread.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.open {
		if c.pending() == 0 {
			_ = c.conn.Close()
		}
	}
}

func (s *Server) listen(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		s.listeners = map[net.Listener]bool{}
	}
	s.listeners[ln] = true
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*connection]bool{}
	}
	s.open[c] = true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
