package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Figures of the case "cold".
const (
	warmupFactor = 1.5
	coldSlack    = 5
	// crashRate is the number of requests in one second at which the cold backend
	// crashes.
	crashRate = 3 * warmupPerSecond
)

// playCold checks FAILBACK: a cold backend gets more requests in one second than
// warmup_per_s x warmup_factor + cold_slack. A liveness report with a field missing
// arrives from another writer while the backend is cold.
func playCold(w *world) (bool, error) {
	for i, zone := range []string{"a", "b", "c"} {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), zone, "desk", 6, 60*time.Millisecond)
		if _, err := w.addDaemon("sidecar-"+zone+"-1", zone, "desk", b.address); err != nil {
			return false, err
		}
	}
	if err := w.declare(7,
		route{prefix: "/look/", kind: "safe", service: "desk", timeout: 500 * time.Millisecond},
		route{prefix: "/claim/", kind: "unsafe", service: "desk", timeout: 600 * time.Millisecond}); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	look := w.startLoad(w.daemons, 8, 100*time.Millisecond, http.MethodGet, "/look/", "", 500*time.Millisecond)
	claim := w.startLoad(w.daemons, 4, 100*time.Millisecond, http.MethodPost, "/claim/", "pitch", 600*time.Millisecond)
	time.Sleep(2 * time.Second)
	old, d := w.backends[2], w.daemons[2]
	old.silence()
	old.stop()
	time.Sleep(2 * time.Second)
	b := w.addBackend("i-4", "c", "desk", 6, 60*time.Millisecond)
	b.address = old.address
	var crashed atomic.Bool
	b.began = func(inLastSecond int) {
		if inLastSecond > crashRate && time.Now().Before(b.warmAt) && !crashed.Swap(true) {
			w.record.add("backend %s crashes: %d requests in a second while it is cold", b.name, inLastSecond)
			go b.stop()
		}
	}
	if err := b.start(warmup); err != nil {
		return false, err
	}
	b.beat(d)
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		report, err := b.incompleteReport("warmup_left_ms")
		if err != nil {
			return false, err
		}
		w.record.add("another writer sends the report %s for %s", report, b.name)
		status := b.report(d, report)
		w.record.say("report without warmup_left_ms from another writer: answered %d", status)
	}
	time.Sleep(time.Until(b.warmAt) + time.Second)
	look.end()
	claim.end()
	byID := w.sentByID()
	var cold []run
	lost := 0
	for _, x := range b.allRuns() {
		if x.rejected != 0 || !x.at.Before(b.warmAt) {
			continue
		}
		cold = append(cold, x)
		if s := byID[x.id]; s.status != http.StatusOK && s.method == http.MethodPost {
			lost++
			w.record.add("lost: unsafe %q began at %s, answered %d", x.id, b.name, s.status)
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
	w.record.say("most requests that the cold backend %s got in one second: %d, from %.3f s on (rule: %.1f at most); crashed: %v; unsafe requests lost at it: %d",
		b.name, most, w.record.since(from), bound, crashed.Load(), lost)
	return float64(most) > bound, nil
}

// incompleteReport returns the backend's last liveness report without one of its fields.
func (b *backend) incompleteReport(missing string) ([]byte, error) {
	b.mu.Lock()
	last := b.lastReport
	b.mu.Unlock()
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(last, &fields); err != nil {
		return nil, err
	}
	delete(fields, missing)
	return json.Marshal(fields)
}
