package soaker_test

import (
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

// TestAddressHeldBriefly waits for an address that a socket still has, as one
// does that a process being started has taken over.
func TestAddressHeldBriefly(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = held.Close() })
	l, err := soaker.NewLink(held.Addr().String(), "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
}
