package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// listen returns a listener whose connections the test reads itself.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// accept returns the next connection of a listener.
func accept(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends a request and discards the response.
func send(ctx context.Context, tr *http.Transport, ln net.Listener, body string) error {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+ln.Addr().String(), forwarder.NewBody([]byte(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	resp, err := forwarder.RoundTrip(tr, req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// startSend sends a request in the background and returns its result.
func startSend(ctx context.Context, tr *http.Transport, ln net.Listener, body string) <-chan error {
	done := make(chan error, 1)
	go func() { done <- send(ctx, tr, ln, body) }()
	return done
}

// awaitBytes waits for bytes that the test has not read.
func awaitBytes(t *testing.T, conn net.Conn) {
	t.Helper()
	for {
		n, err := forwarder.Peek(conn, make([]byte, 1))
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// readToEnd reads a connection until the peer has ended it and returns the error.
func readToEnd(t *testing.T, conn net.Conn) error {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	_, err := io.Copy(io.Discard, conn)
	return err
}

// readRequest reads a request from a connection.
func readRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		t.Fatal(err)
	}
}

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestCancelledRequestResetsItsConnection checks that a peer which has not read a
// request can drop it once the request is cancelled.
func TestCancelledRequestResetsItsConnection(t *testing.T) {
	for name, body := range map[string]string{
		"small body": "x",
		"large body": strings.Repeat("x", 32<<20),
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			tr := forwarder.NewTransport(1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := startSend(ctx, tr, ln, body)
			conn := accept(t, ln)
			awaitBytes(t, conn)
			cancel()
			if err := <-done; !errors.Is(err, context.Canceled) {
				t.Errorf("cancelled request ended with %v", err)
			}
			if err := readToEnd(t, conn); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("connection ended with %v, want %v", err, syscall.ECONNRESET)
			}
		})
	}
}

// TestCancelledRequestResetsKeptConnection checks the same on a connection that has
// carried another exchange.
func TestCancelledRequestResetsKeptConnection(t *testing.T) {
	ln := listen(t)
	tr := forwarder.NewTransport(1)
	done := startSend(t.Context(), tr, ln, "x")
	conn := accept(t, ln)
	readRequest(t, conn)
	_, _ = io.WriteString(conn, emptyResponse)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done = startSend(ctx, tr, ln, "x")
	awaitBytes(t, conn)
	cancel()
	<-done
	if err := readToEnd(t, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection ended with %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestAcknowledgedRequestIsNotReset checks that a request is cancelled by an orderly
// close once a peer has shown that it reads it, as a reset that is lost is not sent
// again.
func TestAcknowledgedRequestIsNotReset(t *testing.T) {
	ln := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	acknowledged := make(chan struct{})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			close(acknowledged)
			return nil
		},
	})
	done := startSend(ctx, forwarder.NewTransport(1), ln, "x")
	conn := accept(t, ln)
	readRequest(t, conn)
	_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
	<-acknowledged
	cancel()
	<-done
	if err := readToEnd(t, conn); err != nil {
		t.Errorf("connection ended with %v, want an orderly end", err)
	}
}

// TestIdleConnectionIsNotReset checks the close of connections without a request.
func TestIdleConnectionIsNotReset(t *testing.T) {
	for name, test := range map[string]struct {
		body, response string
		// early sends the response before the body is read.
		early bool
	}{
		"kept":           {body: "x", response: emptyResponse},
		"not kept":       {body: "x", response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		"early response": {body: strings.Repeat("x", 32<<20), response: emptyResponse, early: true},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			tr := forwarder.NewTransport(1)
			done := startSend(t.Context(), tr, ln, test.body)
			conn := accept(t, ln)
			awaitBytes(t, conn)
			if !test.early {
				readRequest(t, conn)
			}
			_, _ = io.WriteString(conn, test.response)
			if err := <-done; err != nil {
				t.Fatal(err)
			}
			tr.CloseIdleConnections()
			if err := readToEnd(t, conn); err != nil {
				t.Errorf("connection ended with %v, want an orderly end", err)
			}
		})
	}
}
