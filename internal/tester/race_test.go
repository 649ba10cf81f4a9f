package tester

import (
	"fmt"
	"sync"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// numOperators is the number of operators who publish concurrently.
const numOperators = 4

// publishResult is the result of one operator's publish command.
type publishResult struct {
	folder string
	code   int
	out    string
}

// publishConcurrently publishes all folders concurrently with the same base revision.
func publishConcurrently(t *testing.T, platform string, base uint64, folders []string) []publishResult {
	t.Helper()
	publishResults := make([]publishResult, len(folders))
	var wg sync.WaitGroup
	for i, folder := range folders {
		wg.Go(func() {
			out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, "--base", fmt.Sprint(base), folder)
			publishResults[i] = publishResult{
				folder: folder,
				code:   exitCode(err),
				out:    out,
			}
		})
	}
	wg.Wait()
	return publishResults
}

// publishAgain publishes a folder again and returns the output, in which Unchanged
// reports whether the folder's content was already in force.
func publishAgain(t *testing.T, platform, folder string) publishOutput {
	t.Helper()
	out, err := coltsfoot(t, "publish", "--json", "--platform", "http://"+platform, folder)
	if err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	return parsePublishOutput(t, out)
}

// TestConcurrentPublish lets operators publish concurrently with the same base
// revision, while the platform loses responses to writes that took effect. If they
// publish the same service, exactly one must succeed and the others must get a
// conflict. If they publish different services, all must succeed. No other entries may
// be committed.
func TestConcurrentPublish(t *testing.T) {
	platform := startPlatform(t)
	var vms []*vm
	var seeds []string
	for _, dc := range []string{"a", "b", "c"} {
		v := startVM(t, dc+"-1", dc, platform, seeds...)
		seeds = append(seeds, v.settings.Listen.Control)
		vms = append(vms, v)
	}
	base := mustPublish(t, platform, newServiceFolder(t, "shared", "v0"))
	waitForAgreement(t, vms, base)
	watcher := watchRevisions(t, vms...)
	for round, lostResponses := range []int{0, 1, numOperators, 2 * numOperators} {
		setFaults(t, platform, emulator.Faults{LoseAnswers: lostResponses})
		base = publishSameService(t, platform, round, base)
		setFaults(t, platform, emulator.Faults{LoseAnswers: lostResponses})
		base = publishDifferentServices(t, platform, round, base)
		setFaults(t, platform, emulator.Faults{})
		if revision := waitForAgreement(t, vms, base); revision != base {
			t.Errorf("%d responses lost: got the daemons at revision %d, want the log's revision %d", lostResponses, revision, base)
		}
	}
	watcher.finish(t)
}

// publishSameService publishes different versions of one service concurrently and
// returns the log's revision afterwards.
func publishSameService(t *testing.T, platform string, round int, base uint64) uint64 {
	t.Helper()
	var folders []string
	for i := range numOperators {
		folders = append(folders, newServiceFolder(t, "shared", fmt.Sprintf("v%d-%d", round, i)))
	}
	committedFolder := ""
	for _, r := range publishConcurrently(t, platform, base, folders) {
		switch {
		case r.code == 0 && committedFolder == "":
			committedFolder = r.folder
		case r.code != 4:
			t.Fatalf("same service: exit code %d, want 0 once and otherwise 4\n%s", r.code, r.out)
		}
	}
	if committedFolder == "" {
		t.Fatal("same service: no publish command succeeded")
	}
	p := publishAgain(t, platform, committedFolder)
	if !p.Unchanged || p.Revision != base+1 {
		t.Errorf("same service, base revision %d: want only the successful publication committed, got %+v", base, p)
	}
	return p.Revision
}

// publishDifferentServices publishes one service per operator concurrently and returns
// the log's revision afterwards.
func publishDifferentServices(t *testing.T, platform string, round int, base uint64) uint64 {
	t.Helper()
	var folders []string
	for i := range numOperators {
		folders = append(folders, newServiceFolder(t, fmt.Sprintf("own-%d", i), fmt.Sprint("v", round)))
	}
	for _, r := range publishConcurrently(t, platform, base, folders) {
		if r.code != 0 {
			t.Errorf("different services: exit code %d, want 0\n%s", r.code, r.out)
		}
	}
	var p publishOutput
	for _, folder := range folders {
		p = publishAgain(t, platform, folder)
		if !p.Unchanged || p.Revision != base+numOperators {
			t.Errorf("different services, base revision %d: want only the publications of all operators committed, got %+v", base, p)
		}
	}
	return p.Revision
}
