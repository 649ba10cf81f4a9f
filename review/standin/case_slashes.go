package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSlashes checks UNASKED: a backend runs a request with its path changed. The
// consumer's path begins with two slashes.
func playSlashes(w *world) (bool, error) {
	for i, zone := range []string{"a", "b"} {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), zone, "desk", 6, 60*time.Millisecond)
		if _, err := w.addDaemon("sidecar-"+zone+"-1", zone, "desk", b.address); err != nil {
			return false, err
		}
	}
	if err := w.declare(7, route{prefix: "/", kind: "unsafe", service: "desk", timeout: 600 * time.Millisecond}); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	path := "//claim/7"
	if !w.trouble {
		path = "/claim/7"
	}
	c := &consumer{world: w, daemon: w.daemons[0], name: "phone"}
	for range 20 {
		c.send(http.MethodPost, path, c.nextID(), "pitch 7", 600*time.Millisecond)
	}
	c.close()
	changed, ran := 0, 0
	for _, b := range w.backends {
		for _, x := range b.allRuns() {
			if x.rejected != 0 {
				continue
			}
			ran++
			if x.uri != path {
				changed++
			}
		}
	}
	w.record.say("requests for %q that ran: %d; with another path: %d", path, ran, changed)
	return changed > 0, nil
}
