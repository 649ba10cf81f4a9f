package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// TestStopAnswersRequestsThatWaitElsewhere guards against requests whose connections end
// without a response because they wait for a slot at another daemon.
func TestStopAnswersRequestsThatWaitElsewhere(t *testing.T) {
	// With the longer time, the attempts are recalled after the daemon has left the membership.
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) { checkStopWhileRequestsWait(t, grace) })
	}
}

func checkStopWhileRequestsWait(t *testing.T, grace time.Duration) {
	m := newMesh(t)
	m.grace = grace
	entry := m.addNode("zilina", "front", "v1")
	target := m.addNode("martin", "desk", "v1")
	const timeout, objective = 20 * time.Second, 10 * time.Second
	var rules []rule
	for prefix, kind := range map[string]string{"/safe/": "safe", "/unsafe/": "unsafe"} {
		rules = append(rules, rule{
			Prefix:      prefix,
			Kind:        kind,
			Service:     "desk",
			TimeoutMs:   int(timeout.Milliseconds()),
			ObjectiveMs: int(objective.Milliseconds()),
		})
	}
	m.writePlan(1, rules...)
	m.waitForMembers()
	m.waitFor("requests are served", func() bool { return entry.sendRequest("GET", "/safe/", "probe", "").status == http.StatusOK })
	release := make(chan struct{})
	target.backend.SetFaults(emulator.BackendFaults{Hold: release})
	arrived := func() (ids []string) {
		for _, a := range target.backend.Arrivals() {
			if a.ID != "probe" {
				ids = append(ids, a.ID)
			}
		}
		return ids
	}
	var group sync.WaitGroup
	send := func(id, path, body string, check func(emulator.Reply, error)) {
		group.Go(func() {
			c := emulator.NewClient(entry.settings.Listen.Traffic)
			defer c.Close()
			reply, err := c.Do(context.Background(), emulator.Call{
				ID:      id,
				Path:    path,
				Body:    body,
				Timeout: timeout,
			})
			check(reply, err)
		})
	}
	for i := range target.backend.Slots {
		send(fmt.Sprint("running-", i), "/safe/", "", func(emulator.Reply, error) {})
	}
	m.waitFor("all slots are in use", func() bool { return len(arrived()) == target.backend.Slots })
	waiting := map[string]string{"/safe/": "", "/unsafe/": "", "/safe/large": strings.Repeat("x", 32<<10), "/unsafe/body": "pay"}
	for path, body := range waiting {
		send("waiting"+path, path, body, func(reply emulator.Reply, err error) {
			if err != nil || reply.Status != http.StatusServiceUnavailable || reply.RetryAfter == "" {
				t.Errorf("%s: status %d, Retry-After %q, error %v; want 503", path, reply.Status, reply.RetryAfter, err)
			}
		})
	}
	m.waitFor("requests wait for a slot", func() bool { return target.gauge("order.queued") == len(waiting) })
	entry.stop()
	<-entry.ended
	close(release)
	group.Wait()
	m.waitFor("no request waits", func() bool { return target.gauge("order.queued") == 0 })
	if got := len(arrived()); got != target.backend.Slots {
		t.Errorf("%d requests have reached the target, want only the %d that ran at the stop: %q", got, target.backend.Slots, arrived())
	}
}
