package carrier_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// TestEndlessResponse checks that an attempt ends before its deadline if the other
// daemon's response does not end, and that the connection is closed.
func TestEndlessResponse(t *testing.T) {
	for name, test := range map[string]struct {
		start, block string
	}{
		"interim responses": {block: "HTTP/1.1 102 Processing\r\n\r\n"},
		"head":              {start: "HTTP/1.1 200 OK\r\nColtsfoot-Status: 200\r\n", block: strings.Repeat("X: x\r\n", 200)},
		"body":              {start: "HTTP/1.1 200 OK\r\nColtsfoot-Status: 200\r\n\r\n", block: strings.Repeat("x", 1024)},
		"long body":         {start: "HTTP/1.1 200 OK\r\nColtsfoot-Status: 200\r\nContent-Length: 1000000000000\r\n\r\n", block: strings.Repeat("x", 1024)},
	} {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err = io.WriteString(conn, test.start)
				for err == nil {
					_, err = io.WriteString(conn, test.block)
					time.Sleep(10 * time.Microsecond)
				}
			}()
			a := attempt(matcher.Idempotent, "")
			a.Deadline = time.Now().Add(10 * time.Second)
			c := newClient()
			c.Memory = &carrier.Memory{Limit: 1 << 20}
			resp, err := c.Send(t.Context(), ln.Addr().String(), a)
			if err == nil || classifier.VerdictOf(err) != classifier.MayHaveRun {
				t.Errorf("response %+v, error %v, want a failure that may have run", resp, err)
			}
			if time.Until(a.Deadline) <= 0 {
				t.Error("the attempt ended at its deadline, want it before")
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

// TestTricklingBody checks that the server stops reading an attempt's body at the
// attempt's deadline, so that a body that never arrives does not hold a slot.
func TestTricklingBody(t *testing.T) {
	for name, header := range map[string]string{
		"sent at once":   "Content-Length: 1000000\r\n",
		"sent in chunks": "Transfer-Encoding: chunked\r\n",
		"asked for":      "Content-Length: 1000000\r\nExpect: 100-continue\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(ctx context.Context, a *carrier.Attempt) (*carrier.TargetResponse, error) {
				if err := carrier.ReadBody(ctx); err != nil {
					return nil, classifier.NewFailure(classifier.NotRun, "body broke off", err)
				}
				t.Errorf("body of %d bytes, want an error", len(a.Body))
				return &carrier.TargetResponse{Status: 200}, nil
			})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nColtsfoot-Key: "+key+"\r\nColtsfoot-Left: 300000\r\n"+header+"\r\n")
			go func() {
				for {
					if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			start := time.Now()
			_ = conn.SetReadDeadline(start.Add(10 * time.Second))
			if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("the connection was not closed")
			}
			if elapsed := time.Since(start); elapsed > 5*time.Second {
				t.Errorf("the connection was closed after %v, want the deadline of 300ms", elapsed)
			}
		})
	}
}
