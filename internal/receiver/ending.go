package receiver

import (
	"net"
	"time"
)

// Ending describes a connection that ended without a response to a request, or
// while the client was still sending.
type Ending struct {
	// Reason says why the connection ended, and Err is the error behind it, or nil.
	Reason string
	Err    error
	// Client is the address of the client.
	Client net.Addr
	// Pending is the number of requests without a complete response, and Requests
	// holds those among them that were read.
	Pending  int
	Requests []*Request
	// Reading means that a request was read in part.
	Reading bool
	// Discarded is the number of bytes that arrived and were not taken for a request.
	Discarded int64
	// SinceRead is the time since data was last read, and SinceDrain that since Drain.
	// They are 0 if that has not happened.
	SinceRead, SinceDrain time.Duration
}

// ClientGone reports whether the client has closed the connection.
func (e Ending) ClientGone() bool { return e.Reason == reasonClientGone }

// Reasons for the end of a connection. reasonLast is used if there is no other.
const (
	reasonClientGone  = "client gone"
	reasonIdle        = "idle timeout"
	reasonStopped     = "stopped"
	reasonLast        = "after the last response"
	reasonWriteFailed = "write failed"
	reasonAborted     = "aborted"
	reasonUnread      = "response not read"
	reasonExit        = "process exit"
)

// end records why the connection ends. Only the first reason counts.
func (c *connection) end(reason string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending.Reason == "" {
		c.ending.Reason, c.ending.Err = reason, err
	}
}

// discard counts bytes that were not taken for a request.
func (c *connection) discard(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending.Discarded += n
}

// report calls OnUnanswered if the connection leaves a request without a response.
func (c *connection) report() {
	c.end(reasonLast, nil)
	c.mu.Lock()
	e, reported := c.ending, c.reported
	c.reported = true
	e.Client = c.conn.RemoteAddr()
	e.Pending, e.Reading = len(c.pending), c.reading
	for _, x := range c.pending {
		if x.request != nil {
			e.Requests = append(e.Requests, x.request)
		}
	}
	c.mu.Unlock()
	if reported || e.Pending == 0 && !e.Reading && e.Discarded == 0 {
		return
	}
	if n := c.limit.lastRead.Load(); n > 0 {
		e.SinceRead = time.Since(time.Unix(0, n))
	}
	if start := c.server.drainStart.Load(); start != nil {
		e.SinceDrain = time.Since(*start)
	}
	c.server.OnUnanswered(e)
}
