package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// testTimeout bounds each wait. It is long enough for a busy machine.
const testTimeout = 30 * time.Second

// startServer serves a handler and returns the server and its address.
func startServer(t *testing.T, limits receiver.Limits, handle func(context.Context, *receiver.Request) *receiver.Response) (*receiver.Server, string) {
	t.Helper()
	s := newServer(limits, handle)
	return s, serve(t, s, nil)
}

func newServer(limits receiver.Limits, handle func(context.Context, *receiver.Request) *receiver.Response) *receiver.Server {
	return &receiver.Server{
		Handle:       handle,
		Limits:       func() receiver.Limits { return limits },
		OnRejected:   func(*receiver.Request, int, error) {},
		OnUnanswered: func(receiver.Ending) {},
		OnPanic:      func(*receiver.Request, any) {},
		Account: &allocator.Account{
			Limit: 1 << 20,
			Clock: timekeeper.System{},
		},
	}
}

// serve starts a server and returns its address. wrap replaces each accepted
// connection, if it is not nil.
func serve(t *testing.T, s *receiver.Server, wrap func(*net.TCPConn) net.Conn) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = s.Serve(ctx, &wrappingListener{
			TCPListener: ln.(*net.TCPListener),
			wrap:        wrap,
		})
	}()
	return ln.Addr().String()
}

// wrappingListener replaces the connections that it accepts.
type wrappingListener struct {
	*net.TCPListener
	wrap func(*net.TCPConn) net.Conn
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil || l.wrap == nil {
		return conn, err
	}
	return l.wrap(conn.(*net.TCPConn)), nil
}

var generousLimits = receiver.Limits{
	HeaderBytes:   1 << 14,
	BodyBytes:     1 << 16,
	HeaderTimeout: testTimeout,
	IdleTimeout:   testTimeout,
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, data string) {
	t.Helper()
	if _, err := io.WriteString(conn, data); err != nil {
		t.Fatal(err)
	}
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
}

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
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

func okResponse(body string) *receiver.Response {
	return &receiver.Response{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   []byte(body),
	}
}

// TestPipelinedRequestsRunConcurrently checks that a second request runs while the
// first is in flight, and that the responses keep the order of the
// requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	_, address := startServer(t, generousLimits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		return okResponse(r.URL.Path)
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/1")+getRequest("/2"))
	for _, want := range []string{"/1", "/2"} {
		if _, body := readResponse(t, r); body != want {
			t.Errorf("response %q, want %q", body, want)
		}
	}
}

// TestCancelOnClientClose checks that closing the connection cancels the request
// in flight and the pipelined requests behind it.
func TestCancelOnClientClose(t *testing.T) {
	for _, pipelined := range []int{0, 1, 5} {
		t.Run(fmt.Sprint(pipelined), func(t *testing.T) {
			entered, cancelled := make(chan struct{}, 10), make(chan struct{}, 10)
			_, address := startServer(t, generousLimits, func(ctx context.Context, _ *receiver.Request) *receiver.Response {
				entered <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
				return okResponse("")
			})
			conn, _ := dial(t, address)
			send(t, conn, getRequest("/")+strings.Repeat(getRequest("/"), pipelined))
			for range pipelined + 1 {
				<-entered
			}
			_ = conn.Close()
			for range pipelined + 1 {
				select {
				case <-cancelled:
				case <-time.After(testTimeout):
					t.Fatal("request was not cancelled")
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
		IdleTimeout:   testTimeout,
	}
	_, address := startServer(t, limits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		return okResponse(r.Body.String())
	})
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"valid":             {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", status: 200},
		"chunked":           {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", status: 200},
		"long header":       {request: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", status: 431},
		"long body":         {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), status: 413},
		"long chunked body": {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n", status: 413},
		"slow header":       {request: "GET / HTTP/1.1\r\nHost: a\r\n", status: 408},
		"slow line":         {request: "GET / HTTP/1.1\r\nHost: a\r\nX-A", status: 408},
		"no host":           {request: "GET / HTTP/1.1\r\n\r\n", status: 400},
		"not HTTP":          {request: "hello\r\n\r\n", status: 400},
		"bad chunk size":    {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, address)
			send(t, conn, test.request)
			resp, body := readResponse(t, r)
			if resp.StatusCode != test.status {
				t.Errorf("status %d, want %d", resp.StatusCode, test.status)
			}
			if test.status == 200 && body != "ab" {
				t.Errorf("body %q, want ab", body)
			}
			if test.status != 200 && !resp.Close {
				t.Error("the connection is not closed")
			}
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	limits := generousLimits
	limits.IdleTimeout = 100 * time.Millisecond
	_, address := startServer(t, limits, func(context.Context, *receiver.Request) *receiver.Response {
		time.Sleep(3 * limits.IdleTimeout)
		return okResponse("late")
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	if _, body := readResponse(t, r); body != "late" {
		t.Errorf("response %q, want \"late\": the time of a request in flight must not count as idle time", body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the idle timeout: error %v, want EOF", err)
	}
}

// TestDrain checks that requests in flight are answered, and that the last
// response closes the connection.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	s, address := startServer(t, generousLimits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		<-release
		return okResponse(r.URL.Path)
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/1")+getRequest("/2"))
	for s.BusyConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	s.Drain()
	close(release)
	first, _ := readResponse(t, r)
	second, _ := readResponse(t, r)
	if first.Close || !second.Close {
		t.Errorf("connection closed with the first response: %v, with the last: %v, want false and true", first.Close, second.Close)
	}
	newConn, newReader := dial(t, address)
	send(t, newConn, getRequest("/3"))
	if resp, body := readResponse(t, newReader); body != "/3" || !resp.Close {
		t.Errorf("new connection while draining: response %q, closed %v, want \"/3\" and true", body, resp.Close)
	}
}

func TestStop(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		close(entered)
		<-release
		return okResponse("answered")
	})
	idle, idleReader := dial(t, address)
	_ = idle
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	<-entered
	s.Drain()
	s.Stop()
	if _, err := idleReader.ReadByte(); err == nil {
		t.Error("an idle connection is not closed by Stop")
	}
	close(release)
	if resp, body := readResponse(t, r); body != "answered" || !resp.Close {
		t.Errorf("request in flight: response %q, closed %v, want \"answered\" and true", body, resp.Close)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a new connection is served after Stop")
		}
	}
}

// TestAbort checks that Response.Abort closes the connection without a response.
func TestAbort(t *testing.T) {
	_, address := startServer(t, generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return &receiver.Response{Abort: true}
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	if b, err := r.ReadByte(); err == nil {
		t.Errorf("read %q, want no response", b)
	}
}

// TestStopDuringResponse checks that Stop does not abort a response that a
// client reads slowly.
func TestStopDuringResponse(t *testing.T) {
	const size = 16 << 20
	s, address := startServer(t, generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse(strings.Repeat("x", size))
	})
	conn, reader := dial(t, address)
	send(t, conn, getRequest("/"))
	if _, err := reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	if busy := s.BusyConnections(); busy != 1 {
		t.Errorf("%d connections busy while a response is written, want 1", busy)
	}
	s.Stop()
	if _, body := readResponse(t, reader); len(body) != size {
		t.Errorf("read %d bytes, want %d", len(body), size)
	}
	for end := time.Now().Add(testTimeout); s.BusyConnections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections are still busy after the response was read, want none")
		}
	}
}

// TestAnsweredRequestIsFreed guards against an open connection that keeps the body of
// an answered request in memory.
func TestAnsweredRequestIsFreed(t *testing.T) {
	freed := make(chan struct{})
	_, address := startServer(t, generousLimits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		runtime.AddCleanup(r, func(freed chan struct{}) { close(freed) }, freed)
		return okResponse("")
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	readResponse(t, r)
	for end := time.Now().Add(testTimeout / 3); ; {
		runtime.GC()
		select {
		case <-freed:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(end) {
			t.Fatal("the request is still in memory")
		}
	}
}

// TestPanicEndsOneRequest guards against a request that ends the process.
func TestPanicEndsOneRequest(t *testing.T) {
	s := newServer(generousLimits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		if r.URL.Path == "/panic" {
			panic("index out of range")
		}
		return &receiver.Response{Status: http.StatusOK}
	})
	var reported any
	s.OnPanic = func(_ *receiver.Request, value any) { reported = value }
	address := serve(t, s, nil)
	for path, want := range map[string]int{"/panic": http.StatusBadGateway, "/": http.StatusOK} {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, resp.StatusCode, want)
		}
	}
	if reported != "index out of range" {
		t.Errorf("reported %v", reported)
	}
}
