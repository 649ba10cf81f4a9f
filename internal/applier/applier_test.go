package applier

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

func init() {
	// Makes the generated cases reproducible; -rapid.seed overrides the seed.
	_ = flag.Set("rapid.seed", "4")
}

var deadline = time.Date(2026, 12, 24, 18, 0, 0, 0, time.UTC)

// service returns a valid service with one version and one route.
func service(name, version, route string, needs ...string) parser.Service {
	return parser.Service{
		Name:         name,
		Versions:     []parser.Version{{Name: version, Share: 100}},
		Routes:       []parser.Route{{Path: route}},
		Dependencies: needs,
	}
}

// drawService draws a service from small pools of names, so that route conflicts and
// broken references are frequent.
func drawService(t *rapid.T) parser.Service {
	number := rapid.IntRange(0, 4)
	svc := service(
		fmt.Sprintf("s%d", number.Draw(t, "name")),
		"v1",
		fmt.Sprintf("/r%d", rapid.IntRange(0, 7).Draw(t, "route")),
	)
	for _, i := range rapid.SliceOfNDistinct(number, 0, 2, rapid.ID[int]).Draw(t, "needs") {
		svc.Dependencies = append(svc.Dependencies, fmt.Sprintf("s%d", i))
	}
	if rapid.Bool().Draw(t, "moving") {
		svc.Move = &parser.Move{To: "v2", By: deadline}
	}
	return svc
}

func drawMove(t *rapid.T) MoveStatus {
	phases := []Phase{Pending, Running, Done, RolledBack, "lost"}
	return MoveStatus{
		Service: fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "moved name")),
		Move:    parser.Move{To: rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "to"), By: deadline},
		Phase:   rapid.SampledFrom(phases).Draw(t, "phase"),
		Share:   rapid.IntRange(-1, 101).Draw(t, "share"),
	}
}

func drawChange(t *rapid.T) Change {
	var c Change
	for range rapid.IntRange(0, 3).Draw(t, "services") {
		c.Services = append(c.Services, drawService(t))
	}
	for range rapid.IntRange(0, 1).Draw(t, "removed") {
		c.Removed = append(c.Removed, fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "removed name")))
	}
	for range rapid.IntRange(0, 1).Draw(t, "moves") {
		c.Moves = append(c.Moves, drawMove(t))
	}
	for range rapid.IntRange(0, 1).Draw(t, "zones") {
		c.Zones = append(c.Zones, Zone{
			DataCentre: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "dc"),
			Evacuated:  rapid.Bool().Draw(t, "out"),
		})
	}
	return c
}

// rebuild applies the change without an index or digest and checks the whole
// resulting state.
func rebuild(s *State, c Change) (*State, error) {
	n := &State{
		services: clone(s.services),
		moves:    clone(s.moves),
		zones:    clone(s.zones),
	}
	for _, name := range c.Removed {
		delete(n.services, name)
		delete(n.moves, name)
	}
	for _, svc := range c.Services {
		n.putService(svc)
	}
	for _, m := range c.Moves {
		n.moves[m.Service] = m
	}
	for _, z := range c.Zones {
		n.zones[z.DataCentre] = z
	}
	return n, n.Check()
}

// TestIncrementalCheck checks that the check of a change gives the same result as
// the check of the whole state, that an entry is applied completely or not at all,
// and that the digest depends only on the contents.
func TestIncrementalCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &State{}
		for range rapid.IntRange(1, 12).Draw(t, "entries") {
			c := drawChange(t)
			before := state.Snapshot()
			e, err := state.NewEntry("id", "test", deadline, c)
			want, wholeErr := rebuild(state, c)
			if !reflect.DeepEqual(before, state.Snapshot()) {
				t.Fatal("NewEntry modified the state")
			}
			if err != nil {
				if wholeErr == nil && c.checkNames() == nil && !changesOutcome(state, c) {
					t.Fatalf("change rejected with %v, but the whole state is valid", err)
				}
				continue
			}
			if wholeErr != nil {
				t.Fatalf("change accepted, but the whole state is invalid: %v", wholeErr)
			}
			state = applyStored(t, state, e)
			if !maps.EqualFunc(state.services, want.services, equalService) || len(state.moves) != len(want.moves) {
				t.Fatal("contents differ from the rebuilt state")
			}
			checkRestored(t, state)
		}
	})
}

func equalService(a, b parser.Service) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return string(x) == string(y)
}

// changesOutcome reports whether the change alters the status of a move that has
// ended.
func changesOutcome(s *State, c Change) bool {
	for _, m := range c.Moves {
		if s.checkNotFinal(m) != nil {
			return true
		}
	}
	return false
}

// applyStored applies the entry after encoding and decoding it. It also checks that
// entries with another revision, another base or changed content are rejected.
func applyStored(t *rapid.T, s *State, e Entry) *State {
	data, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	stored, err := DecodeEntry(data)
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(stored)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	if next.Revision() != s.Revision()+1 {
		t.Fatalf("revision went from %d to %d", s.Revision(), next.Revision())
	}
	late, early, offBase, tampered := e, e, e, e
	late.Revision++
	early.Revision--
	offBase.Base[0] ^= 1
	tampered.Change.Zones = append(append([]Zone{}, e.Change.Zones...), Zone{DataCentre: "z", Evacuated: true})
	for i, bad := range []Entry{late, early, offBase, tampered} {
		if _, err := s.Apply(bad); err == nil {
			t.Fatalf("invalid entry %d was applied", i)
		}
	}
	return next
}

// checkRestored checks that a stored snapshot restores the same revision, digest and
// index.
func checkRestored(t *rapid.T, s *State) {
	data, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snap Snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		t.Fatal(err)
	}
	r, err := Restore(snap)
	if err != nil {
		t.Fatalf("restore: %v", err)
	}
	if r.Digest() != s.Digest() || r.Revision() != s.Revision() {
		t.Fatalf("restored revision %d, digest %s; want revision %d, digest %s", r.Revision(), r.Digest(), s.Revision(), s.Digest())
	}
	if !maps.Equal(r.index.routeOwners, s.index.routeOwners) || !maps.Equal(r.index.dependants, s.index.dependants) {
		t.Fatalf("incrementally updated index %v, rebuilt index %v", s.index, r.index)
	}
}

func TestOutcomeIsFinal(t *testing.T) {
	moving := service("a", "v1", "/a")
	moving.Move = &parser.Move{To: "v2", By: deadline}
	status := func(p Phase, share int) Change {
		return Change{Moves: []MoveStatus{{Service: "a", Move: *moving.Move, Phase: p, Share: share}}}
	}
	start := mustApply(t, &State{}, Change{Services: []parser.Service{moving}})
	for _, final := range []Phase{Done, RolledBack} {
		ended := mustApply(t, start, status(final, 0))
		for _, p := range []Phase{Pending, Running, Done, RolledBack} {
			_, err := ended.NewEntry("id", "", deadline, status(p, 0))
			if (err == nil) != (p == final) {
				t.Errorf("from phase %s to %s: NewEntry returned error %v, want an error unless the phase is the same", final, p, err)
			}
		}
		republished := moving
		republished.Move = &parser.Move{To: "v2", By: deadline.Add(time.Hour)}
		if _, err := ended.NewEntry("id", "", deadline, Change{Services: []parser.Service{republished}}); err != nil {
			t.Errorf("new move after phase %s: %v", final, err)
		}
	}
}

func mustApply(t testing.TB, s *State, c Change) *State {
	t.Helper()
	e, err := s.NewEntry("id", "test", deadline, c)
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(e)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestStoredFormat checks that the encoding of an entry does not change, since older
// daemons read it, and that a stored entry can still be applied.
func TestStoredFormat(t *testing.T) {
	moving := service("a", "v1", "/a", "b")
	moving.Move = &parser.Move{To: "v2", By: deadline, Steps: []int{10, 100}}
	c := Change{
		Services: []parser.Service{moving, service("b", "v1", "/b")},
		Removed:  []string{"c"},
		Moves:    []MoveStatus{{Service: "a", Move: *moving.Move, Phase: Running, Share: 10, Since: deadline, Reason: "bad \xff byte"}},
		Zones:    []Zone{{DataCentre: "x", Evacuated: true, Since: deadline}},
	}
	e, err := new(State).NewEntry("an-id", "operator", deadline, c)
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.AssertJson(t, "entry", e)
	golden, err := os.ReadFile(g.GoldenFileName(t, "entry"))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := DecodeEntry(golden)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := new(State).Apply(stored); err != nil {
		t.Errorf("the stored entry cannot be applied: %v", err)
	}
}

func ExampleState_Apply() {
	state := &State{}
	e, err := state.NewEntry("an-id", "operator", deadline, Change{
		Services: []parser.Service{service("permits", "v1", "/permits")},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	next, err := state.Apply(e)
	fmt.Println(next.Revision(), len(next.Services()), err)
	_, err = next.Apply(e)
	fmt.Println(err)
	// Output:
	// 1 1 <nil>
	// applier: entry 1 does not follow revision 1
}

// largeState returns a state with as many services as the system is designed for.
func largeState(t testing.TB) *State {
	t.Helper()
	var c Change
	for i := range 1800 {
		svc := service(fmt.Sprintf("service-%04d", i), "v1", fmt.Sprintf("/service-%04d", i))
		if i > 0 {
			svc.Dependencies = []string{fmt.Sprintf("service-%04d", i/2)}
		}
		c.Services = append(c.Services, svc)
	}
	return mustApply(t, &State{}, c)
}

func BenchmarkApply(b *testing.B) {
	state := largeState(b)
	changed := service("service-0900", "v2", "/service-0900")
	e, err := state.NewEntry("id", "", deadline, Change{Services: []parser.Service{changed}})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := state.Apply(e); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := state.Check(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// TestMoveHistory replaces the move of a service several times and checks that the
// last moves are kept, also by a snapshot, until the service is removed.
func TestMoveHistory(t *testing.T) {
	s := new(State)
	svc := parser.Service{
		Name:     "permits",
		Versions: []parser.Version{{Name: "v0", Share: 100}},
		Routes:   []parser.Route{{Path: "/permits"}},
	}
	commit := func(c Change) {
		t.Helper()
		e, err := s.NewEntry("id", "test", time.Time{}, c)
		if err != nil {
			t.Fatal(err)
		}
		if s, err = s.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 8 {
		by := time.Date(2030, 1, 1, i, 0, 0, 0, time.UTC)
		commit(Change{Services: []parser.Service{svc.WithMove(&parser.Move{To: "v1", By: by})}})
		m, _ := s.Move("permits")
		if i > 0 { // the first move is replaced while it is pending
			m.Phase = RolledBack
			commit(Change{Moves: []MoveStatus{m}})
		}
	}
	commit(Change{Services: []parser.Service{svc}})
	histories := s.MoveHistories()
	if len(histories) != 1 || len(histories[0].Moves) != 5 || histories[0].Moves[4].Move.By.Hour() != 7 || histories[0].Moves[0].Move.By.Hour() != 3 {
		t.Errorf("past moves %+v, want the last five", histories)
	}
	restored, err := Restore(s.Snapshot())
	if err != nil || restored.Digest() != s.Digest() {
		t.Errorf("Restore changed the digest or returned error %v", err)
	}
	commit(Change{Removed: []string{"permits"}})
	if len(s.MoveHistories()) != 0 {
		t.Error("past moves of a removed service are kept")
	}
}
