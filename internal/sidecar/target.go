package sidecar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// targetProcess identifies one process of a target.
type targetProcess struct {
	instance  string
	startTime time.Time
}

// lastAnnouncement is the target's most recent announcement.
type lastAnnouncement struct {
	Announcement
	at time.Time
	// expired means that the announcement is too old to be relied on.
	expired bool
}

// maxMissedHeartbeats is the number of heartbeat intervals without an announcement
// after which a target is assumed to be gone. Some heartbeats are late by seconds.
const maxMissedHeartbeats = 4

// serveReport handles the announcements of the local target.
func (d *Daemon) serveReport(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, d.platform.ReportPath) || (r.Method != http.MethodPut && r.Method != http.MethodDelete) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a, err := d.platform.DecodeReport(r)
	if err == nil && !a.Leaving && a.Service != d.sidecar.Service {
		err = Class.New("target %q of service %q, want %q", a.Instance, a.Service, d.sidecar.Service)
	}
	if err != nil {
		d.log.Warn("announcement refused", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.handleAnnouncement(a)
	if (a.Draining || a.Leaving) && !d.departures.wait(r.Context(), departureTimeout) {
		d.log.Warn("report not acknowledged: departure not stored", "instance", a.Instance)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// handleAnnouncement handles an announcement.
func (d *Daemon) handleAnnouncement(a Announcement) {
	d.announcementMu.Lock()
	defer d.announcementMu.Unlock()
	switch {
	case a.Leaving:
		d.handleLeave(a, d.lastAnnouncement)
	case a.Draining || d.isVerified(a):
		d.handleRunning(a)
	default:
		d.log.Info("announcement held until departures are known", "instance", a.Instance, "sequence", a.Sequence)
	}
}

// handleRunning applies an announcement of a running process unless a later one is known.
// The caller holds announcementMu.
func (d *Daemon) handleRunning(a Announcement) {
	last := d.lastAnnouncement
	if d.isStale(a, last.Announcement) {
		d.log.Info("stale announcement ignored", "instance", a.Instance, "sequence", a.Sequence, "known", last.Instance)
		return
	}
	d.lastAnnouncement = lastAnnouncement{
		Announcement: a,
		at:           d.clock.Now(),
	}
	if last.Instance != a.Instance || last.StartTime != a.StartTime || last.Draining != a.Draining || last.expired {
		d.log.Info("target announced", "instance", a.Instance, "version", a.Version, "slots", a.Slots, "draining", a.Draining, "cold", a.WarmupLeft)
	}
	if a.Draining {
		d.addDeparture(a.Instance, startedAt(a.StartTime))
	}
	d.applyTarget(a)
}

// isStale reports whether an announcement must be ignored: it comes from a process
// that has sent a leave report, or is older than the last one.
func (d *Daemon) isStale(a, last Announcement) bool {
	if d.isFromEndedProcess(a) {
		return true
	}
	if last.Instance == "" {
		return false
	}
	if a.StartTime != last.StartTime {
		return a.StartTime.Before(last.StartTime)
	}
	return a.Instance == last.Instance && a.Sequence < last.Sequence
}

// isFromEndedProcess reports whether the process that sent an announcement has
// already sent a leave report. If that is known by the instance only, isFromEndedProcess
// adds the process to endedProcesses. A process that starts later under the same name is
// not affected.
func (d *Daemon) isFromEndedProcess(a Announcement) bool {
	s := targetProcess{
		instance:  a.Instance,
		startTime: a.StartTime,
	}
	if until, ok := d.leaves[a.Instance]; ok && !a.StartTime.After(until) {
		d.endedProcesses[s] = true
	}
	return d.endedProcesses[s]
}

// handleLeave handles a target's leave report.
func (d *Daemon) handleLeave(a Announcement, last lastAnnouncement) {
	if last.Instance != a.Instance {
		now := d.clock.Now()
		d.leaves[a.Instance] = now
		d.addDeparture(a.Instance, now.UnixMilli())
		d.log.Info("unannounced target leaves", "instance", a.Instance, "known", last.Instance)
		return
	}
	d.endedProcesses[targetProcess{instance: last.Instance, startTime: last.StartTime}] = true
	d.lastAnnouncement.Draining = true
	d.addDeparture(last.Instance, startedAt(last.StartTime))
	d.log.Info("target leaves", "instance", a.Instance)
	d.applyTarget(d.lastAnnouncement.Announcement)
}

// addDeparture records that the processes of an instance which started until a time, in
// Unix milliseconds, leave.
func (d *Daemon) addDeparture(instance string, start int64) {
	d.departures.add(departure{
		Instance: instance,
		Start:    start,
	})
}

// handleLeavingResponse handles a response of the target which says that it shuts down.
// It has the effect of a leave report: the process gets no further requests, even if it
// still announces itself as ready.
func (d *Daemon) handleLeavingResponse(a *carrier.Attempt) {
	d.announcementMu.Lock()
	defer d.announcementMu.Unlock()
	last := d.lastAnnouncement
	process := targetProcess{
		instance:  last.Instance,
		startTime: last.StartTime,
	}
	if last.Instance != a.Instance || d.endedProcesses[process] {
		return
	}
	d.log.Info("target says in a response that it leaves", "instance", a.Instance, "request", a.ID)
	d.handleLeave(Announcement{Instance: a.Instance, Leaving: true}, last)
}

// applyTarget passes an announcement to the admission gate and to the members.
func (d *Daemon) applyTarget(a Announcement) {
	d.gate.SetTarget(admitter.Target{
		Instance:     a.Instance,
		Service:      a.Service,
		Version:      a.Version,
		Slots:        d.usableSlots(a),
		ShuttingDown: a.Draining,
		WarmupLeft:   a.WarmupLeft,
		ColdRate:     d.warmupRate(a.Service),
	})
	next := prober.Target{
		Service:   a.Service,
		Version:   a.Version,
		Slots:     a.Slots,
		Draining:  a.Draining,
		Instance:  a.Instance,
		StartedAt: startedAt(a.StartTime),
		Withdrawn: d.foundBad(a.Service, a.Version),
	}
	if known := d.members.Self().Target; known != nil && known.Version == next.Version {
		next.Rollout, next.Calls, next.Failures = known.Rollout, known.Calls, known.Failures
		next.Timed, next.Slow = known.Timed, known.Slow
	}
	d.publishTarget(&next)
}

// startedAt returns a time in Unix milliseconds, or 0 if it is unknown.
func startedAt(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// publishTarget sends the target's state to the members if it has changed. A nil
// state means that there is no target.
func (d *Daemon) publishTarget(next *prober.Target) {
	known := d.members.Self().Target
	if known == next || (known != nil && next != nil && *known == *next) {
		return
	}
	d.updateSelf(func(m prober.Member) prober.Member { return m.WithTarget(next) })
}

// defaultWarmupRate is the warm-up rate, in requests per second, while there is no
// plan.
const defaultWarmupRate = 5

// warmupRate returns the requests per second that a cold target of a service may
// get.
func (d *Daemon) warmupRate(service string) float64 {
	if p := d.plan(); p != nil {
		return p.Services[service].ColdRate
	}
	return defaultWarmupRate
}

// usableSlots returns the number of a target's slots for which it accepts connections, since
// each request that runs has one of its own.
func (d *Daemon) usableSlots(a Announcement) int {
	p := d.plan()
	if p == nil {
		return a.Slots
	}
	if most := p.Services[a.Service].Connections; most > 0 {
		return min(a.Slots, most)
	}
	return a.Slots
}

// announcementExpiry returns the time without an announcement after which a target is
// assumed to be gone.
func (d *Daemon) announcementExpiry() time.Duration {
	return maxMissedHeartbeats * d.sidecar.Heartbeat.Duration
}

// watchTarget removes the target from the membership once its announcements have
// stopped.
func (d *Daemon) watchTarget(ctx context.Context) {
	expiry := d.announcementExpiry()
	for ctx.Err() == nil {
		sleep(ctx, d.sidecar.Heartbeat.Duration)
		d.announcementMu.Lock()
		a := &d.lastAnnouncement
		if a.Instance != "" && !a.expired && d.clock.Now().Sub(a.at) > expiry {
			a.expired = true
			d.gate.SuspectCold()
			d.log.Warn("target silent", "instance", a.Instance, "since", d.clock.Now().Sub(a.at))
			d.publishTarget(nil)
		}
		d.announcementMu.Unlock()
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
