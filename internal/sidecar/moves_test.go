package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// rollout is the rollout that the tests declare.
var rollout = shifter.Rollout{
	Service:  "renewal",
	Version:  "v2",
	Period:   16 * time.Second,
	Revision: 7,
}

// rolloutDaemon is a daemon on a virtual clock that has received rollout. A target of
// the old version is in zilina, and one of the new version in martin.
type rolloutDaemon struct {
	*Daemon
	clock       *timekeeper.Virtual
	incarnation uint64
}

func newRolloutDaemon() *rolloutDaemon {
	clock := timekeeper.NewVirtual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC))
	d := &rolloutDaemon{
		Daemon: New(Options{
			Settings: loader.Settings{
				Name:    "zilina-1",
				DC:      "zilina",
				Sidecar: &loader.Sidecar{Service: "renewal"},
			},
			Clock: clock,
			Log:   log.New(io.Discard),
		}),
		clock: clock,
	}
	d.declare(false)
	d.putTarget("zilina-2", "zilina", "v1", shifter.Totals{})
	d.putTarget("martin-1", "martin", "v2", shifter.Totals{})
	return d
}

// declare puts the rollout in force, and evacuates martin or ends its evacuation.
func (d *rolloutDaemon) declare(martinEvacuated bool) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.applyDeclaration(Declaration{
		Plan:      &matcher.Plan{Services: map[string]matcher.Service{"renewal": {}}},
		Rollouts:  map[string]shifter.Rollout{"renewal": rollout},
		Evacuated: map[string]bool{"martin": martinEvacuated},
	})
}

// putTarget makes a member with a target known.
func (d *rolloutDaemon) putTarget(id, dc, version string, results shifter.Totals) {
	d.incarnation++
	d.members.Merge(prober.Member{
		ID:          id,
		DC:          dc,
		Incarnation: d.incarnation,
		Target: &prober.Target{
			Service:  "renewal",
			Version:  version,
			Slots:    4,
			Instance: id,
			Calls:    results.Calls,
			Failures: results.Failures,
			Timed:    results.Timed,
			Slow:     results.Slow,
			Rollout:  rollout.Revision,
		},
	})
	d.refresh()
}

// run advances the clock and rebuilds the view each second.
func (d *rolloutDaemon) run(length time.Duration) {
	for range length / time.Second {
		d.clock.Advance(time.Second)
		d.refresh()
	}
}

// state returns the state that is to be written, and whether one is.
func (d *rolloutDaemon) state() (shifter.State, bool) {
	next, ok := d.nextOutcome("renewal", d.view.Load().services["renewal"])
	return next.State, ok
}

// TestUntestedVersionIsNotCompleted guards against a completion after a period in which no
// request could reach the version.
func TestUntestedVersionIsNotCompleted(t *testing.T) {
	d := newRolloutDaemon()
	d.declare(true)
	d.run(2 * rollout.Period)
	d.declare(false)
	d.run(time.Second)
	if state, _ := d.state(); state == shifter.Completed {
		t.Error("completed a second after the evacuation of all its targets, want running")
	}
	if share, first := d.pool("renewal").Share, rollout.Share(0); share != first {
		t.Errorf("share = %v a second after the evacuation of all its targets, want %v", share, first)
	}
	d.run(rollout.Period)
	if state, _ := d.state(); state == shifter.Completed {
		t.Error("completed without a response, want running")
	}
	d.putTarget("martin-1", "martin", "v2", shifter.Totals{Calls: 500})
	if state, ok := d.state(); !ok || state != shifter.Completed {
		t.Errorf("state = %v, %v after 500 responses, want %v", state, ok, shifter.Completed)
	}
}

// TestFailuresOfGoneDaemonsCount guards against a bad version that is not found because each
// daemon that has seen it fail is soon gone.
func TestFailuresOfGoneDaemonsCount(t *testing.T) {
	for name, end := range map[string]func(d *rolloutDaemon){
		"left": func(d *rolloutDaemon) {
			m, _ := d.members.Get("martin-1")
			d.members.Merge(m.WithStatus(prober.Left))
		},
		"restarted": func(d *rolloutDaemon) { d.putTarget("martin-1", "martin", "v2", shifter.Totals{}) },
		"without its target": func(d *rolloutDaemon) {
			m, _ := d.members.Get("martin-1")
			m.Incarnation++
			d.members.Merge(m.WithTarget(nil))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newRolloutDaemon()
			d.putTarget("martin-1", "martin", "v2", shifter.Totals{Calls: 5, Failures: 2})
			end(d)
			d.refresh()
			if share := d.pool("renewal").Share; share == 0 {
				t.Error("withdrawn after 2 failures, want 3")
			}
			d.putTarget("martin-2", "martin", "v2", shifter.Totals{Calls: 3, Failures: 1})
			if share := d.pool("renewal").Share; share != 0 {
				t.Errorf("share = %v after 3 failures of 8 responses, want 0", share)
			}
			if state, ok := d.state(); !ok || state != shifter.RolledBack {
				t.Errorf("state = %v, %v, want %v", state, ok, shifter.RolledBack)
			}
		})
	}
}

// TestSlowResponsesOfAllTargetsCount guards against a slow version of which no target alone has
// given enough slow responses.
func TestSlowResponsesOfAllTargetsCount(t *testing.T) {
	d := newRolloutDaemon()
	const targets = 5
	for i := range targets {
		d.putTarget(fmt.Sprintf("martin-%d", i+1), "martin", "v2", shifter.Totals{Calls: 8, Timed: 8})
	}
	if share := d.pool("renewal").Share; share == 0 {
		t.Error("withdrawn without a slow response")
	}
	for i := range targets {
		d.putTarget(fmt.Sprintf("martin-%d", i+1), "martin", "v2", shifter.Totals{Calls: 10, Timed: 10, Slow: 2})
	}
	if state, ok := d.state(); !ok || state != shifter.RolledBack {
		t.Errorf("state = %v, %v after 10 slow responses of 50, want %v", state, ok, shifter.RolledBack)
	}
}

// TestSlowResponseIsPublished guards against slow responses that no other daemon hears of.
func TestSlowResponseIsPublished(t *testing.T) {
	const usual = 15 * time.Millisecond
	d := newRolloutDaemon()
	d.members.UpdateSelf(func(m prober.Member) prober.Member {
		return m.WithTarget(&prober.Target{
			Service:  "renewal",
			Version:  "v2",
			Slots:    4,
			Instance: "zilina-1",
		})
	})
	for _, duration := range []time.Duration{usual, usual, 8 * usual} {
		d.judgeAttempt(&carrier.Attempt{
			Service:  "renewal",
			Version:  "v2",
			Rule:     "lookup",
			Baseline: usual,
		}, deliverer.Result{
			Status:   http.StatusOK,
			Duration: duration,
		})
	}
	got := totalsOf(*d.members.Self().Target)
	if want := (shifter.Totals{Calls: 3, Timed: 3, Slow: 1}); got != want {
		t.Errorf("published %+v after a slow response, want %+v", got, want)
	}
}

// TestSlowResponsesArePublishedAtIntervals guards against a call to each member for each response
// of a version that is often slow.
func TestSlowResponsesArePublishedAtIntervals(t *testing.T) {
	const usual = 15 * time.Millisecond
	d := newRolloutDaemon()
	d.members.UpdateSelf(func(m prober.Member) prober.Member {
		return m.WithTarget(&prober.Target{
			Service:  "renewal",
			Version:  "v2",
			Slots:    4,
			Instance: "zilina-1",
		})
	})
	respond := func(duration time.Duration) int {
		d.judgeAttempt(&carrier.Attempt{
			Service:  "renewal",
			Version:  "v2",
			Rule:     "lookup",
			Baseline: usual,
		}, deliverer.Result{
			Status:   http.StatusOK,
			Duration: duration,
		})
		return d.members.Self().Target.Slow
	}
	for i, want := range []int{1, 1, 1} {
		if got := respond(8 * usual); got != want {
			t.Errorf("%d slow responses published after %d at once, want %d", got, i+1, want)
		}
	}
	d.clock.Advance(slowCountsPeriod)
	if got := respond(usual); got != 3 {
		t.Errorf("%d slow responses published after the interval, want 3", got)
	}
}

// TestEarlierRolloutDoesNotCount guards against results of a version's earlier rollout.
func TestEarlierRolloutDoesNotCount(t *testing.T) {
	d := newRolloutDaemon()
	d.putTarget("martin-1", "martin", "v2", shifter.Totals{Calls: 50, Failures: 2})
	next := rollout
	next.Revision++
	d.stateMu.Lock()
	d.applyDeclaration(Declaration{Rollouts: map[string]shifter.Rollout{"renewal": next}})
	d.stateMu.Unlock()
	if got := d.view.Load().services["renewal"].results; got != (shifter.Totals{}) {
		t.Errorf("results = %+v at the start of the next rollout, want none", got)
	}
}

// TestResultsOfOlderDaemonsCount guards against a rolling update that hides a version's failures.
func TestResultsOfOlderDaemonsCount(t *testing.T) {
	d := newRolloutDaemon()
	m, _ := d.members.Get("martin-1")
	d.incarnation++
	m.Incarnation = d.incarnation
	older := *m.Target
	older.Rollout, older.Calls, older.Failures = 0, 50, 10
	d.members.Merge(m.WithTarget(&older))
	d.refresh()
	if state, ok := d.state(); !ok || state != shifter.RolledBack {
		t.Errorf("state = %v, %v after 10 failures of 50 responses, want %v", state, ok, shifter.RolledBack)
	}
}

// TestFewResponsesAtEachTargetComplete guards against responses that no other daemon hears of.
func TestFewResponsesAtEachTargetComplete(t *testing.T) {
	d := newRolloutDaemon()
	d.members.UpdateSelf(func(m prober.Member) prober.Member {
		return m.WithTarget(&prober.Target{
			Service:  "renewal",
			Version:  "v2",
			Slots:    4,
			Instance: "zilina-1",
		})
	})
	d.run(rollout.Period * 3 / 4)
	respond := func() {
		d.judgeAttempt(&carrier.Attempt{
			Service: "renewal",
			Version: "v2",
			Rule:    "lookup",
		}, deliverer.Result{Status: http.StatusOK})
	}
	respond()
	if got := d.members.Self().Target.Calls; got != 1 {
		t.Errorf("%d calls published at the full share, want 1", got)
	}
	respond()
	if got := d.members.Self().Target.Calls; got != 1 {
		t.Errorf("%d calls published at once after that, want 1", got)
	}
	d.clock.Advance(countsPeriod)
	respond()
	if got := d.members.Self().Target.Calls; got != 3 {
		t.Errorf("%d calls published a period later, want 3", got)
	}
}

// TestSlowVersionDoesNotRaiseItsOwnBound guards against a slow version that gets most requests.
func TestSlowVersionDoesNotRaiseItsOwnBound(t *testing.T) {
	const usual, slow = 60 * time.Millisecond, 300 * time.Millisecond
	d := newRolloutDaemon()
	d.chooser.RecordLoad("zilina-2", "lookup", chooser.Load{ServiceTime: usual})
	for range 100 {
		d.chooser.RecordLoad("martin-1", "lookup", chooser.Load{ServiceTime: slow})
	}
	for range 10 {
		d.judgeAttempt(&carrier.Attempt{
			Service: "renewal",
			Version: "v2",
			Rule:    "lookup",
		}, deliverer.Result{
			Status:   http.StatusOK,
			Duration: slow,
		})
	}
	if !d.judge.Bad(rollout) {
		t.Error("a version five times as slow as the old one is not found bad")
	}
}

// outcomeStore keeps one record of an outcome, which PutIf writes by its version.
type outcomeStore struct {
	version uint64
	value   string
	writes  int
}

func (s *outcomeStore) putIf(_ context.Context, _ string, value []byte, version uint64, _ storer.LeaseID) (uint64, error) {
	if version != s.version {
		return 0, storer.ErrConflict
	}
	s.version++
	s.value = string(value)
	s.writes++
	return s.version, nil
}

// TestPausedWriterWritesNoOutcome guards against two outcomes of one rollout: the daemon that
// was to write the first is paused, another one writes, and the first one goes on with what
// it knew.
func TestPausedWriterWritesNoOutcome(t *testing.T) {
	var store outcomeStore
	newWriter := func() *rolloutDaemon {
		d := newRolloutDaemon()
		d.platform.Store.PutIf = store.putIf
		d.platform.Outcome = func(o shifter.Outcome) (string, []byte, error) {
			return o.Service, []byte(fmt.Sprint(o.State)), nil
		}
		return d
	}
	write := func(d *rolloutDaemon, state shifter.State) {
		o := shifter.Outcome{Service: rollout.Service, Version: rollout.Version, State: state}
		waitingSince := map[outcomeKey]time.Time{}
		s := &serviceView{rollout: &rollout}
		d.writeOutcome(t.Context(), o, s, waitingSince)
		d.clock.Advance(maxOutcomeWriters * writerDelay)
		d.writeOutcome(t.Context(), o, s, waitingSince)
	}
	paused, other := newWriter(), newWriter()
	write(other, shifter.RolledBack)
	paused.clock.Advance(time.Minute)
	write(paused, shifter.Completed)
	if want := fmt.Sprint(shifter.RolledBack); store.writes != 1 || store.value != want {
		t.Errorf("%d outcomes written, the last is %q, want one %q", store.writes, store.value, want)
	}
}

// TestRolledBackVersionStaysOutAfterRestart guards against a bad version that is in use again
// once the operators have withdrawn the order of its rollout and all daemons have restarted. Its
// targets are more than those of the old version.
func TestRolledBackVersionStaysOutAfterRestart(t *testing.T) {
	for name, test := range map[string]struct {
		state       shifter.State
		moreTargets string
		want        string
	}{
		"rolled back": {state: shifter.RolledBack, moreTargets: "v2", want: "v1"},
		"completed":   {state: shifter.Completed, moreTargets: "v1", want: "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newRolloutDaemon()
			d.putTarget("zilina-3", "zilina", test.moreTargets, shifter.Totals{})
			d.stateMu.Lock()
			defer d.stateMu.Unlock()
			clear(d.baseline) // as after a start
			d.applyDeclaration(Declaration{Plan: &matcher.Plan{Services: map[string]matcher.Service{"renewal": {}}}})
			d.setOutcomes(map[string]shifter.Outcome{"renewal": {
				Service: "renewal",
				Version: "v2",
				State:   test.state,
			}})
			if got := d.view.Load().services["renewal"].baseline; got != test.want {
				t.Errorf("requests go to version %s after the restart, want %s", got, test.want)
			}
		})
	}
}
