package soaker

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildDaemon builds the daemon with the race detector and returns its path.
func BuildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "coltsfootd")
	out, err := exec.Command("go", "build", "-race", "-o", program, "github.com/coltsfootlane/coltsfootlane/cmd/coltsfootd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, bytes.TrimSpace(out))
	}
	return program
}
