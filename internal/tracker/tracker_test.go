package tracker_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/tracker"
)

// testTimeout bounds each wait. It is long enough for a busy machine.
const testTimeout = 30 * time.Second

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// serve serves a handler, and returns its address and the result of Serve.
func serve(t *testing.T, tr *tracker.Tracker, handler http.HandlerFunc, wrap func(ln *net.TCPListener) net.Listener) (address string, served chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: testTimeout,
		IdleTimeout:       testTimeout,
	}
	t.Cleanup(func() { _ = srv.Close() })
	served = make(chan error, 1)
	go func() { served <- tr.Serve(srv, wrap(ln.(*net.TCPListener))) }()
	return ln.Addr().String(), served
}

func unwrapped(ln *net.TCPListener) net.Listener { return ln }

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
	if _, err := conn.Write([]byte(data)); err != nil {
		t.Fatal(err)
	}
}

func checkResponse(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("status %d, want 204", resp.StatusCode)
	}
}

func answer(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout: %s", what)
		}
	}
}

// TestBusyCountsHalfReadHeader guards against an exit while a header is read.
func TestBusyCountsHalfReadHeader(t *testing.T) {
	var tr tracker.Tracker
	address, _ := serve(t, &tr, answer, unwrapped)
	conn, r := dial(t, address)
	for range 2 {
		send(t, conn, request[:20])
		waitFor(t, "a header in part is counted", func() bool { return tr.Busy() == 1 })
		time.Sleep(50 * time.Millisecond)
		if n := tr.Busy(); n != 1 {
			t.Errorf("%d busy connections, want 1 after a part of the header was read", n)
		}
		send(t, conn, request[20:])
		checkResponse(t, r)
		waitFor(t, "an idle connection is not counted", func() bool { return tr.Busy() == 0 })
	}
}

// TestStopServesHalfReadRequest guards against dropping it on a kept connection.
func TestStopServesHalfReadRequest(t *testing.T) {
	var tr tracker.Tracker
	address, _ := serve(t, &tr, answer, unwrapped)
	conn, r := dial(t, address)
	for range 2 {
		send(t, conn, request)
		checkResponse(t, r)
	}
	send(t, conn, request[:20])
	waitFor(t, "the request arrives", func() bool { return tr.Busy() == 1 })
	time.Sleep(50 * time.Millisecond)
	tr.Stop()
	time.Sleep(50 * time.Millisecond)
	send(t, conn, request[20:])
	checkResponse(t, r)
	waitFor(t, "the connection ends", tr.Ended)
}

// TestStopServesFirstRequestOfConnection guards against closing it before the client has
// sent the request for which it connected.
func TestStopServesFirstRequestOfConnection(t *testing.T) {
	var tr tracker.Tracker
	address, _ := serve(t, &tr, answer, unwrapped)
	conn, r := dial(t, address)
	time.Sleep(50 * time.Millisecond)
	tr.Stop()
	time.Sleep(20 * time.Millisecond)
	send(t, conn, request)
	checkResponse(t, r)
	waitFor(t, "the connection ends", tr.Ended)
}

// heldListener holds back Accept until release is closed.
type heldListener struct {
	*net.TCPListener
	entered chan struct{}
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	select {
	case l.entered <- struct{}{}:
	default:
	}
	<-l.release
	return l.TCPListener.Accept()
}

// TestStopServesRequestInBacklog guards against resetting a connection in the backlog.
func TestStopServesRequestInBacklog(t *testing.T) {
	var tr tracker.Tracker
	held := &heldListener{
		entered: make(chan struct{}, 1),
		release: make(chan struct{}),
	}
	address, served := serve(t, &tr, answer, func(ln *net.TCPListener) net.Listener {
		held.TCPListener = ln
		return held
	})
	<-held.entered
	conn, r := dial(t, address)
	send(t, conn, request)
	time.Sleep(50 * time.Millisecond)
	tr.Stop()
	if tr.Ended() {
		t.Error("ended with a connection in the backlog")
	}
	close(held.release)
	checkResponse(t, r)
	if err := <-served; err != nil {
		t.Errorf("serve: %v, want no error after the stop", err)
	}
	waitFor(t, "the connection ends", tr.Ended)
}

// TestStopKeepsBodyAndResponse checks that Stop doesn't end a request under way.
func TestStopKeepsBodyAndResponse(t *testing.T) {
	var tr tracker.Tracker
	entered, cancelled := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, &tr, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		if body, err := io.ReadAll(r.Body); string(body) != "body" {
			t.Errorf("body %q, error %v, want \"body\"", body, err)
		}
		select {
		case <-r.Context().Done():
			close(cancelled)
		case <-time.After(100 * time.Millisecond):
		}
		answer(w, r)
	}, unwrapped)
	conn, r := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n")
	<-entered
	tr.Stop()
	time.Sleep(50 * time.Millisecond)
	send(t, conn, "body")
	checkResponse(t, r)
	select {
	case <-cancelled:
		t.Error("the request was cancelled")
	default:
	}
	waitFor(t, "the connection ends", tr.Ended)
}

// TestHTTP2 checks that Stop leaves HTTP/2 connections to Shutdown.
func TestHTTP2(t *testing.T) {
	var tr tracker.Tracker
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	srv := &http.Server{
		Protocols: protocols,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			<-release
			answer(w, r)
		}),
	}
	go func() { _ = tr.Serve(srv, ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	only := new(http.Protocols)
	only.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: only}}
	statuses := make(chan int, 2)
	get := func() {
		resp, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Error(err)
			statuses <- 0
			return
		}
		_ = resp.Body.Close()
		statuses <- resp.StatusCode
	}
	go get()
	<-entered
	if n := tr.Busy(); n != 1 {
		t.Errorf("%d busy connections, want 1", n)
	}
	tr.Stop()
	waitFor(t, "the listener is closed", tr.Ended)
	go get()
	<-entered
	close(release)
	for range 2 {
		if status := <-statuses; status != http.StatusNoContent {
			t.Errorf("status %d, want 204", status)
		}
	}
	waitFor(t, "the connection is idle", func() bool { return tr.Busy() == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}
