package tester

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// memberStatus returns a member's status in the daemon's membership table, or an
// invalid status if the table has no such member.
func (v *vm) memberStatus(name string) prober.Status {
	s, _ := v.status()
	for _, m := range s.Members {
		if m.ID == name {
			return m.Status
		}
	}
	return prober.Left + 1
}

// metric returns the value of a daemon's metric, or -1 if the daemon does not
// respond.
func (v *vm) metric(t *testing.T, name string) int64 {
	t.Helper()
	resp, err := http.Get("http://" + v.settings.Listen.Operator + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	metrics := map[string]struct {
		Value int64 `json:"value"`
	}{}
	if err := json.NewDecoder(resp.Body).Decode(&metrics); err != nil {
		t.Fatal(err)
	}
	return metrics[name].Value
}

// cpuTime returns the CPU time that a daemon has used, or 0 where /proc is not
// available.
func (v *vm) cpuTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.daemon.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	const ticksPerSecond = 100
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var user, system time.Duration
	_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) * time.Second / ticksPerSecond
}

// TestMembership starts daemons without seeds, which find each other through the
// platform. It then pauses one for longer than the suspicion timeout, kills one and
// stops one gracefully, and checks the status that the others assign to it.
func TestMembership(t *testing.T) {
	const count = 8
	platform := startPlatform(t)
	var vms []*vm
	for i := range count {
		vms = append(vms, startVM(t, fmt.Sprint("a-", i), "a", platform))
	}
	waitForAll := func(condition string, vms []*vm, ok func(v *vm) bool) time.Duration {
		start := time.Now()
		for _, v := range vms {
			eventually(t, v.settings.Name+": "+condition, func() bool { return ok(v) })
		}
		return time.Since(start)
	}
	waitForAll("all daemons are alive", vms, func(v *vm) bool { return v.metric(t, "member.alive") == count })
	const idlePeriod = 5 * time.Second
	sentBefore, cpuTimeBefore := vms[0].metric(t, "control.sent"), vms[0].cpuTime()
	time.Sleep(idlePeriod)
	t.Logf("idle: %.0f B/s sent, %.2f%% of a core", float64(vms[0].metric(t, "control.sent")-sentBefore)/idlePeriod.Seconds(),
		100*(vms[0].cpuTime()-cpuTimeBefore).Seconds()/idlePeriod.Seconds())

	paused, others := vms[0], vms[1:]
	paused.daemon.signal(t, syscall.SIGSTOP)
	took := waitForAll("the paused daemon is dead", others, func(v *vm) bool { return v.memberStatus("a-0") == prober.Dead })
	t.Logf("paused daemon declared dead after %v", took)
	paused.daemon.signal(t, syscall.SIGCONT)
	took = waitForAll("the paused daemon is alive again", vms, func(v *vm) bool { return v.metric(t, "member.alive") == count })
	t.Logf("paused daemon alive again after %v", took)

	vms[1].daemon.signal(t, syscall.SIGKILL)
	took = waitForAll("the killed daemon is dead", vms[2:], func(v *vm) bool { return v.memberStatus("a-1") == prober.Dead })
	t.Logf("killed daemon declared dead after %v", took)
	start := time.Now()
	vms[2].daemon.signal(t, syscall.SIGTERM)
	waitForAll("the stopped daemon has left", vms[3:], func(v *vm) bool { return v.memberStatus("a-2") == prober.Left })
	t.Logf("stopped daemon has left %v after the signal, including its shutdown", time.Since(start))
}
