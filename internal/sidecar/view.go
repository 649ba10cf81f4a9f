package sidecar

import (
	"context"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
)

// view is all that requests are handled by. It is immutable.
type view struct {
	plan     *matcher.Plan
	out      map[string]bool
	services map[string]*serviceView
	// targets is the number of members whose targets take requests.
	targets int
}

// serviceView is what requests of one service are handled by.
type serviceView struct {
	// base is the version that carries the requests; "" means any.
	base    string
	targets []chooser.Target
	// trial is the targets of the order's version.
	trial []chooser.Target
	order *shifter.Order
	// heard is when the order was heard of.
	heard time.Time
	// done and bad say that the order's version gets everything, or nothing.
	done, bad bool
}

// share returns the part of the requests that the order's version gets.
func (s *serviceView) share(now time.Time) float64 {
	switch {
	case s.order == nil || s.bad:
		return 0
	case s.done:
		return 1
	default:
		return s.order.Share(now.Sub(s.heard))
	}
}

func (d *Daemon) plan() *matcher.Plan {
	if v := d.view.Load(); v != nil {
		return v.plan
	}
	return nil
}

// pool returns the targets that a service's requests go to.
func (d *Daemon) pool(service string) dispatcher.Pool {
	v := d.view.Load()
	if v == nil || v.services[service] == nil {
		return dispatcher.Pool{}
	}
	s := v.services[service]
	return dispatcher.Pool{
		Targets: s.targets,
		Trial:   s.trial,
		Share:   s.share(d.clock.Now()),
	}
}

// closed reports whether the target on the VM must get nothing, since its zone
// is out or its version carries no requests.
func (d *Daemon) closed(t admitter.Target) bool {
	v := d.view.Load()
	if v == nil || v.out[d.settings.DC] || d.left.Load() {
		return true
	}
	s := v.services[t.Service]
	if s == nil {
		return true
	}
	if s.order != nil && t.Version == s.order.Version {
		return s.share(d.clock.Now()) == 0
	}
	return s.base != "" && t.Version != s.base
}

// follow returns a follower of the store's items under a prefix.
func (d *Daemon) follow(prefix string, changed func(follower.Copy)) *follower.Follower {
	return &follower.Follower{
		Prefix:   prefix,
		Platform: d.platform.Store,
		Watching: d.watching,
		Pause:    d.retryPause,
		Changed: func(c follower.Copy) {
			changed(c)
			d.notify()
		},
		Reached: func(ok bool, err error) {
			d.dependency("store "+prefix, ok, err)
		},
	}
}

// putOperator takes in what operators declare.
func (d *Daemon) putOperator(c follower.Copy) {
	declared, failures := d.platform.Operator(c.Items)
	for _, err := range failures {
		d.log.Error("record not understood; the former one holds", "err", err)
	}
	d.building.Lock()
	defer d.building.Unlock()
	former := d.declared
	if declared.Plan == nil || (former.Plan != nil && declared.Plan.Version < former.Plan.Version) {
		declared.Plan = former.Plan
	}
	d.declared = declared
	now := d.clock.Now()
	for _, o := range declared.Orders {
		if _, known := d.heardOrder[o.Revision]; !known {
			d.heardOrder[o.Revision] = now
			d.log.Info("move ordered", "service", o.Service, "version", o.Version, "period", o.Period, "revision", o.Revision)
		}
	}
	if former.Out[d.settings.DC] && !declared.Out[d.settings.DC] {
		d.gate.Doubt()
	}
	var version uint64
	if declared.Plan != nil {
		version = declared.Plan.Version
	}
	d.log.Info("configuration in force", "plan", version, "revision", c.Revision, "out", declared.Out)
	d.rebuild()
}

// putOutcomes takes in what became of moves.
func (d *Daemon) putOutcomes(c follower.Copy) {
	outcomes, failures := d.platform.Outcomes(c.Items)
	for _, err := range failures {
		d.log.Error("outcome not understood", "err", err)
	}
	d.building.Lock()
	defer d.building.Unlock()
	d.settled = outcomes
	for _, o := range outcomes {
		d.log.Info("outcome of a move", "service", o.Service, "version", o.Version, "state", o.State, "revision", o.Item.Version)
	}
	d.rebuild()
}

// Times of making the view anew.
const (
	// refreshPeriod is how often that happens without news: what the answers
	// tell of a move's targets changes too.
	refreshPeriod = time.Second
	// minRefresh is the least time between two, and refreshRest what follows
	// each, in times of what it took: the members' news take a twentieth of a
	// core at most.
	minRefresh  = 2 * time.Millisecond
	refreshRest = 20
)

// keepView makes the view anew when members change.
func (d *Daemon) keepView(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.memberNews:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		began := d.clock.Now()
		d.refresh()
		pause(ctx, max(minRefresh, refreshRest*d.clock.Now().Sub(began)))
	}
}

// refresh makes the view anew from the members and the records in force.
func (d *Daemon) refresh() {
	d.building.Lock()
	defer d.building.Unlock()
	d.rebuild()
}

// rebuild makes the view anew. The caller holds the lock.
func (d *Daemon) rebuild() {
	if d.declared.Plan == nil {
		return
	}
	v := &view{
		plan:     d.declared.Plan,
		out:      d.declared.Out,
		services: map[string]*serviceView{},
	}
	serving := map[string][]prober.Member{}
	for _, m := range d.members.All() {
		if m.Serves() {
			serving[m.Target.Service] = append(serving[m.Target.Service], m)
			v.targets++
		}
	}
	for name := range v.plan.Services {
		v.services[name] = d.serviceView(name, v, serving[name])
	}
	old := d.view.Swap(v)
	if old == nil || v.out[d.settings.DC] != old.out[d.settings.DC] || v.changed(old, d.sidecar.Service) {
		d.gate.Recheck()
	}
}

// changed reports whether a service's versions are to be treated another way.
func (v *view) changed(old *view, service string) bool {
	a, b := v.services[service], old.services[service]
	if a == nil || b == nil {
		return a != b
	}
	return a.base != b.base || a.bad != b.bad || a.done != b.done
}

// serviceView sorts a service's members into those that carry its requests and
// those of the version that it is moved to. Members in zones that seem to be out
// of reach stay: the requests themselves show whether they are.
func (d *Daemon) serviceView(service string, v *view, members []prober.Member) *serviceView {
	s := &serviceView{}
	if o, ok := d.declared.Orders[service]; ok {
		s.order = &o
		s.heard = d.heardOrder[o.Revision]
		outcome, known := d.settled[service]
		settled := known && outcome.Settles(o)
		s.done = settled && outcome.State == shifter.Completed
		s.bad = !s.done && (d.spoilt[o] || (settled && outcome.State == shifter.RolledBack))
		for _, m := range members {
			if m.Target.Withdrawn && m.Target.Version == o.Version && !s.done && !s.bad {
				d.spoilt[o] = true
				s.bad = true
				d.log.Warn("move withdrawn", "service", service, "version", o.Version, "by", m.ID)
			}
		}
	}
	s.base = d.baseOf(service, s, members)
	for _, m := range members {
		if v.out[m.DC] {
			continue
		}
		t := d.target(m)
		switch {
		case s.order != nil && t.Version == s.order.Version:
			s.trial = append(s.trial, t)
		case s.base == t.Version:
			s.targets = append(s.targets, t)
		}
	}
	if s.order != nil && !s.done && !s.bad && d.pooledBad(*s.order, members, s.targets) {
		s.bad = true
		d.log.Warn("version found bad by the answers of all its targets", "service", service, "version", s.order.Version)
		go d.withdraw(*s.order)
	}
	if s.bad {
		s.trial = nil
	}
	if s.done {
		s.targets, s.trial = s.trial, nil
	}
	return s
}

// baseOf returns the version that carries a service's requests. It stays until a
// move is done or none of its targets is left.
func (d *Daemon) baseOf(service string, s *serviceView, members []prober.Member) string {
	if s.done {
		d.base[service] = s.order.Version
		return s.order.Version
	}
	counts := map[string]int{}
	for _, m := range members {
		if s.order == nil || m.Target.Version != s.order.Version {
			counts[m.Target.Version]++
		}
	}
	base := d.base[service]
	if counts[base] > 0 {
		return base
	}
	for version, n := range counts {
		if n > counts[base] || (n == counts[base] && version < base) {
			base = version
		}
	}
	if counts[base] > 0 {
		d.base[service] = base
	}
	return base
}

// target returns a member's target.
func (d *Daemon) target(m prober.Member) chooser.Target {
	return chooser.Target{
		Daemon:   m.ID,
		Address:  m.Admit,
		Instance: m.Target.Instance,
		Version:  m.Target.Version,
		Near:     m.DC == d.settings.DC,
		Doubtful: m.DC != d.settings.DC && !d.members.Reachable(m.DC),
		Slots:    m.Target.Slots,
	}
}
