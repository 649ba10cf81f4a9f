package deliverer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// writeEndlessly writes block until the connection is closed, with a pause after
// each block, and returns the time of the close.
func writeEndlessly(conn net.Conn, block string, pause time.Duration) time.Time {
	for {
		if _, err := io.WriteString(conn, block); err != nil {
			return time.Now()
		}
		time.Sleep(pause)
	}
}

// endlessResponse is a response that never ends. It begins with start, and block
// repeats.
type endlessResponse struct {
	start   func(r *http.Request) string
	block   string
	verdict classifier.Verdict
}

func text(s string) func(*http.Request) string {
	return func(*http.Request) string { return s }
}

func okHead(extraHeaders string) func(*http.Request) string {
	return func(r *http.Request) string { return responseHead(r, "200 OK", extraHeaders) }
}

func lastChunk(trailer string) func(*http.Request) string {
	head := okHead("Transfer-Encoding: chunked\r\n")
	return func(r *http.Request) string { return head(r) + "0\r\n" + trailer }
}

var endlessResponses = map[string]endlessResponse{
	"noise":           {start: text(""), block: strings.Repeat("\x00\x01", 512), verdict: classifier.MayHaveRun},
	"status line":     {start: text("HTTP/1.1 200 O"), block: strings.Repeat("K", 1024), verdict: classifier.MayHaveRun},
	"header":          {start: text("HTTP/1.1 200 OK\r\nX: "), block: strings.Repeat("x", 1024), verdict: classifier.MayHaveRun},
	"headers":         {start: text("HTTP/1.1 200 OK\r\n"), block: strings.Repeat("X: x\r\n", 200), verdict: classifier.MayHaveRun},
	"interim":         {start: text(""), block: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40), verdict: classifier.MayHaveRun},
	"body":            {start: okHead("Connection: close\r\n"), block: strings.Repeat("x", 1024), verdict: classifier.Ran},
	"long body":       {start: okHead("Content-Length: 1000000000000\r\n"), block: strings.Repeat("x", 1024), verdict: classifier.Ran},
	"chunks":          {start: okHead("Transfer-Encoding: chunked\r\n"), block: "400\r\n" + strings.Repeat("x", 1024) + "\r\n", verdict: classifier.Ran},
	"chunk extension": {start: okHead("Transfer-Encoding: chunked\r\n"), block: strings.Repeat("1;x", 400), verdict: classifier.Ran},
	"chunk overhead":  {start: okHead("Transfer-Encoding: chunked\r\n"), block: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", verdict: classifier.Ran},
	"trailer":         {start: lastChunk("X: "), block: strings.Repeat("x", 1024), verdict: classifier.Ran},
	"trailers":        {start: lastChunk(""), block: strings.Repeat("X: x\r\n", 200), verdict: classifier.Ran},
}

// Bounds of a response's head and body.
const (
	maxHeadBytes = 64 << 10
	maxBodyBytes = 256 << 10
)

// TestEndlessResponse checks that an attempt ends soon although its response does
// not, and that the connection is closed.
func TestEndlessResponse(t *testing.T) {
	for name, test := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			written := 0
			r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
				_, _ = io.WriteString(conn, test.start(request))
				for {
					n, err := io.WriteString(conn, test.block)
					written += n
					if err != nil {
						break
					}
					// The pause keeps the bytes out of the socket's buffers.
					time.Sleep(100 * time.Microsecond)
				}
				closed <- time.Now()
				return false
			})
			r.Memory = &carrier.Memory{Limit: maxBodyBytes}
			resp, err := r.deliver("id-1")
			ended := time.Now()
			if f := carrier.NewFailure(err); err == nil || f.Verdict != test.verdict || !f.Reported || !f.Arrived {
				t.Fatalf("response %+v, error %v, want a failure with verdict %v, reported and arrived", resp, err, test.verdict)
			}
			if result := r.results[0]; result.TimedOut || !result.TargetFailed() {
				t.Errorf("result %+v, want a failure of the target before the deadline", result)
			}
			select {
			case at := <-closed:
				if at.Sub(ended) > time.Second {
					t.Errorf("connection closed %v after the attempt, want at most 1s", at.Sub(ended))
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the connection was not closed")
			}
			if written > 8*maxHeadBytes {
				t.Errorf("the target could send %d bytes, want at most %d", written, 8*maxHeadBytes)
			}
			if n := r.Gate.Running(); n != 0 {
				t.Errorf("%d slots occupied after the attempt, want 0", n)
			}
		})
	}
}

// TestTrickle checks that responses that arrive slowly and never end are cut off
// at the deadline.
func TestTrickle(t *testing.T) {
	responses := map[string]endlessResponse{
		"body of a stated length": {start: okHead("Content-Length: 1000000\r\n"), block: "x"},
		"one-byte chunks":         {start: okHead("Transfer-Encoding: chunked\r\n"), block: "1\r\nx\r\n"},
	}
	for name, test := range endlessResponses {
		responses[name] = endlessResponse{start: test.start, block: test.block[:min(8, len(test.block))]}
	}
	for name, test := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan time.Time, 1)
			r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
				_, _ = io.WriteString(conn, test.start(request))
				closed <- writeEndlessly(conn, test.block, 50*time.Millisecond)
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			start := time.Now()
			resp, err := r.deliverContext(ctx, "id-1")
			if err == nil || classifier.VerdictOf(err) == classifier.NotRun {
				t.Errorf("response %+v, error %v, want a failure that may have run", resp, err)
			}
			if elapsed := time.Since(start); elapsed > 2*time.Second {
				t.Errorf("attempt ended after %v, want the deadline of 300ms", elapsed)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection was not closed")
			}
			if n := r.Gate.Running(); n != 0 {
				t.Errorf("%d slots occupied after the attempt, want 0", n)
			}
		})
	}
}

// TestBytesAfterResponse sends bytes without end after a complete response, at once
// or when the connection is idle. Later requests must succeed on other connections.
func TestBytesAfterResponse(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "while idle": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan time.Time, 20)
			r := newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
				response := responseHead(request, "200 OK", "Content-Length: 4\r\n") + "good"
				if pause > 0 {
					_, _ = io.WriteString(conn, response)
					time.Sleep(pause)
					response = ""
				}
				_, _ = io.WriteString(conn, response+"noise")
				closed <- writeEndlessly(conn, strings.Repeat("noise", 200), 0)
				return false
			})
			for i := range 20 {
				resp, err := r.deliver("id-1")
				if err != nil || string(resp.Body) != "good" {
					t.Errorf("request %d: response %+v, error %v, want success", i, resp, err)
				}
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Fatal("the connection was not closed")
				}
			}
		})
	}
}
