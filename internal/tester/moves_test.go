package tester

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

// writeRolloutFile writes an operator file with a rollout from v1 to v2.
func writeRolloutFile(t *testing.T, folder, service string, deadline time.Time) {
	t.Helper()
	file := fmt.Sprintf(`{
		"name": %q, "versions": [{"name": "v1", "share": 100}],
		"routes": [{"path": "/%s"}], "goals": {"late": "1s"},
		"move": {"to": "v2", "by": %q, "steps": [10, 100], "hold": "2s"},
	}`, service, service, deadline.Format(time.RFC3339Nano))
	if err := os.WriteFile(filepath.Join(folder, service+".jsonc"), []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
}

// callCounts counts the results of calls to one service.
type callCounts struct {
	total, bad atomic.Int64
	mu         sync.Mutex
	lastBody   string
}

// startCalls calls a service every ten milliseconds until stop is closed.
func startCalls(v *vm, service string, stop chan struct{}, wg *sync.WaitGroup) *callCounts {
	c := &callCounts{}
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			status, body, err := v.call("GET", "/"+service, "")
			c.total.Add(1)
			if err != nil || status != 200 {
				c.bad.Add(1)
				continue
			}
			c.mu.Lock()
			c.lastBody = body
			c.mu.Unlock()
		}
	})
	return c
}

// queryMoves returns the rollouts by service, as coltsfoot moves prints them.
func queryMoves(t *testing.T, v *vm) map[string]server.Move {
	t.Helper()
	out, err := coltsfoot(t, "moves", "--json", "--daemon", v.settings.Listen.Operator)
	var list server.Moves
	if err == nil {
		err = json.Unmarshal([]byte(out), &list)
	}
	if err != nil {
		t.Fatalf("moves: %v\n%s", err, out)
	}
	moves := map[string]server.Move{}
	for _, m := range list.Moves {
		moves[m.Service] = m
	}
	return moves
}

// TestMoves runs two rollouts with the built programs. The one to a good version must
// be completed before its deadline, the one to a bad version must be rolled back.
func TestMoves(t *testing.T) {
	platform := startPlatform(t)
	vms := []*vm{startVM(t, "vm-0", "a", platform)}
	for n := 1; n < 4; n++ {
		vms = append(vms, startVM(t, fmt.Sprintf("vm-%d", n), "a", platform, vms[0].settings.Listen.Control))
	}
	startTarget(t, vms[0], "good", "v1")
	startTarget(t, vms[1], "good", "v2")
	startTarget(t, vms[2], "bad", "v1")
	startTarget(t, vms[3], "bad", "v2", "--fail", "100")
	folder := t.TempDir()
	deadline := time.Now().Add(75 * time.Second)
	writeRolloutFile(t, folder, "good", deadline)
	writeRolloutFile(t, folder, "bad", deadline)
	if out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, folder); err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	eventually(t, "calls to both services succeed", func() bool {
		good, _, err := vms[3].call("GET", "/good", "")
		bad, _, err2 := vms[3].call("GET", "/bad", "")
		return err == nil && err2 == nil && good == 200 && bad == 200
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	good := startCalls(vms[0], "good", stop, &wg)
	bad := startCalls(vms[3], "bad", stop, &wg)
	var moves map[string]server.Move
	for end := deadline.Add(waitTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		moves = queryMoves(t, vms[0])
		if moves["good"].Phase.Final() && moves["bad"].Phase.Final() {
			break
		}
	}
	if m := moves["good"]; m.Phase != applier.Done || m.SentShare != 100 || !m.Since.Before(deadline) {
		t.Errorf("rollout of the good version: got %+v, want it done before the deadline with all traffic on v2", m)
	}
	if m := moves["bad"]; m.Phase != applier.RolledBack || m.SentShare != 0 || !strings.Contains(m.Reason, "bad") {
		t.Errorf("rollout of the bad version: got %+v, want it rolled back with no traffic on v2 and a reason", m)
	}
	eventually(t, "calls to good run on v2 and calls to bad on v1", func() bool {
		good.mu.Lock()
		defer good.mu.Unlock()
		bad.mu.Lock()
		defer bad.mu.Unlock()
		return strings.HasPrefix(good.lastBody, "good v2") && strings.HasPrefix(bad.lastBody, "bad v1")
	})
	close(stop)
	wg.Wait()
	t.Logf("good: %d of %d calls failed; bad: %d of %d; %s", good.bad.Load(), good.total.Load(), bad.bad.Load(), bad.total.Load(), moves["bad"].Reason)
	out, err := coltsfoot(t, "moves", "--daemon", vms[2].settings.Listen.Operator)
	if err != nil || !strings.Contains(out, "taken-back") || !strings.Contains(out, "done") {
		t.Errorf("moves: got error %v, want output with both outcomes\n%s", err, out)
	}
}

// TestRolloutSurvivesCrash kills the daemon that advances a rollout, right before a
// platform outage of 5 s. Another daemon must complete the rollout before its
// deadline.
func TestRolloutSurvivesCrash(t *testing.T) {
	platform := startPlatform(t)
	vms := []*vm{startVM(t, "vm-0", "a", platform)}
	for n := 1; n < 4; n++ {
		vms = append(vms, startVM(t, fmt.Sprintf("vm-%d", n), "a", platform, vms[0].settings.Listen.Control))
	}
	entryVM := startVM(t, "vm-entry", "a", platform, vms[0].settings.Listen.Control)
	for n, v := range vms {
		startTarget(t, v, "good", fmt.Sprint("v", 1+n%2))
	}
	folder := t.TempDir()
	deadline := time.Now().Add(2 * time.Minute)
	writeRolloutFile(t, folder, "good", deadline)
	if out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, folder); err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	eventually(t, "a call to the service succeeds", func() bool {
		status, _, err := entryVM.call("GET", "/good", "")
		return err == nil && status == 200
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	good := startCalls(entryVM, "good", stop, &wg)
	var advancedBy string
	eventually(t, "the rollout is at its first step", func() bool {
		m := queryMoves(t, entryVM)["good"]
		advancedBy = m.Keeper
		return m.Step == 1
	})
	for _, v := range vms {
		if v.settings.Name == advancedBy {
			v.daemon.signal(t, syscall.SIGKILL)
		}
	}
	setFaults(t, platform, emulator.Faults{Outage: true})
	time.Sleep(5 * time.Second)
	setFaults(t, platform, emulator.Faults{LoseAnswers: 1})
	var m server.Move
	for end := deadline.Add(waitTimeout); time.Now().Before(end) && !m.Phase.Final(); time.Sleep(200 * time.Millisecond) {
		m = queryMoves(t, entryVM)["good"]
	}
	close(stop)
	wg.Wait()
	if m.Phase != applier.Done || m.Keeper == advancedBy || !m.Since.Before(deadline) {
		t.Errorf("rollout after the crash of %s: got %+v, want it completed by another daemon before the deadline", advancedBy, m)
	}
	t.Logf("%d of %d calls failed", good.bad.Load(), good.total.Load())
}

func setFaults(t *testing.T, platform string, f emulator.Faults) {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+platform+"/v1/faults", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
