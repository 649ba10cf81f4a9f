package emulator

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// TestClosedBefore checks that only a close before the first part of a request counts.
func TestClosedBefore(t *testing.T) {
	for name, test := range map[string]struct {
		earlier, begun, closed, unwritten bool
		want                              bool
	}{
		"before the first request":  {want: true},
		"before the second request": {earlier: true, want: true},
		"after a part was written":  {begun: true},
		"in the second request":     {earlier: true, begun: true},
		"noticed by the transport":  {earlier: true, closed: true, want: true},
		"before any write":          {earlier: true, unwritten: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			server, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			c := &clientConn{Conn: conn}
			write := func(data string) {
				if _, err := io.WriteString(c, data); err != nil {
					t.Fatal(err)
				}
			}
			if test.earlier {
				c.begin()
				write("one")
			}
			c.begin()
			if test.begun {
				write("header")
			}
			if err := server.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
				if _, err := forwarder.Peek(conn, make([]byte, 1)); errors.Is(err, io.EOF) {
					break
				}
				if time.Now().After(end) {
					t.Fatal("no close has arrived")
				}
			}
			if test.closed {
				_ = c.Close()
			}
			if !test.unwritten {
				_, _ = io.WriteString(c, "two")
			}
			if got := c.wroteNothing(); got != test.want {
				t.Errorf("wrote nothing: %v, want %v", got, test.want)
			}
		})
	}
}
