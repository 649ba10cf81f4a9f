package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// endlessTarget accepts connections and answers each request with start and then with block
// again and again, until the connection is closed. It sends to closed then.
func endlessTarget(t *testing.T, start, block string, pause time.Duration) (address string, closed <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	ends := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = io.WriteString(conn, block)
					time.Sleep(pause)
				}
				ends <- struct{}{}
			}()
		}
	}()
	return ln.Addr().String(), ends
}

// TestEndlessTargetResponse guards against a daemon that keeps the bytes which a faulty target
// sends without end, or that waits for their end. The route's timeout is 200 ms, and a daemon
// has 128 MB.
func TestEndlessTargetResponse(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		maxBytes = 128 << 20
	)
	runtime.GC() // earlier tests have used large buffers
	stop := make(chan struct{})
	peak := make(chan uint64, 1)
	go func() { peak <- maxHeap(stop) }()
	for name, test := range map[string]struct{ start, block string }{
		"noise":           {"", strings.Repeat("\x00\x01", 512)},
		"status line":     {"HTTP/1.1 200 O", strings.Repeat("K", 1024)},
		"header":          {ok + "X: ", strings.Repeat("x", 1024)},
		"headers":         {ok, strings.Repeat("X: x\r\n", 200)},
		"interim":         {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)},
		"body":            {ok + "Connection: close\r\n\r\n", strings.Repeat("x", 1024)},
		"long body":       {ok + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1024)},
		"chunks":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;x", 400)},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", strings.Repeat("x", 1024)},
		"trailers":        {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: x\r\n", 200)},
	} {
		for pace, pause := range map[string]time.Duration{"fast": 0, "trickled": 20 * time.Millisecond} {
			t.Run(name+", "+pace, func(t *testing.T) {
				block := test.block
				if pause > 0 {
					block = block[:min(8, len(block))]
				}
				address, closed := endlessTarget(t, test.start, block, pause)
				p := newTestPath(t)
				p.addTarget(t, address)
				start := time.Now()
				resp, err := http.Get(p.url + "/hurry")
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				if err == nil && resp.StatusCode < 500 {
					t.Errorf("status %d, want a failure", resp.StatusCode)
				}
				if took := time.Since(start); took > 1200*time.Millisecond {
					t.Errorf("the call ended after %v, want at most a second after its timeout of 200ms", took)
				}
				waitFor(t, "the connection is closed", closed)
			})
		}
	}
	close(stop)
	if most := <-peak; most > maxBytes {
		t.Errorf("the heap reached %d bytes, want at most %d", most, maxBytes)
	}
}

// TestCancellationAtDeadlineIsFailure guards against a target that counts as sound although it
// lets its time run out: the caller's daemon cancels the request at the same moment.
func TestCancellationAtDeadlineIsFailure(t *testing.T) {
	const timeout = time.Second
	for name, test := range map[string]struct {
		cancelAfter time.Duration
		failed      bool
	}{
		"early":           {cancelAfter: timeout / 5, failed: false},
		"at the deadline": {cancelAfter: timeout * 19 / 20, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := endlessTarget(t, "HTTP/1.1 200 OK\r\n", "X: x\r\n", 20*time.Millisecond)
			p := newTestPath(t)
			p.addTarget(t, address)
			ctx, cancel := context.WithTimeout(t.Context(), test.cancelAfter)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.members[0].Admit+"/look", nil)
			if err != nil {
				t.Fatal(err)
			}
			for header, value := range map[string]string{
				forwarder.KeyHeader:     testKey,
				forwarder.ServiceHeader: "renewal",
				forwarder.VersionHeader: "v1",
				forwarder.TimeoutHeader: strconv.Itoa(int(timeout.Milliseconds())),
			} {
				r.Header.Set(header, value)
			}
			if resp, err := http.DefaultClient.Do(r); err == nil {
				_ = resp.Body.Close()
				t.Fatalf("status %d, want a cancelled request", resp.StatusCode)
			}
			select {
			case o := <-p.outcomes:
				if o.Failed != test.failed {
					t.Errorf("outcome %+v, want failed: %v", o, test.failed)
				}
			case <-time.After(maxWait):
				t.Fatal("no outcome")
			}
		})
	}
}
