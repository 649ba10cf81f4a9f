package deliverer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

// harness is a deliverer with a target whose responses the test writes byte by
// byte.
type harness struct {
	*deliverer.Deliverer
	results     []deliverer.Result
	connections atomic.Int32
	requests    atomic.Int32
}

// newHarness starts a target that passes each request to respond, with its
// number from 1. It keeps the connection open if respond returns true.
func newHarness(t testing.TB, respond func(conn net.Conn, r *http.Request, n int32) (keep bool)) *harness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	r := &harness{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r.connections.Add(1)
			go r.serve(conn, respond)
		}
	}()
	gate := &admitter.Gate{
		Clock:       timekeeper.System{},
		Closed:      func(admitter.Target) bool { return false },
		ServesUntil: func() time.Time { return time.Time{} },
	}
	gate.SetTarget(admitter.Target{Instance: "i-1", Slots: 4, ColdRate: 5})
	r.Deliverer = &deliverer.Deliverer{
		Target:    ln.Addr().String(),
		Gate:      gate,
		Transport: forwarder.NewTransport(4),
		Codec:     platform.NewAdapter("127.0.0.1:1", time.Second).Codec,
		Clock:     timekeeper.System{},
		BeforeForward: func(*carrier.Attempt) (func(), func(deliverer.Result, bool), error) {
			return func() {}, func(deliverer.Result, bool) {}, nil
		},
		BeforeSend: func(*carrier.Attempt) error { return nil },
		OnResult:   func(_ *carrier.Attempt, result deliverer.Result) { r.results = append(r.results, result) },
		OnRejected: func(*carrier.Attempt, *carrier.Failure) {},
		OnLimit:    func(*carrier.Attempt, float64) {},
		OnLeaving:  func(*carrier.Attempt) {},
	}
	return r
}

func (r *harness) serve(conn net.Conn, respond func(net.Conn, *http.Request, int32) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !respond(conn, request, r.requests.Add(1)) {
			return
		}
	}
}

func (r *harness) deliver(id string) (*carrier.TargetResponse, error) {
	return r.deliverContext(context.Background(), id)
}

func (r *harness) deliverContext(ctx context.Context, id string) (*carrier.TargetResponse, error) {
	return r.Deliver(ctx, &carrier.Attempt{
		ID:        id,
		Instance:  "i-1",
		Rule:      "pay",
		Deadline:  time.Now().Add(10 * time.Second),
		Objective: time.Now().Add(10 * time.Second),
		Method:    "POST",
		URI:       "/pay",
		Host:      "a.example",
		Header:    http.Header{"X-Attempt-Id": {id}},
		Body:      allocator.Body{[]byte("body")},
	})
}

// responseHead returns the status line and the headers of a response to r.
func responseHead(r *http.Request, status, extraHeaders string) string {
	return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Server-Stamp: s\r\n" + extraHeaders + "\r\n"
}

// reset closes a connection so that the peer receives a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// TestTargetWithLimitIsNotOverloaded guards against requests beyond the rate that the target names.
func TestTargetWithLimitIsNotOverloaded(t *testing.T) {
	for name, refusal := range map[string]string{"in a response": "", "in a refusal": "X-Not-Executed: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			const limit = 4
			var limited atomic.Bool
			limited.Store(true)
			r := newHarness(t, func(conn net.Conn, r *http.Request, _ int32) bool {
				headers := "Content-Length: 0\r\n"
				if limited.Load() {
					headers += refusal + "Server-Limit: 4.0\r\n"
				}
				_, _ = io.WriteString(conn, responseHead(r, "200 OK", headers))
				return true
			})
			for range 3 * limit {
				_, _ = r.deliver("id-1")
			}
			if n := r.requests.Load(); n > limit {
				t.Errorf("%d requests reached a target that takes %d a second, want at most that", n, limit)
			}
			_, err := r.deliver("id-1")
			if f := carrier.NewFailure(err); err == nil || f.Verdict != classifier.NotRun || f.Load.ReopenAfter <= 0 || f.RetryAfter <= 0 {
				t.Errorf("failure beyond the limit: %+v, want one with verdict NotRun and the time of the next request", err)
			}
			limited.Store(false)
			time.Sleep(carrier.NewFailure(err).RetryAfter)
			for i := range 3 * limit {
				if _, err := r.deliver("id-1"); err != nil {
					t.Fatalf("request %d after the limit has ended: %v", i, err)
				}
			}
		})
	}
}

// TestTruncatedHeadIsNoResponse guards against a part of a head that is taken for a response.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	cut := 0
	r := newHarness(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Content-Length: 0\r\n")[:cut])
		return false
	})
	whole := len(responseHead(&http.Request{Header: http.Header{"X-Attempt-Id": {"id-1"}}}, "200 OK", "Content-Length: 0\r\n"))
	for cut = range whole {
		resp, err := r.deliver("id-1")
		if err == nil || classifier.VerdictOf(err) == classifier.NotRun {
			t.Errorf("head cut after %d of %d bytes: response %+v, error %v, want a failure that may have run", cut, whole, resp, err)
		}
		r.Gate.SetTarget(admitter.Target{Instance: "i-1", Slots: 4, ColdRate: 1000})
	}
}

func TestResponses(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(conn net.Conn, r *http.Request)
		body    string
		verdict classifier.Verdict
		failed  bool
	}{
		"complete": {
			respond: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Content-Length: 4\r\n")+"good")
			},
			body: "good",
		},
		"ended by connection close": {
			respond: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Connection: close\r\n")+"good")
			},
			body: "good",
		},
		"ended by connection reset": {
			respond: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Connection: close\r\n")+"goo")
				time.Sleep(50 * time.Millisecond)
				reset(conn)
			},
			verdict: classifier.Ran,
			failed:  true,
		},
		"truncated": {
			respond: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, responseHead(r, "200 OK", "Content-Length: 4\r\n")+"goo")
			},
			verdict: classifier.Ran,
			failed:  true,
		},
		"reset before the response":  {respond: func(conn net.Conn, _ *http.Request) { reset(conn) }, verdict: classifier.MayHaveRun, failed: true},
		"closed before the response": {respond: func(net.Conn, *http.Request) {}, verdict: classifier.MayHaveRun, failed: true},
		"not HTTP": {
			respond: func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, "\x00\x01hello\r\n\r\n") },
			verdict: classifier.MayHaveRun,
			failed:  true,
		},
		"not run": {
			respond: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, responseHead(r, "503 Busy", "X-Not-Executed: 1\r\nContent-Length: 0\r\n"))
			},
			verdict: classifier.NotRun,
			failed:  true,
		},
		"not run, without the request's ID": {
			respond: func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			},
			verdict: classifier.MayHaveRun,
			failed:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
				test.respond(conn, request)
				return false
			})
			resp, err := r.deliver("id-1")
			if (err != nil) != test.failed {
				t.Fatalf("response %+v, error %v, want only one of them, as the test case says", resp, err)
			}
			if test.failed {
				f := carrier.NewFailure(err)
				if f.Verdict != test.verdict || !f.Reported || !f.Arrived {
					t.Errorf("failure %+v, want verdict %v, reported and arrived", f, test.verdict)
				}
			} else if string(resp.Body) != test.body {
				t.Errorf("body %q, want the complete one", resp.Body)
			}
			if n := r.Gate.Running(); n != 0 {
				t.Errorf("%d slots occupied after the attempt, want 0", n)
			}
		})
	}
}

// TestExtraResponse sends two responses to one request on a kept-alive
// connection, at once or before the next response. The next request must not get
// the extra response.
func TestExtraResponse(t *testing.T) {
	for _, late := range []bool{false, true} {
		var first atomic.Pointer[string]
		r := newHarness(t, func(conn net.Conn, request *http.Request, n int32) bool {
			text := responseHead(request, "200 OK", "Content-Length: 4\r\n") + "good"
			switch {
			case n == 1 && !late:
				_, _ = io.WriteString(conn, text+text)
			case n == 1:
				first.Store(&text)
				_, _ = io.WriteString(conn, text)
			case late && first.Load() != nil:
				_, _ = io.WriteString(conn, *first.Swap(nil)+text)
			default:
				_, _ = io.WriteString(conn, text)
			}
			return true
		})
		for i := range 5 {
			id := fmt.Sprint("id-", i)
			resp, err := r.deliver(id)
			if err == nil && resp.Header.Get("X-Attempt-Id") != id {
				t.Errorf("extra response delayed = %v: request %s got the response to %s", late, id, resp.Header.Get("X-Attempt-Id"))
			}
		}
	}
}

// TestExtraResponseFailsOneRequest guards against a connection on which each request gets the response to
// the one before it.
func TestExtraResponseFailsOneRequest(t *testing.T) {
	for name, body := range map[string]string{"with a body": "good", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			var extra string
			r := newHarness(t, func(conn net.Conn, request *http.Request, n int32) bool {
				text := responseHead(request, "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
				switch n {
				case 1:
					extra = text
				case 2:
					_, _ = io.WriteString(conn, extra)
				}
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, text)
				return true
			})
			for i := 1; i <= 6; i++ {
				_, err := r.deliver(fmt.Sprint("id-", i))
				failed := err != nil && classifier.VerdictOf(err) != classifier.NotRun // others are sent again
				if failed != (i == 2) {
					t.Errorf("request %d: error %v", i, err)
				}
			}
		})
	}
}

// TestNoResendOnBrokenConnection closes kept-alive connections without notice. A
// request must reach the target at most once, and a request that has arrived
// must not get the verdict NotRun.
func TestNoResendOnBrokenConnection(t *testing.T) {
	r := newHarness(t, func(conn net.Conn, request *http.Request, n int32) bool {
		if n%2 == 0 {
			reset(conn)
			return false
		}
		_, _ = io.WriteString(conn, responseHead(request, "200 OK", "Content-Length: 4\r\n")+"good")
		return true
	})
	for i := range 10 {
		before := r.requests.Load()
		_, err := r.deliver(fmt.Sprint("id-", i))
		if got := r.requests.Load() - before; got > 1 {
			t.Errorf("request reached the target %d times, want at most 1", got)
		}
		if err != nil && classifier.VerdictOf(err) == classifier.NotRun && r.requests.Load() != before {
			t.Errorf("a request that has arrived has the verdict NotRun: %v", err)
		}
	}
}

// TestNoConnectionMarksTargetCold checks that a target that refuses connections,
// for example after its exit, is treated as cold.
func TestNoConnectionMarksTargetCold(t *testing.T) {
	r := newHarness(t, func(net.Conn, *http.Request, int32) bool { return false })
	r.Target = "127.0.0.1:1"
	_, err := r.deliver("id-1")
	if f := carrier.NewFailure(err); f.Verdict != classifier.NotRun || f.Arrived {
		t.Errorf("failure %+v, want verdict NotRun and not arrived", f)
	}
	if !r.Gate.IsCold() {
		t.Error("a target that refuses connections is not cold")
	}
}

// TestSenderDisconnected checks that an attempt is not forwarded if its sender has
// closed the connection, even if its context has not ended.
func TestSenderDisconnected(t *testing.T) {
	r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, responseHead(request, "200 OK", "Content-Length: 4\r\n")+"good")
		return true
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	sender, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx := forwarder.WithConn(context.Background(), conn)
	if _, err := r.deliverContext(ctx, "id-1"); err != nil {
		t.Fatal(err)
	}
	_ = sender.Close()
	for !forwarder.ClientGone(ctx) {
		time.Sleep(time.Millisecond)
	}
	if _, err := r.deliverContext(ctx, "id-2"); classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("error %v, want verdict NotRun", err)
	}
	if n := r.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the target, want 1", n)
	}
}

// TestSenderDisconnectedDuringDial checks the same for a sender that closes the
// connection while the connection to the target is being opened.
func TestSenderDisconnectedDuringDial(t *testing.T) {
	r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, responseHead(request, "200 OK", "Content-Length: 4\r\n")+"good")
		return true
	})
	sender, conn := connect(t)
	ctx := forwarder.WithConn(t.Context(), conn)
	tr := forwarder.NewTransport(1)
	dial := tr.DialContext
	tr.DialContext = func(dialCtx context.Context, network, address string) (net.Conn, error) {
		targetConn, err := dial(dialCtx, network, address)
		_ = sender.Close()
		for !forwarder.ClientGone(ctx) {
			time.Sleep(time.Millisecond)
		}
		return targetConn, err
	}
	r.Transport = tr
	var connectionFailed bool
	r.BeforeForward = func(*carrier.Attempt) (func(), func(deliverer.Result, bool), error) {
		return func() {}, func(_ deliverer.Result, failed bool) { connectionFailed = failed }, nil
	}
	if _, err := r.deliverContext(ctx, "id-1"); classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("error %v, want verdict NotRun", err)
	}
	if n := r.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the target, want 0", n)
	}
	if connectionFailed {
		t.Error("the connection to the target counts as failed")
	}
	if len(r.results) != 1 || !r.results[0].Aborted {
		t.Errorf("results %+v, want an aborted one", r.results)
	}
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// TestConnectionReuse checks that sequential requests use one connection.
func TestConnectionReuse(t *testing.T) {
	r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, responseHead(request, "200 OK", "Content-Length: 4\r\n")+"good")
		return true
	})
	for i := range 20 {
		if _, err := r.deliver(fmt.Sprint("id-", i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := r.connections.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
	if len(r.results) != 20 || r.results[0].Status != 200 {
		t.Errorf("results %+v, want 20 with status 200", r.results)
	}
}
