package emulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// Client sends requests to one daemon like a client on the users' platform. It
// reuses its connection and never retries a request.
type Client struct {
	address   string
	transport *http.Transport
}

// dialTimeout limits the time to establish a connection to the daemon.
const dialTimeout = time.Second

// NewClient returns a client of the daemon that accepts requests at an address,
// IP:port.
func NewClient(address string) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		address: address,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &clientConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
	}
}

// Call is one request of a client.
type Call struct {
	ID   string
	Path string
	Body string
	// Key is the key that the client presents, or empty.
	Key string
	// Timeout is the timeout that the client sends in the X-Deadline-Ms header.
	Timeout time.Duration
}

// Reply is the response to a Call.
type Reply struct {
	Status int
	// RetryAfter is the Retry-After header. Daemons set it only on responses to
	// requests that have not run.
	RetryAfter string
	// Instance is the target instance that ran the request, from the body of a
	// Backend's response.
	Instance string
	// EchoedBody is the request body that the target received, from the body of a
	// Backend's response.
	EchoedBody string
	// MatchesCall means that the response belongs to the call: path, body and the
	// X-Server-Stamp header are as expected.
	MatchesCall bool
}

// ErrClosedBefore is part of the error of a request of which nothing was written before
// the connection was closed. A transport that is short of processor time notices late
// that the daemon has closed it.
var ErrClosedBefore = Class.New("connection closed before the request was written")

// clientConn is a connection that tells whether it was closed before a request was
// written.
type clientConn struct {
	net.Conn
	// begun means that a part of the current request was to be written, and
	// closedBefore that the connection had been closed before that.
	begun, closedBefore atomic.Bool
}

// begin begins a request.
func (c *clientConn) begin() { c.begun.Store(false) }

// Write looks for a close before the first part of a request.
func (c *clientConn) Write(p []byte) (int, error) {
	if !c.begun.Swap(true) {
		_, err := forwarder.Peek(c.Conn, make([]byte, 1))
		c.closedBefore.Store(err != nil)
	}
	return c.Conn.Write(p)
}

// wroteNothing reports whether nothing of the current request was written before the
// connection was closed. It must be called after the request has failed.
func (c *clientConn) wroteNothing() bool { return !c.begun.Load() || c.closedBefore.Load() }

// Do sends a call and returns its response. It returns an error if no complete
// response arrived.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	var conn *clientConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*clientConn)
			conn.begin()
		},
	})
	reply, err := c.send(ctx, call)
	if err != nil && conn != nil && conn.wroteNothing() {
		err = fmt.Errorf("%w: %w", ErrClosedBefore, err)
	}
	return reply, err
}

func (c *Client) send(ctx context.Context, call Call) (Reply, error) {
	// NopCloser hides the reader's type, so that NewRequest does not set GetBody.
	// Without GetBody the transport does not retry a POST.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+call.Path, io.NopCloser(strings.NewReader(call.Body)))
	if err != nil {
		return Reply{}, Class.Wrap(err)
	}
	r.ContentLength = int64(len(call.Body))
	r.Host = Host
	r.Header.Set("X-Attempt-Id", call.ID)
	if call.Key != "" {
		r.Header.Set("Api-Key", call.Key)
	}
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return Reply{}, Class.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, Class.Wrap(err)
	}
	reply := Reply{
		Status:     resp.StatusCode,
		RetryAfter: resp.Header.Get("Retry-After"),
	}
	if instance, path, requestBody, ok := parseEcho(string(data)); ok {
		reply.Instance, reply.EchoedBody = instance, requestBody
		reply.MatchesCall = path == call.Path && requestBody == call.Body && resp.Header.Get("X-Server-Stamp") == "stamp-"+instance
	}
	return reply, nil
}

// Close closes the client's connection.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
