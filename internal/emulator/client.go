package emulator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client sends requests to one daemon as the platform's clients do. It keeps its
// connection open and never sends a request twice by itself.
type Client struct {
	address   string
	transport *http.Transport
}

// clientDial bounds the making of a client's connection.
const clientDial = time.Second

// NewClient returns a client of the daemon that takes requests at an address.
func NewClient(address string) *Client {
	dialer := net.Dialer{Timeout: clientDial}
	return &Client{
		address:   address,
		transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true},
	}
}

// Call is one request of a client.
type Call struct {
	ID   string
	Path string
	Body string
	// Left is how long the client waits.
	Left time.Duration
}

// Reply is what a client gets.
type Reply struct {
	Status int
	// RetryAfter is empty unless the answer says that the request has not run.
	RetryAfter string
	// Instance and Sent are what the target's answer says of its run; Intact
	// means that the answer belongs to the call.
	Instance string
	Sent     string
	Intact   bool
}

// Do sends a call and returns its answer.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	// A POST whose body can't be had again is never repeated by the transport.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+call.Path, io.NopCloser(strings.NewReader(call.Body)))
	if err != nil {
		return Reply{}, Class.Wrap(err)
	}
	r.ContentLength = int64(len(call.Body))
	r.Host = Host
	r.Header.Set("X-Attempt-Id", call.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.Left.Milliseconds(), 10))
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
	if instance, path, sent, ok := echoed(string(data)); ok {
		reply.Instance, reply.Sent = instance, sent
		reply.Intact = path == call.Path && sent == call.Body && resp.Header.Get("X-Server-Stamp") == "stamp-"+instance
	}
	return reply, nil
}

// Close closes the client's connection.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
