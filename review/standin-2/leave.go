package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Parameters of the case leave.
const (
	// leaveSlots is the number of requests that the target runs at once, and leaveWork the time
	// that each takes.
	leaveSlots = 60
	leaveWork  = 3 * time.Second
	// leaveAfter is the time from the requests to the target's report that it drains.
	leaveAfter = 100 * time.Millisecond
	// drainBound is drain_ms, and servesOn how much longer the target serves.
	drainBound = 2 * time.Second
	servesOn   = 1500 * time.Millisecond
	// leaveTimeout is how long the clients wait.
	leaveTimeout = 8 * time.Second
)

// runLeave lets a target leave while all its slots are in use.
func runLeave(r *recorder, trouble bool) (broken bool, err error) {
	m, err := newMesh(r)
	if err != nil {
		return false, err
	}
	defer m.close(false)
	if err := m.declare("queued.json"); err != nil {
		return false, err
	}
	for _, o := range []nodeOptions{
		{name: "a-1", zone: "a", service: "front", slots: 6, work: 10 * time.Millisecond, memoryMiB: 284},
		{name: "a-2", zone: "a", service: "desk", slots: leaveSlots, work: leaveWork, memoryMiB: 284},
	} {
		if _, err := m.add(o); err != nil {
			return false, err
		}
	}
	if err := m.awaitReady(); err != nil {
		return false, err
	}
	entry, leaving := m.nodes[0], m.nodes[1]
	var group sync.WaitGroup
	for i := range leaveSlots {
		group.Go(func() {
			c := emulator.NewClient(entry.traffic())
			defer c.Close()
			id := fmt.Sprintf("l-%02d", i)
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout+time.Second)
			defer cancel()
			sent := time.Now()
			reply, err := c.Do(ctx, emulator.Call{
				ID:      id,
				Path:    "/book/" + id,
				Body:    "one booking",
				Timeout: leaveTimeout,
			})
			r.printf("%s sent to a-1 %.3f s ago: status %d, error %v", id, time.Since(sent).Seconds(), reply.Status, err)
		})
	}
	time.Sleep(leaveAfter)
	var confirmed time.Time
	if trouble {
		leaving.backend.SetDraining()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := leaving.backend.Report(ctx, leaving.address(portAdmin), emulator.Base)
		cancel()
		if err != nil {
			return false, err
		}
		confirmed = time.Now()
		r.printf("a-2 has confirmed that its target drains")
		time.Sleep(drainBound + servesOn)
		ctx, cancel = context.WithTimeout(context.Background(), time.Second)
		_ = leaving.backend.Deregister(ctx, leaving.address(portAdmin), emulator.Base)
		cancel()
		r.printf("the target has ended")
		leaving.backend.Crash()
	}
	group.Wait()
	m.recordRuns()
	late := 0
	for _, a := range leaving.backend.Arrivals() {
		after := a.At.Sub(confirmed)
		if trouble && a.Ran && after > drainBound {
			late++
			r.printf("%s reached the target %.3f s after the confirmation", a.ID, after.Seconds())
		}
	}
	r.printf("%d requests reached the target later than drain_ms after the confirmation", late)
	return late > 0, nil
}
