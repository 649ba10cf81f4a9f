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

// servingMember returns a member whose target serves version v1 of service
// renewal.
func servingMember(id, dc string) prober.Member {
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

// servingIDs returns the sorted IDs of the members that get requests of renewal
// v1.
func servingIDs(t *prober.Table) string {
	var ids []string
	for _, m := range t.Serving("renewal", "v1") {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

func TestServing(t *testing.T) {
	table := prober.NewTable(servingMember("a1", "a"))
	for _, m := range []prober.Member{servingMember("a2", "a"), servingMember("b1", "b"), servingMember("b2", "b")} {
		table.Merge(m)
	}
	draining := servingMember("b2", "b")
	draining.Incarnation = 2
	draining.Target.Draining = true
	steps := []struct {
		name string
		do   func()
		want string
	}{
		{"initial", func() {}, "a1 a2 b1 b2"},
		{"member drains", func() { table.Merge(draining) }, "a1 a2 b1"},
		{"suspect is left out", func() { table.Merge(servingMember("a2", "a").WithStatus(prober.Suspect)) }, "a1 b1"},
		{"suspects are kept if fewer than half are alive", func() { table.Merge(servingMember("b1", "b").WithStatus(prober.Suspect)) }, "a1 a2 b1"},
		{"data centre unreachable", func() { table.SetReachable("b", false) }, "a1"},
		{"data centre reachable again", func() { table.SetReachable("b", true) }, "a1 a2 b1"},
		{"own data centre stays reachable", func() { table.SetReachable("a", false) }, "a1 a2 b1"},
		{"member dead", func() { table.Merge(servingMember("b1", "b").WithStatus(prober.Dead)) }, "a1"},
		{"stale update", func() { table.Merge(servingMember("b1", "b")) }, "a1"},
		{"own death refuted", func() { table.Merge(servingMember("a1", "a").WithStatus(prober.Dead)) }, "a1"},
	}
	for _, s := range steps {
		if s.do(); servingIDs(table) != s.want {
			t.Errorf("%s: members that get requests: %q, want %q", s.name, servingIDs(table), s.want)
		}
	}
	if self := table.Self(); self.Incarnation != 2 || self.Status != prober.Alive {
		t.Errorf("own entry after refutation: %+v, want incarnation 2 and alive", self)
	}
}

func TestMergeRejectsInvalid(t *testing.T) {
	table := prober.NewTable(servingMember("a1", "a"))
	for name, m := range map[string]prober.Member{
		"empty ID":       servingMember("", "a"),
		"long ID":        servingMember(strings.Repeat("x", 64), "a"),
		"empty DC":       servingMember("a2", ""),
		"unknown status": servingMember("a2", "a").WithStatus(prober.Left + 1),
		"too many slots": servingMember("a2", "a").WithTarget(&prober.Target{Service: "s", Version: "v", Slots: 1 << 20}),
		"long version":   servingMember("a2", "a").WithTarget(&prober.Target{Service: "s", Version: strings.Repeat("v", 64)}),
	} {
		if table.Merge(m) || len(table.All()) != 1 {
			t.Errorf("%s: invalid member was accepted", name)
		}
	}
}

// TestMergeInAnyOrder merges the same updates in two orders, with repeats, and
// checks that the tables are equal.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) prober.Member {
			m := servingMember(fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "id")), "a")
			m.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			return m.WithStatus(prober.Status(rapid.IntRange(0, 3).Draw(t, "status")))
		}), 0, 30).Draw(t, "updates")
		reordered := rapid.Permutation(append(slices.Clone(updates), updates...)).Draw(t, "reordered")
		tables := [2]*prober.Table{prober.NewTable(servingMember("self", "a")), prober.NewTable(servingMember("self", "a"))}
		for i, list := range [][]prober.Member{updates, reordered} {
			for _, m := range list {
				tables[i].Merge(m)
			}
		}
		if a, b := fmt.Sprint(tableEntries(tables[0])), fmt.Sprint(tableEntries(tables[1])); a != b {
			t.Fatalf("tables differ:\n%s\n%s", a, b)
		}
		if a, b := servingIDs(tables[0]), servingIDs(tables[1]); a != b {
			t.Fatalf("serving members differ: %s and %s", a, b)
		}
	})
}

// tableEntries formats the members of a table without pointers, for comparison.
func tableEntries(t *prober.Table) []string {
	var lines []string
	for _, m := range t.All() {
		lines = append(lines, fmt.Sprint(m.ID, m.Incarnation, m.Status))
	}
	return lines
}

// newProber returns a Prober with its own table and no seeds.
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

// TestTombstoneExpiry checks that an expired member stays removed although a
// peer in another data centre, which missed its death, still sends the stale
// entry. A restarted member is accepted.
func TestTombstoneExpiry(t *testing.T) {
	clock := timekeeper.NewVirtual(epoch)
	p, table := newProber(clock, servingMember("a1", "a"))
	old := servingMember("a2", "a")
	old.Incarnation = uint64(epoch.UnixMilli())
	push := func(dc string, m prober.Member) {
		p.HandleMessage(prober.Message{
			Kind:    prober.Push,
			From:    dc + "9",
			DC:      dc,
			Members: []prober.Member{m},
		})
	}
	push("a", old.WithStatus(prober.Dead))
	clock.Advance(9 * time.Minute)
	p.Tick()
	if _, ok := table.Get("a2"); !ok {
		t.Error("member was removed before its tombstone expired")
	}
	clock.Advance(2 * time.Minute)
	p.Tick()
	if _, ok := table.Get("a2"); ok {
		t.Error("member was not removed after its tombstone expired")
	}
	push("b", old)
	if _, ok := table.Get("a2"); ok {
		t.Error("stale entry of a removed member was accepted")
	}
	answer, _ := p.HandleMessage(prober.Message{
		Kind:           prober.Compare,
		From:           "b9",
		DC:             "b",
		Buckets:        []prober.BucketID{{DC: "a"}},
		MemberVersions: []prober.MemberVersion{{ID: "a2", Incarnation: old.Incarnation}},
	})
	if len(answer.Members) != 1 || answer.Members[0].Status != prober.Dead {
		t.Errorf("answer to the stale peer: %+v, want one dead member", answer.Members)
	}
	back := old
	back.Incarnation = uint64(clock.Now().UnixMilli())
	push("b", back)
	if _, ok := table.Get("a2"); !ok {
		t.Error("restarted member was not accepted")
	}
	push("b", back.WithStatus(prober.Dead))
	if m, _ := table.Get("a2"); m.Status != prober.Alive {
		t.Error("member was declared dead by another data centre")
	}
}

// TestTableNotifies checks which changes cause a notification.
func TestTableNotifies(t *testing.T) {
	table := prober.NewTable(prober.Member{ID: "a", DC: "x", Admit: "127.0.0.1:1", Control: "127.0.0.1:2", Incarnation: 1})
	changed := make(chan struct{}, 1)
	table.Notify(changed)
	notified := func() bool {
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
		{"unchanged member", func() { table.Merge(b) }, false},
		{"member left", func() { table.Merge(b.WithStatus(prober.Left)) }, true},
		{"own entry changed", func() {
			table.UpdateSelf(func(m prober.Member) prober.Member { return m.WithTarget(&prober.Target{Service: "s", Version: "v"}) })
		}, true},
		{"data centre unreachable", func() { table.SetReachable("y", false) }, true},
		{"data centre still unreachable", func() { table.SetReachable("y", false) }, false},
		{"two changes without a receive", func() { table.SetReachable("y", true); table.SetReachable("y", false) }, true},
	} {
		step.do()
		if got := notified(); got != step.want {
			t.Errorf("%s: notified %v, want %v", step.name, got, step.want)
		}
	}
}

// TestAllFollowsChanges guards against a list of members from before a change.
func TestAllFollowsChanges(t *testing.T) {
	table := prober.NewTable(servingMember("vm-b", "dc-0"))
	table.All()
	table.Merge(servingMember("vm-a", "dc-0"))
	before := table.All()
	if len(before) != 2 || before[0].ID != "vm-a" || before[1].ID != "vm-b" {
		t.Fatalf("members %v, want vm-a and vm-b", before)
	}
	left := servingMember("vm-a", "dc-0").WithStatus(prober.Left)
	table.Merge(left)
	table.UpdateSelf(func(m prober.Member) prober.Member { return m.WithTarget(nil) })
	after := table.All()
	if after[0].Status != prober.Left || after[1].Target != nil {
		t.Errorf("members %v, want vm-a to have left and vm-b without a target", after)
	}
	if before[0].Status != prober.Alive || before[1].Target == nil {
		t.Errorf("the earlier list became %v", before)
	}
}
