package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// playTwice checks TWICE: a request that isn't idempotent runs more than once. A faulty
// backend sends one of its answers a second time, late.
func playTwice(w *world) (bool, error) {
	for i, zone := range []string{"a", "b", "c"} {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), zone, "desk", 6, 60*time.Millisecond)
		if _, err := w.addDaemon("sidecar-"+zone+"-1", zone, "desk", b.address); err != nil {
			return false, err
		}
	}
	if err := w.declare(7, route{prefix: "/claim/", kind: "unsafe", service: "desk", timeout: 600 * time.Millisecond}); err != nil {
		return false, err
	}
	var doubled atomic.Bool
	w.backends[0].doubles = func(r *http.Request) bool {
		return w.trouble && r.Header.Get(names.AttemptHeader) == "" && !doubled.Swap(true)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	l := w.startLoad(w.daemons, 4, 100*time.Millisecond, http.MethodPost, "/claim/", "pitch 7", 600*time.Millisecond)
	time.Sleep(4 * time.Second)
	stranger := &consumer{world: w, daemon: w.daemons[0], name: "stranger"}
	for range 8 {
		if !doubled.Load() {
			stranger.send(http.MethodPost, "/claim/stranger", "", "pitch 8", 600*time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	stranger.close()
	l.end()
	answers := 0
	runs := map[string][]run{}
	for _, b := range w.backends {
		for _, x := range b.allRuns() {
			if b == w.backends[0] {
				answers++
			}
			if x.rejected == 0 {
				runs[x.id] = append(runs[x.id], x)
			}
		}
	}
	twice := 0
	byID := w.sentByID()
	for id, r := range runs {
		if len(r) < 2 {
			continue
		}
		twice++
		w.record.say("%q ran %d times: at %s and %s, %v apart; answered %d", id, len(r), r[0].backend, r[1].backend, r[1].at.Sub(r[0].at).Abs(), byID[id].status)
	}
	w.record.say("answers of %s: %d, one of them sent twice: %v; unsafe requests that ran more than once: %d", w.backends[0].name, answers, doubled.Load(), twice)
	return twice > 0, nil
}
