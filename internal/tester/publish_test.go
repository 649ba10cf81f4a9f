package tester

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
)

// writeService writes an operator file that declares a service with one version.
func writeService(t *testing.T, dir, name, version string) {
	t.Helper()
	file := fmt.Sprintf(`{"name":%q,"versions":[{"name":%q,"share":100}],"routes":[{"path":"/%s"}]}`, name, version, name)
	if err := os.WriteFile(filepath.Join(dir, name+".json"), []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestPublishCommand checks the exit codes and output of coltsfoot publish, and of
// coltsfoot outcome for another operator's entry.
func TestPublishCommand(t *testing.T) {
	platform := "http://" + startPlatform(t)
	dir := t.TempDir()
	publish := func(code int, want string, args ...string) {
		t.Helper()
		out, err := coltsfoot(t, append([]string{"publish", "--platform", platform, dir}, args...)...)
		var exitErr *exec.ExitError
		got := 0
		if errors.As(err, &exitErr) {
			got = exitErr.ExitCode()
		}
		if got != code || !strings.Contains(out, want) {
			t.Errorf("publish %v: exit %d, %s; want %d, %s", args, got, out, code, want)
		}
	}
	writeService(t, dir, "a", "v1")
	publish(0, "revision 1 committed: 1 services changed, 0 removed")
	publish(0, "revision 1 stands: nothing differs")
	publish(0, `"unchanged":true`, "--json")
	writeService(t, dir, "a", "v2")
	publish(0, `"rev":2`, "--json")
	writeService(t, dir, "a", "v3")
	publish(4, "another operator meanwhile: a", "--base", "1")
	writeService(t, dir, "b", "v1")
	publish(0, "revision 3 committed: 2 services changed", "--base", "2")
	if err := os.Remove(filepath.Join(dir, "a.json")); err != nil {
		t.Fatal(err)
	}
	publish(0, "nothing differs")
	publish(0, "revision 4 committed: 0 services changed, 1 removed", "--prune")
	expired := `{"name":"b","versions":[{"name":"v1","share":100}],"routes":[{"path":"/b"}],"move":{"to":"v2","by":"2020-01-01T00:00:00Z"}}`
	if err := os.WriteFile(filepath.Join(dir, "b.json"), []byte(expired), 0o600); err != nil {
		t.Fatal(err)
	}
	publish(3, "b.json: service b: move by 2020-01-01T00:00:00Z, which is over")
	out, err := coltsfoot(t, "outcome", "--platform", platform, "4.not-mine")
	if err == nil || !strings.Contains(out, "committed by another operator") {
		t.Errorf("outcome of another operator's entry: got error %v, output %s", err, out)
	}
}

// TestDaemonWritesSnapshot checks that a daemon writes a snapshot of the log after
// archiver.EntriesPerSnapshot entries, and that publish works with the snapshot.
func TestDaemonWritesSnapshot(t *testing.T) {
	platform := startPlatform(t)
	startVM(t, "a-1", "a", platform)
	dir := t.TempDir()
	for i := range archiver.EntriesPerSnapshot {
		writeService(t, dir, "a", fmt.Sprintf("v%d", i+1))
		if out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, dir); err != nil {
			t.Fatalf("publish: %v %s", err, out)
		}
	}
	eventually(t, "the key base holds a snapshot at archiver.EntriesPerSnapshot or a later revision", func() bool {
		resp, err := http.Get("http://" + platform + "/v1/keys/base")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		var m archiver.Manifest
		return err == nil && json.Unmarshal(body, &m) == nil && m.Revision >= archiver.EntriesPerSnapshot
	})
	out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, dir)
	if err != nil || !strings.Contains(out, fmt.Sprintf("revision %d stands", archiver.EntriesPerSnapshot)) {
		t.Errorf("publish with a snapshot: got error %v, output %s", err, out)
	}
}
