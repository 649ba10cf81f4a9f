package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// brokenConn is a connection that fails after a number of written bytes.
type brokenConn struct {
	net.Conn
	limit int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n := min(len(p), c.limit)
	c.limit -= n
	if n < len(p) {
		_ = c.Close()
		return n, errors.New("injected failure")
	}
	return n, nil
}

func TestResponseBodyEndsOnce(t *testing.T) {
	errFailed := errors.New("injected failure")
	tests := map[string]struct {
		body io.Reader
		read bool
		want error
	}{
		"read to its end":   {strings.NewReader("whole"), true, io.EOF},
		"failed":            {iotest.ErrReader(errFailed), true, errFailed},
		"closed before end": {strings.NewReader("whole"), false, errUnread},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var ends []error
			b := &responseBody{
				ReadCloser: io.NopCloser(tt.body),
				onEnd:      func(err error) { ends = append(ends, err) },
			}
			if len(ends) > 0 {
				t.Error("onEnd was called before the body was read, want no call")
			}
			if tt.read {
				_, _ = io.Copy(io.Discard, b)
			}
			_ = b.Close()
			if len(ends) != 1 || ends[0] != tt.want {
				t.Errorf("onEnd was called with %v, want one call with %v", ends, tt.want)
			}
		})
	}
}

func TestNothingWrittenIsNotRun(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	for limit, want := range map[int]classifier.Verdict{0: classifier.NotRun, 1: classifier.MayHaveRun} {
		tr := NewTransport(1)
		dial := tr.DialContext
		tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := conn.(*countingConn)
			c.Conn = &brokenConn{
				Conn:  c.Conn,
				limit: limit,
			}
			return c, nil
		}
		req, _ := http.NewRequestWithContext(t.Context(), "POST", srv.URL, &Body{Reader: strings.NewReader("x")})
		if _, err := roundTripFramed(tr, req, nil); classifier.VerdictOf(err) != want {
			t.Errorf("connection broken after %d bytes: error %v, want verdict %v", limit, err, want)
		}
	}
}

// TestInvalidStatusIsAFailure guards against bytes that are passed on as a response although
// they are none in the protocol.
func TestInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Broken\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
		}()
		req, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+ln.Addr().String(), &Body{Reader: strings.NewReader("x")})
		if _, err := roundTripFramed(NewTransport(1), req, nil); err == nil || classifier.VerdictOf(err) != classifier.MayHaveRun {
			t.Errorf("status %s: got the error %v, want one with the verdict MayHaveRun", status, err)
		}
		_ = ln.Close()
	}
}
