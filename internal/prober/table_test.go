package prober_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// serving returns a member that serves a version.
func serving(id, dc string) prober.Member {
	return prober.Member{
		ID:          id,
		DC:          dc,
		Incarnation: 1,
		Target: &prober.Target{
			Service: "renewal",
			Version: "v1",
			Slots:   10,
		},
	}
}

func servingIDs(t *prober.Table) string {
	var ids []string
	for _, m := range t.Serving("renewal", "v1") {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

func TestServing(t *testing.T) {
	table := prober.NewTable(serving("a1", "a"))
	for _, m := range []prober.Member{serving("a2", "a"), serving("b1", "b"), serving("b2", "b")} {
		table.Merge(m)
	}
	draining := serving("b2", "b")
	draining.Incarnation = 2
	draining.Target.Draining = true
	steps := []struct {
		name string
		do   func()
		want string
	}{
		{"at first", func() {}, "a1 a2 b1 b2"},
		{"one drains", func() { table.Merge(draining) }, "a1 a2 b1"},
		{"a suspect is left out", func() { table.Merge(serving("a2", "a").WithStatus(prober.Suspect)) }, "a1 b1"},
		{"too many suspects are kept", func() { table.Merge(serving("b1", "b").WithStatus(prober.Suspect)) }, "a1 a2 b1"},
		{"a data centre is unreachable", func() { table.SetReachable("b", false) }, "a1"},
		{"it is back", func() { table.SetReachable("b", true) }, "a1 a2 b1"},
		{"the own one always is", func() { table.SetReachable("a", false) }, "a1 a2 b1"},
		{"one is dead", func() { table.Merge(serving("b1", "b").WithStatus(prober.Dead)) }, "a1"},
		{"stale news", func() { table.Merge(serving("b1", "b")) }, "a1"},
		{"the daemon itself is refuted", func() { table.Merge(serving("a1", "a").WithStatus(prober.Dead)) }, "a1"},
	}
	for _, s := range steps {
		if s.do(); servingIDs(table) != s.want {
			t.Errorf("%s: %q, want %q", s.name, servingIDs(table), s.want)
		}
	}
	if self := table.Self(); self.Incarnation != 2 || self.Status != prober.Alive {
		t.Errorf("refuted as %+v", self)
	}
}

func TestMergeRefuses(t *testing.T) {
	table := prober.NewTable(serving("a1", "a"))
	for name, m := range map[string]prober.Member{
		"no name":      serving("", "a"),
		"long name":    serving(strings.Repeat("x", 64), "a"),
		"no DC":        serving("a2", ""),
		"odd status":   serving("a2", "a").WithStatus(prober.Left + 1),
		"many slots":   serving("a2", "a").WithTarget(&prober.Target{Service: "s", Version: "v", Slots: 1 << 20}),
		"long version": serving("a2", "a").WithTarget(&prober.Target{Service: "s", Version: strings.Repeat("v", 64)}),
	} {
		if table.Merge(m) || len(table.All()) != 1 {
			t.Errorf("%s was taken in", name)
		}
	}
}

// TestMergeInAnyOrder merges the same news in two orders, with repeats, and
// wants the same table.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) prober.Member {
			m := serving(fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "id")), "a")
			m.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			return m.WithStatus(prober.Status(rapid.IntRange(0, 3).Draw(t, "status")))
		}), 0, 30).Draw(t, "news")
		other := rapid.Permutation(append(slices.Clone(news), news...)).Draw(t, "other order")
		tables := [2]*prober.Table{prober.NewTable(serving("self", "a")), prober.NewTable(serving("self", "a"))}
		for i, list := range [][]prober.Member{news, other} {
			for _, m := range list {
				tables[i].Merge(m)
			}
		}
		if a, b := fmt.Sprint(views(tables[0])), fmt.Sprint(views(tables[1])); a != b {
			t.Fatalf("%s\n%s", a, b)
		}
		if a, b := servingIDs(tables[0]), servingIDs(tables[1]); a != b {
			t.Fatalf("serving %s, %s", a, b)
		}
	})
}

// views returns what a table holds, without pointers.
func views(t *prober.Table) []string {
	var lines []string
	for _, m := range t.All() {
		lines = append(lines, fmt.Sprint(m.ID, m.Incarnation, m.Status))
	}
	return lines
}

// newProber returns a Prober with a table of its own and no seeds.
func newProber(clock timekeeper.Clock, self prober.Member) (*prober.Prober, *prober.Table) {
	table := prober.NewTable(self)
	return prober.New(prober.Options{
		Table:  table,
		Facts:  spreader.NewStore(clock),
		Clock:  clock,
		Seeds:  func() []string { return nil },
		Random: newNetwork(1, 0, 0).random,
	}), table
}

// TestForgotten lets a member die and be forgotten, and another data centre
// that missed it tell of it again.
func TestForgotten(t *testing.T) {
	clock := timekeeper.NewVirtual(epoch)
	p, table := newProber(clock, serving("a1", "a"))
	old := serving("a2", "a")
	old.Incarnation = uint64(epoch.UnixMilli())
	tell := func(dc string, m prober.Member) {
		p.Answer(prober.Message{
			Kind:    prober.Push,
			From:    dc + "9",
			DC:      dc,
			Members: []prober.Member{m},
		})
	}
	tell("a", old.WithStatus(prober.Dead))
	clock.Advance(9 * time.Minute)
	p.Tick()
	if _, ok := table.Get("a2"); !ok {
		t.Error("forgotten too early")
	}
	clock.Advance(2 * time.Minute)
	p.Tick()
	if _, ok := table.Get("a2"); ok {
		t.Error("not forgotten")
	}
	tell("b", old)
	if _, ok := table.Get("a2"); ok {
		t.Error("a stale peer brought it back")
	}
	answer, _ := p.Answer(prober.Message{
		Kind:     prober.Compare,
		From:     "b9",
		DC:       "b",
		Parts:    []prober.Part{{DC: "a"}},
		Versions: []prober.Version{{ID: "a2", Incarnation: old.Incarnation}},
	})
	if len(answer.Members) != 1 || answer.Members[0].Status != prober.Dead {
		t.Errorf("the stale peer isn't told: %+v", answer.Members)
	}
	back := old
	back.Incarnation = uint64(clock.Now().UnixMilli())
	tell("b", back)
	if _, ok := table.Get("a2"); !ok {
		t.Error("one that has come back is not taken in")
	}
	tell("b", back.WithStatus(prober.Dead))
	if m, _ := table.Get("a2"); m.Status != prober.Alive {
		t.Error("another data centre declared a member dead")
	}
}

// TestTableNotifies counts the changes that are told of.
func TestTableNotifies(t *testing.T) {
	table := prober.NewTable(prober.Member{ID: "a", DC: "x", Admit: "127.0.0.1:1", Control: "127.0.0.1:2", Incarnation: 1})
	changed := make(chan struct{}, 1)
	table.Notify(changed)
	told := func() bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	b := prober.Member{ID: "b", DC: "y", Admit: "127.0.0.1:3", Control: "127.0.0.1:4", Incarnation: 1}
	for _, step := range []struct {
		name string
		do   func()
		want bool
	}{
		{"new member", func() { table.Merge(b) }, true},
		{"the same again", func() { table.Merge(b) }, false},
		{"gone", func() { table.Merge(b.WithStatus(prober.Left)) }, true},
		{"own change", func() {
			table.Update(func(m prober.Member) prober.Member { return m.WithTarget(&prober.Target{Service: "s", Version: "v"}) })
		}, true},
		{"data centre out of reach", func() { table.SetReachable("y", false) }, true},
		{"data centre still out of reach", func() { table.SetReachable("y", false) }, false},
		{"two without a reader", func() { table.SetReachable("y", true); table.SetReachable("y", false) }, true},
	} {
		step.do()
		if got := told(); got != step.want {
			t.Errorf("%s: told %v, want %v", step.name, got, step.want)
		}
	}
}
