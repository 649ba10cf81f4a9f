package soaker_test

import (
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

// TestNewLinkWaitsForAddress listens on an address that another socket holds for
// 100 ms. A child process holds inherited sockets like this until it executes
// its program.
func TestNewLinkWaitsForAddress(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = occupied.Close() })
	l, err := soaker.NewLink(occupied.Addr().String(), "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
}
