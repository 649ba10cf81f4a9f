package sidecar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// start identifies one start of a target.
type start struct {
	instance string
	born     time.Time
}

// announced is what the target has announced last.
type announced struct {
	Announcement
	at time.Time
	// silent means that it has not announced itself for long.
	silent bool
}

// lapseBeats is the number of heartbeats without an announcement after which a
// target is taken to be gone. Some come late by seconds.
const lapseBeats = 4

// serveReport takes the announcements of the target on the VM.
func (d *Daemon) serveReport(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, d.platform.ReportPath) || (r.Method != http.MethodPut && r.Method != http.MethodDelete) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a, err := d.platform.Report(r)
	if err == nil && !a.Gone && a.Service != d.sidecar.Service {
		err = Class.New("target %q of service %q, want %q", a.Instance, a.Service, d.sidecar.Service)
	}
	if err != nil {
		d.log.Warn("announcement refused", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.announce(a)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// announce takes in an announcement, unless a later one is known.
func (d *Daemon) announce(a Announcement) {
	d.announcing.Lock()
	defer d.announcing.Unlock()
	last := d.announced
	if a.Gone {
		d.depart(a, last)
		return
	}
	if d.outdated(a, last.Announcement) {
		d.log.Info("late announcement ignored", "instance", a.Instance, "sequence", a.Sequence, "known", last.Instance)
		return
	}
	d.announced = announced{
		Announcement: a,
		at:           d.clock.Now(),
	}
	if last.Instance != a.Instance || last.Born != a.Born || last.Draining != a.Draining || last.silent {
		d.log.Info("target announced", "instance", a.Instance, "version", a.Version, "slots", a.Slots, "draining", a.Draining, "cold", a.Cold)
	}
	d.apply(a)
}

// outdated reports whether an announcement is older than what is known.
func (d *Daemon) outdated(a, last Announcement) bool {
	if d.hasEnded(a) {
		return true
	}
	if last.Instance == "" {
		return false
	}
	if a.Born != last.Born {
		return a.Born.Before(last.Born)
	}
	return a.Instance == last.Instance && a.Sequence < last.Sequence
}

// hasEnded reports whether an announcement is of a start that has said that it
// leaves, perhaps before any announcement of it was heard. A target that is
// started again under the same name is born after that.
func (d *Daemon) hasEnded(a Announcement) bool {
	s := start{
		instance: a.Instance,
		born:     a.Born,
	}
	if left, ok := d.departed[a.Instance]; ok && !a.Born.After(left) {
		d.ended[s] = true
	}
	return d.ended[s]
}

// depart takes in that a target leaves.
func (d *Daemon) depart(a Announcement, last announced) {
	if last.Instance != a.Instance {
		d.departed[a.Instance] = d.clock.Now()
		d.log.Info("target leaves that has not announced itself here", "instance", a.Instance, "known", last.Instance)
		return
	}
	d.ended[start{instance: last.Instance, born: last.Born}] = true
	d.announced.Draining = true
	d.log.Info("target leaves", "instance", a.Instance)
	d.apply(d.announced.Announcement)
}

// apply tells the gate and the members what the target is like.
func (d *Daemon) apply(a Announcement) {
	d.gate.Announce(admitter.Target{
		Instance: a.Instance,
		Service:  a.Service,
		Version:  a.Version,
		Slots:    a.Slots,
		Leaving:  a.Draining,
		Cold:     a.Cold,
		ColdRate: d.coldRate(a.Service),
	})
	next := prober.Target{
		Service:   a.Service,
		Version:   a.Version,
		Slots:     a.Slots,
		Draining:  a.Draining,
		Instance:  a.Instance,
		Withdrawn: d.withdrawn(a.Service, a.Version),
	}
	if known := d.members.Self().Target; known != nil && known.Instance == next.Instance {
		next.Calls, next.Faults = known.Calls, known.Faults
	}
	d.spread(&next)
}

// spread tells the members of the target if that is news to them.
func (d *Daemon) spread(next *prober.Target) {
	known := d.members.Self().Target
	if known == next || (known != nil && next != nil && *known == *next) {
		return
	}
	d.update(func(m prober.Member) prober.Member { return m.WithTarget(next) })
}

// defaultColdRate holds while no plan says what a cold target bears.
const defaultColdRate = 5

func (d *Daemon) coldRate(service string) float64 {
	if p := d.plan(); p != nil {
		return p.Services[service].ColdRate
	}
	return defaultColdRate
}

// watchTarget takes a target that has fallen silent out of the membership.
func (d *Daemon) watchTarget(ctx context.Context) {
	lapse := lapseBeats * d.sidecar.Heartbeat.Duration
	for ctx.Err() == nil {
		pause(ctx, d.sidecar.Heartbeat.Duration)
		d.announcing.Lock()
		a := &d.announced
		if a.Instance != "" && !a.silent && d.clock.Now().Sub(a.at) > lapse {
			a.silent = true
			d.gate.Doubt()
			d.log.Warn("target silent", "instance", a.Instance, "since", d.clock.Now().Sub(a.at))
			d.spread(nil)
		}
		d.announcing.Unlock()
	}
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
