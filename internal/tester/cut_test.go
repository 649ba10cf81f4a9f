package tester

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestPartitionedDataCentre partitions a data centre right after a revision was
// committed: it freezes the platform and the daemons of the other data centres. The
// partitioned data centre must keep serving from its own targets. After the
// partition no daemon may go back to an earlier revision, and all must reach the
// committed one.
func TestPartitionedDataCentre(t *testing.T) {
	journals := t.TempDir()
	platform, platformProcess := startPlatformProcess(t)
	vms, _ := startServingVMs(t, platform, journals, "a", "a", "b", "c")
	partitioned, remote := vms[:2], vms[2:]
	waitForAgreement(t, vms, 1)
	watcher := watchRevisions(t, vms...)
	l := startLoad(false, partitioned...)
	waitUnderLoad()
	committed := mustPublish(t, platform, newServiceFolder(t, "unserved", "v1"))
	frozenProcesses := []*process{platformProcess}
	for _, v := range remote {
		frozenProcesses = append(frozenProcesses, v.daemon)
	}
	for _, p := range frozenProcesses {
		p.signal(t, syscall.SIGSTOP)
	}
	// Until the partition is detected, calls may be in flight to a frozen daemon.
	for _, v := range partitioned {
		eventually(t, v.settings.Name+" lists the daemons of the other data centres as unreachable", func() bool {
			return v.metric(t, "member.unreachable") == int64(len(remote))
		})
	}
	disconnected := startLoad(true, partitioned...)
	waitUnderLoad()
	waitUnderLoad()
	duringPartition := disconnected.finish()
	for _, r := range duringPartition {
		if r.disconnected || r.status != http.StatusOK {
			t.Errorf("%s during the partition: status %d, verdict %q, connection broken %t, want status 200 (%s)", r.id, r.status, r.verdict, r.disconnected, r.reason)
		}
	}
	t.Logf("%d calls during the partition", len(duringPartition))
	for _, p := range frozenProcesses {
		p.signal(t, syscall.SIGCONT)
	}
	resumedAt := time.Now()
	waitForRevision(t, vms, committed)
	t.Logf("all daemons at the committed revision %v after the partition", time.Since(resumedAt))
	waitForAgreement(t, vms, committed)
	t.Logf("all surveys agree %v after the partition", time.Since(resumedAt))
	next := mustPublish(t, platform, newServiceFolder(t, "unserved", "v2"))
	if next != committed+1 {
		t.Errorf("got revision %d after one publication at revision %d, want the next one", next, committed)
	}
	waitForAgreement(t, vms, next)
	results := l.finish()
	for _, v := range vms {
		waitForSuccesses(t, v)
	}
	checkNotDisconnected(t, results)
	checkResults(t, results, countRuns(t, journals))
	watcher.finish(t)
}
