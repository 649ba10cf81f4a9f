package server

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/judge"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/mover"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var moveStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// moveMesh is a mesh of two daemons, one for each version of one service. It
// uses a virtual clock and no sockets.
type moveMesh struct {
	t        *testing.T
	clock    *timekeeper.Virtual
	platform *emulator.Platform
	daemons  []*Daemon
	tasks    []map[string]*keeperTask
	// paused daemons are not stepped.
	paused [2]bool
}

func newMoveMesh(t *testing.T, by time.Duration) *moveMesh {
	t.Helper()
	m := &moveMesh{t: t, clock: timekeeper.NewVirtual(moveStart)}
	m.platform = emulator.NewPlatform(m.clock)
	for n := range 2 {
		settings := loader.Settings{Name: fmt.Sprint("vm-", n), DC: "a", Key: "a key for tests only"}
		m.daemons = append(m.daemons, New(Options{
			Settings: settings.WithDefaults(),
			Platform: m.platform.Client(),
			Clock:    m.clock,
			Log:      NewLog(io.Discard, loader.Log{}),
		}))
		m.tasks = append(m.tasks, map[string]*keeperTask{})
	}
	for n, d := range m.daemons {
		d.recordHeartbeat(Announcement{Service: "renewal", Version: fmt.Sprint("v", n+1), Address: "127.0.0.1:1", Slots: 10})
		m.daemons[1-n].members.Merge(d.members.Self())
	}
	m.publish(by)
	return m
}

func (m *moveMesh) publish(by time.Duration) {
	m.t.Helper()
	svc := parser.Service{
		Name:     "renewal",
		Versions: []parser.Version{{Name: "v1", Share: 100}},
		Routes:   []parser.Route{{Path: "/"}},
		Move:     &parser.Move{To: "v2", By: moveStart.Add(by), Hold: parser.Duration{Duration: 10 * time.Second}},
	}
	log := m.daemons[0].configLog
	state, err := log.Load(context.Background(), m.daemons[0].state.Load())
	if err == nil {
		_, err = log.Commit(context.Background(), state, applier.Change{Services: []parser.Service{svc}})
	}
	if err != nil {
		m.t.Fatal(err)
	}
	m.step()
}

// step advances the clock by keeperPeriod and runs one period of each daemon
// that is not paused.
func (m *moveMesh) step() {
	m.clock.Advance(keeperPeriod)
	for n, d := range m.daemons {
		if m.paused[n] {
			continue
		}
		if s, err := d.configLog.Load(context.Background(), d.state.Load()); err == nil && s != d.state.Load() {
			d.activate(s)
		}
		d.updateHalted(d.state.Load())
		d.withdrawBadVersions(d.state.Load())
		d.stepKeepers(context.Background(), m.tasks[n])
	}
}

// status returns the committed status of the rollout.
func (m *moveMesh) status() applier.MoveStatus {
	s, err := m.daemons[0].configLog.Load(context.Background(), m.daemons[0].state.Load())
	if err != nil {
		s = m.daemons[0].state.Load()
	}
	status, _ := s.Move("renewal")
	return status
}

// share returns the share of requests that a daemon sends to v2, in percent.
func (m *moveMesh) share(n int) int {
	for _, v := range m.daemons[n].view.Load().Table.Shares("renewal") {
		if v.Name == "v2" {
			return v.Share
		}
	}
	return 0
}

// stepUntil steps until ok accepts the status. It fails the test if that takes
// longer than limit.
func (m *moveMesh) stepUntil(limit time.Duration, ok func(applier.MoveStatus) bool) applier.MoveStatus {
	m.t.Helper()
	for m.clock.Now().Before(moveStart.Add(limit)) {
		if s := m.status(); ok(s) {
			return s
		}
		m.step()
	}
	m.t.Fatalf("status not reached within %v: %+v", limit, m.status())
	return applier.MoveStatus{}
}

func final(s applier.MoveStatus) bool { return s.Phase.Final() }

func TestMoveSurvivesOutageAtEachStep(t *testing.T) {
	for step := range 5 {
		t.Run(fmt.Sprint("step ", step), func(t *testing.T) {
			m := newMoveMesh(t, 20*time.Minute)
			m.stepUntil(20*time.Minute, func(s applier.MoveStatus) bool { return s.Phase == applier.Running && s.Step == step })
			m.platform.SetFaults(emulator.Faults{Outage: true})
			for range int(4 * time.Minute / keeperPeriod) {
				m.step()
			}
			m.platform.SetFaults(emulator.Faults{LoseAnswers: 1})
			s := m.stepUntil(20*time.Minute, final)
			if s.Phase != applier.Done || !s.Since.Before(s.Move.By) {
				t.Errorf("status %+v, want done before the deadline", s)
			}
		})
	}
}

func TestMoveIsRolledBackDuringPlatformOutage(t *testing.T) {
	m := newMoveMesh(t, 3*time.Minute)
	m.stepUntil(3*time.Minute, func(s applier.MoveStatus) bool { return s.Share >= 10 })
	m.platform.SetFaults(emulator.Faults{Outage: true})
	for m.clock.Now().Before(moveStart.Add(3*time.Minute - mover.EntryMargin + keeperPeriod)) {
		m.step()
	}
	for n := range m.daemons {
		if got := m.share(n); got != 0 {
			t.Errorf("vm-%d sends %d%% to v2 at the deadline without an outcome, want 0%%", n, got)
		}
	}
	m.platform.SetFaults(emulator.Faults{})
	if s := m.stepUntil(10*time.Minute, final); s.Phase != applier.RolledBack {
		t.Errorf("status %+v, want rolled back", s)
	}
}

func TestWithdrawnVersionGetsNoTraffic(t *testing.T) {
	m := newMoveMesh(t, 10*time.Minute)
	running := m.stepUntil(10*time.Minute, func(s applier.MoveStatus) bool { return s.Share >= 10 })
	m.platform.SetFaults(emulator.Faults{Outage: true})
	d := m.daemons[0]
	d.withdrawVersion(judge.RolloutIDOf("renewal", running.Move), "bad")
	d.rebuild()
	if got := m.share(0); got != 0 {
		t.Errorf("%d%% to v2 after the withdrawal, want 0%%", got)
	}
	fact, _ := d.withdrawal(running)
	m.daemons[1].addFacts(fact)
	m.platform.SetFaults(emulator.Faults{})
	s := m.stepUntil(10*time.Minute, final)
	if s.Phase != applier.RolledBack || s.Reason != "bad" {
		t.Errorf("status %+v, want rolled back with reason bad", s)
	}
	m.publish(30 * time.Minute)
	s = m.stepUntil(30*time.Minute, final)
	if s.Phase != applier.Done || m.share(0) != 100 {
		t.Errorf("republished rollout: status %+v and %d%% to v2, want done and 100%%", s, m.share(0))
	}
}

// sendTallies sends the judging daemon a tally for each of the two targets.
func (m *moveMesh) sendTallies(sequence, oldCalls, newCalls, newBad uint64) {
	m.t.Helper()
	move, _ := m.daemons[0].state.Load().Move("renewal")
	for n, c := range []judge.Count{{Calls: oldCalls}, {Calls: newCalls, Bad: newBad}} {
		t := judge.Tally{
			RolloutID: judge.RolloutIDOf("renewal", move.Move),
			Version:   fmt.Sprint("v", n+1),
			From:      fmt.Sprint("vm-", n),
			Epoch:     moveStart,
			Sequence:  sequence,
			Routes:    []judge.RouteCount{{Route: "/", Count: c}},
		}
		if _, err := m.daemons[0].handleTally(context.Background(), t); err != nil {
			m.t.Fatal(err)
		}
	}
}

func TestBadVersionIsWithdrawn(t *testing.T) {
	m := newMoveMesh(t, 10*time.Minute)
	m.sendTallies(1, 1000, 0, 0)
	m.stepUntil(10*time.Minute, func(s applier.MoveStatus) bool { return s.Step == 1 })
	m.step()
	m.sendTallies(2, 1100, 150, 1)
	m.step()
	d := m.daemons[0]
	s := d.state.Load()
	move, _ := s.Move("renewal")
	if got := d.keeperInput(s, move).Calls; got != 150 {
		t.Errorf("%d calls judged since the step, want 150", got)
	}
	if _, bad := d.withdrawal(move); bad {
		t.Error("version withdrawn for 1 bad call of 150, want it kept")
	}
	m.sendTallies(3, 1200, 170, 21)
	m.step()
	if f, bad := d.withdrawal(move); !bad {
		t.Errorf("version not withdrawn after 20 further calls, all bad: fact %+v", f)
	}
}

// TestOnlyServedVersionKeepsTraffic checks that a withdrawn version keeps its
// traffic if no other version has a target.
func TestOnlyServedVersionKeepsTraffic(t *testing.T) {
	m := newMoveMesh(t, 10*time.Minute)
	running := m.stepUntil(10*time.Minute, func(s applier.MoveStatus) bool { return s.Share >= 10 })
	m.step()
	d := m.daemons[0]
	d.removeTarget("left")
	d.withdrawVersion(judge.RolloutIDOf("renewal", running.Move), "bad")
	d.rebuild()
	if got := m.share(0); got != running.Share {
		t.Errorf("%d%% to the only version that is served, want %d%%", got, running.Share)
	}
}

// TestPausedKeeperIsReplaced pauses the keeper of a rollout. It checks that the
// other daemon completes the rollout and that the paused one changes nothing
// when it resumes.
func TestPausedKeeperIsReplaced(t *testing.T) {
	m := newMoveMesh(t, 10*time.Minute)
	s := m.stepUntil(10*time.Minute, func(s applier.MoveStatus) bool { return s.Step == 1 })
	keeper := 0
	if s.Keeper == "vm-1" {
		keeper = 1
	}
	m.paused[keeper] = true
	done := m.stepUntil(10*time.Minute, final)
	if done.Phase != applier.Done || done.Keeper == s.Keeper {
		t.Errorf("status %+v, want done by another keeper than %s", done, s.Keeper)
	}
	m.paused[keeper] = false
	d := m.daemons[keeper]
	d.advanceMove(context.Background(), &keeperTask{}, "renewal")
	m.step()
	if again := m.status(); again.Phase != done.Phase || !again.Since.Equal(done.Since) {
		t.Errorf("status %+v after the paused keeper resumed, want %+v", again, done)
	}
}

// TestPlatformCallsOfMoves checks that a rollout makes at most one platform
// call a second, and that a service without an active rollout makes none.
func TestPlatformCallsOfMoves(t *testing.T) {
	m := newMoveMesh(t, 10*time.Minute)
	before := m.platform.Counts()
	var calls uint64
	for range int(time.Minute / keeperPeriod) {
		m.clock.Advance(keeperPeriod)
		for n, d := range m.daemons {
			d.stepKeepers(context.Background(), m.tasks[n])
		}
	}
	after := m.platform.Counts()
	calls = after.Reads + after.Writes + after.Leases - before.Reads - before.Writes - before.Leases
	t.Logf("%d platform calls in one minute of a rollout: %+v", calls, after)
	if calls > 60 {
		t.Errorf("%d platform calls in one minute, want at most 60", calls)
	}
	m.stepUntil(10*time.Minute, final)
	for range 4 {
		m.step()
	}
	before = m.platform.Counts()
	for n, d := range m.daemons {
		for range 100 {
			m.clock.Advance(keeperPeriod)
			d.stepKeepers(context.Background(), m.tasks[n])
		}
	}
	if after := m.platform.Counts(); after != before {
		t.Errorf("platform calls %+v after the rollout ended, want %+v", after, before)
	}
}
