package carrier_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
