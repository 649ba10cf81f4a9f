package tester

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// journalSize returns the size in bytes of the journal of the target on VM i.
func journalSize(t *testing.T, journals string, i int) int64 {
	t.Helper()
	info, err := os.Stat(filepath.Join(journals, fmt.Sprint(i)))
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

// checkNotDisconnected reports calls whose connection broke as test errors.
func checkNotDisconnected(t *testing.T, results []result) {
	t.Helper()
	for _, r := range results {
		if r.disconnected {
			t.Errorf("%s: connection to a running daemon broke", r.id)
		}
	}
}

// waitForSuccesses waits until 20 calls in a row through the daemon succeed.
func waitForSuccesses(t *testing.T, v *vm) {
	t.Helper()
	const calls = 20
	inRow := 0
	eventually(t, v.settings.Name+": 20 calls in a row succeed", func() bool {
		status, _, err := v.call("GET", "/renewals/1", "")
		if err != nil || status != http.StatusOK {
			inRow = 0
			return false
		}
		inRow++
		return inRow >= calls
	})
}

// TestFrozenDaemon freezes a daemon under load until the others list it as dead, and
// publishes a revision meanwhile. Every call must end with a complete response or a
// correct verdict. When the daemon resumes, it must refute the status dead, apply the
// revision and serve calls.
func TestFrozenDaemon(t *testing.T) {
	journals := t.TempDir()
	platform := startPlatform(t)
	vms, _ := startServingVMs(t, platform, journals, "a", "a", "a")
	frozen, others := vms[1], []*vm{vms[0], vms[2]}
	base := waitForAgreement(t, vms, 1)
	watcher := watchRevisions(t, vms...)
	l := startLoad(false, others...)
	waitUnderLoad()
	frozen.daemon.signal(t, syscall.SIGSTOP)
	for _, v := range others {
		eventually(t, v.settings.Name+" lists the frozen daemon as dead", func() bool {
			return v.memberStatus(frozen.settings.Name) == prober.Dead
		})
	}
	newRevision := mustPublish(t, platform, newServiceFolder(t, "unserved", "v1"))
	if newRevision <= base {
		t.Errorf("published revision %d, want one later than %d", newRevision, base)
	}
	waitForRevision(t, others, newRevision)
	waitUnderLoad()
	frozen.daemon.signal(t, syscall.SIGCONT)
	for _, v := range others {
		eventually(t, v.settings.Name+" lists the frozen daemon as alive again", func() bool {
			return v.memberStatus(frozen.settings.Name) == prober.Alive
		})
	}
	waitForAgreement(t, vms, newRevision)
	waitForSuccesses(t, frozen)
	before := journalSize(t, journals, 1)
	eventually(t, "the frozen daemon's target runs calls from the other daemons", func() bool {
		return journalSize(t, journals, 1) > before
	})
	results := l.finish()
	checkResults(t, results, countRuns(t, journals))
	checkNotDisconnected(t, results)
	watcher.finish(t)
}

// waitForFirstSuccess calls a starting daemon until a call succeeds. It returns the
// number of calls that were rejected before with the verdict not-run.
func waitForFirstSuccess(t *testing.T, v *vm) int {
	t.Helper()
	rejections := 0
	eventually(t, v.settings.Name+": a call succeeds", func() bool {
		r := result{
			id:      "first",
			entryVM: v,
		}
		r.send()
		switch {
		case r.disconnected:
			return false
		case r.status == http.StatusServiceUnavailable && r.verdict == "not-run":
			rejections++
			return false
		case r.status != http.StatusOK:
			t.Fatalf("status %d, verdict %q before the first successful call: %s", r.status, r.verdict, r.reason)
		}
		return true
	})
	return rejections
}

// TestFrozenPlatform freezes the platform under load while a daemon restarts and an
// operator publishes. The daemon must get the configuration from its peers before it
// accepts a call, and the exit code of the publish command must be consistent with
// the log.
func TestFrozenPlatform(t *testing.T) {
	journals := t.TempDir()
	platform, frozen := startPlatformProcess(t)
	vms, _ := startServingVMs(t, platform, journals, "a", "b", "c")
	restarted, others := vms[1], []*vm{vms[0], vms[2]}
	base := mustPublish(t, platform, newServiceFolder(t, "unserved", "v1"))
	waitForAgreement(t, vms, base)
	watcher := watchRevisions(t, others...)
	l := startLoad(false, others...)
	waitUnderLoad()
	frozen.signal(t, syscall.SIGSTOP)
	frozenAt := time.Now()
	restarted.daemon.signal(t, syscall.SIGKILL)
	restarted.start(t)
	rejections := waitForFirstSuccess(t, restarted)
	t.Logf("%d calls rejected as not run before the first success", rejections)
	if s, ok := restarted.status(); !ok || !s.Ready || s.Revision < base {
		t.Errorf("restarted daemon served a call at revision %d, ready %t; want ready at revision %d or later", s.Revision, s.Ready, base)
	}
	if rejections == 0 {
		t.Error("the restarted daemon rejected no call before it was ready")
	}
	folder := newServiceFolder(t, "unserved", "v2")
	out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, "--timeout", "3s", folder)
	code := exitCode(err)
	if code != 1 && code != 5 {
		t.Errorf("publish to a frozen platform: exit code %d, want 1 or 5\n%s", code, out)
	}
	waitForSuccesses(t, others[0])
	frozenFor := time.Since(frozenAt)
	frozen.signal(t, syscall.SIGCONT)
	t.Logf("platform frozen for %v; publish ended with exit code %d", frozenFor, code)
	after := waitForAgreement(t, vms, base)
	if after > base+1 || code == 1 && after != base {
		t.Errorf("got revision %d after the freeze; want %d, or the next one if publish did not exit with 1; it exited with %d", after, base, code)
	}
	if next := mustPublish(t, platform, folder); next != base+1 {
		t.Errorf("got revision %d after one publication at revision %d, want the next one", next, base)
	}
	waitForAgreement(t, vms, base+1)
	results := l.finish()
	checkResults(t, results, countRuns(t, journals))
	checkNotDisconnected(t, results)
	watcher.finish(t)
}
