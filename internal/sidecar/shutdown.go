package sidecar

import "time"

// Times of a shutdown.
const (
	// clientsTime is how long clients take to notice that the daemon is no
	// longer ready: the platform asks once a second and takes it out after two
	// misses.
	clientsTime = 2700 * time.Millisecond
	// quietTime is how long nothing may have been under way at the end.
	quietTime = 250 * time.Millisecond
	// defaultTimeout stands for the longest time-out of a rule before a plan is
	// known.
	defaultTimeout = time.Second
	// killMargin is kept of the grace before the kill.
	killMargin = 400 * time.Millisecond
	// shutdownTick is how often the shutdown looks whether it is done.
	shutdownTick = 50 * time.Millisecond
)

// shutdown says that the daemon is no longer ready, serves on while clients
// move away, and then turns away what other daemons send.
func (d *Daemon) shutdown() {
	began := d.clock.Now()
	end := began.Add(d.sidecar.Grace.Duration - killMargin)
	d.leaving.Store(true)
	d.receiver.Drain()
	d.log.Info("stopping", "grace", d.sidecar.Grace.Duration)
	time.Sleep(clientsTime)
	d.leave()
	last := end.Add(-d.longestTimeout())
	var quietSince time.Time
	for now := d.clock.Now(); now.Before(end); now = d.clock.Now() {
		switch {
		case d.receiver.Busy() > 0 || d.gate.Running() > 0:
			quietSince = time.Time{}
		case quietSince.IsZero():
			quietSince = now
		case now.Sub(quietSince) > quietTime:
			d.receiver.Stop()
			return
		}
		if now.After(last) {
			d.receiver.Stop()
		}
		time.Sleep(shutdownTick)
	}
	d.log.Warn("stopping with requests under way", "connections", d.receiver.Busy(), "running", d.gate.Running())
}

// longestTimeout returns the longest time that a request may take.
func (d *Daemon) longestTimeout() time.Duration {
	p := d.plan()
	if p == nil {
		return defaultTimeout
	}
	return p.LongestTimeout()
}
