package tester

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

// operatorStatus is the JSON output of coltsfoot status.
type operatorStatus struct {
	Daemon      server.Status   `json:"daemon"`
	DataCentres []server.Survey `json:"dcs"`
}

// inAgreement reports whether the daemon's survey shows the given number of daemons,
// all at the daemon's revision and digest, and none behind, diverged or silent.
func (s operatorStatus) inAgreement(daemons int) bool {
	count := 0
	for _, dc := range s.DataCentres {
		count += dc.Daemons
		if dc.Behind+dc.Diverged+dc.Silent > 0 {
			return false
		}
		if dc.Revision != s.Daemon.Revision || dc.Digest != s.Daemon.Digest {
			return false
		}
	}
	return s.Daemon.Ready && count == daemons
}

// waitForAgreement waits until coltsfoot status shows at every daemon that all
// daemons are at the same revision, which is at least minRevision. It returns the
// revision.
func waitForAgreement(t *testing.T, vms []*vm, minRevision uint64) uint64 {
	t.Helper()
	var last operatorStatus
	eventually(t, fmt.Sprintf("all daemons are at the same revision, at least %d", minRevision), func() bool {
		var first operatorStatus
		for i, v := range vms {
			out, err := coltsfoot(t, "status", "--json", "--daemon", v.settings.Listen.Operator)
			last = operatorStatus{}
			if err != nil || json.Unmarshal([]byte(out), &last) != nil {
				return false
			}
			if i == 0 {
				first = last
			}
			if !last.inAgreement(len(vms)) || last.Daemon.Revision < minRevision {
				return false
			}
			if last.Daemon.Revision != first.Daemon.Revision || last.Daemon.Digest != first.Daemon.Digest {
				return false
			}
		}
		return true
	})
	return last.Daemon.Revision
}

// revisionWatcher polls the revisions of daemons and records regressions.
type revisionWatcher struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	// regressions describes each decrease of a daemon's revision.
	regressions []string
}

const revisionPollInterval = 20 * time.Millisecond

// watchRevisions starts to poll the daemons. It stops when finish is called or the
// test ends.
func watchRevisions(t *testing.T, vms ...*vm) *revisionWatcher {
	t.Helper()
	r := &revisionWatcher{stop: make(chan struct{})}
	for _, v := range vms {
		r.wg.Go(func() { r.watch(t, v) })
	}
	return r
}

func (r *revisionWatcher) watch(t *testing.T, v *vm) {
	var highest uint64
	for {
		select {
		case <-r.stop:
			return
		case <-t.Context().Done():
			return
		case <-time.After(revisionPollInterval):
		}
		s, ok := v.status()
		if !ok || !s.Ready {
			continue
		}
		if s.Revision < highest {
			r.mu.Lock()
			r.regressions = append(r.regressions, fmt.Sprintf("%s went from revision %d to %d", v.settings.Name, highest, s.Revision))
			r.mu.Unlock()
		}
		highest = max(highest, s.Revision)
	}
}

// finish stops the polling and reports the regressions as test errors.
func (r *revisionWatcher) finish(t *testing.T) {
	t.Helper()
	close(r.stop)
	r.wg.Wait()
	for _, regression := range r.regressions {
		t.Error(regression)
	}
}

// exitCode returns a command's exit code from its error, or -1 if it has none.
func exitCode(err error) int {
	var exitErr *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exitErr):
		return exitErr.ExitCode()
	default:
		return -1
	}
}

// newServiceFolder returns a new folder with an operator file. The file declares a
// service with one version, for which the tests start no targets.
func newServiceFolder(t *testing.T, service, version string) string {
	t.Helper()
	folder := t.TempDir()
	file := fmt.Sprintf(`{"name":%q,"versions":[{"name":%q,"share":100}],"routes":[{"path":"/%s"}]}`, service, version, service)
	if err := os.WriteFile(filepath.Join(folder, service+".json"), []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	return folder
}

// mustPublish publishes a folder and returns the resulting revision.
func mustPublish(t *testing.T, platform, folder string) uint64 {
	t.Helper()
	out, err := coltsfoot(t, "publish", "--json", "--platform", "http://"+platform, folder)
	if err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	return parsePublishOutput(t, out).Revision
}

// publishOutput is the JSON output of coltsfoot publish.
type publishOutput struct {
	Revision  uint64 `json:"rev"`
	Unchanged bool   `json:"unchanged"`
}

func parsePublishOutput(t *testing.T, out string) publishOutput {
	t.Helper()
	var p publishOutput
	if err := json.Unmarshal([]byte(out), &p); err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	return p
}
