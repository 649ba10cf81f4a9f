package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case "cold".
const (
	warmupFactor = 1.5
	coldSlack    = 5
)

// playCold checks FAILBACK: a cold backend gets more requests in one second than
// warmup_per_s x warmup_factor + cold_slack. The daemon beside it is killed and started
// again while the backend is cold.
func playCold(w *world) (bool, error) {
	for i, zone := range []string{"a", "b", "c"} {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), zone, "desk", 6, 60*time.Millisecond)
		if _, err := w.addDaemon("sidecar-"+zone+"-1", zone, "desk", b.address); err != nil {
			return false, err
		}
	}
	if err := w.declare(7, route{prefix: "/look/", kind: "safe", service: "desk", timeout: 500 * time.Millisecond}); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	l := w.startLoad(w.daemons, 16, 100*time.Millisecond, http.MethodGet, "/look/", "", 500*time.Millisecond)
	time.Sleep(2 * time.Second)
	old, d := w.backends[2], w.daemons[2]
	old.silence()
	old.stop()
	time.Sleep(2 * time.Second)
	b := w.addBackend("i-4", "c", "desk", 6, 60*time.Millisecond)
	b.address = old.address
	if err := b.start(warmup); err != nil {
		return false, err
	}
	b.beat(d)
	if w.trouble {
		w.awaitBurst(b)
		d.kill()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(b.warmAt) + time.Second)
	l.end()
	byID := w.sentByID()
	var cold []run
	for _, x := range b.allRuns() {
		if x.rejected == 0 && x.at.Before(b.warmAt) {
			cold = append(cold, x)
		}
	}
	most := 0
	var from time.Time
	// Each second begins when a consumer sends one of the requests. Counted are those that
	// were sent and arrived inside it.
	for _, first := range cold {
		start := byID[first.id].at
		n := 0
		for _, x := range cold {
			if !byID[x.id].at.Before(start) && x.at.Before(start.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, from = n, start
		}
	}
	bound := warmupPerSecond*warmupFactor + coldSlack
	w.record.say("most requests that the cold backend %s got in one second: %d, from %.3f s on (rule: %.1f at most); %d while it was cold", b.name, most, w.record.since(from), bound, len(cold))
	return float64(most) > bound, nil
}

// awaitBurst waits until the cold backend has got most of its share of a second, and
// its next liveness report is due soon; for most of its warm-up at most.
func (w *world) awaitBurst(b *backend) {
	for end := b.warmAt.Add(-600 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		recent, first := 0, time.Now()
		for _, x := range b.allRuns() {
			if x.rejected == 0 && time.Since(x.at) < 500*time.Millisecond {
				recent++
				if x.at.Before(first) {
					first = x.at
				}
			}
		}
		due := heartbeat - time.Since(b.lastBeat())
		if recent >= warmupPerSecond && due > 200*time.Millisecond && time.Since(first)+due < 700*time.Millisecond {
			return
		}
	}
}

// lastBeat returns the time of the last liveness report.
func (b *backend) lastBeat() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.beatAt
}
