package linker

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// callTimeout bounds a call on a busy machine. It is much longer than a
// successful call takes.
const callTimeout = 60 * time.Second

type echo struct {
	Text string `json:"text"`
}

// serveEcho starts a server with the echo method and returns its address.
func serveEcho(t *testing.T, key string) string {
	t.Helper()
	return serve(t, NewServer(key))
}

// serve registers the echo method, serves on a local port and returns the address.
func serve(t *testing.T, s *Server) string {
	t.Helper()
	Handle(s, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(t.Context(), ln) }()
	return ln.Addr().String()
}

func TestCall(t *testing.T) {
	address := serveEcho(t, "the right key")
	c := NewClient("the right key", callTimeout)
	for _, text := range []string{"a", strings.Repeat("b", 1<<20)} {
		var got echo
		if err := c.Call(t.Context(), address, "echo", echo{Text: text}, &got); err != nil || got.Text != text {
			t.Fatalf("echo of %d bytes: got %d bytes, error %v; want the same text", len(text), len(got.Text), err)
		}
	}
	if err := c.Call(t.Context(), address, "none", echo{}, nil); err == nil {
		t.Error("call of an unknown method succeeded")
	}
	if err := c.Call(t.Context(), address, "echo", echo{Text: strings.Repeat("c", MaxFrameBytes)}, nil); err == nil {
		t.Error("call with an oversized frame succeeded")
	}
}

func TestWrongKey(t *testing.T) {
	address := serveEcho(t, "the right key")
	c := NewClient("a wrong key", callTimeout)
	if err := c.Call(t.Context(), address, "echo", echo{}, nil); err == nil {
		t.Error("call with a wrong key succeeded")
	}
}

// readUntilClosed waits until the peer has closed the connection and returns the
// number of bytes that it sent before.
func readUntilClosed(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	data, err := io.ReadAll(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the peer did not close the connection")
	}
	return len(data)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestUnauthenticatedPeer connects without a hello and sends nothing, an
// incomplete frame, a large frame, or a request. The server must close the
// connection.
func TestUnauthenticatedPeer(t *testing.T) {
	s := NewServer("the right key")
	s.helloTimeout = 50 * time.Millisecond
	address := serve(t, s)
	request, err := EncodeFrame(map[string]any{"jsonrpc": "2.0", "id": 1, "method": "echo"})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"nothing":    nil,
		"incomplete": {0, 0},
		"large":      binary.BigEndian.AppendUint32(nil, maxHelloBytes+1),
		"request":    request,
	} {
		c := dial(t, address)
		_, _ = c.Write(data)
		if n := readUntilClosed(t, c); n > maxHelloBytes {
			t.Errorf("%s: the server sent %d bytes, want at most a hello frame", name, n)
		}
	}
}

// TestTooManyConnections opens one connection more than the limit. The server must
// close it, and accept another one after the first is closed.
func TestTooManyConnections(t *testing.T) {
	s := NewServer("the right key")
	s.connSem = make(chan struct{}, 1)
	address := serve(t, s)
	first := NewClient("the right key", callTimeout)
	if err := first.Call(t.Context(), address, "echo", echo{}, nil); err != nil {
		t.Fatal(err)
	}
	readUntilClosed(t, dial(t, address))
	first.Close(address)
	for len(s.connSem) > 0 {
		time.Sleep(time.Millisecond)
	}
	second := NewClient("the right key", callTimeout)
	if err := second.Call(t.Context(), address, "echo", echo{}, nil); err != nil {
		t.Errorf("call after the first connection was closed: got error %v, want none", err)
	}
}

// TestMaxConcurrentRequests makes more concurrent calls on one connection than the
// server serves at the same time. The others must wait and succeed too.
func TestMaxConcurrentRequests(t *testing.T) {
	s := NewServer("the right key")
	var running, maxRunning atomic.Int64
	Handle(s, "slow", func(context.Context, echo) (echo, error) {
		current := running.Add(1)
		defer running.Add(-1)
		for old := maxRunning.Load(); current > old && !maxRunning.CompareAndSwap(old, current); old = maxRunning.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		return echo{}, nil
	})
	address := serve(t, s)
	c := NewClient("the right key", 30*time.Second)
	var group errgroup.Group
	for range 4 * maxConcurrentRequests {
		group.Go(func() error { return c.Call(t.Context(), address, "slow", echo{}, nil) })
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if maxRunning.Load() > maxConcurrentRequests {
		t.Errorf("%d concurrent requests, want at most %d", maxRunning.Load(), maxConcurrentRequests)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	address := serveEcho(t, "the right key")
	c := NewClient("the right key", callTimeout)
	c.idleTimeout = 10 * time.Millisecond
	if err := c.Call(t.Context(), address, "echo", echo{}, nil); err != nil {
		t.Fatal(err)
	}
	connected := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) > 0
	}
	for connected() {
		time.Sleep(time.Millisecond)
	}
	if err := c.Call(t.Context(), address, "echo", echo{}, nil); err != nil {
		t.Errorf("call after the idle connection was closed: got error %v, want none", err)
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, text := range []string{"a", strings.Repeat("b", 4*minCompressBytes), strings.Repeat("c", MaxFrameBytes/2)} {
		valid, err := EncodeFrame(echo{Text: text})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(valid)
	}
	f.Add([]byte{0, 0, 0, 9, '{'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0, 0, 0, 64}, bytes.Repeat([]byte{'['}, 64)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := readFrame(bytes.NewReader(data), MaxFrameBytes)
		if err == nil && (len(frame) > MaxFrameBytes || jsonDepth(frame) > maxJSONDepth) {
			t.Errorf("readFrame accepted a frame of %d bytes with depth %d, over a limit", len(frame), jsonDepth(frame))
		}
	})
}

// TestPanicFailsOneCall guards against a message that ends the process.
func TestPanicFailsOneCall(t *testing.T) {
	s := NewServer("the right key")
	Handle(s, "panic", func(_ context.Context, e echo) (echo, error) { panic(e.Text) })
	c := NewClient("the right key", callTimeout)
	address := serve(t, s)
	if err := c.Call(t.Context(), address, "panic", echo{Text: "odd"}, nil); err == nil || !strings.Contains(err.Error(), "panic: odd") {
		t.Errorf("error %v, want that of the panic", err)
	}
	if err := c.Call(t.Context(), address, "echo", echo{Text: "a"}, nil); err != nil {
		t.Errorf("call after the panic: %v", err)
	}
}
