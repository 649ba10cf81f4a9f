package sidecar

import (
	"context"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
)

// Timing of a graceful shutdown.
const (
	// unreadyDelay is how long the platform needs to stop sending clients to a
	// daemon that reports not ready: it checks readiness once a second and removes
	// the daemon after two failed checks.
	unreadyDelay = 2700 * time.Millisecond
	// idleTime is the time without requests in flight after which the shutdown
	// completes.
	idleTime = 250 * time.Millisecond
	// defaultTimeout is used instead of the longest timeout of the rules while no
	// plan is known.
	defaultTimeout = time.Second
	// killMargin is the time reserved at the end of the grace period, before the
	// platform kills the process. It is shorter for a short grace period.
	killMargin = 400 * time.Millisecond
	// closeTime is the time reserved for closing the connections of clients. Requests
	// that have arrived by then are rejected.
	closeTime = receiver.CloseTime + 2*shutdownPollInterval
	// shutdownPollInterval is the interval at which the shutdown checks whether requests
	// are in flight.
	shutdownPollInterval = 50 * time.Millisecond
)

// shutdown stops the daemon gracefully. It reports not ready, keeps serving while
// clients move to other daemons, then admits no further attempts at the local target.
// It rejects requests that may take longer than it serves, and recalls attempts that no
// target runs in time.
// It closes the connections of clients once no request is in flight, or once the time
// left is shorter than the longest timeout, and returns when they have ended or the grace
// period is nearly over. The connections of other daemons are closed last. If the process
// was held up until then, it still closes all of them.
func (d *Daemon) shutdown() {
	grace := d.sidecar.GracePeriod.Duration
	serviceTime := grace - min(killMargin, grace/4)
	delay := max(0, min(unreadyDelay, serviceTime/2, serviceTime-closeTime))
	startTime := d.clock.Now()
	serviceEnd := startTime.Add(serviceTime)
	d.serviceEnd.Store(&serviceEnd)
	deadline := serviceEnd
	d.stopping.Store(true)
	d.receiver.Drain()
	d.log.Info("stopping", "grace", grace)
	d.gate.CheckQueue()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go newRecaller(d).run(ctx)
	time.Sleep(delay)
	d.leave()
	stopTime := deadline.Add(-max(d.longestTimeout(), closeTime))
	// wakeTime is the time at which the next pass of the loop is due.
	wakeTime := startTime.Add(delay)
	var idleSince time.Time
	stopped := false
	for {
		now := d.clock.Now()
		if end := now.Add(closeTime); now.Sub(wakeTime) > closeTime && end.After(deadline) {
			deadline = end
		}
		switch {
		case d.receiver.BusyConnections() > 0 || d.servesAttempts():
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		case !stopped && now.Sub(idleSince) > idleTime:
			stopTime = now
		}
		if !now.Before(stopTime) && !stopped {
			d.stopReceiver()
			stopped = true
		}
		if (d.receiver.Ended() && !d.servesAttempts()) || !now.Before(deadline.Add(-closeTime)) {
			d.attempts.Stop()
		}
		if d.receiver.Ended() && d.gate.Running() == 0 && d.attempts.Ended() {
			return
		}
		if !now.Before(deadline) {
			break
		}
		time.Sleep(shutdownPollInterval)
		wakeTime = now.Add(shutdownPollInterval)
	}
	d.log.Warn("stopping with requests in flight", "connections", d.receiver.BusyConnections(), "running", d.gate.Running(), "peers", d.attempts.Busy())
	d.receiver.ReportOpen()
}

// servesAttempts reports whether an attempt runs at the local target, or another daemon
// does not have its response yet.
func (d *Daemon) servesAttempts() bool {
	return d.gate.Running() > 0 || d.attempts.Busy() > 0
}

// stopReceiver stops the server of client connections, and logs the connections that
// are open.
func (d *Daemon) stopReceiver() {
	open, busy := d.receiver.Connections()
	d.log.Info("closing client connections", "connections", open, "busy", busy, "idle", open-busy)
	d.receiver.Stop()
}

// servesUntil returns the time at which the shutdown ends at the latest, or the zero time
// before it begins.
func (d *Daemon) servesUntil() time.Time {
	if end := d.serviceEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// longestTimeout returns the longest timeout of the plan's rules.
func (d *Daemon) longestTimeout() time.Duration {
	p := d.plan()
	if p == nil {
		return defaultTimeout
	}
	return p.LongestTimeout()
}
