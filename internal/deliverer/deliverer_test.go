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
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

// rig is a deliverer to a target that is played byte by byte.
type rig struct {
	*deliverer.Deliverer
	endings     []deliverer.Ending
	connections atomic.Int32
	requests    atomic.Int32
}

// newRig starts a target that answers each request by a function; it keeps the
// connection as long as the function says so.
func newRig(t *testing.T, answer func(conn net.Conn, r *http.Request, n int32) (keep bool)) *rig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	r := &rig{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r.connections.Add(1)
			go r.serve(conn, answer)
		}
	}()
	gate := &admitter.Gate{
		Clock:  timekeeper.System{},
		Closed: func(admitter.Target) bool { return false },
	}
	gate.Announce(admitter.Target{Instance: "i-1", Slots: 4, ColdRate: 5})
	r.Deliverer = &deliverer.Deliverer{
		Target:    ln.Addr().String(),
		Gate:      gate,
		Transport: forwarder.NewTransport(4),
		Codec:     platform.Adapter("127.0.0.1:1", time.Second).Codec,
		Clock:     timekeeper.System{},
		Screen:    func(*carrier.Order) (func(bool), error) { return func(bool) {}, nil },
		Observe:   func(_ *carrier.Order, e deliverer.Ending) { r.endings = append(r.endings, e) },
		Refused:   func(*carrier.Order, *carrier.Failure) {},
	}
	return r
}

func (r *rig) serve(conn net.Conn, answer func(net.Conn, *http.Request, int32) bool) {
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
		if !answer(conn, request, r.requests.Add(1)) {
			return
		}
	}
}

func (r *rig) deliver(id string) (*carrier.Answer, error) {
	return r.deliverFor(context.Background(), id)
}

func (r *rig) deliverFor(ctx context.Context, id string) (*carrier.Answer, error) {
	return r.Deliver(ctx, &carrier.Order{
		ID:        id,
		Instance:  "i-1",
		Rule:      "pay",
		Deadline:  time.Now().Add(10 * time.Second),
		Objective: time.Now().Add(10 * time.Second),
		Method:    "POST",
		URI:       "/pay",
		Host:      "a.example",
		Header:    http.Header{"X-Attempt-Id": {id}},
		Body:      []byte("body"),
	})
}

func head(r *http.Request, status, more string) string {
	return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Server-Stamp: s\r\n" + more + "\r\n"
}

// reset closes a connection so that the peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func TestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		answer  func(conn net.Conn, r *http.Request)
		body    string
		verdict classifier.Verdict
		failed  bool
	}{
		"whole": {
			answer: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, head(r, "200 OK", "Content-Length: 4\r\n")+"good")
			},
			body: "good",
		},
		"ended by the connection": {
			answer: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, head(r, "200 OK", "Connection: close\r\n")+"good")
			},
			body: "good",
		},
		"ended by a reset": {
			answer: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, head(r, "200 OK", "Connection: close\r\n")+"goo")
				time.Sleep(50 * time.Millisecond)
				reset(conn)
			},
			verdict: classifier.Ran,
			failed:  true,
		},
		"cut short": {
			answer: func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, head(r, "200 OK", "Content-Length: 4\r\n")+"goo")
			},
			verdict: classifier.Ran,
			failed:  true,
		},
		"lost":      {answer: func(conn net.Conn, _ *http.Request) { reset(conn) }, verdict: classifier.MayHaveRun, failed: true},
		"no answer": {answer: func(net.Conn, *http.Request) {}, verdict: classifier.MayHaveRun, failed: true},
		"no protocol": {
			answer:  func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, "\x00\x01hello\r\n\r\n") },
			verdict: classifier.MayHaveRun,
			failed:  true,
		},
		"turned away": {
			answer: func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			},
			verdict: classifier.NotRun,
			failed:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(conn net.Conn, request *http.Request, _ int32) bool {
				test.answer(conn, request)
				return false
			})
			a, err := r.deliver("id-1")
			if (err != nil) != test.failed {
				t.Fatalf("%+v %v", a, err)
			}
			if test.failed {
				f := carrier.Fail(err)
				if f.Verdict != test.verdict || !f.Told || !f.Arrived {
					t.Errorf("%+v, want the verdict %v", f, test.verdict)
				}
			} else if string(a.Body) != test.body {
				t.Errorf("body %q", a.Body)
			}
			if n := r.Gate.Running(); n != 0 {
				t.Errorf("%d slots still taken", n)
			}
		})
	}
}

// TestSecondAnswer gets one more answer to the first request, in time or late,
// on a kept connection: the next request must not take it for its own.
func TestSecondAnswer(t *testing.T) {
	for _, late := range []bool{false, true} {
		var first atomic.Pointer[string]
		r := newRig(t, func(conn net.Conn, request *http.Request, n int32) bool {
			text := head(request, "200 OK", "Content-Length: 4\r\n") + "good"
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
			a, err := r.deliver(id)
			if err == nil && a.Header.Get("X-Attempt-Id") != id {
				t.Errorf("late %v: request %s got the answer of %s", late, id, a.Header.Get("X-Attempt-Id"))
			}
		}
	}
}

// TestBrokenConnectionIsNotSentAgain closes kept connections after each answer
// without saying so.
func TestBrokenConnectionIsNotSentAgain(t *testing.T) {
	r := newRig(t, func(conn net.Conn, request *http.Request, n int32) bool {
		if n%2 == 0 {
			reset(conn)
			return false
		}
		_, _ = io.WriteString(conn, head(request, "200 OK", "Content-Length: 4\r\n")+"good")
		return true
	})
	for i := range 10 {
		before := r.requests.Load()
		_, err := r.deliver(fmt.Sprint("id-", i))
		if got := r.requests.Load() - before; got > 1 {
			t.Errorf("sent %d times", got)
		}
		if err != nil && classifier.Of(err) == classifier.NotRun && r.requests.Load() != before {
			t.Errorf("a request that has arrived is said not to have run: %v", err)
		}
	}
}

// TestNoConnectionPutsTheTargetInDoubt covers a target that has ended.
func TestNoConnectionPutsTheTargetInDoubt(t *testing.T) {
	r := newRig(t, func(net.Conn, *http.Request, int32) bool { return false })
	r.Target = "127.0.0.1:1"
	_, err := r.deliver("id-1")
	if f := carrier.Fail(err); f.Verdict != classifier.NotRun || f.Arrived {
		t.Errorf("%+v", f)
	}
	if !r.Gate.Cold() {
		t.Error("a target that takes no connection is not in doubt")
	}
}

// TestSenderHungUp delivers an order whose sender has closed its connection,
// which no reader has noticed yet.
func TestSenderHungUp(t *testing.T) {
	r := newRig(t, func(conn net.Conn, request *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, head(request, "200 OK", "Content-Length: 4\r\n")+"good")
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
	if _, err := r.deliverFor(ctx, "id-1"); err != nil {
		t.Fatal(err)
	}
	_ = sender.Close()
	for !forwarder.HungUp(ctx) {
		time.Sleep(time.Millisecond)
	}
	if _, err := r.deliverFor(ctx, "id-2"); classifier.Of(err) != classifier.NotRun {
		t.Errorf("%v, want a failure that has not run", err)
	}
	if n := r.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the target, want 1", n)
	}
}

// TestConnectionsAreKept sends requests one after the other.
func TestConnectionsAreKept(t *testing.T) {
	r := newRig(t, func(conn net.Conn, request *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, head(request, "200 OK", "Content-Length: 4\r\n")+"good")
		return true
	})
	for i := range 20 {
		if _, err := r.deliver(fmt.Sprint("id-", i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := r.connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
	if len(r.endings) != 20 || r.endings[0].Status != 200 {
		t.Errorf("%+v", r.endings)
	}
}
