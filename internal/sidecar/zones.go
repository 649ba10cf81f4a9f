package sidecar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// shareLogPeriod is the least time between two log lines on the share of a rule.
const shareLogPeriod = time.Second

// zoneObserver counts and logs what is sent to other data centres.
type zoneObserver struct {
	// attemptBytes and controlBytes count the bytes, in both directions, of attempts and of
	// remote calls on the connections that the daemon has opened to other data centres.
	attemptBytes, controlBytes atomic.Int64

	mu sync.Mutex
	// logged holds what was last logged of each rule's share.
	logged map[serviceRule]loggedShare
}

type serviceRule struct{ service, rule string }

// loggedShare is a share that was logged. quarter counts its quarters, rounded up.
type loggedShare struct {
	quarter int
	at      time.Time
}

// observeZones sets the functions that observe the choice between data centres and the
// calls between them.
func (d *Daemon) observeZones() {
	d.zones.logged = map[serviceRule]loggedShare{}
	d.chooser.StayTargets = d.sidecar.StayTargets
	d.chooser.OnZone = d.observeZoneChoice
	d.client.Traffic = func(address string) *atomic.Int64 {
		return d.trafficCounter(&d.zones.controlBytes, func(m prober.Member) bool { return m.Control == address })
	}
}

// attemptTraffic returns the counter of the bytes of attempts at an address, or nil if it is
// not in another data centre.
func (d *Daemon) attemptTraffic(address string) *atomic.Int64 {
	return d.trafficCounter(&d.zones.attemptBytes, func(m prober.Member) bool { return m.Admit == address })
}

// trafficCounter returns counter if a member that matches is in another data centre, or nil.
func (d *Daemon) trafficCounter(counter *atomic.Int64, matches func(prober.Member) bool) *atomic.Int64 {
	for _, m := range d.members.All() {
		if matches(m) && m.DC != d.settings.DC {
			return counter
		}
	}
	return nil
}

// observeZoneChoice counts a choice between the own data centre and the others, and logs
// when the share that leaves it has changed by a quarter.
func (d *Daemon) observeZoneChoice(z chooser.ZoneChoice) {
	switch {
	case z.Forced:
		d.incrementCounter("zone.forced")
	case z.Left:
		d.incrementCounter("zone.left")
	default:
		d.incrementCounter("zone.stayed")
	}
	if z.Before.Share != z.After.Share {
		metrics.GetOrRegisterGaugeFloat64("zone.share."+z.Service+"."+z.Rule, d.metrics).Update(z.After.Share)
	}
	if d.zones.shouldLog(z, d.clock.Now()) {
		d.log.Info("share that leaves the zone", "service", z.Service, "rule", z.Rule, "share", z.After.Share, "own", z.After.Own, "other", z.After.Other)
	}
}

// shouldLog reports whether the share after a choice is to be logged, and records that.
func (o *zoneObserver) shouldLog(z chooser.ZoneChoice, now time.Time) bool {
	key := serviceRule{service: z.Service, rule: z.Rule}
	quarter := int(math.Ceil(4 * z.After.Share))
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.logged[key]
	if quarter == last.quarter || now.Sub(last.at) < shareLogPeriod {
		return false
	}
	o.logged[key] = loggedShare{
		quarter: quarter,
		at:      now,
	}
	return true
}
