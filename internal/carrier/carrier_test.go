package carrier_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

const key = "key-of-the-tests-mesh"

func newClient() *carrier.Client {
	return &carrier.Client{
		Key:       key,
		Transport: forwarder.NewTransport(4),
		OnSilent:  func(string) {},
	}
}

func newServer(deliver carrier.Deliver) *httptest.Server {
	return httptest.NewServer(&carrier.Server{
		Key:     key,
		Deliver: deliver,
		MaxBody: func() int64 { return 1 << 20 },
	})
}

// startServer starts a Server that passes attempts to deliver, and returns its
// address.
func startServer(t *testing.T, deliver carrier.Deliver) string {
	t.Helper()
	s := newServer(deliver)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// attempt returns an attempt with the given kind and body.
func attempt(kind matcher.Kind, body string) *carrier.Attempt {
	return &carrier.Attempt{
		ID:        "id-1",
		Service:   "s",
		Version:   "v1",
		Instance:  "i-1",
		Rule:      "pay",
		Kind:      kind,
		Priority:  2,
		Caller:    "c",
		Deadline:  time.Now().Add(20 * time.Second),
		Objective: time.Now().Add(10 * time.Second),
		MaxWait:   30 * time.Millisecond,
		Baseline:  15 * time.Millisecond,
		Method:    "POST",
		URI:       "/pay/%2f?a=b;c&",
		Host:      "a.example",
		Header:    http.Header{"X-Own": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:      allocator.Body{[]byte(body)},
	}
}

func TestRoundTrip(t *testing.T) {
	for _, size := range []int{0, 10, 100 << 10} {
		body := strings.Repeat("x", size)
		var got *carrier.Attempt
		address := startServer(t, func(ctx context.Context, a *carrier.Attempt) (*carrier.TargetResponse, error) {
			carrier.Acknowledge(ctx)
			if err := carrier.ReadBody(ctx); err != nil {
				t.Error(err)
			}
			got = a
			return &carrier.TargetResponse{
				Status: 418,
				Header: http.Header{"X-Server": {"2"}},
				Body:   []byte("answer"),
				Load:   chooser.Load{Running: 1, Queued: 2, Slots: 3, ServiceTime: 4 * time.Millisecond, FailureRate: 0.5, FaultRate: 0.25, ReopenAfter: time.Second},
			}, nil
		})
		sent := attempt(matcher.NonIdempotent, body)
		resp, err := newClient().Send(t.Context(), address, sent)
		if err != nil {
			t.Fatal(err)
		}
		resp.Load.Lag = 0 // checked by TestLag
		if resp.Status != 418 || string(resp.Body) != "answer" || resp.Header.Get("X-Server") != "2" ||
			resp.Load != (chooser.Load{Running: 1, Queued: 2, Slots: 3, ServiceTime: 4 * time.Millisecond, FailureRate: 0.5, FaultRate: 0.25, ReopenAfter: time.Second, ResponseBytes: len("answer")}) {
			t.Errorf("response %+v, want the one that the server returned", resp)
		}
		if got.ID != sent.ID || got.URI != sent.URI || got.Host != sent.Host || got.Instance != "i-1" || got.Priority != 2 || got.Kind != matcher.NonIdempotent ||
			got.Caller != "c" || got.MaxWait != sent.MaxWait || got.Baseline != sent.Baseline || got.Body.String() != body {
			t.Errorf("received attempt %+v, want the one that was sent", got)
		}
		if got.Header.Get("X-Own") != "1" || got.Header.Get("X-Hop") != "" || got.Header.Get("Coltsfoot-Key") != "" {
			t.Errorf("headers %v, want X-Own and neither X-Hop nor Coltsfoot-Key", got.Header)
		}
		if off := got.Deadline.Sub(sent.Deadline).Abs(); off > time.Second {
			t.Errorf("deadline differs by %v, want at most 1s", off)
		}
	}
}

// TestLag checks that the lag excludes the time that the attempt took at the other
// daemon.
func TestLag(t *testing.T) {
	const processingTime = 50 * time.Millisecond
	for name, failure := range map[string]error{"response": nil, "failure": &carrier.Failure{Failure: classifier.NewFailure(classifier.NotRun, "busy", nil), Reported: true}} {
		address := startServer(t, func(context.Context, *carrier.Attempt) (*carrier.TargetResponse, error) {
			time.Sleep(processingTime)
			return &carrier.TargetResponse{Status: 200}, failure
		})
		began := time.Now()
		resp, err := newClient().Send(t.Context(), address, attempt(matcher.Idempotent, ""))
		elapsed := time.Since(began)
		var lag time.Duration
		if failure == nil {
			lag = resp.Load.Lag
		} else {
			lag = carrier.NewFailure(err).Load.Lag
		}
		if lag <= 0 || lag > elapsed-processingTime {
			t.Errorf("%s: lag %v, want more than 0 and at most the total of %v less the %v at the other daemon", name, lag, elapsed, processingTime)
		}
	}
}

func TestFailureRoundTrip(t *testing.T) {
	for _, verdict := range []classifier.Verdict{classifier.NotRun, classifier.Ran, classifier.MayHaveRun} {
		address := startServer(t, func(context.Context, *carrier.Attempt) (*carrier.TargetResponse, error) {
			return nil, &carrier.Failure{
				Failure:    classifier.NewFailure(verdict, "some reason", nil),
				Arrived:    true,
				RetryAfter: time.Second,
				Load:       chooser.Load{Running: 7},
			}
		})
		_, err := newClient().Send(t.Context(), address, attempt(matcher.NonIdempotent, "x"))
		f := carrier.NewFailure(err)
		if f.Verdict != verdict || f.Reason != "some reason" || !f.Arrived || !f.Reported || f.RetryAfter != time.Second || f.Load.Running != 7 {
			t.Errorf("failure %+v, want the one that the server returned, marked as reported", f)
		}
	}
}

func TestWrongKey(t *testing.T) {
	address := startServer(t, func(context.Context, *carrier.Attempt) (*carrier.TargetResponse, error) {
		t.Error("an attempt with the wrong key was delivered")
		return nil, nil
	})
	c := newClient()
	c.Key = "another-key-of-the-mesh"
	if _, err := c.Send(t.Context(), address, attempt(matcher.NonIdempotent, "x")); classifier.VerdictOf(err) != classifier.NotRun {
		t.Error(err)
	}
}

// countingListener counts the bytes that its connections read.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, read: &l.read}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestRejectionWithoutBody checks that the body of a rejected attempt is not
// sent.
func TestRejectionWithoutBody(t *testing.T) {
	s := httptest.NewUnstartedServer(&carrier.Server{
		Key: key,
		Deliver: func(context.Context, *carrier.Attempt) (*carrier.TargetResponse, error) {
			return nil, classifier.NewFailure(classifier.NotRun, "busy", nil)
		},
		MaxBody: func() int64 { return 1 << 20 },
	})
	ln := &countingListener{Listener: s.Listener}
	s.Listener = ln
	s.Start()
	defer s.Close()
	_, err := newClient().Send(t.Context(), s.Listener.Addr().String(), attempt(matcher.Idempotent, strings.Repeat("x", 100<<10)))
	if classifier.VerdictOf(err) != classifier.NotRun || ln.read.Load() > 4<<10 {
		t.Errorf("error %v after %d bytes read, want verdict NotRun after at most 4096 bytes", err, ln.read.Load())
	}
}

// TestSilentDaemon checks that an attempt ends before its deadline if the daemon
// accepts connections and never responds.
func TestSilentDaemon(t *testing.T) {
	for name, test := range map[string]struct {
		attempt *carrier.Attempt
		want    classifier.Verdict
	}{
		"idempotent":                    {attempt: attempt(matcher.Idempotent, ""), want: classifier.MayHaveRun},
		"non-idempotent, body not sent": {attempt: attempt(matcher.NonIdempotent, "pay"), want: classifier.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			var silentCalled atomic.Bool
			c := newClient()
			c.OnSilent = func(string) { silentCalled.Store(true) }
			test.attempt.Deadline = time.Now().Add(2 * time.Second)
			start := time.Now()
			_, err = c.Send(t.Context(), ln.Addr().String(), test.attempt)
			if classifier.VerdictOf(err) != test.want || !silentCalled.Load() {
				t.Errorf("error %v, OnSilent called: %v, want the verdict of the test case and true", err, silentCalled.Load())
			}
			if elapsed := time.Since(start); elapsed > 1900*time.Millisecond {
				t.Errorf("cancelled only after %v, want at most 1.9s", elapsed)
			}
		})
	}
}

// TestKeepWaiting checks that an attempt to a silent daemon is not cancelled while
// KeepWaiting returns true, as during a graceful shutdown.
func TestKeepWaiting(t *testing.T) {
	for _, keepWaiting := range []bool{true, false} {
		address := startServer(t, func(ctx context.Context, _ *carrier.Attempt) (*carrier.TargetResponse, error) {
			if !keepWaiting {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(time.Second) // longer than the time until an attempt is cancelled
			return &carrier.TargetResponse{Status: 200}, nil
		})
		c := newClient()
		c.KeepWaiting = func() bool { return keepWaiting }
		a := attempt(matcher.Idempotent, "")
		a.Deadline = time.Now().Add(2 * time.Second)
		_, err := c.Send(t.Context(), address, a)
		if cancelled := err != nil && strings.Contains(err.Error(), "daemon silent"); cancelled == keepWaiting || (err == nil) != keepWaiting {
			t.Errorf("KeepWaiting returns %v: error %v, want that of a silent daemon only for false", keepWaiting, err)
		}
	}
}

// TestBrokenConnection breaks the connection before and after the body is read,
// and checks the verdict.
func TestBrokenConnection(t *testing.T) {
	for name, test := range map[string]struct {
		deliver carrier.Deliver
		want    classifier.Verdict
	}{
		"before the body is requested": {
			deliver: func(context.Context, *carrier.Attempt) (*carrier.TargetResponse, error) { panic(http.ErrAbortHandler) },
			want:    classifier.NotRun,
		},
		"after the body is read": {
			deliver: func(ctx context.Context, _ *carrier.Attempt) (*carrier.TargetResponse, error) {
				if err := carrier.ReadBody(ctx); err != nil {
					t.Error(err)
				}
				panic(http.ErrAbortHandler)
			},
			want: classifier.MayHaveRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newClient().Send(t.Context(), startServer(t, test.deliver), attempt(matcher.NonIdempotent, "pay"))
			if err == nil || classifier.VerdictOf(err) != test.want {
				t.Errorf("error %v, want verdict %v", err, test.want)
			}
		})
	}
}

// TestTruncatedHeadIsNoResponse guards against a part of a head from another daemon that is
// taken for a response.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Own: value\r\nColtsfoot-Status: 200\r\n\r\n"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	cuts := make(chan int, 1)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, head[:<-cuts])
			}
			_ = conn.Close()
		}
	}()
	for cut := range len(head) + 1 {
		cuts <- cut
		resp, err := newClient().Send(t.Context(), ln.Addr().String(), attempt(matcher.NonIdempotent, "pay"))
		switch {
		case cut == len(head) && err != nil:
			t.Errorf("whole head: error %v, want none", err)
		case cut < len(head) && (err == nil || classifier.VerdictOf(err) == classifier.NotRun):
			t.Errorf("head cut after %d of %d bytes: response %+v, error %v, want a failure that may have run", cut, len(head), resp, err)
		}
	}
}

// TestCancel checks that the delivery is cancelled when the sender cancels.
func TestCancel(t *testing.T) {
	for name, acknowledged := range map[string]bool{"acknowledged": true, "not acknowledged": false} {
		t.Run(name, func(t *testing.T) {
			entered, ended := make(chan struct{}), make(chan struct{})
			address := startServer(t, func(ctx context.Context, _ *carrier.Attempt) (*carrier.TargetResponse, error) {
				if acknowledged {
					carrier.Acknowledge(ctx)
				}
				close(entered)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-entered
				cancel()
			}()
			if _, err := newClient().Send(ctx, address, attempt(matcher.Idempotent, "")); err == nil {
				t.Error("cancelled attempt got a response")
			}
			select {
			case <-ended:
			case <-time.After(30 * time.Second):
				t.Error("the delivery was not cancelled")
			}
		})
	}
}

// TestNewFailureCopies checks that a change of the Failure that NewFailure returns
// does not change its argument, which many requests may share.
func TestNewFailureCopies(t *testing.T) {
	shared := &carrier.Failure{Failure: classifier.NewFailure(classifier.NotRun, "leaving", nil)}
	copied := carrier.NewFailure(shared)
	copied.Reported = true
	copied.RetryAfter = time.Second
	if shared.Reported || shared.RetryAfter != 0 {
		t.Errorf("failure %+v, want the shared one unchanged", shared)
	}
}
