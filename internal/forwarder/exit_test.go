package forwarder_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// checkExit checks the process at an address for at most limit.
func checkExit(address string, ping bool, limit time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	check := forwarder.ExitCheck{
		Address: address,
		Ping:    ping,
	}
	return check.Exited(ctx)
}

const longCheck = time.Minute

func TestExitedAfterListenerIsClosed(t *testing.T) {
	ln := listen(t)
	_ = ln.Close()
	if exited, err := checkExit(ln.Addr().String(), true, longCheck); !exited || err != nil {
		t.Errorf("Exited() = %t, %v; want true", exited, err)
	}
}

// TestExitedWhileExiting closes the listening socket after the check has connected.
// The connection is not accepted by the process, so the kernel resets it.
func TestExitedWhileExiting(t *testing.T) {
	for _, ping := range []bool{false, true} {
		ln := listen(t)
		connected := make(chan net.Conn, 1)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			_ = ln.Close()
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			connected <- conn
		}()
		if exited, err := checkExit(ln.Addr().String(), ping, longCheck); !exited || err != nil {
			t.Errorf("ping %t: Exited() = %t, %v; want true", ping, exited, err)
		}
		<-connected
	}
}

func TestRunningProcessHasNotExited(t *testing.T) {
	target := httptest.NewServer(http.NotFoundHandler())
	defer target.Close()
	if exited, err := checkExit(target.Listener.Addr().String(), true, longCheck); exited || err != nil {
		t.Errorf("Exited() = %t, %v; want false", exited, err)
	}
}

// TestRunningProcessMayResetConnections resets the first connection, as a process
// does that has too many.
func TestRunningProcessMayResetConnections(t *testing.T) {
	ln := listen(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		_ = http.Serve(ln, http.NotFoundHandler())
	}()
	if exited, err := checkExit(ln.Addr().String(), true, longCheck); exited || err != nil {
		t.Errorf("Exited() = %t, %v; want false", exited, err)
	}
}

func TestSilentProcessIsUnknown(t *testing.T) {
	ln := listen(t)
	for _, ping := range []bool{false, true} {
		exited, err := checkExit(ln.Addr().String(), ping, 50*time.Millisecond)
		if exited || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("ping %t: Exited() = %t, %v; want false, %v", ping, exited, err, context.DeadlineExceeded)
		}
	}
}
