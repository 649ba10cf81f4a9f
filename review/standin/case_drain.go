package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "drain".
const (
	drainTime   = 2 * time.Second
	killAfter   = 300 * time.Millisecond
	reportDelay = 2500 * time.Millisecond
	servesOn    = 5500 * time.Millisecond
)

// playDrain checks DRAIN: a request reaches a backend later than drain_ms after a machine
// in touch has acknowledged that the backend is gone. All daemons are killed after the
// acknowledgement, and a liveness report from before it arrives late.
func playDrain(w *world) (bool, error) {
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
	look := w.startLoad(w.daemons, 4, 150*time.Millisecond, http.MethodGet, "/look/", "", 500*time.Millisecond)
	claim := w.startLoad(w.daemons, 6, 100*time.Millisecond, http.MethodPost, "/claim/", "pitch", 600*time.Millisecond)
	time.Sleep(time.Second)
	leaver, host := w.backends[0], w.daemons[0]
	leaver.silence()
	late := leaver.nextReport("ready")
	sentAt := time.Now()
	w.record.add("backend %s sends the report %s, which the network delays by %v", leaver.name, late, reportDelay)
	time.Sleep(100 * time.Millisecond)
	if leaver.report(host, nil) != http.StatusOK {
		return false, errors.New("leave report not acknowledged")
	}
	acked := time.Now()
	w.record.add("daemon %s has acknowledged that %s is gone", host.settings.Name, leaver.name)
	time.Sleep(killAfter)
	if w.trouble {
		var group sync.WaitGroup
		for _, d := range w.daemons {
			group.Go(func() {
				d.kill()
				time.Sleep(restartDelay)
				_ = d.start()
			})
		}
		group.Wait()
	}
	time.Sleep(time.Until(sentAt.Add(reportDelay)))
	leaver.report(host, late)
	time.Sleep(time.Until(acked.Add(servesOn)))
	leaver.stop()
	time.Sleep(time.Second)
	look.end()
	claim.end()
	byID := w.sentByID()
	count, unanswered := 0, 0
	for _, x := range leaver.allRuns() {
		s := byID[x.id]
		switch {
		case x.rejected != 0 || x.at.Before(acked.Add(drainTime)):
			continue
		case x.at.Before(host.startedAt().Add(contactTime)), s.at.Before(s.daemon.startedAt().Add(contactTime)):
			w.record.add("out of touch: %q ran at %s %.3f s after the acknowledgement", x.id, leaver.name, x.at.Sub(acked).Seconds())
			continue
		}
		count++
		if s.status != http.StatusOK {
			unanswered++
		}
		w.record.add("after the bound: %q, sent to %s, ran at %s %.3f s after the acknowledgement; answered %d", x.id, s.daemon.settings.Name, leaver.name, x.at.Sub(acked).Seconds(), s.status)
	}
	w.record.say("requests that ran at %s later than %v after the acknowledgement, by machines in touch: %d; without a success: %d", leaver.name, drainTime, count, unanswered)
	return count > 0, nil
}
