package archiver

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var (
	background = context.Background()
	start      = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
)

// stateAt returns a state at a revision. The numbers of its services, moves and
// zones equal the revision.
func stateAt(t *testing.T, revision int) *applier.State {
	t.Helper()
	state := &applier.State{}
	for i := range revision {
		svc := parser.Service{
			Name:     fmt.Sprintf("s%d", i),
			Versions: []parser.Version{{Name: "v1", Share: 100}},
			Routes:   []parser.Route{{Path: fmt.Sprintf("/s%d", i)}},
			Move:     &parser.Move{To: "v2", By: start},
		}
		e, err := state.NewEntry("id", "test", start, applier.Change{
			Services: []parser.Service{svc},
			Zones:    []applier.Zone{{DataCentre: svc.Name, Evacuated: true, Since: start}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if state, err = state.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	return state
}

func TestWriteIfDue(t *testing.T) {
	clock := timekeeper.NewVirtual(start)
	platform := emulator.NewPlatform(clock).Client()
	a := &Archiver{Platform: platform, LeaseHolder: "a", ShardBytes: 300}
	attempt := func(revision int, want uint64, wantErr error) {
		t.Helper()
		base, err := a.WriteIfDue(background, stateAt(t, revision))
		if base != want || !errors.Is(err, wantErr) || wantErr == nil && err != nil {
			t.Errorf("attempt at revision %d: got base %d, error %v; want %d, %v", revision, base, err, want, wantErr)
		}
	}
	attempt(EntriesPerSnapshot-1, 0, nil)
	attempt(EntriesPerSnapshot, EntriesPerSnapshot, nil)
	lease, err := platform.Grant(background, leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := platform.PutIf(background, leaseKey, []byte("paused"), 0, lease); err != nil {
		t.Fatal(err)
	}
	attempt(3*EntriesPerSnapshot, EntriesPerSnapshot, ErrBusy)
	clock.Advance(leaseTTL + time.Second)
	attempt(3*EntriesPerSnapshot, 3*EntriesPerSnapshot, nil)
	attempt(2*EntriesPerSnapshot, 3*EntriesPerSnapshot, nil)
	base, err := ReadBase(background, platform)
	if err != nil || len(base.Shards) < 2 {
		t.Errorf("base %+v, want at least 2 shards; error %v", base, err)
	}
	state, ok, err := Load(background, platform, 0)
	if err != nil || !ok || state.Digest() != stateAt(t, 3*EntriesPerSnapshot).Digest() {
		t.Errorf("load: ok %t, error %v; want the state of the last snapshot", ok, err)
	}
	if _, ok, err := Load(background, platform, 3*EntriesPerSnapshot); ok || err != nil {
		t.Errorf("load of a snapshot that is not newer: ok %t, error %v; want false without an error", ok, err)
	}
}

// TestCorruptShard overwrites a shard with other data. Load must return
// ErrCorrupt.
func TestCorruptShard(t *testing.T) {
	platform := emulator.NewPlatform(timekeeper.NewVirtual(start)).Client()
	a := &Archiver{Platform: platform}
	if err := a.Write(background, Base{}, stateAt(t, 3)); err != nil {
		t.Fatal(err)
	}
	base, err := ReadBase(background, platform)
	if err != nil {
		t.Fatal(err)
	}
	item, err := platform.Get(background, shardKey(base.Bank, 0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := platform.PutIf(background, item.Key, item.Value[1:], item.Version, ""); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Load(background, platform, 0); !errors.Is(err, ErrCorrupt) {
		t.Errorf("load: got %v, want ErrCorrupt", err)
	}
}

// TestSnapshotReplacedDuringLoad writes two snapshots while a reader loads an
// older one, which overwrites the shards that it reads. Load must return the
// newest state.
func TestSnapshotReplacedDuringLoad(t *testing.T) {
	platform := emulator.NewPlatform(timekeeper.NewVirtual(start)).Client()
	write := func(revision int) {
		base, err := ReadBase(background, platform)
		if err != nil {
			t.Fatal(err)
		}
		a := &Archiver{Platform: platform}
		if err := a.Write(background, base, stateAt(t, revision)); err != nil {
			t.Fatal(err)
		}
	}
	write(1)
	reader, reads := platform, 0
	reader.Get = func(ctx context.Context, key string) (storer.Item, error) {
		if reads++; reads == 2 {
			write(2)
			write(3)
		}
		return platform.Get(ctx, key)
	}
	state, ok, err := Load(background, reader, 0)
	if err != nil || !ok || state.Revision() != 3 {
		t.Errorf("load: ok %t, error %v; want the state of revision 3", ok, err)
	}
}

// TestAttemptsDoNotGrowWithFleet counts the daemons that attempt to write a
// snapshot in fleets of several sizes, once with the candidates of all data
// centres and once with those of one data centre. At least one daemon must
// attempt, and the number must not exceed its bound.
func TestAttemptsDoNotGrowWithFleet(t *testing.T) {
	const centres = 22
	for _, size := range []int{1, 10, 1000, 4000} {
		var all []Candidate
		known := map[string][]Candidate{}
		for i := range size {
			c := Candidate{ID: fmt.Sprintf("vm-%d", i), DC: fmt.Sprintf("dc-%d", i%centres)}
			all = append(all, c)
			known[c.DC] = append(known[c.DC], c)
		}
		if n := countAttempts(known["dc-0"], known["dc-0"]); n < 1 || n > archivingDaemons {
			t.Errorf("fleet of %d daemons: %d attempt with the candidates of one data centre, want at least 1 and at most its bound", size, n)
		}
		if size > 1000 {
			continue
		}
		if n := countAttempts(all, all); n < 1 || n > archivingDCs*archivingDaemons {
			t.Errorf("fleet of %d daemons: %d attempt with all candidates, want at least 1 and at most the bound", size, n)
		}
	}
}

// countAttempts returns how many of the daemons attempt in window 1 if known are
// the candidates.
func countAttempts(daemons, known []Candidate) int {
	n := 0
	for _, c := range daemons {
		if _, ok := AttemptDelay(1, c, known); ok {
			n++
		}
	}
	return n
}
