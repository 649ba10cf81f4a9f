package tester

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestHangupDuringStart checks that SIGHUP does not end a daemon that is still
// reading its settings.
func TestHangupDuringStart(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := start(t, "coltsfootd", "--settings", settings)
	// Opening a FIFO for writing blocks until the daemon opens it for reading.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = pipe.Close() }()
	if err := daemon.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-daemon.done:
		t.Errorf("the daemon ended: %v", daemon.cmd.ProcessState)
	case <-time.After(300 * time.Millisecond):
	}
}
