package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
)

// waitForConnections waits until a number of connections is open.
func waitForConnections(t *testing.T, s *receiver.Server, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		open, _ := s.Connections()
		if open == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections open, want %d", open, want)
		}
	}
}

// TestUnansweredConnectionIsReported checks the report of each way in which a
// connection ends without a response, and that other connections leave none.
func TestUnansweredConnectionIsReported(t *testing.T) {
	type client struct {
		conn    *net.TCPConn
		reader  *bufio.Reader
		entered chan struct{}
		release chan struct{}
		server  *receiver.Server
	}
	for name, test := range map[string]struct {
		limits receiver.Limits
		body   string
		act    func(t *testing.T, c client)
		want   receiver.Ending
	}{
		"client gone": {
			act: func(t *testing.T, c client) {
				send(t, c.conn, getRequest("/1")+getRequest("/2"))
				<-c.entered
				<-c.entered
			},
			want: receiver.Ending{Reason: "client gone", Pending: 2},
		},
		"client gone within a request": {
			act: func(t *testing.T, c client) {
				send(t, c.conn, "GET / HTTP/1.1\r\nHost: a\r\n")
			},
			want: receiver.Ending{Reason: "client gone", Reading: true},
		},
		"client gone within a line": {
			act: func(t *testing.T, c client) {
				send(t, c.conn, "GET / HTTP/1.1\r\nHost: a\r\nX-A")
			},
			want: receiver.Ending{Reason: "client gone", Reading: true},
		},
		"request behind the last response": {
			act: func(t *testing.T, c client) {
				send(t, c.conn, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+getRequest("/2"))
				close(c.release)
				_, _ = io.Copy(io.Discard, c.reader)
			},
			want: receiver.Ending{Reason: "after the last response", Discarded: int64(len(getRequest("/2")))},
		},
		"client reset while the response is written": {
			body: strings.Repeat("x", 16<<20),
			act: func(t *testing.T, c client) {
				send(t, c.conn, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+getRequest("/2"))
				close(c.release)
				if _, err := c.reader.Peek(1); err != nil {
					t.Fatal(err)
				}
				_ = c.conn.SetLinger(0)
				_ = c.conn.Close()
			},
			want: receiver.Ending{Reason: "write failed", Pending: 1, Discarded: int64(len(getRequest("/2")))},
		},
		"process exit": {
			act: func(t *testing.T, c client) {
				send(t, c.conn, getRequest("/1"))
				<-c.entered
				c.server.ReportOpen()
				close(c.release)
			},
			want: receiver.Ending{Reason: "process exit", Pending: 1},
		},
		"answered": {
			act: func(t *testing.T, c client) {
				send(t, c.conn, getRequest("/1"))
				close(c.release)
				readResponse(t, c.reader)
			},
		},
		"idle": {
			limits: receiver.Limits{IdleTimeout: 10 * time.Millisecond},
			act: func(_ *testing.T, c client) {
				_, _ = io.Copy(io.Discard, c.reader)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			entered, release := make(chan struct{}, 2), make(chan struct{})
			if test.limits.IdleTimeout == 0 {
				test.limits = generousLimits
			}
			s := newServer(test.limits, func(ctx context.Context, _ *receiver.Request) *receiver.Response {
				entered <- struct{}{}
				select {
				case <-release:
				case <-ctx.Done():
				}
				return okResponse(test.body)
			})
			endings := make(chan receiver.Ending, 2)
			s.OnUnanswered = func(e receiver.Ending) { endings <- e }
			conn, reader := dial(t, serve(t, s, nil))
			waitForConnections(t, s, 1)
			test.act(t, client{
				conn:    conn.(*net.TCPConn),
				reader:  reader,
				entered: entered,
				release: release,
				server:  s,
			})
			_ = conn.Close()
			waitForConnections(t, s, 0)
			close(endings)
			var got receiver.Ending
			for e := range endings {
				if got.Reason != "" {
					t.Errorf("second report %+v, want one", e)
				}
				got = e
			}
			if got.Reason != test.want.Reason || got.Pending != test.want.Pending || got.Reading != test.want.Reading || got.Discarded != test.want.Discarded {
				t.Errorf("report %+v, want %+v", got, test.want)
			}
			if len(got.Requests) != got.Pending {
				t.Errorf("%d requests named, want %d", len(got.Requests), got.Pending)
			}
			if got.Reason != "" && got.SinceRead <= 0 {
				t.Errorf("time since the last read %v, want more than 0", got.SinceRead)
			}
		})
	}
}

// TestRequestAfterCloseOfUnusedConnectionIsReported guards against a reset without a log line.
func TestRequestAfterCloseOfUnusedConnectionIsReported(t *testing.T) {
	limits := generousLimits
	limits.IdleTimeout = 10 * time.Millisecond
	s := newServer(limits, func(context.Context, *receiver.Request) *receiver.Response { return okResponse("") })
	endings := make(chan receiver.Ending, 1)
	s.OnUnanswered = func(e receiver.Ending) { endings <- e }
	conn, reader := dial(t, serve(t, s, nil))
	if _, err := io.Copy(io.Discard, reader); err != nil {
		t.Fatal(err)
	}
	send(t, conn, getRequest("/"))
	_ = conn.Close()
	select {
	case e := <-endings:
		if e.Reason != "idle timeout" || e.Discarded != int64(len(getRequest("/"))) {
			t.Errorf("report %+v, want an idle timeout with the request's bytes", e)
		}
	case <-time.After(testTimeout):
		t.Error("no report")
	}
}
