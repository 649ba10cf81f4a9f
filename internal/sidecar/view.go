package sidecar

import (
	"context"
	"maps"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// view is the immutable state by which requests are routed.
type view struct {
	plan      *matcher.Plan
	evacuated map[string]bool
	services  map[string]*serviceView
	// targets is the number of members whose targets accept requests.
	targets int
}

// serviceView is the state by which requests of one service are routed.
type serviceView struct {
	// baseline is the version that serves the requests outside a rollout. If it
	// is empty, targets of any version may get requests.
	baseline string
	targets  []chooser.Target
	// canaries holds the targets of the rollout's version.
	canaries []chooser.Target
	rollout  *shifter.Rollout
	// trial and results are those of the rollout's version.
	trial   shifter.Trial
	results shifter.Totals
	// completed means that the rollout's version gets all requests, and withdrawn
	// that it gets none.
	completed, withdrawn bool
}

// share returns the share of requests for the rollout's version, from 0 to 1.
func (s *serviceView) share(now time.Time) float64 {
	switch {
	case s.rollout == nil || s.withdrawn:
		return 0
	case s.completed:
		return 1
	default:
		return s.trial.Share(*s.rollout, now)
	}
}

// plan returns the plan in force, or nil.
func (d *Daemon) plan() *matcher.Plan {
	if v := d.view.Load(); v != nil {
		return v.plan
	}
	return nil
}

// pool returns the targets of a service's requests.
func (d *Daemon) pool(service string) dispatcher.Pool {
	v := d.view.Load()
	if v == nil || v.services[service] == nil {
		return dispatcher.Pool{}
	}
	s := v.services[service]
	return dispatcher.Pool{
		Targets: s.targets,
		Canary:  s.canaries,
		Share:   s.share(d.clock.Now()),
	}
}

// admissionClosed reports whether the local target must get no requests, because its data
// centre is evacuated, the daemon has left, or no requests go to its version.
func (d *Daemon) admissionClosed(t admitter.Target) bool {
	v := d.view.Load()
	if v == nil || v.evacuated[d.settings.DC] || d.left.Load() {
		return true
	}
	s := v.services[t.Service]
	if s == nil {
		return true
	}
	if s.rollout != nil && t.Version == s.rollout.Version {
		return s.share(d.clock.Now()) == 0
	}
	return s.baseline != "" && t.Version != s.baseline
}

// newFollower returns a follower of the store's items under a prefix.
func (d *Daemon) newFollower(prefix string, changed func(follower.Copy)) *follower.Follower {
	return &follower.Follower{
		Prefix:      prefix,
		Platform:    d.platform.Store,
		ShouldWatch: d.watching,
		RetryDelay:  d.retryPause,
		OnChange: func(c follower.Copy) {
			changed(c)
			d.triggerRelayUpdate()
		},
		OnCall: func(ok bool, err error) {
			d.observeStoreEra()
			d.setDependency("store "+prefix, ok, err)
		},
	}
}

// applyOperator applies the operators' records.
func (d *Daemon) applyOperator(c follower.Copy) {
	declared, failures := d.platform.DecodeOperator(c.Facts())
	for _, err := range failures {
		d.log.Error("operator record not decoded; the previous plan stays in force", "err", err)
	}
	d.planUnreadable.Store(declared.PlanUnreadable)
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.applyDeclaration(declared)
	var version uint64
	if d.declared.Plan != nil {
		version = d.declared.Plan.Version
	}
	d.log.Info("configuration in force", "plan", version, "era", c.Era, "revision", c.Revision,
		"lost", len(c.Lost.Entries), "out", declared.Evacuated)
}

// applyDeclaration puts a declaration in force, without a plan that is missing or older
// than the one in force. The caller holds stateMu.
func (d *Daemon) applyDeclaration(declared Declaration) {
	previous := d.declared
	if declared.Plan == nil || (previous.Plan != nil && declared.Plan.Version < previous.Plan.Version) {
		declared.Plan = previous.Plan
	}
	d.declared = declared
	now := d.clock.Now()
	current := map[storer.Position]bool{}
	for _, r := range declared.Rollouts {
		current[r.Position()] = true
		if old, ok := previous.Rollouts[r.Service]; ok && r.Repeats(old) {
			d.continueRollout(old, r)
		}
		if _, recorded := d.trials[r.Position()]; !recorded {
			d.trials[r.Position()] = shifter.NewTrial(now)
			d.log.Info("move ordered", "service", r.Service, "version", r.Version, "period", r.Period, "era", r.Era, "revision", r.Revision)
		}
	}
	maps.DeleteFunc(d.results, func(p storer.Position, _ *shifter.Results) bool { return !current[p] })
	maps.DeleteFunc(d.ended, func(r shifter.Rollout, _ shifter.State) bool { return !current[r.Position()] })
	if previous.Evacuated[d.settings.DC] && !declared.Evacuated[d.settings.DC] {
		d.gate.SuspectCold()
	}
	d.rebuild()
}

// continueRollout makes what is known of the rollout old that of r, which repeats it. The
// caller holds stateMu.
func (d *Daemon) continueRollout(old, r shifter.Rollout) {
	d.log.Info("move written again", "service", r.Service, "version", r.Version, "era", r.Era, "revision", r.Revision)
	if t, ok := d.trials[old.Position()]; ok {
		d.trials[r.Position()] = t
	}
	if results, ok := d.results[old.Position()]; ok {
		d.results[r.Position()] = results
	}
	if d.badRollouts[old] {
		d.badRollouts[r] = true
	}
	if state, ok := d.ended[old]; ok {
		d.ended[r] = state
	}
	d.judge.Continue(old, r)
}

// applyOutcomes applies the recorded outcomes of rollouts.
func (d *Daemon) applyOutcomes(c follower.Copy) {
	outcomes, failures := d.platform.DecodeOutcomes(c.Facts())
	for _, err := range failures {
		d.log.Error("rollout outcome not decoded", "err", err)
	}
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	for _, o := range outcomes {
		d.log.Info("rollout outcome received", "service", o.Service, "version", o.Version, "state", o.State, "era", o.Item.Era, "revision", o.Item.Version)
	}
	d.outcomes = c
	d.setOutcomes(outcomes)
}

// setOutcomes replaces the recorded outcomes. The caller holds stateMu.
func (d *Daemon) setOutcomes(outcomes map[string]shifter.Outcome) {
	d.settled = outcomes
	if outcomes == nil {
		d.settled = map[string]shifter.Outcome{}
	}
	d.rebuild()
}

// Intervals of rebuilding the view.
const (
	// refreshPeriod is the interval of rebuilding the view without a change of
	// members, because the measured failure rate of the baseline's targets, with
	// which a rollout's version is compared, changes too.
	refreshPeriod = time.Second
	// minRefreshPause is the minimum pause after a refresh. refreshPauseFactor
	// is the pause as a multiple of the refresh's duration. It limits refreshes to
	// about 5 % of one CPU core.
	minRefreshPause    = 2 * time.Millisecond
	refreshPauseFactor = 20
)

// runRefresh rebuilds the view when members change, until ctx ends.
func (d *Daemon) runRefresh(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.membersChanged:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		startTime := d.clock.Now()
		d.refresh()
		sleep(ctx, max(minRefreshPause, refreshPauseFactor*d.clock.Now().Sub(startTime)))
	}
}

// refresh rebuilds the view from the members and the records in force.
func (d *Daemon) refresh() {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.rebuild()
}

// rebuild rebuilds the view. The caller holds stateMu.
func (d *Daemon) rebuild() {
	if d.declared.Plan == nil {
		return
	}
	v := &view{
		plan:      d.declared.Plan,
		evacuated: d.declared.Evacuated,
		services:  map[string]*serviceView{},
	}
	members := d.members.All()
	d.leaving.record(members)
	serving := map[string][]prober.Member{}
	for _, m := range members {
		if m.Serves() {
			serving[m.Target.Service] = append(serving[m.Target.Service], m)
			v.targets++
		}
	}
	for name := range v.plan.Services {
		v.services[name] = d.serviceView(name, v, serving[name], members)
	}
	old := d.view.Swap(v)
	d.gate.SetColdRate(v.plan.Services[d.sidecar.Service].ColdRate)
	if old == nil || v.evacuated[d.settings.DC] != old.evacuated[d.settings.DC] || v.versionsChanged(old, d.sidecar.Service) {
		d.gate.CheckQueue()
	}
}

// versionsChanged reports whether the versions that serve a service's requests differ
// between two views.
func (v *view) versionsChanged(old *view, service string) bool {
	a, b := v.services[service], old.services[service]
	if a == nil || b == nil {
		return a != b
	}
	return a.baseline != b.baseline || a.withdrawn != b.withdrawn || a.completed != b.completed
}

// serviceView builds the state of one service: the state of its rollout, and its targets
// by version. The parameter members has those whose targets serve it, all has every member.
// It continues the trial of the rollout's version. It records in badRollouts if a member has
// found that version bad, and withdraws it if its targets together fail too often. Members
// in data centres that appear unreachable stay in the view, because only requests show
// whether they are really unreachable.
func (d *Daemon) serviceView(service string, v *view, members, all []prober.Member) *serviceView {
	s := &serviceView{}
	if r, ok := d.declared.Rollouts[service]; ok {
		s.rollout = &r
		if outcome, ok := d.settled[service]; ok && (outcome.Ends(r) || outcome.Satisfies(r)) {
			d.ended[r] = outcome.State
		}
		state, ended := d.ended[r]
		s.completed = ended && state == shifter.Completed
		s.withdrawn = !s.completed && (d.badRollouts[r] || (ended && state == shifter.RolledBack))
		for _, m := range members {
			if m.Target.Withdrawn && m.Target.Version == r.Version && !s.completed && !s.withdrawn {
				d.badRollouts[r] = true
				s.withdrawn = true
				d.log.Warn("move withdrawn", "service", service, "version", r.Version, "by", m.ID)
			}
		}
	}
	s.baseline = d.baselineOf(service, s, members)
	for _, m := range members {
		if v.evacuated[m.DC] {
			continue
		}
		t := d.chooserTarget(m)
		switch {
		case s.rollout != nil && t.Version == s.rollout.Version:
			s.canaries = append(s.canaries, t)
		case s.baseline == t.Version:
			s.targets = append(s.targets, t)
		}
	}
	if s.rollout != nil {
		results := d.resultsOf(*s.rollout, all)
		s.results = results.Total()
		s.trial = d.trials[s.rollout.Position()].With(*s.rollout, d.clock.Now(), len(s.canaries) > 0, s.results.Calls)
		d.trials[s.rollout.Position()] = s.trial
		if !s.completed && !s.withdrawn && results.Bad(d.chooser.FaultRate(s.targets)) {
			s.withdrawn = true
			d.log.Warn("version found bad by the results of all its targets", "service", service, "version", s.rollout.Version)
			go d.withdraw(*s.rollout)
		}
	}
	if s.withdrawn {
		s.canaries = nil
	}
	if s.completed {
		s.targets, s.canaries = s.canaries, nil
	}
	return s
}

// baselineOf returns the baseline version of a service. The baseline changes in two
// cases only. When a rollout completes, its version becomes the baseline. When no
// target of the baseline is left, another version becomes the baseline.
func (d *Daemon) baselineOf(service string, s *serviceView, members []prober.Member) string {
	if s.completed {
		d.baseline[service] = s.rollout.Version
		return s.rollout.Version
	}
	counts := map[string]int{}
	for _, m := range members {
		if s.rollout == nil || m.Target.Version != s.rollout.Version {
			counts[m.Target.Version]++
		}
	}
	baseline := d.baseline[service]
	if counts[baseline] > 0 {
		return baseline
	}
	baseline = d.electBaseline(service, counts)
	// Until the outcomes are known, a version that was rolled back may be elected.
	if counts[baseline] > 0 && (d.settled != nil || len(counts) == 1) {
		d.baseline[service] = baseline
	}
	return baseline
}

// electBaseline returns the baseline of a service among versions with their numbers of
// targets: the version to which the last rollout was completed, or else the one with the
// most targets. A version that was rolled back is elected only if there is no other.
func (d *Daemon) electBaseline(service string, counts map[string]int) (baseline string) {
	last := d.settled[service]
	if last.State == shifter.Completed && counts[last.Version] > 0 {
		return last.Version
	}
	for version, n := range counts {
		if last.State == shifter.RolledBack && last.Version == version && len(counts) > 1 {
			continue
		}
		if n > counts[baseline] || (n == counts[baseline] && version < baseline) {
			baseline = version
		}
	}
	return baseline
}

// chooserTarget returns the chooser's description of a member's target.
func (d *Daemon) chooserTarget(m prober.Member) chooser.Target {
	return chooser.Target{
		Daemon:          m.ID,
		Address:         m.Admit,
		Instance:        m.Target.Instance,
		Version:         m.Target.Version,
		SameZone:        m.DC == d.settings.DC,
		ZoneUnreachable: m.DC != d.settings.DC && !d.members.Reachable(m.DC),
		Slots:           m.Target.Slots,
	}
}
