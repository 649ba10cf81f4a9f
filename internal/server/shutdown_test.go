package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// TestShutdownServesRequestOnKeptConnection guards against a close with a request unread.
func TestShutdownServesRequestOnKeptConnection(t *testing.T) {
	settings := loader.Settings{
		Name: "vm-0",
		DC:   "a",
		Key:  "a key for tests only",
	}
	d := New(Options{
		Settings: settings.WithDefaults(),
		Platform: emulator.NewPlatform(timekeeper.System{}).Client(),
		Clock:    timekeeper.System{},
		Log:      NewLog(io.Discard, loader.Log{}),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan error, 1)
	serve := d.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	go func() { served <- serve(ctx, ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	send := func(data string) {
		if _, err := io.WriteString(conn, data); err != nil {
			t.Fatal(err)
		}
	}
	r := bufio.NewReader(conn)
	respond := func(closed bool) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusNoContent || resp.Close != closed {
			t.Errorf("status %d, closed %v, want 204 and %v", resp.StatusCode, resp.Close, closed)
		}
	}
	send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	respond(false)
	send("GET / HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	stop()
	time.Sleep(100 * time.Millisecond)
	send("Host: a.example\r\n\r\n")
	respond(true)
	if err := <-served; err != nil {
		t.Error(err)
	}
}
