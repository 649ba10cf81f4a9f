// Package tracker tracks the connections of an HTTP server, and ends them without
// dropping a request that has arrived.
package tracker

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// Tracker tracks the connections of HTTP servers. The zero value is ready to use.
type Tracker struct {
	mu          sync.Mutex
	stopped     bool
	listeners   map[*Listener]bool
	connections map[*connection]bool
}

// Serve accepts and serves connections like srv.Serve. After Stop it returns nil. It sets
// srv.ConnState.
func (t *Tracker) Serve(srv *http.Server, ln net.Listener) error {
	l := &Listener{Listener: ln}
	srv.ConnState = t.update
	t.addListener(l)
	defer t.removeListener(l)
	err := srv.Serve(&trackedListener{
		Listener: l,
		tracker:  t,
	})
	if l.stopped.Load() {
		return nil
	}
	return err
}

// Stop closes the listeners once the connections that are established have been
// accepted, and each connection once no request has arrived on it. A connection without a
// request so far waits shortly for one. HTTP/2 connections stay open.
func (t *Tracker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	for l := range t.listeners {
		l.Stop()
	}
	for c := range t.connections {
		c.stop()
	}
}

// Ended reports whether Stop was called, the listeners have been closed and all
// connections except HTTP/2 ones have ended.
func (t *Tracker) Ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped || len(t.listeners) > 0 {
		return false
	}
	for c := range t.connections {
		if !c.isHTTP2() {
			return false
		}
	}
	return true
}

// Busy returns the number of connections on which a request has arrived, at least in
// part, and its response has not been written.
func (t *Tracker) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := 0
	for c := range t.connections {
		if c.busy() {
			busy++
		}
	}
	return busy
}

// update is the ConnState function of the servers.
func (t *Tracker) update(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setUnanswered(true)
	case http.StateIdle:
		c.setUnanswered(false)
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.connections, c)
		t.mu.Unlock()
	}
}

func (t *Tracker) addListener(l *Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listeners == nil {
		t.listeners = map[*Listener]bool{}
	}
	t.listeners[l] = true
	if t.stopped {
		l.Stop()
	}
}

func (t *Tracker) removeListener(l *Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.listeners, l)
}

func (t *Tracker) addConnection(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections == nil {
		t.connections = map[*connection]bool{}
	}
	t.connections[c] = true
	if t.stopped {
		c.stop()
	}
}

// trackedListener adds the connections that it accepts to a tracker.
type trackedListener struct {
	*Listener
	tracker *Tracker
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &connection{TCPConn: tcp}
	l.tracker.addConnection(c)
	return c, nil
}

// connection is a connection of an HTTP server.
type connection struct {
	*net.TCPConn

	mu      sync.Mutex
	stopped bool
	// unanswered means that part of a request was read and its response has not been
	// written.
	unanswered bool
	// received means that data has been read, and http2 that it is HTTP/2.
	received, http2 bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// http2Preface begins an HTTP/2 connection. No HTTP/1.1 method is called so.
var http2Preface = []byte("PRI ")

// Read reads data that has arrived even if the read deadline has passed.
func (c *connection) Read(p []byte) (int, error) {
	n, err := forwarder.Read(c.TCPConn, p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.received {
			c.received, c.http2 = true, bytes.HasPrefix(p[:n], http2Preface)
		}
		if !c.http2 {
			c.unanswered = true
		}
		if c.stopped {
			_ = c.applyDeadline()
		}
	}
	return n, err
}

// SetReadDeadline sets the read deadline. After Stop it takes effect only while a
// request is unanswered.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

func (c *connection) setUnanswered(unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = unanswered
	if c.stopped {
		_ = c.applyDeadline()
	}
}

// firstRequestTimeout is how long a connection without a request so far waits for one
// after Stop. A client sends a request as soon as it has connected.
const firstRequestTimeout = 200 * time.Millisecond

// stop ends the wait for a request, or bounds that for the first one.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.applyDeadline()
}

// applyDeadline sets the read deadline of the socket.
func (c *connection) applyDeadline() error {
	switch {
	case !c.stopped || c.unanswered || c.http2:
		return c.TCPConn.SetReadDeadline(c.deadline)
	case !c.received:
		return c.TCPConn.SetReadDeadline(time.Now().Add(firstRequestTimeout))
	default:
		return c.TCPConn.SetReadDeadline(time.Now())
	}
}

func (c *connection) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

func (c *connection) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered {
		return true
	}
	n, _ := forwarder.Peek(c.TCPConn, make([]byte, 1))
	return n > 0
}
