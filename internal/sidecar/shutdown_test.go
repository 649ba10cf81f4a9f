package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestBusyConnectionsCountsUnreadRequest guards against an exit with an attempt unread.
func TestBusyConnectionsCountsUnreadRequest(t *testing.T) {
	var b busyConnections
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
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	b.update(conn, http.StateNew)
	b.update(conn, http.StateActive)
	b.update(conn, http.StateIdle)
	if n := b.count(); n != 0 {
		t.Errorf("%d busy connections, want 0 while idle", n)
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); b.count() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d busy connections, want 1 with a request that has arrived", b.count())
		}
	}
	b.update(conn, http.StateClosed)
	if n := b.count(); n != 0 {
		t.Errorf("%d busy connections, want 0 after the close", n)
	}
}
