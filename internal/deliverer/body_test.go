package deliverer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
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
			Body: allocator.Body{[]byte(body)},
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

// heldConn sends headers, but bodies only when release is closed.
type heldConn struct {
	net.Conn
	release chan struct{}
}

// Write waits for release if p is longer than a request header.
func (c *heldConn) Write(p []byte) (int, error) {
	if len(p) > 2<<10 {
		<-c.release
	}
	return c.Conn.Write(p)
}

// TestTargetClosesDuringBody guards against a request that reaches a target which left meanwhile.
func TestTargetClosesDuringBody(t *testing.T) {
	target := admitter.Target{Instance: "i-1", Slots: 2, ColdRate: 5}
	leaving, other := target, target
	leaving.ShuttingDown, other.Instance = true, "i-2"
	for name, test := range map[string]struct {
		next   admitter.Target
		closed bool
		want   string
	}{
		"leaving":  {next: leaving, want: "target leaving"},
		"replaced": {next: other, want: "no such target here"},
		"closed":   {next: target, closed: true, want: "target closed to new requests"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, func(conn net.Conn, r *http.Request, _ int32) bool {
				_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Content-Length: 0\r\n"))
				return true
			})
			var closed atomic.Bool
			r.Gate.Closed = func(admitter.Target) bool { return closed.Load() }
			r.Gate.SetTarget(target)
			s := httptest.NewServer(&carrier.Server{
				Key:     "key",
				Deliver: r.Deliver,
				MaxBody: func() int64 { return 1 << 20 },
			})
			t.Cleanup(s.Close)
			release := make(chan struct{})
			c := &carrier.Client{
				Key: "key",
				Transport: &http.Transport{
					ExpectContinueTimeout: time.Minute,
					DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
						return &heldConn{Conn: conn, release: release}, err
					},
				},
				OnSilent:    func(string) {},
				KeepWaiting: func() bool { return true },
			}
			sent := make(chan error, 1)
			go func() {
				_, err := c.Send(t.Context(), s.Listener.Addr().String(), &carrier.Attempt{
					ID: "1", Service: "s", Instance: "i-1", Rule: "r", Kind: matcher.Idempotent,
					Deadline: time.Now().Add(20 * time.Second), Objective: time.Now().Add(20 * time.Second), MaxWait: 10 * time.Second,
					Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Attempt-Id": {"1"}},
					Body: allocator.Body{[]byte(strings.Repeat("x", 100<<10))},
				})
				sent <- err
			}()
			for r.Gate.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			closed.Store(test.closed)
			r.Gate.SetTarget(test.next)
			close(release)
			err := <-sent
			if err == nil || classifier.VerdictOf(err) != classifier.NotRun || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q with verdict NotRun", err, test.want)
			}
			if n := r.requests.Load(); n != 0 {
				t.Errorf("%d requests reached the target, want 0", n)
			}
			if n := r.Gate.Running(); n != 0 {
				t.Errorf("%d slots are occupied, want 0", n)
			}
		})
	}
}
