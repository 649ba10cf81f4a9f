package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
)

// patience bounds what is waited for on a busy machine.
const patience = 30 * time.Second

// start serves a handler and returns the server with its address.
func start(t *testing.T, limits receiver.Limits, handle func(context.Context, *receiver.Request) *receiver.Response) (*receiver.Server, string) {
	t.Helper()
	s := &receiver.Server{
		Handle:  handle,
		Limits:  func() receiver.Limits { return limits },
		Refused: func(int, error) {},
		MaxHeld: 1 << 20,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, ln) }()
	return s, ln.Addr().String()
}

var wide = receiver.Limits{
	HeaderBytes:   1 << 14,
	BodyBytes:     1 << 16,
	HeaderTimeout: patience,
	IdleTimeout:   patience,
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
}

func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func text(body string) *receiver.Response {
	return &receiver.Response{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   []byte(body),
	}
}

// TestPipelinedRequestsRunTogether lets the first request wait for the second.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	second := make(chan struct{})
	_, address := start(t, wide, func(_ context.Context, r *receiver.Request) *receiver.Response {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		return text(r.URL.Path)
	})
	conn, r := dial(t, address)
	send(t, conn, get("/1")+get("/2"))
	for _, want := range []string{"/1", "/2"} {
		if _, body := read(t, r); body != want {
			t.Errorf("answer %q, want %q", body, want)
		}
	}
}

// TestGoneClientCancels closes the connection while a request is under way and
// another one waits unread behind it.
func TestGoneClientCancels(t *testing.T) {
	for _, pipelined := range []int{0, 1, 5} {
		t.Run(fmt.Sprint(pipelined), func(t *testing.T) {
			entered, cancelled := make(chan struct{}, 10), make(chan struct{}, 10)
			_, address := start(t, wide, func(ctx context.Context, _ *receiver.Request) *receiver.Response {
				entered <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
				return text("")
			})
			conn, _ := dial(t, address)
			send(t, conn, get("/")+strings.Repeat(get("/"), pipelined))
			for range pipelined + 1 {
				<-entered
			}
			_ = conn.Close()
			for range pipelined + 1 {
				select {
				case <-cancelled:
				case <-time.After(patience):
					t.Fatal("not cancelled")
				}
			}
		})
	}
}

func TestLimits(t *testing.T) {
	limits := receiver.Limits{
		HeaderBytes:   1000,
		BodyBytes:     100,
		HeaderTimeout: 200 * time.Millisecond,
		IdleTimeout:   patience,
	}
	_, address := start(t, limits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		return text(string(r.Body))
	})
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"good":           {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", status: 200},
		"chunked":        {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", status: 200},
		"long header":    {request: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", status: 431},
		"long body":      {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), status: 413},
		"long chunks":    {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n", status: 413},
		"slow header":    {request: "GET / HTTP/1.1\r\nHost: a\r\n", status: 408},
		"no host":        {request: "GET / HTTP/1.1\r\n\r\n", status: 400},
		"no request":     {request: "hello\r\n\r\n", status: 400},
		"bad chunk size": {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, address)
			send(t, conn, test.request)
			resp, body := read(t, r)
			if resp.StatusCode != test.status {
				t.Errorf("status %d, want %d", resp.StatusCode, test.status)
			}
			if test.status == 200 && body != "ab" {
				t.Errorf("body %q", body)
			}
			if test.status != 200 && !resp.Close {
				t.Error("the connection is kept")
			}
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	limits := wide
	limits.IdleTimeout = 100 * time.Millisecond
	_, address := start(t, limits, func(context.Context, *receiver.Request) *receiver.Response {
		time.Sleep(3 * limits.IdleTimeout)
		return text("late")
	})
	conn, r := dial(t, address)
	send(t, conn, get("/"))
	if _, body := read(t, r); body != "late" {
		t.Errorf("answer %q: the wait for an answer is not idle time", body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the idle time: %v, want EOF", err)
	}
}

// TestDrain answers all that was read, and closes the connection with the last
// answer.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	s, address := start(t, wide, func(_ context.Context, r *receiver.Request) *receiver.Response {
		<-release
		return text(r.URL.Path)
	})
	conn, r := dial(t, address)
	send(t, conn, get("/1")+get("/2"))
	for s.Busy() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	s.Drain()
	close(release)
	first, _ := read(t, r)
	second, _ := read(t, r)
	if first.Close || !second.Close {
		t.Errorf("connection closed with the first answer: %v, with the last: %v", first.Close, second.Close)
	}
	fresh, r2 := dial(t, address)
	send(t, fresh, get("/3"))
	if resp, body := read(t, r2); body != "/3" || !resp.Close {
		t.Errorf("a new connection while draining: %q, closed %v", body, resp.Close)
	}
}

func TestStopTakesNothing(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, address := start(t, wide, func(context.Context, *receiver.Request) *receiver.Response {
		close(entered)
		<-release
		return text("answered")
	})
	idle, ri := dial(t, address)
	_ = idle
	conn, r := dial(t, address)
	send(t, conn, get("/"))
	<-entered
	s.Drain()
	s.Stop()
	if _, err := ri.ReadByte(); err == nil {
		t.Error("an idle connection is kept")
	}
	close(release)
	if resp, body := read(t, r); body != "answered" || !resp.Close {
		t.Errorf("request under way: %q, closed %v", body, resp.Close)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		_ = c.SetDeadline(time.Now().Add(patience))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a new connection is served")
		}
	}
}

// TestBreak closes the connection without an answer.
func TestBreak(t *testing.T) {
	_, address := start(t, wide, func(context.Context, *receiver.Request) *receiver.Response {
		return &receiver.Response{Break: true}
	})
	conn, r := dial(t, address)
	send(t, conn, get("/"))
	if b, err := r.ReadByte(); err == nil {
		t.Errorf("read %q", b)
	}
}

// TestStopWhileAnswering stops the server while a response is being written to a
// client that reads it slowly.
func TestStopWhileAnswering(t *testing.T) {
	const size = 16 << 20
	s, address := start(t, wide, func(context.Context, *receiver.Request) *receiver.Response {
		return text(strings.Repeat("x", size))
	})
	conn, reader := dial(t, address)
	send(t, conn, get("/"))
	if _, err := reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	if busy := s.Busy(); busy != 1 {
		t.Errorf("%d connections busy while a response is written, want 1", busy)
	}
	s.Stop()
	if _, body := read(t, reader); len(body) != size {
		t.Errorf("%d bytes of %d", len(body), size)
	}
	for end := time.Now().Add(patience); s.Busy() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still busy after the response was read")
		}
	}
}
