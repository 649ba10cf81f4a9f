package server

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/judge"
	"github.com/coltsfootlane/coltsfootlane/internal/mover"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

const tallyMethod = "move.tally"

const (
	// withdrawalGrace is how long a withdrawal remains in force after the
	// rollout's deadline. maxWithdrawalTTL limits its total lifetime.
	withdrawalGrace  = time.Hour
	maxWithdrawalTTL = 6 * 24 * time.Hour
	// tallySendersPerPeriod is the number of a service's daemons that may all
	// send a tally every period. With more daemons, each one sends less often.
	tallySendersPerPeriod = 10
	// maxTallyInterval limits the number of periods between two tallies of a
	// daemon.
	maxTallyInterval = 16
	// maxOldBadShare is the old version's share of bad calls at which a daemon
	// does not withdraw the new version on its own. Only the judges may then
	// withdraw it.
	maxOldBadShare = 0.5
)

// moves is the state that a daemon keeps for rollouts. The configuration, the
// operators' API and the identifiers here call a rollout a move.
type moves struct {
	recorder judge.Recorder
	// recording is set while the target's service has an active rollout.
	// latencyGoal is the service's latency goal, in nanoseconds.
	recording   atomic.Bool
	latencyGoal atomic.Int64

	mu sync.Mutex
	// evaluations are the evaluations of the rollouts that this daemon judges, by
	// service.
	evaluations map[string]*evaluation
	// oldBadShare is the last share of bad calls of the old version that a judge
	// has reported.
	oldBadShare float64
	// halted are the services whose rollouts are halted in the current view.
	halted map[string]bool

	cached atomic.Pointer[liveMoves]
}

// liveMoves are the rollouts of a state that are active or whose withdrawal may
// still be in force.
type liveMoves struct {
	state *applier.State
	moves []applier.MoveStatus
}

// liveMoves returns the live rollouts of a state. The result is cached until
// the state changes.
func (d *Daemon) liveMoves(s *applier.State) []applier.MoveStatus {
	if l := d.moves.cached.Load(); l != nil && l.state == s {
		return l.moves
	}
	l := &liveMoves{state: s}
	now := d.clock.Now()
	for _, m := range s.Moves() {
		if !m.Phase.Final() || now.Before(m.Move.By.Add(withdrawalGrace)) {
			l.moves = append(l.moves, m)
		}
	}
	d.moves.cached.Store(l)
	return l.moves
}

// evaluation is the judging of one rollout by this daemon.
type evaluation struct {
	rollout judge.RolloutID
	judge   *judge.Judge
	finding judge.Finding
	// step is the current step of the rollout, and findingAtStep the finding
	// when that step began.
	step          int
	findingAtStep judge.Finding
}

// calls returns the number of calls judged since the step began: those of the
// old version before the first step, and those of the new version afterwards.
func (e *evaluation) calls() uint64 {
	if e.step == 0 {
		return e.finding.OldCalls - e.findingAtStep.OldCalls
	}
	return e.finding.NewCalls - e.findingAtStep.NewCalls
}

// withdrawal returns the fact that withdraws the rollout's new version, if
// there is one.
func (d *Daemon) withdrawal(m applier.MoveStatus) (spreader.Fact, bool) {
	return d.facts.Get(spreader.Withdrawn, judge.RolloutIDOf(m.Service, m.Move).Subject())
}

// isHalted reports whether this daemon overrides the committed share of a rollout
// and sends no requests to the new version, because the version was withdrawn, or
// because the deadline is near and no outcome is known. It returns false if the
// committed share is 0 or no other version has a target.
func (d *Daemon) isHalted(s *applier.State, m applier.MoveStatus) bool {
	_, bad := d.withdrawal(m)
	if m.Share == 0 || !mover.SendingStopped(m, bad, d.clock.Now()) {
		return false
	}
	svc, _ := s.Service(m.Service)
	for _, v := range svc.Versions {
		if v.Share > 0 && len(d.members.Serving(m.Service, v.Name)) > 0 {
			return true
		}
	}
	return false
}

// trafficTable returns the routing table of a state. Services whose rollout is
// halted get their declared shares, without the rollout's.
func (d *Daemon) trafficTable(s *applier.State) *router.Table {
	if d.table == nil || d.tableState != s {
		d.table, d.tableState = d.table.Next(s), s
	}
	table := d.table
	halted := d.haltedServices(s)
	for service := range halted {
		svc, _ := s.Service(service)
		table = table.WithShares(service, svc.Versions)
	}
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	d.moves.halted = halted
	return table
}

func (d *Daemon) haltedServices(s *applier.State) map[string]bool {
	halted := map[string]bool{}
	for _, m := range d.liveMoves(s) {
		if d.isHalted(s, m) {
			halted[m.Service] = true
		}
	}
	return halted
}

// updateHalted rebuilds the view if the set of halted rollouts has changed.
func (d *Daemon) updateHalted(s *applier.State) {
	halted := d.haltedServices(s)
	d.moves.mu.Lock()
	same := maps.Equal(halted, d.moves.halted)
	d.moves.mu.Unlock()
	if !same {
		d.log.Info("halted rollouts changed", "services", slices.Sorted(maps.Keys(halted)))
		d.rebuild()
	}
}

// withdrawVersion publishes a fact that the rollout's new version is bad.
func (d *Daemon) withdrawVersion(id judge.RolloutID, reason string) {
	if _, known := d.facts.Get(spreader.Withdrawn, id.Subject()); known {
		return
	}
	ttl := id.By.Sub(d.clock.Now()) + withdrawalGrace
	d.publishFact(spreader.Withdrawn, id.Subject(), reason, min(max(ttl, withdrawalGrace), maxWithdrawalTTL))
}

// runJudging starts or stops counting calls, sends tallies and judges rollouts
// every period, until ctx ends.
func (d *Daemon) runJudging(ctx context.Context) error {
	for period := 0; ctx.Err() == nil; period++ {
		sleep(ctx, judge.Period)
		s := d.state.Load()
		d.updateHalted(s)
		m, active := d.localMove(s)
		d.updateRecorder(s, m, active)
		if active {
			d.sendTally(ctx, m.Service, period)
		}
		d.withdrawBadVersions(s)
	}
	return nil
}

// localMove returns the rollout of the local target's service, and whether it
// is still active.
func (d *Daemon) localMove(s *applier.State) (m applier.MoveStatus, active bool) {
	a := d.local.Load()
	if a == nil {
		return m, false
	}
	m, ok := s.Move(a.Service)
	return m, ok && !m.Phase.Final()
}

func (d *Daemon) updateRecorder(s *applier.State, m applier.MoveStatus, active bool) {
	a := d.local.Load()
	if !active || a == nil {
		d.moves.recording.Store(false)
		d.moves.recorder.End()
		return
	}
	svc, _ := s.Service(m.Service)
	d.moves.latencyGoal.Store(int64(svc.Objectives.MaxLatency.Duration))
	d.moves.recorder.Begin(judge.RolloutIDOf(m.Service, m.Move), a.Version, d.settings.Name, d.clock.Now())
	d.moves.recording.Store(true)
}

// recordCall counts a call to the local target. If the first judge.InitialBadCalls
// calls to a target of the new version were all bad, the daemon withdraws the
// version without waiting for the judges. It does not if the judges have reported
// that the old version fails as well.
func (d *Daemon) recordCall(route string, bad bool, took time.Duration) {
	if !d.moves.recorder.Record(route, bad, took) {
		return
	}
	t, ok := d.moves.recorder.Tally()
	d.moves.mu.Lock()
	oldBadShare := d.moves.oldBadShare
	d.moves.mu.Unlock()
	if ok && t.Version == t.RolloutID.To && oldBadShare < maxOldBadShare {
		d.withdrawVersion(t.RolloutID, "the first calls of one target were all bad")
	}
}

// moveJudges returns the daemons that judge the rollout of a service. The first
// one is the first candidate for its keeper.
func (d *Daemon) moveJudges(service string) []string {
	return d.serviceDaemons(service, keeperPrefix+service, judge.JudgesPerRollout)
}

// sendTally sends this daemon's tally to the judges. Daemons of a small service
// send one every period, those of a large service less often.
func (d *Daemon) sendTally(ctx context.Context, service string, period int) {
	interval := min(maxTallyInterval, 1+len(d.serviceDaemons(service, service, maxTallyInterval*tallySendersPerPeriod))/tallySendersPerPeriod)
	t, ok := d.moves.recorder.Tally()
	if !ok || period%interval != 0 {
		return
	}
	for _, id := range d.moveJudges(service) {
		go d.sendTallyTo(ctx, id, t)
	}
}

func (d *Daemon) sendTallyTo(ctx context.Context, id string, t judge.Tally) {
	var f judge.Finding
	var err error
	if id == d.settings.Name {
		f, err = d.handleTally(ctx, t)
	} else {
		err = d.callPeer(ctx, id, tallyMethod, t, &f)
	}
	if err != nil {
		d.log.Debug("judge did not accept tally", "judge", id, "err", err)
		return
	}
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	d.moves.oldBadShare = f.OldBadShare
}

// handleTally adds a tally to the evaluation of its rollout and returns the
// current finding.
func (d *Daemon) handleTally(_ context.Context, t judge.Tally) (judge.Finding, error) {
	s := d.state.Load()
	m, ok := s.Move(t.RolloutID.Service)
	if !ok || m.Phase.Final() || judge.RolloutIDOf(m.Service, m.Move) != t.RolloutID {
		return judge.Finding{}, Class.New("no such move here at revision %d", s.Revision())
	}
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	e := d.evaluation(s, m)
	if err := e.judge.Add(t); err != nil {
		return judge.Finding{}, err
	}
	return e.finding, nil
}

// evaluation returns the evaluation of a rollout and creates it if needed. The
// caller holds moves.mu.
func (d *Daemon) evaluation(s *applier.State, m applier.MoveStatus) *evaluation {
	id := judge.RolloutIDOf(m.Service, m.Move)
	e := d.moves.evaluations[m.Service]
	if e != nil && e.rollout == id {
		return e
	}
	svc, _ := s.Service(m.Service)
	e = &evaluation{
		rollout: id,
		judge:   judge.New(id, len(mover.Plan(m.Move)), len(svc.Routes), d.clock.Now()),
		step:    m.Step,
	}
	if d.moves.evaluations == nil {
		d.moves.evaluations = map[string]*evaluation{}
	}
	d.moves.evaluations[m.Service] = e
	return e
}

// withdrawBadVersions evaluates the tallies received since the last period and
// withdraws versions that were found bad.
func (d *Daemon) withdrawBadVersions(s *applier.State) {
	for _, e := range d.evaluateMoves(s) {
		if e.finding.Bad {
			d.withdrawVersion(e.rollout, e.finding.Reason)
		}
	}
}

// evaluateMoves updates the findings of all evaluations and returns copies of
// them. It drops those whose rollout has ended.
func (d *Daemon) evaluateMoves(s *applier.State) []evaluation {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	var all []evaluation
	for service, e := range d.moves.evaluations {
		m, ok := s.Move(service)
		if !ok || m.Phase.Final() || judge.RolloutIDOf(service, m.Move) != e.rollout {
			delete(d.moves.evaluations, service)
			continue
		}
		e.finding = e.judge.Step(d.clock.Now())
		if m.Step != e.step {
			e.step, e.findingAtStep = m.Step, e.finding
			e.judge.ShareRaised()
		}
		all = append(all, *e)
	}
	return all
}

// keeperInput returns the input of the keeper's decision on a rollout: its
// committed status and what this daemon has observed.
func (d *Daemon) keeperInput(s *applier.State, m applier.MoveStatus) mover.Situation {
	f, bad := d.withdrawal(m)
	situation := mover.Situation{
		Status:    m,
		Capacity:  d.capacity(s, m),
		Withdrawn: bad,
		Reason:    f.Detail,
	}
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	e := d.moves.evaluations[m.Service]
	if e != nil && e.rollout == judge.RolloutIDOf(m.Service, m.Move) && e.step == m.Step {
		situation.Calls = e.calls()
		situation.Capacity.Demand, _ = e.judge.Demand()
	}
	return situation
}

// capacity returns the number of slots of alive members that are not in an evacuated
// data centre, counted separately for the new version and for the others.
func (d *Daemon) capacity(s *applier.State, m applier.MoveStatus) mover.Capacity {
	c := mover.Capacity{New: d.aliveSlots(m.Service, m.Move.To)}
	svc, _ := s.Service(m.Service)
	for _, v := range svc.Versions {
		if v.Name != m.Move.To {
			c.Old += d.aliveSlots(m.Service, v.Name)
		}
	}
	return c
}

func (d *Daemon) aliveSlots(service, version string) int {
	n := 0
	for _, m := range d.members.Serving(service, version) {
		if m.Status == prober.Alive && (d.gate.Load() == nil || !d.gate.Load().Evacuated(m.DC)) {
			n += m.Target.Slots
		}
	}
	return n
}

// Move describes a rollout in the response to GET /v1/moves.
type Move struct {
	applier.MoveStatus
	// SentShare is the share of requests that this daemon sends to the new
	// version, in percent.
	SentShare int `json:"carried"`
	// WithdrawalReason is the reason why daemons have stopped sending to the new
	// version; empty if they have not.
	WithdrawalReason string `json:"withdrawn,omitempty"`
}

// Moves is the response to GET /v1/moves.
type Moves struct {
	Revision uint64 `json:"revision"`
	Moves    []Move `json:"moves"`
}

func (d *Daemon) movesEndpoint(context.Context, any) (any, error) {
	s := d.state.Load()
	list := Moves{
		Revision: s.Revision(),
		Moves:    []Move{},
	}
	for _, m := range s.Moves() {
		entry := Move{
			MoveStatus: m,
			SentShare:  m.Share,
		}
		if f, ok := d.withdrawal(m); ok {
			entry.WithdrawalReason = f.Detail
		}
		if d.isHalted(s, m) {
			entry.SentShare = 0
		}
		list.Moves = append(list.Moves, entry)
	}
	return list, nil
}

// aliveIDs returns the IDs of all alive members.
func (d *Daemon) aliveIDs() []string {
	var ids []string
	for _, m := range d.members.All() {
		if m.Status == prober.Alive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// keeperCandidates returns the daemons that may become the keeper of a
// service's rollout, in order of rank. They are its judges, or any alive
// daemons if the service has no target.
func (d *Daemon) keeperCandidates(service string) []string {
	if ids := d.moveJudges(service); len(ids) > 0 {
		return ids
	}
	return ranker.Top(keeperPrefix+service, d.aliveIDs(), judge.JudgesPerRollout)
}
