package committer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var (
	background = context.Background()
	start      = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
)

// newLog returns a log with a small ring that retries without waiting.
func newLog(p storer.Platform) *Log {
	return &Log{
		Platform: p,
		Clock:    timekeeper.NewVirtual(start),
		Author:   "test",
		Sleep:    func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		ringSize: 4,
	}
}

func newPlatform() *emulator.Platform {
	return emulator.NewPlatform(timekeeper.NewVirtual(start))
}

// runDaemon commits services and writes snapshots as one daemon does, and
// continues after errors. It returns the verdicts by service name, and the
// tickets of the commits whose outcome is unknown.
func runDaemon(p storer.Platform) (map[string]classifier.Verdict, map[string]Ticket) {
	verdicts, tickets := map[string]classifier.Verdict{}, map[string]Ticket{}
	l, state := newLog(p), &applier.State{}
	a := &archiver.Archiver{Platform: p, ShardBytes: 150}
	for i := range 8 {
		name := fmt.Sprintf("s%d", i)
		state, _ = l.Load(background, state)
		_, err := l.Commit(background, state, applier.Change{Services: []parser.Service{testService(name)}})
		verdicts[name] = classifier.Ran
		if err != nil {
			verdicts[name] = classifier.VerdictOf(err)
		}
		var unknown *UnknownOutcomeError
		if errors.As(err, &unknown) {
			tickets[name] = unknown.Ticket
		}
		if i%2 == 0 {
			continue
		}
		state, _ = l.Load(background, state)
		if base, err := archiver.ReadBase(background, p); err == nil {
			_ = a.Write(background, base, state)
		}
	}
	return verdicts, tickets
}

// TestFaultAtEveryCall injects each kind of fault into each platform call in
// turn, alone or as the start of an outage. After the fault the log must be
// readable, and every commit must have the outcome that its writer got.
func TestFaultAtEveryCall(t *testing.T) {
	for fault := emulator.FaultRefuse; fault < emulator.FaultKinds; fault++ {
		for _, outage := range []int{1, 10} {
			for at, injected := 0, true; injected; at++ {
				injected = runWithFault(t, fault, at, outage)
			}
		}
	}
}

// runWithFault injects the fault into the call with index at and drops the following
// outage-1 calls. It reports whether there was a call with that index.
func runWithFault(t *testing.T, fault emulator.Fault, at, outage int) bool {
	t.Helper()
	platform, calls := newPlatform(), 0
	var delayed []func()
	injector := emulator.Injector{
		Inner:     platform.Client(),
		OnDelayed: func(write func()) { delayed = append(delayed, write) },
		NextFault: func() emulator.Fault {
			calls++
			switch {
			case calls-1 == at:
				return fault
			case calls-1 > at && calls-1 < at+outage:
				return emulator.FaultDrop
			default:
				return emulator.FaultNone
			}
		},
	}
	verdicts, tickets := runDaemon(injector.Platform())
	for _, write := range delayed {
		write()
	}
	l := newLog(platform.Client())
	final, err := l.Load(background, &applier.State{})
	if err != nil {
		t.Fatalf("fault %d at call %d: load: %v", fault, at, err)
	}
	for name, verdict := range verdicts {
		if ticket, ok := tickets[name]; ok {
			verdict, _ = l.Outcome(background, ticket)
		}
		_, committed := final.Service(name)
		if committed && verdict == classifier.NotRun || !committed && verdict == classifier.Ran {
			t.Errorf("fault %d at call %d, outage of %d calls: service %s has verdict %v, which contradicts the log: contains the service: %t", fault, at, outage, name, verdict, committed)
		}
	}
	return calls > at
}

// concurrentPublish returns a platform that calls publish just before the first
// write, as if another operator had published.
func concurrentPublish(p storer.Platform, publish func()) storer.Platform {
	putIf, published := p.PutIf, false
	p.PutIf = func(ctx context.Context, key string, value []byte, version uint64, id storer.LeaseID) (uint64, error) {
		if !published {
			published = true
			publish()
		}
		return putIf(ctx, key, value, version, id)
	}
	return p
}

// serviceWithVersion returns a test service with another version, and with the
// services that it needs.
func serviceWithVersion(name, version string, needs ...string) parser.Service {
	svc := testService(name).WithVersions(parser.Version{Name: version, Share: 100})
	svc.Dependencies = needs
	return svc
}

// serviceWithMove returns a test service that moves to version v2 by a deadline.
func serviceWithMove(name string, by time.Time) parser.Service {
	return testService(name).WithMove(&parser.Move{To: "v2", By: by})
}

// TestPublish publishes changes to a log with the services a and b, with and
// without a concurrent change of another operator, and checks the error and the
// services in the log afterwards.
func TestPublish(t *testing.T) {
	first := []parser.Service{testService("a"), serviceWithVersion("b", "v1", "a")}
	tests := []struct {
		name              string
		publication       Publication
		concurrentPublish []parser.Service
		err               string
		names             string
		unchanged         bool
	}{
		{name: "no change", publication: Publication{Services: first}, names: "a b", unchanged: true},
		{name: "new service", publication: Publication{Services: []parser.Service{testService("c")}}, names: "a b c"},
		{name: "prune", publication: Publication{Services: []parser.Service{testService("a")}, Prune: true}, names: "a"},
		{name: "prune a service that another needs", publication: Publication{Services: first[1:], Prune: true}, err: `needs "a"`, names: "a b"},
		{name: "unknown dependency", publication: Publication{Services: []parser.Service{serviceWithVersion("c", "v1", "x")}}, err: `needs "x"`, names: "a b"},
		{name: "route of another service", publication: Publication{Services: []parser.Service{{Name: "c", Versions: testService("c").Versions, Routes: testService("a").Routes}}}, err: "both route", names: "a b"},
		{name: "deadline in the past", publication: Publication{Services: []parser.Service{serviceWithMove("a", start.Add(-time.Second))}}, err: "which is over", names: "a b"},
		{name: "deadline in the future", publication: Publication{Services: []parser.Service{serviceWithMove("a", start.Add(time.Hour))}}, names: "a b"},
		{name: "concurrent change of another service", publication: Publication{Services: []parser.Service{serviceWithVersion("a", "v2")}}, concurrentPublish: []parser.Service{testService("c")}, names: "a b c"},
		{name: "concurrent change of the same service", publication: Publication{Services: []parser.Service{serviceWithVersion("a", "v2"), testService("d")}}, concurrentPublish: []parser.Service{serviceWithVersion("a", "v3")}, err: "another operator meanwhile: a", names: "a b"},
		{name: "concurrent identical change", publication: Publication{Services: []parser.Service{serviceWithVersion("a", "v2")}}, concurrentPublish: []parser.Service{serviceWithVersion("a", "v2")}, names: "a b", unchanged: true},
		{name: "prune keeps a concurrently added service", publication: Publication{Services: []parser.Service{testService("a")}, Prune: true}, concurrentPublish: []parser.Service{testService("c")}, names: "a c"},
		{name: "prune of a concurrently changed service", publication: Publication{Services: []parser.Service{testService("a")}, Prune: true}, concurrentPublish: []parser.Service{serviceWithVersion("b", "v2")}, err: "meanwhile: b", names: "a b"},
		{name: "concurrent change needs the removed service", publication: Publication{Services: []parser.Service{testService("a")}, Prune: true}, concurrentPublish: []parser.Service{serviceWithVersion("c", "v1", "b")}, err: `needs "b"`, names: "a b c"},
		{name: "stale base, changed service", publication: Publication{Services: []parser.Service{serviceWithVersion("b", "v9")}, Base: 1}, err: "meanwhile: b", names: "a b"},
		{name: "stale base, unchanged service", publication: Publication{Services: []parser.Service{serviceWithVersion("a", "v9")}, Base: 1}, names: "a b"},
		{name: "prune everything", publication: Publication{Prune: true}, err: "no service", names: "a b"},
		{name: "base newer than the log", publication: Publication{Services: first, Base: 9}, err: "ahead of the log", names: "a b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			platform := newPlatform()
			l := newLog(platform.Client())
			mustPublish(t, l, testService("a"))
			mustPublish(t, l, first...)
			l = newLog(concurrentPublish(platform.Client(), func() {
				if test.concurrentPublish != nil {
					mustPublish(t, newLog(platform.Client()), test.concurrentPublish...)
				}
			}))
			writes := platform.Counts().Writes
			result, err := l.Publish(background, test.publication)
			if (err == nil) != (test.err == "") || err != nil && !strings.Contains(err.Error(), test.err) {
				t.Errorf("publish: got error %v, want one that contains %q", err, test.err)
			}
			if err != nil && classifier.VerdictOf(err) != classifier.NotRun {
				t.Errorf("rejected with verdict %v, want NotRun", classifier.VerdictOf(err))
			}
			if result.Unchanged != test.unchanged || test.concurrentPublish == nil && test.unchanged && platform.Counts().Writes != writes {
				t.Errorf("unchanged %t after %d writes; want the value of the test case, and no write if unchanged", result.Unchanged, platform.Counts().Writes-writes)
			}
			state, err := newLog(platform.Client()).Load(background, &applier.State{})
			if err != nil || logStateOf(state).names != test.names {
				t.Errorf("log contains %v, want services %s; error %v", logStateOf(state), test.names, err)
			}
		})
	}
}

// mustPublish publishes the services and fails the test on an error.
func mustPublish(t *testing.T, l *Log, services ...parser.Service) PublishResult {
	t.Helper()
	result, err := l.Publish(background, Publication{Services: services})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestLostResponseThenOutage drops the response to a commit and then all calls to
// the platform. The writer must get an UnknownOutcomeError, and the outcome once the
// platform is reachable again.
func TestLostResponseThenOutage(t *testing.T) {
	platform := newPlatform()
	c := platform.Client()
	putIf := c.PutIf
	c.PutIf = func(ctx context.Context, key string, value []byte, version uint64, id storer.LeaseID) (uint64, error) {
		platform.SetFaults(emulator.Faults{LoseAnswers: 1})
		defer platform.SetFaults(emulator.Faults{Outage: true})
		return putIf(ctx, key, value, version, id)
	}
	_, err := newLog(c).Publish(background, Publication{Services: []parser.Service{testService("a")}})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) || classifier.VerdictOf(err) != classifier.MayHaveRun {
		t.Fatalf("publish: got %v, want an UnknownOutcomeError", err)
	}
	if verdict, err := newLog(c).Outcome(background, unknown.Ticket); verdict != classifier.MayHaveRun || err == nil {
		t.Errorf("outcome during the outage: verdict %v, error %v; want MayHaveRun and an error", verdict, err)
	}
	platform.SetFaults(emulator.Faults{})
	ticket, err := ParseTicket(unknown.Ticket.String())
	if err != nil {
		t.Fatal(err)
	}
	if verdict, err := newLog(c).Outcome(background, ticket); verdict != classifier.Ran || err != nil {
		t.Errorf("outcome after the outage: verdict %v, error %v; want Ran without an error", verdict, err)
	}
}

// TestWithoutArchiver commits several times the ring size without an archiver,
// while one client is paused. That client must neither overwrite an entry nor
// miss a change: its commit loses the race, and its load uses a snapshot.
func TestWithoutArchiver(t *testing.T) {
	platform := newPlatform()
	l := newLog(platform.Client())
	mustPublish(t, l, testService("a"))
	follower := newLog(platform.Client())
	stale, err := follower.Load(background, &applier.State{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		mustPublish(t, l, serviceWithVersion("a", fmt.Sprintf("v%d", i+2)))
	}
	if _, err := follower.Commit(background, stale, applier.Change{Services: []parser.Service{testService("b")}}); !errors.Is(err, ErrRevisionTaken) {
		t.Errorf("commit of the paused writer: got %v, want ErrRevisionTaken", err)
	}
	if _, ok, err := follower.Wait(background, stale.Revision()+1, time.Millisecond); ok || err != nil {
		t.Errorf("wait of the lagging follower: ok %t, error %v; want false without an error", ok, err)
	}
	state, err := follower.Load(background, stale)
	if err != nil || state.Revision() != 21 || !slices.Equal(state.Services()[0].Versions, serviceWithVersion("a", "v21").Versions) {
		t.Errorf("the follower loaded revision %d, want 21 with version v21; error %v", state.Revision(), err)
	}
}

// TestWriterBoundsLag commits without an archiver and counts the calls that a
// new reader makes. The writer's own snapshots must bound them.
func TestWriterBoundsLag(t *testing.T) {
	platform := newPlatform()
	l, state := newLog(platform.Client()), &applier.State{}
	l.ringSize = defaultRingSize
	for range 2 * maxSnapshotLag {
		e, err := l.Commit(background, state, applier.Change{Services: []parser.Service{testService("a")}})
		if err != nil {
			t.Fatal(err)
		}
		if state, err = state.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	var m emulator.Meter
	reader := newLog(m.Platform(platform.Client()))
	reader.ringSize = defaultRingSize
	loaded, err := reader.Load(background, &applier.State{})
	if err != nil || loaded.Revision() != 2*maxSnapshotLag {
		t.Fatalf("loaded revision %d, want that of the last commit; error %v", loaded.Revision(), err)
	}
	// Besides the entries, a reader reads the base and the shard of the snapshot,
	// and the base again every snapshotCheckInterval entries.
	if calls := m.Metered().Calls; calls > maxSnapshotLag+maxSnapshotLag/snapshotCheckInterval+3 {
		t.Errorf("the reader made %d calls, want at most one per entry after the snapshot and those for the snapshot", calls)
	}
}

// TestSlowPlatform calls a slow platform with a deadline. Publish and Load must
// fail at the deadline, and the log must work afterwards.
func TestSlowPlatform(t *testing.T) {
	platform := newPlatform()
	l := newLog(platform.Client())
	mustPublish(t, l, testService("a"))
	platform.SetFaults(emulator.Faults{Slow: time.Minute})
	ctx, cancel := context.WithTimeout(background, 10*time.Millisecond)
	defer cancel()
	if _, err := l.Publish(ctx, Publication{Services: []parser.Service{testService("b")}}); classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("publish: got %v, want an error with the verdict NotRun", err)
	}
	if s, err := l.Load(ctx, &applier.State{}); err == nil || s.Revision() != 0 {
		t.Errorf("load: got error %v, want an error and no state", err)
	}
	platform.SetFaults(emulator.Faults{})
	if result := mustPublish(t, l, testService("b")); result.Revision != 2 {
		t.Errorf("published as revision %d, want 2", result.Revision)
	}
}
