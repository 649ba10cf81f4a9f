package committer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// logState is the contents of the log: the revision of its head, and the sorted
// names of its services, separated by spaces.
type logState struct {
	revision uint64
	names    string
}

// logStateOf returns the logState of a configuration state.
func logStateOf(s *applier.State) logState {
	var list []string
	for _, svc := range s.Services() {
		list = append(list, svc.Name)
	}
	return logState{
		revision: s.Revision(),
		names:    strings.Join(list, " "),
	}
}

// withService returns the state after a service has been added.
func (s logState) withService(name string) logState {
	list := append(strings.Fields(s.names), name)
	slices.Sort(list)
	return logState{
		revision: s.revision + 1,
		names:    strings.Join(list, " "),
	}
}

// logInput is an operation: a commit of the named service on a base revision, or
// a load if name is empty.
type logInput struct {
	name string
	base uint64
}

// logOutput is the state that a load returned, or the verdict of a commit.
type logOutput struct {
	logState logState
	verdict  classifier.Verdict
}

// logModel models the log as one register. A commit takes effect only if the
// register is at its base revision. A commit whose outcome is unknown stays
// pending until the end of the history, so it may take effect at any time or not
// at all.
var logModel = porcupine.Model{
	Init: func() any { return logState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(logState), input.(logInput), output.(logOutput)
		if in.name == "" {
			return out.logState == s, s
		}
		onBase := s.revision == in.base
		switch {
		case out.verdict == classifier.NotRun:
			return true, s
		case out.verdict == classifier.Ran:
			return onBase, s.withService(in.name)
		case onBase:
			return true, s.withService(in.name)
		default:
			return true, s
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// recorder records a history of operations, in the logical time of the schedule.
type recorder struct {
	platform storer.Platform
	schedule *emulator.Schedule
	history  []porcupine.Operation
	unknown  []Ticket
}

// load loads the log from a known state and records what it returned.
func (r *recorder) load(id int, l *Log, from *applier.State) *applier.State {
	callTime := r.schedule.Tick()
	s, err := l.Load(context.Background(), from)
	if err == nil {
		r.record(id, callTime, r.schedule.Tick(), logInput{}, logOutput{logState: logStateOf(s)})
	}
	return s
}

// commit commits a service and records the verdict, and the ticket of a commit
// whose outcome is unknown.
func (r *recorder) commit(id int, l *Log, base *applier.State, name string) {
	callTime := r.schedule.Tick()
	_, err := l.Commit(context.Background(), base, applier.Change{Services: []parser.Service{testService(name)}})
	returnTime, out := r.schedule.Tick(), logOutput{verdict: classifier.Ran}
	if err != nil {
		out.verdict = classifier.VerdictOf(err)
	}
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		r.unknown = append(r.unknown, unknown.Ticket)
		returnTime = math.MaxInt64
	}
	r.record(id, callTime, returnTime, logInput{name: name, base: base.Revision()}, out)
}

func (r *recorder) record(id int, callTime, returnTime int64, in logInput, out logOutput) {
	r.history = append(r.history, porcupine.Operation{
		ClientId: id,
		Input:    in,
		Call:     callTime,
		Output:   out,
		Return:   returnTime,
	})
}

// testService returns a service with version v1 and one route.
func testService(name string) parser.Service {
	return parser.Service{
		Name:     name,
		Versions: []parser.Version{{Name: "v1", Share: 100}},
		Routes:   []parser.Route{{Path: "/" + name}},
	}
}

// history runs writers, readers and archivers concurrently, with faults of every
// kind, and returns the recorded history.
func history(seed uint64) *recorder {
	platform := newPlatform()
	r := &recorder{
		platform: platform.Client(),
		schedule: emulator.NewSchedule(platform.Client(), seed),
	}
	for id := range 3 {
		r.schedule.Add(func(p storer.Platform) {
			l, state := newLog(p), &applier.State{}
			for i := range 8 {
				state = r.load(id, l, state)
				r.commit(id, l, state, fmt.Sprintf("w%d-%d", id, i))
			}
		})
	}
	for id := range 2 {
		r.schedule.Add(func(p storer.Platform) {
			l, state := newLog(p), &applier.State{}
			for range 8 {
				state = r.load(3+id, l, state)
			}
		})
		r.schedule.Add(func(p storer.Platform) {
			l, state := newLog(p), &applier.State{}
			a := &archiver.Archiver{Platform: p, ShardBytes: 150}
			for range 6 {
				base, err := archiver.ReadBase(context.Background(), p)
				state, _ = l.Load(context.Background(), state)
				if err == nil {
					_ = a.Write(context.Background(), base, state)
				}
			}
		})
	}
	r.schedule.Run()
	return r
}

// TestLinearizable checks that concurrent use of the log is linearizable: no
// acknowledged commit is lost, no rejected commit appears, and no reader reads an
// older state than before.
func TestLinearizable(t *testing.T) {
	commits, unknown := 0, 0
	for seed := range uint64(120) {
		r := history(seed)
		l := newLog(r.platform)
		final, err := l.Load(context.Background(), &applier.State{})
		if err != nil {
			t.Fatalf("seed %d: cannot read the log at the end: %v", seed, err)
		}
		r.record(9, r.schedule.Tick(), r.schedule.Tick(), logInput{}, logOutput{logState: logStateOf(final)})
		if !porcupine.CheckOperations(logModel, r.history) {
			t.Fatalf("seed %d: not linearizable: %v", seed, r.history)
		}
		for _, ticket := range r.unknown {
			checkOutcome(t, seed, l, final, ticket)
		}
		commits += int(final.Revision())
		unknown += len(r.unknown)
	}
	t.Logf("%d commits, %d with an unknown outcome", commits, unknown)
}

// checkOutcome checks an outcome that is queried later against the final state.
func checkOutcome(t *testing.T, seed uint64, l *Log, final *applier.State, ticket Ticket) {
	t.Helper()
	verdict, err := l.Outcome(context.Background(), ticket)
	if err != nil && !errors.Is(err, ErrOverwritten) {
		t.Errorf("seed %d: outcome of %s: %v", seed, ticket, err)
	}
	if verdict == classifier.Ran && ticket.Revision > final.Revision() {
		t.Errorf("seed %d: outcome of %s is Ran, but the log ends at revision %d", seed, ticket, final.Revision())
	}
}
