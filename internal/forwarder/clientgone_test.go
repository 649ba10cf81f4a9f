package forwarder_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// TestClientGone checks a connection on which the server has not read the close.
func TestClientGone(t *testing.T) {
	for name, test := range map[string]struct {
		action func(client *net.TCPConn)
		want   bool
	}{
		"open":      {action: func(*net.TCPConn) {}},
		"more data": {action: func(c *net.TCPConn) { _, _ = io.WriteString(c, "next") }},
		"closed":    {action: func(c *net.TCPConn) { _ = c.Close() }, want: true},
		"reset": {action: func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			server, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			ctx := forwarder.WithConn(context.Background(), server)
			if forwarder.ClientGone(ctx) {
				t.Error("ClientGone() = true on an open connection, want false")
			}
			test.action(client.(*net.TCPConn))
			got := false
			for range 200 { // the close arrives asynchronously
				if got = forwarder.ClientGone(ctx); got {
					break
				}
				time.Sleep(time.Millisecond)
			}
			if got != test.want {
				t.Errorf("ClientGone() = %v, want %v", got, test.want)
			}
		})
	}
}

func TestClientGoneByContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if forwarder.ClientGone(ctx) {
		t.Error("ClientGone() = true without a connection, want false")
	}
	cancel()
	if !forwarder.ClientGone(ctx) {
		t.Error("ClientGone() = false after the context was cancelled, want true")
	}
}
