package linker

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// endlessFrames are bytes that a peer sends without end: a start, and a block that
// repeats.
func endlessFrames(t *testing.T) map[string]struct{ start, block []byte } {
	response, err := EncodeFrame(map[string]any{"jsonrpc": "2.0", "id": 99, "result": strings.Repeat("x", 400)})
	if err != nil {
		t.Fatal(err)
	}
	return map[string]struct{ start, block []byte }{
		"noise":     {block: []byte(strings.Repeat("\xfe\x01", 512))},
		"responses": {block: response},
		"frame":     {start: binary.BigEndian.AppendUint32(nil, maxHelloBytes), block: []byte(" ")},
		"long":      {start: binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1), block: []byte(" ")},
	}
}

// sendUntilClosed sends a block again and again until the peer closes the
// connection.
func sendUntilClosed(t *testing.T, c net.Conn, block []byte) {
	t.Helper()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
	t.Error("the peer did not close the connection")
}

// TestEndlessBytesToServer checks that a server closes the connection of a peer that
// is not authenticated and sends bytes without end.
func TestEndlessBytesToServer(t *testing.T) {
	for name, test := range endlessFrames(t) {
		t.Run(name, func(t *testing.T) {
			s := NewServer("the right key")
			s.helloTimeout = 200 * time.Millisecond
			address := serve(t, s)
			c := dial(t, address)
			_, _ = c.Write(test.start)
			start := time.Now()
			sendUntilClosed(t, c, test.block)
			if elapsed := time.Since(start); elapsed > 5*time.Second {
				t.Errorf("the connection was closed after %v, want the timeout of 200ms", elapsed)
			}
			if n := s.ReceivedBytes.Load(); n > 1<<20 {
				t.Errorf("%d bytes received, want at most 1 MiB", n)
			}
		})
	}
}

// TestEndlessBytesToClient checks that a call to a peer that sends bytes without end
// fails within its timeout, and that the connection is closed.
func TestEndlessBytesToClient(t *testing.T) {
	for name, test := range endlessFrames(t) {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write(test.start)
				sendUntilClosed(t, conn, test.block)
			}()
			c := NewClient("the right key", 300*time.Millisecond)
			start := time.Now()
			if err := c.Call(t.Context(), ln.Addr().String(), "echo", echo{}, nil); err == nil {
				t.Error("call succeeded, want an error")
			}
			if elapsed := time.Since(start); elapsed > 5*time.Second {
				t.Errorf("call failed after %v, want the timeout of 300ms", elapsed)
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}
