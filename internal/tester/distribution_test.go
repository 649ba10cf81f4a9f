package tester

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Size of the mesh.
const (
	dataCentres = 3
	vmsPerDC    = 5
)

func platformCounts(t *testing.T, platform string) emulator.Counts {
	t.Helper()
	resp, err := http.Get("http://" + platform + "/v1/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var c emulator.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

// relayAddress returns the control address of the daemon that holds a relay slot, or
// "" if none does.
func relayAddress(t *testing.T, platform, dc string, slot int) string {
	t.Helper()
	item, err := storer.NewHTTP("http://"+platform, waitTimeout).Get(t.Context(), distributor.RelayKey(dc, slot))
	if err != nil {
		t.Fatal(err)
	}
	return string(item.Value)
}

// publishShare publishes a service whose second version has the given share in
// percent. It returns the time after the commit.
func publishShare(t *testing.T, platform string, share int) time.Time {
	t.Helper()
	folder := t.TempDir()
	file := fmt.Sprintf(`{"name":"a","versions":[{"name":"v1","share":%d},{"name":"v2","share":%d}],"routes":[{"path":"/a"}]}`, 100-share, share)
	if err := os.WriteFile(filepath.Join(folder, "a.json"), []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, folder); err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	return time.Now()
}

// waitForRevision waits until all daemons are ready at the revision or a later one.
func waitForRevision(t *testing.T, vms []*vm, revision uint64) {
	t.Helper()
	for _, v := range vms {
		eventually(t, fmt.Sprintf("%s is at revision %d", v.settings.Name, revision), func() bool {
			s, ok := v.status()
			return ok && s.Ready && s.Revision >= revision
		})
	}
}

// TestDistribution checks that the number of platform calls is bounded by the number
// of relays, and that a change reaches all daemons after all relays of a data centre
// were killed.
func TestDistribution(t *testing.T) {
	platform := startPlatform(t)
	var vms []*vm
	for i := range dataCentres * vmsPerDC {
		var seeds []string
		for _, v := range vms[:min(len(vms), 3)] {
			seeds = append(seeds, v.settings.Listen.Control)
		}
		dc := fmt.Sprintf("dc-%d", i%dataCentres)
		vms = append(vms, startVM(t, fmt.Sprintf("%s-%d", dc, i/dataCentres), dc, platform, seeds...))
	}
	for i := range dataCentres * distributor.RelaysPerDC {
		eventually(t, "every relay slot is held", func() bool {
			return relayAddress(t, platform, fmt.Sprintf("dc-%d", i%dataCentres), i/dataCentres) != ""
		})
	}
	publishShare(t, platform, 1)
	waitForRevision(t, vms, 1)
	const idlePeriod = 10 * time.Second
	before := platformCounts(t, platform)
	time.Sleep(idlePeriod)
	after := platformCounts(t, platform)
	t.Logf("%d daemons in %v: %d reads, %d writes, %d lease calls", len(vms), idlePeriod,
		after.Reads-before.Reads, after.Writes-before.Writes, after.Leases-before.Leases)
	// In this time each relay renews its lease twice and reads twice. One more
	// of each may fall on the edges of the interval.
	if calls := after.Reads + after.Leases - before.Reads - before.Leases; calls > dataCentres*distributor.RelaysPerDC*6 {
		t.Errorf("got %d platform calls in %v, want at most 6 for each relay", calls, idlePeriod)
	}
	committed := publishShare(t, platform, 2)
	waitForRevision(t, vms, 2)
	t.Logf("all daemons at revision 2 within %v", time.Since(committed))
	killRelays(t, platform, "dc-0", &vms)
	committed = publishShare(t, platform, 3)
	waitForRevision(t, vms, 3)
	t.Logf("all daemons at revision 3 within %v after the relays of a data centre were killed", time.Since(committed))
}

// killRelays kills the relays of a data centre and removes them from vms.
func killRelays(t *testing.T, platform, dc string, vms *[]*vm) {
	t.Helper()
	var relays map[string]bool
	eventually(t, "all relay slots of the data centre are held", func() bool {
		relays = map[string]bool{}
		for slot := range distributor.RelaysPerDC {
			relays[relayAddress(t, platform, dc, slot)] = true
		}
		return len(relays) == distributor.RelaysPerDC && !relays[""]
	})
	var remaining []*vm
	for _, v := range *vms {
		if relays[v.settings.Listen.Control] {
			v.daemon.signal(t, syscall.SIGKILL)
			state := v.daemon.cmd.ProcessState
			t.Logf("relay %s used %v of CPU time", v.settings.Name, state.UserTime()+state.SystemTime())
			continue
		}
		remaining = append(remaining, v)
	}
	if len(remaining) != len(*vms)-distributor.RelaysPerDC {
		t.Fatalf("killed %d relays, want %d", len(*vms)-len(remaining), distributor.RelaysPerDC)
	}
	*vms = remaining
}
