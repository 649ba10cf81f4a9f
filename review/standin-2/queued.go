package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Parameters of the case queued. The targets run the burst in five rounds, and the daemon that
// is stopped has ended before the last one.
const (
	queuedSlots    = 2
	queuedWork     = 2 * time.Second
	queuedRequests = 20
	queuedTimeout  = 12 * time.Second
	// queuedStop is the time from the burst to the signal.
	queuedStop = 500 * time.Millisecond
	// lossSlack is the bound of the rule.
	lossSlack = 200 * time.Millisecond
)

// runQueued stops one daemon while requests that it has read wait for a slot at targets of
// other machines.
func runQueued(r *recorder, trouble bool) (broken bool, err error) {
	m, err := newMesh(r)
	if err != nil {
		return false, err
	}
	defer m.close(false)
	if err := m.declare("queued.json"); err != nil {
		return false, err
	}
	for _, o := range []nodeOptions{
		{name: "a-1", zone: "a", service: "front", slots: queuedSlots, work: queuedWork, memoryMiB: 284},
		{name: "a-2", zone: "a", service: "desk", slots: queuedSlots, work: queuedWork, memoryMiB: 284},
		{name: "b-1", zone: "b", service: "desk", slots: queuedSlots, work: queuedWork, memoryMiB: 284},
	} {
		if _, err := m.add(o); err != nil {
			return false, err
		}
	}
	if err := m.awaitReady(); err != nil {
		return false, err
	}
	entry := m.nodes[0]
	type answer struct {
		id     string
		sent   time.Time
		ended  time.Time
		status int
		err    error
	}
	answers := make([]answer, queuedRequests)
	var group sync.WaitGroup
	for i := range queuedRequests {
		group.Go(func() {
			c := emulator.NewClient(entry.traffic())
			defer c.Close()
			a := &answers[i]
			a.id, a.sent = fmt.Sprintf("q-%02d", i), time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), queuedTimeout+time.Second)
			defer cancel()
			reply, err := c.Do(ctx, emulator.Call{
				ID:      a.id,
				Path:    "/book/" + a.id,
				Body:    "one booking",
				Timeout: queuedTimeout,
			})
			a.ended, a.status, a.err = time.Now(), reply.Status, err
			r.printf("%s sent to a-1 %.3f s ago: status %d, error %v", a.id, a.ended.Sub(a.sent).Seconds(), a.status, a.err)
		})
	}
	time.Sleep(queuedStop)
	stopped := time.Now()
	if trouble {
		r.printf("SIGTERM to a-1")
		if err := entry.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		go func() {
			<-entry.ended()
			r.printf("a-1 has ended")
		}()
	}
	group.Wait()
	time.Sleep(queuedWork)
	arrived := map[string]time.Time{}
	for _, n := range m.nodes {
		for _, a := range n.backend.Arrivals() {
			arrived[a.ID] = a.At
			r.printf("%s reached the target on %s %.3f s after the time of the signal, ran %v", a.ID, n.options.name, a.At.Sub(stopped).Seconds(), a.Ran)
		}
	}
	cut := 0
	for _, a := range answers {
		at, ran := arrived[a.id]
		late := a.ended.Sub(a.sent) > lossSlack
		if a.err == nil || !late || a.ended.Sub(a.sent) >= queuedTimeout {
			continue
		}
		// A target that is at work in the last sixth of the grace excuses the cut.
		if ran && at.Before(a.ended) {
			r.printf("%s was cut while its target was at work: not counted", a.id)
			continue
		}
		cut++
		r.printf("%s was read, was never passed on to a target, and its connection ended without an answer after %.3f s", a.id, a.ended.Sub(a.sent).Seconds())
	}
	r.printf("%d of %d requests lost", cut, queuedRequests)
	return cut > 0, nil
}
