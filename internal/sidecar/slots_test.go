package sidecar_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// TestSlotsHaveConnections guards against requests that are admitted and wait for a connection
// to the target, and against more of them than it accepts connections.
func TestSlotsHaveConnections(t *testing.T) {
	for slots, want := range map[int]int{60: 60, 2 * emulator.MaxConns: emulator.MaxConns} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			m := newMesh(t)
			target := m.addNode("martin", "desk", "v1")
			target.backend.SetSlots(slots)
			m.writePlan(1, rule{Prefix: "/", Kind: "unsafe", Service: "desk", TimeoutMs: 20000, ObjectiveMs: 10000})
			m.waitForMembers()
			m.waitFor("the slots are known", func() bool { return target.gauge("order.slots") == want })
			release := make(chan struct{})
			target.backend.SetFaults(emulator.BackendFaults{Hold: release})
			var group sync.WaitGroup
			for i := range want {
				group.Go(func() {
					c := emulator.NewClient(target.settings.Listen.Traffic)
					defer c.Close()
					_, _ = c.Do(context.Background(), emulator.Call{ID: fmt.Sprint("id-", i), Path: "/", Timeout: 20 * time.Second})
				})
			}
			m.waitFor("all slots are in use", func() bool { return target.gauge("order.running") == want })
			m.waitFor("all admitted requests run", func() bool { return len(target.backend.Arrivals()) == want })
			close(release)
			group.Wait()
		})
	}
}
