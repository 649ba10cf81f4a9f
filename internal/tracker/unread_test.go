package tracker

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestBusyCountsUnreadRequest guards against an exit with an attempt unread.
func TestBusyCountsUnreadRequest(t *testing.T) {
	var b Tracker
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
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := &connection{TCPConn: accepted.(*net.TCPConn)}
	defer func() { _ = conn.Close() }()
	b.addConnection(conn)
	b.update(conn, http.StateNew)
	b.update(conn, http.StateActive)
	b.update(conn, http.StateIdle)
	if n := b.Busy(); n != 0 {
		t.Errorf("%d busy connections, want 0 while idle", n)
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); b.Busy() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d busy connections, want 1 with a request that has arrived", b.Busy())
		}
	}
	b.update(conn, http.StateClosed)
	if n := b.Busy(); n != 0 {
		t.Errorf("%d busy connections, want 0 after the close", n)
	}
}
