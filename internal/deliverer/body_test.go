package deliverer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

// stalledConn sends headers, but never sends bodies.
type stalledConn struct {
	net.Conn
	closed chan struct{}
}

// Write blocks until closed is closed if p is longer than a request header.
func (c *stalledConn) Write(p []byte) (int, error) {
	if len(p) > 2<<10 {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// TestSlotsDuringLargeBodies checks that requests whose large bodies have not
// arrived do not occupy all slots: a small request must still get a slot.
func TestSlotsDuringLargeBodies(t *testing.T) {
	r := newHarness(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Content-Length: 0\r\n"))
		return true
	})
	r.Gate.SetTarget(admitter.Target{Instance: "i-1", Slots: 2, ColdRate: 5})
	s := httptest.NewServer(&carrier.Server{
		Key:         "key",
		Deliver:     r.Deliver,
		MaxBody:     func() int64 { return 1 << 20 },
		MaxBodyTurn: time.Minute,
	})
	t.Cleanup(s.Close)
	closed := make(chan struct{})
	t.Cleanup(func() { close(closed) })
	stalled := &http.Transport{
		ExpectContinueTimeout: time.Minute,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &stalledConn{Conn: conn, closed: closed}, err
		},
	}
	send := func(ctx context.Context, transport *http.Transport, body string) error {
		c := &carrier.Client{Key: "key", Transport: transport, OnSilent: func(string) {}, KeepWaiting: func() bool { return true }}
		_, err := c.Send(ctx, s.Listener.Addr().String(), &carrier.Attempt{
			ID: "1", Service: "s", Instance: "i-1", Rule: "r", Kind: matcher.Idempotent,
			Deadline: time.Now().Add(20 * time.Second), Objective: time.Now().Add(20 * time.Second), MaxWait: 10 * time.Second,
			Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Attempt-Id": {"1"}},
			Body: []byte(body),
		})
		return err
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 3 {
		go func() { _ = send(ctx, stalled, strings.Repeat("x", 100<<10)) }()
	}
	for r.Gate.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := send(ctx, &http.Transport{}, "small"); err != nil {
		t.Fatal(err)
	}
	if n := r.Gate.Running(); n > 1 {
		t.Errorf("%d slots are occupied by requests without bodies, want at most 1", n)
	}
}
