package sidecar

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Parameters for judging rollouts and writing their outcomes.
const (
	// outcomePeriod is the interval at which the daemon checks for outcomes to write.
	outcomePeriod = 100 * time.Millisecond
	// writerDelay is the additional time that each lower-ranked writer waits before
	// it writes an outcome.
	writerDelay = 500 * time.Millisecond
	// maxOutcomeWriters is the number of daemons that may write an outcome.
	maxOutcomeWriters = 4
	// minDoublingBase is the minimum number of calls from which a doubling is
	// measured. If no call has failed, the counts are first published after twice
	// as many calls.
	minDoublingBase = 8
	// countsPeriod is the minimum interval between publications of counts that have
	// not doubled.
	countsPeriod = 500 * time.Millisecond
	// slowCountsPeriod is that of counts that differ by slow responses only.
	slowCountsPeriod = 100 * time.Millisecond
)

// judgeAttempt counts the result of an attempt at the local target during a
// rollout. It withdraws the version if the results show that it is bad. A response
// with status 504 is judged by its duration only. The duration at a cold target is
// not judged.
func (d *Daemon) judgeAttempt(attempt *carrier.Attempt, r deliverer.Result) {
	v := d.view.Load()
	if v == nil || v.services[attempt.Service] == nil {
		return
	}
	s := v.services[attempt.Service]
	if s.rollout == nil || s.completed || s.withdrawn || attempt.Version != s.rollout.Version || r.Aborted {
		return
	}
	res := shifter.RequestResult{
		Rule:         attempt.Rule,
		Failed:       r.TargetFailed() && r.Status != http.StatusGatewayTimeout,
		Duration:     r.Duration,
		MeanDuration: cmp.Or(attempt.Baseline, d.chooser.ServiceTimeAt(attempt.Rule, s.targets)),
	}
	if d.gate.IsCold() {
		res.MeanDuration = 0
	}
	bad := d.judge.Add(*s.rollout, res, d.chooser.FaultRate(s.targets))
	total := d.judge.Total(*s.rollout)
	d.log.Info("response of a new version", "request", attempt.ID, "rule", attempt.Rule, "took", res.Duration, "mean", res.MeanDuration,
		"calls", total.Calls, "failures", total.Failures, "timed", total.Timed, "slow", total.Slow)
	if !bad {
		d.publishCounts(s)
		return
	}
	d.log.Warn("version found bad", "service", attempt.Service, "version", attempt.Version, "rule", attempt.Rule, "request", attempt.ID)
	go d.withdraw(*s.rollout)
}

// publishCounts sends the local target's counts to the other members: after each failure,
// whenever the number of calls has doubled, once every slowCountsPeriod if there are more
// slow responses, and once every countsPeriod while the completion of the rollout depends
// on them.
func (d *Daemon) publishCounts(s *serviceView) {
	r := *s.rollout
	self := d.members.Self().Target
	if self == nil || self.Version != r.Version {
		return
	}
	var published shifter.Totals
	if self.Rollout == r.Revision && self.RolloutEra == r.Era {
		published = totalsOf(*self)
	}
	total := d.judge.Total(r)
	failed := total.Failures > published.Failures
	slow := total.Slow > published.Slow && d.sinceCounts() >= slowCountsPeriod
	doubled := total.Calls >= 2*max(minDoublingBase, published.Calls)
	if !failed && !slow && !doubled && !d.countsDue(s) {
		return
	}
	d.countsPublished.Store(d.clock.Now().UnixNano())
	next := *self
	next.Rollout, next.RolloutEra = r.Revision, r.Era
	next.Calls, next.Failures = total.Calls, total.Failures
	next.Timed, next.Slow = total.Timed, total.Slow
	d.publishTarget(&next)
}

// totalsOf returns the counts that a target's daemon has published.
func totalsOf(t prober.Target) shifter.Totals {
	return shifter.Totals{
		Calls:    t.Calls,
		Failures: t.Failures,
		Timed:    t.Timed,
		Slow:     t.Slow,
	}
}

// countsDue reports whether the completion of the rollout depends on counts that were
// last published countsPeriod ago.
func (d *Daemon) countsDue(s *serviceView) bool {
	return d.sinceCounts() >= countsPeriod && s.trial.NeedsCalls(*s.rollout, d.clock.Now(), s.results.Calls)
}

// sinceCounts returns the time since counts were last published.
func (d *Daemon) sinceCounts() time.Duration {
	return d.clock.Now().Sub(time.Unix(0, d.countsPublished.Load()))
}

// resultsOf returns the results of all targets of a rollout's version, those of daemons that
// are gone included. The caller holds stateMu.
func (d *Daemon) resultsOf(r shifter.Rollout, members []prober.Member) *shifter.Results {
	results := d.results[r.Position()]
	if results == nil {
		results = &shifter.Results{}
		d.results[r.Position()] = results
	}
	for _, m := range members {
		if m.Target != nil && countsFor(*m.Target, r) {
			results.Add(m.ID, totalsOf(*m.Target))
		}
	}
	return results
}

// countsFor reports whether the counts of a target are those of a rollout. Daemons of older
// versions, and entries that came through them, name no rollout or no era.
func countsFor(t prober.Target, r shifter.Rollout) bool {
	if t.RolloutEra != 0 && t.RolloutEra != r.Era {
		return false
	}
	return t.Rollout == r.Revision || (t.Rollout == 0 && t.Version == r.Version)
}

// withdrawal is the message that reports that a rollout's version was found bad.
type withdrawal struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	// Era is the era of the revision, or 0 if it is unknown.
	Era uint64 `json:"era,omitempty"`
	By  string `json:"by"`
}

// withdraws reports whether w withdraws the rollout r.
func (w withdrawal) withdraws(r shifter.Rollout) bool {
	return w.Revision == r.Revision && (w.Era == 0 || w.Era == r.Era)
}

// withdraw stops sending requests from this daemon to a rollout's version, and
// notifies the other members.
func (d *Daemon) withdraw(r shifter.Rollout) {
	d.stateMu.Lock()
	recorded := d.badRollouts[r]
	d.badRollouts[r] = true
	d.rebuild()
	d.stateMu.Unlock()
	if recorded {
		return
	}
	self := d.members.Self().Target
	if self != nil && self.Version == r.Version && !self.Withdrawn {
		next := *self
		next.Withdrawn = true
		d.publishTarget(&next)
	}
	d.callMembers(withdrawMethod, withdrawal{
		Service:  r.Service,
		Revision: r.Revision,
		Era:      r.Era,
		By:       d.settings.Name,
	})
}

// handleWithdraw withdraws a version that another daemon has found bad.
func (d *Daemon) handleWithdraw(_ context.Context, w withdrawal) (struct{}, error) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	r, ok := d.declared.Rollouts[w.Service]
	if !ok || !w.withdraws(r) || d.badRollouts[r] {
		return struct{}{}, nil
	}
	d.log.Warn("move withdrawn", "service", r.Service, "version", r.Version, "by", w.By)
	d.badRollouts[r] = true
	d.rebuild()
	return struct{}{}, nil
}

// foundBad reports whether this daemon's judge has found the version of the
// service's rollout bad. It returns false for any other version.
func (d *Daemon) foundBad(service, version string) bool {
	v := d.view.Load()
	if v == nil || v.services[service] == nil {
		return false
	}
	r := v.services[service].rollout
	return r != nil && r.Version == version && d.judge.Bad(*r)
}

// outcomeKey identifies an outcome to be written. baseRevision is the revision of
// the service's current outcome record, and era that of the store.
type outcomeKey struct {
	service, version string
	state            shifter.State
	baseRevision     uint64
	era              uint64
}

// writeOutcomes writes the outcomes of rollouts as they become due, until ctx
// ends.
func (d *Daemon) writeOutcomes(ctx context.Context) {
	waitingSince := map[outcomeKey]time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, outcomePeriod)
		v := d.view.Load()
		if v == nil || d.left.Load() || !d.outcomesAreCurrent() {
			continue
		}
		for service, s := range v.services {
			if next, ok := d.nextOutcome(service, s); ok {
				d.writeOutcome(ctx, next, s, waitingSince)
			}
		}
	}
}

// outcomesAreCurrent reports whether the copy of the outcomes is of the store's present era. The
// revisions of an earlier one are no condition for a write.
func (d *Daemon) outcomesAreCurrent() bool {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	return d.outcomes.Era == d.era()
}

// nextOutcome returns the outcome of a service's rollout that is to be written
// now, if any. An outcome that the store has lost is written again.
func (d *Daemon) nextOutcome(service string, s *serviceView) (shifter.Outcome, bool) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	recorded := d.settled[service]
	lost := recorded.Item.Era < d.outcomes.Era && recorded.Item.Key != ""
	next := recorded
	next.Item.Version = d.outcomes.StoredVersion(recorded.Item.Key)
	if s.rollout == nil || recorded.Ends(*s.rollout) {
		return next, lost
	}
	state, ended := d.ended[*s.rollout]
	next.Service, next.Version, next.State = service, s.rollout.Version, shifter.Running
	switch {
	case ended:
		next.State = state
	case s.withdrawn:
		next.State = shifter.RolledBack
	case len(s.canaries) > 0 && s.trial.Completes(*s.rollout, d.clock.Now(), s.results.Calls):
		next.State = shifter.Completed
	case recorded.BelongsTo(*s.rollout):
		return next, lost
	}
	return next, true
}

// writeOutcome writes an outcome by compare-and-swap once this daemon's delay has
// passed. The daemons are ranked, and each waits writerDelay longer than the one
// before it. At most one write succeeds. The delay starts again after each attempt.
func (d *Daemon) writeOutcome(ctx context.Context, o shifter.Outcome, s *serviceView, waitingSince map[outcomeKey]time.Time) {
	outcomeID := outcomeKey{
		service:      o.Service,
		version:      o.Version,
		state:        o.State,
		baseRevision: o.Item.Version,
		era:          d.era(),
	}
	since, ok := waitingSince[outcomeID]
	if !ok {
		since = d.clock.Now()
		waitingSince[outcomeID] = since
	}
	writerRank := d.writerRank(o.Service + "/" + o.Version)
	if writerRank < 0 || d.clock.Now().Sub(since) < time.Duration(writerRank)*writerDelay {
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
		d.log.Info("outcome written", "service", o.Service, "version", o.Version, "state", o.State, "revision", revision,
			"tried", s.trial.Elapsed(d.clock.Now()), "calls", s.results.Calls, "failures", s.results.Failures, "timed", s.results.Timed, "slow", s.results.Slow)
	case errors.Is(err, storer.ErrConflict):
		d.log.Info("outcome already written by another daemon", "service", o.Service, "version", o.Version)
	default:
		d.log.Warn("outcome not written", "service", o.Service, "state", o.State, "err", err)
	}
	waitingSince[outcomeID] = d.clock.Now()
}

// writerRank returns the daemon's rank among those that may write an outcome, or
// -1 if it is not one of them.
func (d *Daemon) writerRank(key string) int {
	var ids []string
	for _, m := range d.members.All() {
		if m.Status == prober.Alive {
			ids = append(ids, m.ID)
		}
	}
	for i, id := range ranker.Top(key, ids, maxOutcomeWriters) {
		if id == d.settings.Name {
			return i
		}
	}
	return -1
}
