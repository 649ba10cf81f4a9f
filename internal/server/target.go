package server

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Announcement is the heartbeat that a target sends to the daemon on its VM.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is where the target accepts requests, as IP:port.
	Address string `json:"address"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Draining means that the target accepts no new requests.
	Draining bool `json:"draining,omitempty"`
	// Warmup is the minimum time after the target's start before the limiter may use
	// all its slots. Zero means the limiter's default.
	Warmup parser.Duration `json:"warm,omitzero"`
}

// Limits of an announcement.
const (
	maxSlots  = 10_000
	maxWarmup = time.Hour
)

// Validate returns an error for the first invalid field.
func (a Announcement) Validate() error {
	if a.Service == "" || a.Version == "" {
		return Class.New("announcement without service or version")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return Class.New("address %q: want IP:port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return Class.New("slots %d: want 1 to %d", a.Slots, maxSlots)
	}
	if a.Warmup.Duration < 0 || a.Warmup.Duration > maxWarmup {
		return Class.New("warm %v: want 0s to %v", a.Warmup, maxWarmup)
	}
	return nil
}

// announcedTarget is the local target with its last announcement.
type announcedTarget struct {
	Announcement
	local    *forwarder.Local
	lastSeen time.Time
}

// Timing of the target's heartbeat.
const (
	// HeartbeatPeriod is how often a target announces itself.
	HeartbeatPeriod = time.Second
	// heartbeatTimeout is the time without a heartbeat after which a target is
	// removed.
	heartbeatTimeout = 3 * time.Second
	// leaveTimeout bounds the response to a leave report. Targets wait a second for it.
	leaveTimeout = 800 * time.Millisecond
)

// recordHeartbeat stores a target's announcement and publishes it to other
// daemons if it has changed. A target that returns with the same service,
// version and address keeps its limiter.
func (d *Daemon) recordHeartbeat(a Announcement) {
	d.targetMu.Lock()
	defer d.targetMu.Unlock()
	old := d.local.Load()
	next := &announcedTarget{
		Announcement: a,
		lastSeen:     d.clock.Now(),
	}
	previous := old
	if previous == nil {
		previous = d.formerTarget.Load()
	}
	switch {
	case previous == nil:
		next.local = d.newLocal(a)
	case previous.Service == a.Service && previous.Version == a.Version && previous.Address == a.Address:
		next.local = previous.local
	default:
		previous.local.Limiter.Close()
		next.local = d.newLocal(a)
	}
	next.updateLimiter()
	d.local.Store(next)
	if old == nil || old.Announcement != a {
		d.publishTarget(a)
	}
}

// updateLimiter applies the announcement to the target's limiter.
func (a *announcedTarget) updateLimiter() {
	a.local.Limiter.Resize(a.Slots)
	if a.Draining {
		a.local.Limiter.Close()
	} else {
		a.local.Limiter.Open()
	}
}

func (d *Daemon) newLocal(a Announcement) *forwarder.Local {
	return &forwarder.Local{
		Service: a.Service,
		Version: a.Version,
		Address: a.Address,
		Limiter: limiter.New(limiter.Options{
			Slots:     a.Slots,
			MaxQueued: d.settings.Limits.MaxQueued,
			Warmup:    a.Warmup.Duration,
			Clock:     d.clock,
		}),
	}
}

// publishTarget announces the target to the other members.
func (d *Daemon) publishTarget(a Announcement) {
	d.log.Info("target announced", "service", a.Service, "version", a.Version, "slots", a.Slots, "draining", a.Draining)
	d.members.UpdateSelf(func(m prober.Member) prober.Member {
		return m.WithTarget(&prober.Target{
			Service:  a.Service,
			Version:  a.Version,
			Slots:    a.Slots,
			Draining: a.Draining,
		})
	})
}

// removeTarget removes the target and announces its removal to the other
// members. It does nothing if there is no target.
func (d *Daemon) removeTarget(reason string) {
	d.targetMu.Lock()
	defer d.targetMu.Unlock()
	d.removeTargetLocked(reason)
}

// expireTarget removes the target if it has sent no heartbeat for heartbeatTimeout.
func (d *Daemon) expireTarget() {
	d.targetMu.Lock()
	defer d.targetMu.Unlock()
	if a := d.local.Load(); a != nil && d.clock.Now().Sub(a.lastSeen) > heartbeatTimeout {
		d.removeTargetLocked("no heartbeat")
	}
}

// removeTargetLocked is removeTarget for callers that hold targetMu.
func (d *Daemon) removeTargetLocked(reason string) {
	old := d.local.Swap(nil)
	if old == nil {
		return
	}
	old.local.Limiter.Close()
	d.formerTarget.Store(old)
	d.log.Info("target removed", "reason", reason)
	d.members.UpdateSelf(func(m prober.Member) prober.Member { return m.WithTarget(nil) })
}

// waitForTargetRequests waits until the requests at the removed target have ended, for at most
// leaveTimeout. A target that stops may close a connection on which a request has arrived
// that it has not read.
func (d *Daemon) waitForTargetRequests(ctx context.Context) {
	left := d.formerTarget.Load()
	if left == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for left.local.Limiter.Running() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPollInterval)
	}
}

// watchTarget removes the target when its heartbeats stop.
func (d *Daemon) watchTarget(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, HeartbeatPeriod)
		d.expireTarget()
	}
	return nil
}

// localTarget returns the announced target. It returns nil if there is none, if
// the target is draining, or if the data centre is evacuated.
func (d *Daemon) localTarget() *forwarder.Local {
	a := d.local.Load()
	if a == nil || a.Draining || d.isEvacuated() {
		return nil
	}
	return a.local
}

// observeOutcome records the outcome of an admitted request.
func (d *Daemon) observeOutcome(l *forwarder.Local, r *http.Request, o limiter.Outcome) {
	d.countAdmitted(l, o)
	endSample(r, o)
	metrics.GetOrRegisterTimer("target.calls", d.metrics).Update(o.Duration)
	if o.Failed {
		metrics.GetOrRegisterCounter("target.failures", d.metrics).Inc(1)
	}
}
