package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// crowdLimits allow for a body that takes a third of the account.
func crowdLimits() receiver.Limits {
	limits := generousLimits
	limits.BodyBytes = 1 << 20
	return limits
}

// TestStalledBodyGivesWay checks that a body that stalls is refused when others need its
// memory, and that these are served.
func TestStalledBodyGivesWay(t *testing.T) {
	s := newServer(crowdLimits(), func(_ context.Context, r *receiver.Request) *receiver.Response {
		return okResponse("")
	})
	address := serve(t, s, nil)
	stalled, stalledReader := dial(t, address)
	part := strings.Repeat("x", 600<<10)
	send(t, stalled, chunkedHead+"a0000\r\n"+part)
	waitFor(t, "the body", func() bool { return s.Account.Used(allocator.Requests) > 600<<10 })
	time.Sleep(300 * time.Millisecond)
	conn, r := dial(t, address)
	send(t, conn, chunkedHead+"96000\r\n"+part[:0x96000]+"\r\n0\r\n\r\n")
	if resp, _ := readResponse(t, r); resp.StatusCode != 200 {
		t.Errorf("whole body: status %d, want 200", resp.StatusCode)
	}
	if resp, _ := readResponse(t, stalledReader); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("stalled body: status %d, header %v, want 503 with Retry-After", resp.StatusCode, resp.Header)
	}
	waitFor(t, "the release of the bodies", func() bool { return s.Account.Used(allocator.Requests) == 0 })
}

// TestBodiesThatDoNotFit checks that of bodies that advance, the one that needs more is
// refused, and that a short request is served meanwhile.
func TestBodiesThatDoNotFit(t *testing.T) {
	s := newServer(crowdLimits(), func(context.Context, *receiver.Request) *receiver.Response { return okResponse("") })
	address := serve(t, s, nil)
	conn, r := dial(t, address)
	// The server may close the connection before all of it is sent.
	go func() { _, _ = io.WriteString(conn, chunkedHead+"100000\r\n"+strings.Repeat("x", 1<<20)) }()
	if resp, _ := readResponse(t, r); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 with Retry-After", resp.StatusCode)
	}
	other, otherReader := dial(t, address)
	send(t, other, chunkedHead+"2\r\nab\r\n0\r\n\r\n")
	if resp, _ := readResponse(t, otherReader); resp.StatusCode != 200 {
		t.Errorf("short body: status %d, want 200", resp.StatusCode)
	}
}

// TestPause checks that a body that stalls for longer than the pause is refused, and that one
// that advances may take longer.
func TestPause(t *testing.T) {
	const pause = 500 * time.Millisecond
	s := newServer(crowdLimits(), func(context.Context, *receiver.Request) *receiver.Response { return okResponse("") })
	s.Pause = pause
	address := serve(t, s, nil)
	conn, r := dial(t, address)
	first, firstReader := dial(t, address)
	send(t, first, chunkedHead+"1000\r\n"+strings.Repeat("x", 4095))
	send(t, conn, chunkedHead)
	for range 12 {
		send(t, conn, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
		time.Sleep(pause / 8)
	}
	send(t, conn, "0\r\n\r\n")
	if resp, _ := readResponse(t, r); resp.StatusCode != 200 {
		t.Errorf("slow body: status %d, want 200", resp.StatusCode)
	}
	if resp, _ := readResponse(t, firstReader); resp.StatusCode != 408 {
		t.Errorf("stalled body: status %d, want 408", resp.StatusCode)
	}
}

// TestSlowReaderGivesWay checks that the connection of a client that doesn't read its
// response is closed when another needs the memory.
func TestSlowReaderGivesWay(t *testing.T) {
	const size = 16 << 20
	s := newServer(generousLimits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		return okResponse(strings.Repeat("x", size))
	})
	s.Account = &allocator.Account{
		Limit: size * 5 / 4,
		Clock: timekeeper.System{},
	}
	endings := make(chan receiver.Ending, 1)
	s.OnUnanswered = func(e receiver.Ending) { endings <- e }
	address := serve(t, s, nil)
	slow, _ := dial(t, address)
	_ = slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	send(t, slow, getRequest("/"))
	waitFor(t, "the response", func() bool { return s.Account.Used(allocator.Responses) == size })
	time.Sleep(1500 * time.Millisecond)
	if err := s.Account.Open(allocator.Responses, nil).Grow(size); err != nil {
		t.Fatal(err)
	}
	if e := <-endings; e.Reason != "response not read" || e.Pending != 1 {
		t.Errorf("report %+v, want a response that was not read", e)
	}
	waitForConnections(t, s, 0)
}

// TestTooManyConnections checks that a connection that is idle, or has not sent a whole
// header, is closed for another one, and that one with a request is not.
func TestTooManyConnections(t *testing.T) {
	const most = 8
	release := make(chan struct{})
	s := newServer(generousLimits, func(_ context.Context, r *receiver.Request) *receiver.Response {
		if r.URL.Path == "/slow" {
			<-release
		}
		return okResponse("")
	})
	s.MaxConnections = most
	address := serve(t, s, nil)
	busy, busyReader := dial(t, address)
	send(t, busy, getRequest("/slow"))
	var others []*bufio.Reader
	for i := range most - 1 {
		conn, r := dial(t, address)
		if i > 3 {
			before := s.Account.Used(allocator.Requests)
			send(t, conn, "GET / HTTP/1.1\r\n")
			waitFor(t, "the header", func() bool { return s.Account.Used(allocator.Requests) > before })
		}
		others = append(others, r)
	}
	waitForConnections(t, s, most)
	time.Sleep(1200 * time.Millisecond)
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	if resp, _ := readResponse(t, r); resp.StatusCode != 200 {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
	if resp, _ := readResponse(t, others[4]); resp.StatusCode != 503 {
		t.Errorf("the first unfinished header: status %d, want 503", resp.StatusCode)
	}
	close(release)
	if resp, _ := readResponse(t, busyReader); resp.StatusCode != 200 {
		t.Errorf("request in flight: status %d, want 200", resp.StatusCode)
	}
	if n := s.Refused(); n != 0 {
		t.Errorf("%d connections refused, want none", n)
	}
}

// TestRejectedRequestIsReleased checks that a request that arrives after Stop holds no memory
// once it is rejected.
func TestRejectedRequestIsReleased(t *testing.T) {
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response { return okResponse("") })
	conn, r := dial(t, serve(t, s, nil))
	waitForConnections(t, s, 1)
	s.Stop()
	send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
	if resp, _ := readResponse(t, r); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
	waitForConnections(t, s, 0)
	for _, c := range allocator.Causes() {
		if used := s.Account.Used(c); used != 0 {
			t.Errorf("%v: %d bytes held, want none", c, used)
		}
	}
}
