package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Times of writing outcomes.
const (
	// keepPeriod is how often outcomes are looked at.
	keepPeriod = 100 * time.Millisecond
	// standInTime is how long the next daemon waits for the one before it to
	// write an outcome.
	standInTime = 500 * time.Millisecond
	// keepers is the number of daemons that may write an outcome.
	keepers = 4
	// minTold is the number of answers below which only failures are told.
	minTold = 8
)

// judgeOrder counts an answer of the own target during a move.
func (d *Daemon) judgeOrder(o *carrier.Order, e deliverer.Ending) {
	v := d.view.Load()
	if v == nil || v.services[o.Service] == nil {
		return
	}
	s := v.services[o.Service]
	if s.order == nil || s.done || s.bad || o.Version != s.order.Version || e.Cut {
		return
	}
	a := shifter.Answer{
		Rule:     o.Rule,
		Failed:   e.Bad() && e.Status != http.StatusGatewayTimeout,
		Duration: e.Duration,
		Usual:    d.chooser.Expected(o.Rule),
	}
	if d.gate.Cold() {
		a.Duration = 0
	}
	if !d.judge.Add(*s.order, a, d.chooser.Faulty(s.targets)) {
		d.tellCounts(*s.order, a.Failed)
		return
	}
	d.log.Warn("version found bad", "service", o.Service, "version", o.Version, "rule", o.Rule, "request", o.ID)
	go d.withdraw(*s.order)
}

// tellCounts tells the others how many answers of the own target were failures:
// with each failure, and whenever the answers have doubled.
func (d *Daemon) tellCounts(o shifter.Order, failed bool) {
	self := d.members.Self().Target
	total := d.judge.Total(o)
	if self == nil || self.Version != o.Version || (!failed && total.Calls < 2*max(minTold, self.Calls)) {
		return
	}
	next := *self
	next.Calls, next.Faults = total.Calls, total.Faults
	d.spread(&next)
}

// pooledBad reports whether the targets of an order's version have together
// failed too many requests.
func (d *Daemon) pooledBad(o shifter.Order, members []prober.Member, targets []chooser.Target) bool {
	var pool shifter.Pool
	for _, m := range members {
		if m.Target.Version == o.Version {
			pool.Calls += m.Target.Calls
			pool.Faults += m.Target.Faults
		}
	}
	return pool.Bad(d.chooser.Faulty(targets))
}

// withdrawal tells that an order's version was found to be bad.
type withdrawal struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	By       string `json:"by"`
}

// withdraw stops the requests to an order's version, here and at the others.
func (d *Daemon) withdraw(o shifter.Order) {
	d.building.Lock()
	known := d.spoilt[o]
	d.spoilt[o] = true
	d.rebuild()
	d.building.Unlock()
	if known {
		return
	}
	self := d.members.Self().Target
	if self != nil && self.Version == o.Version && !self.Withdrawn {
		next := *self
		next.Withdrawn = true
		d.spread(&next)
	}
	d.callMembers(withdrawMethod, withdrawal{
		Service:  o.Service,
		Revision: o.Revision,
		By:       d.settings.Name,
	})
}

// answerWithdraw takes in that another daemon has found a version to be bad.
func (d *Daemon) answerWithdraw(_ context.Context, w withdrawal) (struct{}, error) {
	d.building.Lock()
	defer d.building.Unlock()
	o, ok := d.declared.Orders[w.Service]
	if !ok || o.Revision != w.Revision || d.spoilt[o] {
		return struct{}{}, nil
	}
	d.log.Warn("move withdrawn", "service", o.Service, "version", o.Version, "by", w.By)
	d.spoilt[o] = true
	d.rebuild()
	return struct{}{}, nil
}

// withdrawn reports whether the own target's version was found to be bad here.
func (d *Daemon) withdrawn(service, version string) bool {
	v := d.view.Load()
	if v == nil || v.services[service] == nil {
		return false
	}
	o := v.services[service].order
	return o != nil && o.Version == version && d.judge.Bad(*o)
}

// outcomeKey identifies an outcome that is due, on top of a revision of the
// service's record.
type outcomeKey struct {
	service, version string
	state            shifter.State
	base             uint64
}

// keepMoves writes the outcomes of moves as they become due.
func (d *Daemon) keepMoves(ctx context.Context) {
	due := map[outcomeKey]time.Time{}
	for ctx.Err() == nil {
		pause(ctx, keepPeriod)
		v := d.view.Load()
		if v == nil || d.left.Load() {
			continue
		}
		for service, s := range v.services {
			if s.order == nil {
				continue
			}
			if next, ok := d.nextOutcome(service, s); ok {
				d.keepMove(ctx, next, due)
			}
		}
	}
}

// nextOutcome returns what is to be written of a service's move now.
func (d *Daemon) nextOutcome(service string, s *serviceView) (shifter.Outcome, bool) {
	d.building.Lock()
	known := d.settled[service]
	d.building.Unlock()
	if known.Settles(*s.order) {
		return shifter.Outcome{}, false
	}
	next := shifter.Outcome{
		Service: service,
		Version: s.order.Version,
		State:   shifter.Running,
	}
	next.Item.Version = known.Item.Version
	switch {
	case s.bad:
		next.State = shifter.RolledBack
	case d.clock.Now().Sub(s.heard) >= s.order.Due() && len(s.trial) > 0:
		next.State = shifter.Completed
	case known.Concerns(*s.order):
		return shifter.Outcome{}, false
	}
	return next, true
}

// keepMove writes an outcome if it is this daemon's turn. Others stand in for a
// daemon that does not write it.
func (d *Daemon) keepMove(ctx context.Context, o shifter.Outcome, due map[outcomeKey]time.Time) {
	id := outcomeKey{
		service: o.Service,
		version: o.Version,
		state:   o.State,
		base:    o.Item.Version,
	}
	since, ok := due[id]
	if !ok {
		since = d.clock.Now()
		due[id] = since
	}
	turn := d.turn(o.Service + "/" + o.Version)
	if turn < 0 || d.clock.Now().Sub(since) < time.Duration(turn)*standInTime {
		return
	}
	key, value, err := d.platform.Outcome(o)
	if err != nil {
		d.log.Error("outcome not encoded", "service", o.Service, "err", err)
		return
	}
	revision, err := d.platform.Store.PutIf(ctx, key, value, o.Item.Version, "")
	switch {
	case err == nil:
		d.log.Info("outcome written", "service", o.Service, "version", o.Version, "state", o.State, "revision", revision)
	case errors.Is(err, storer.ErrConflict):
		d.log.Info("outcome already written by another", "service", o.Service, "version", o.Version)
	default:
		d.log.Warn("outcome not written", "service", o.Service, "state", o.State, "err", err)
	}
	due[id] = d.clock.Now()
}

// turn returns the daemon's place among those that write an outcome, or -1.
func (d *Daemon) turn(key string) int {
	var ids []string
	for _, m := range d.members.All() {
		if m.Status == prober.Alive {
			ids = append(ids, m.ID)
		}
	}
	for i, id := range ranker.Top(key, ids, keepers) {
		if id == d.settings.Name {
			return i
		}
	}
	return -1
}
