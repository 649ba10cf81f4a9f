package receiver_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
)

// hookedConn calls functions around each read, if they are set.
type hookedConn struct {
	*net.TCPConn
	beforeRead func(conn *net.TCPConn)
	afterRead  func(n int)
	// afterLook is called after each system call that does not read or write.
	afterLook func()
}

func (h *hookedConn) Read(p []byte) (int, error) {
	if h.beforeRead != nil {
		h.beforeRead(h.TCPConn)
	}
	n, err := h.TCPConn.Read(p)
	if h.afterRead != nil {
		h.afterRead(n)
	}
	return n, err
}

func (h *hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := h.TCPConn.SyscallConn()
	if h.afterLook == nil || err != nil {
		return raw, err
	}
	return &hookedRawConn{
		RawConn:      raw,
		afterControl: h.afterLook,
	}, nil
}

// hookedRawConn calls a function after each call of Control.
type hookedRawConn struct {
	syscall.RawConn
	afterControl func()
}

func (h *hookedRawConn) Control(f func(fd uintptr)) error {
	err := h.RawConn.Control(f)
	h.afterControl()
	return err
}

// awaitData waits until data has arrived on a connection.
func awaitData(t *testing.T, conn net.Conn) {
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if n, _ := forwarder.Peek(conn, make([]byte, 1)); n > 0 {
			return
		}
		if time.Now().After(end) {
			t.Error("no data has arrived")
			return
		}
	}
}

// checkRejection checks a response to a request that arrived around a stop.
func checkRejection(t *testing.T, resp *http.Response) {
	t.Helper()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, Retry-After %q, closed %v, want 503 with Retry-After and a close", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
}

// TestDrainClosesWithResponseWrittenEarly guards against leaving its connection open.
func TestDrainClosesWithResponseWrittenEarly(t *testing.T) {
	var read atomic.Bool
	returned, release := make(chan struct{}), make(chan struct{})
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		<-returned
		return okResponse("answered")
	})
	s.Limits = func() receiver.Limits {
		if read.CompareAndSwap(true, false) {
			close(returned)
			<-release
		}
		return generousLimits
	}
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		total := 0
		return &hookedConn{
			TCPConn: conn,
			afterRead: func(n int) {
				if total += n; total == len(getRequest("/")) {
					total = 0
					read.Store(true)
				}
			},
		}
	})
	s.Drain()
	conn, r := dial(t, address)
	send(t, conn, "G")
	time.Sleep(50 * time.Millisecond)
	send(t, conn, strings.TrimPrefix(getRequest("/"), "G"))
	defer close(release)
	if resp, body := readResponse(t, r); body != "answered" || !resp.Close {
		t.Errorf("response %q, closed %v, want \"answered\" and true", body, resp.Close)
	}
}

// TestHeaderTimeoutBehindResponse guards against a header without a time limit.
func TestHeaderTimeoutBehindResponse(t *testing.T) {
	limits := generousLimits
	limits.HeaderTimeout = 500 * time.Millisecond
	entered, release := make(chan struct{}), make(chan struct{})
	var received atomic.Int64
	s := newServer(limits, func(context.Context, *receiver.Request) *receiver.Response {
		close(entered)
		<-release
		return okResponse("answered")
	})
	conn, r := dial(t, serve(t, s, func(conn *net.TCPConn) net.Conn {
		return &hookedConn{
			TCPConn:   conn,
			afterRead: func(n int) { received.Add(int64(n)) },
		}
	}))
	send(t, conn, getRequest("/1"))
	<-entered
	send(t, conn, "GET /2 HTTP/1.1\r\n")
	for received.Load() < int64(len(getRequest("/1")+"GET /2 HTTP/1.1\r\n")) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(limits.HeaderTimeout / 10)
	close(release)
	readResponse(t, r)
	if resp, _ := readResponse(t, r); resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d of a request whose header does not end, want 408", resp.StatusCode)
	}
}

// TestHeaderTimeoutServesRequestInSocket guards against a 408 for a header that has arrived.
func TestHeaderTimeoutServesRequestInSocket(t *testing.T) {
	limits := generousLimits
	limits.HeaderTimeout = 100 * time.Millisecond
	s := newServer(limits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("answered")
	})
	const start = "GET / HTTP/1.1\r\n"
	begun := make(chan struct{})
	var once sync.Once
	total := 0
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		return &hookedConn{
			TCPConn:   conn,
			afterRead: func(n int) { total += n },
			beforeRead: func(conn *net.TCPConn) {
				if total < len(start) {
					return
				}
				once.Do(func() {
					close(begun)
					awaitData(t, conn)
					time.Sleep(2 * limits.HeaderTimeout)
				})
			},
		}
	})
	conn, r := dial(t, address)
	send(t, conn, start)
	<-begun
	send(t, conn, strings.TrimPrefix(getRequest("/"), start))
	if resp, body := readResponse(t, r); resp.StatusCode != http.StatusOK || body != "answered" {
		t.Errorf("status %d, response %q, want 200 and \"answered\"", resp.StatusCode, body)
	}
}

// TestIdleTimeoutServesRequestInSocket guards against discarding an unread request.
func TestIdleTimeoutServesRequestInSocket(t *testing.T) {
	limits := generousLimits
	limits.IdleTimeout = 20 * time.Millisecond
	s := newServer(limits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("answered")
	})
	var once atomic.Bool
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		return &hookedConn{
			TCPConn: conn,
			beforeRead: func(conn *net.TCPConn) {
				if once.CompareAndSwap(false, true) {
					awaitData(t, conn)
					time.Sleep(5 * limits.IdleTimeout)
				}
			},
		}
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	if resp, body := readResponse(t, r); resp.StatusCode != http.StatusOK || body != "answered" {
		t.Errorf("status %d, response %q, want 200 and \"answered\"", resp.StatusCode, body)
	}
}

// TestStopAnswersRequestThatTheReaderHasTaken guards against dropping the request.
func TestStopAnswersRequestThatTheReaderHasTaken(t *testing.T) {
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("")
	})
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		return &hookedConn{
			TCPConn: conn,
			afterRead: func(n int) {
				if n > 0 {
					s.Stop()
				}
			},
		}
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	resp, _ := readResponse(t, r)
	checkRejection(t, resp)
}

// TestStopAnswersRequestInSocket guards against a close with a request unread.
func TestStopAnswersRequestInSocket(t *testing.T) {
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("")
	})
	stopped := make(chan struct{})
	var once atomic.Bool
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		return &hookedConn{
			TCPConn: conn,
			beforeRead: func(conn *net.TCPConn) {
				if once.CompareAndSwap(false, true) {
					awaitData(t, conn)
					s.Stop()
					close(stopped)
				}
			},
		}
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	<-stopped
	resp, _ := readResponse(t, r)
	checkRejection(t, resp)
}

// TestIdleConnectionHeldUpAtItsClose guards against a close that follows late on the last look.
func TestIdleConnectionHeldUpAtItsClose(t *testing.T) {
	idle := generousLimits
	idle.IdleTimeout = 20 * time.Millisecond
	for name, limits := range map[string]receiver.Limits{"stopped": generousLimits, "idle timeout": idle} {
		t.Run(name, func(t *testing.T) {
			s := newServer(limits, func(context.Context, *receiver.Request) *receiver.Response {
				return okResponse("")
			})
			looked, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			address := serve(t, s, func(conn *net.TCPConn) net.Conn {
				return &hookedConn{
					TCPConn: conn,
					afterLook: func() {
						once.Do(func() { close(looked) })
						<-release
					},
				}
			})
			_, r := dial(t, address)
			defer close(release)
			if name == "stopped" {
				s.Stop()
			}
			<-looked
			if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("read after the last look: %v, want EOF", err)
			}
		})
	}
}

// TestStopAnswersPipelinedRequest guards against dropping a request behind another.
func TestStopAnswersPipelinedRequest(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		close(entered)
		<-release
		return okResponse("answered")
	})
	var received atomic.Int64
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		return &hookedConn{
			TCPConn:   conn,
			afterRead: func(n int) { received.Add(int64(n)) },
		}
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/1"))
	<-entered
	s.Stop()
	send(t, conn, getRequest("/2"))
	for received.Load() < int64(2*len(getRequest("/1"))) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	if resp, body := readResponse(t, r); body != "answered" || resp.Close {
		t.Errorf("request in flight: response %q, closed %v, want \"answered\" and false", body, resp.Close)
	}
	resp, _ := readResponse(t, r)
	checkRejection(t, resp)
}
