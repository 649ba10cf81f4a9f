package reporter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/reporter"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

var now = time.Date(2030, 1, 2, 7, 30, 0, 0, time.UTC)

// sampleReport returns a report of two services: permits with a rollout and ten
// minutes of calls, and quiet, for which there is no account.
func sampleReport(t *testing.T) reporter.Report {
	t.Helper()
	move := &parser.Move{To: "v2", By: now.Add(time.Hour)}
	state := new(applier.State)
	e, err := state.NewEntry("id", "test", now, applier.Change{Services: []parser.Service{
		{
			Name:       "permits",
			Versions:   []parser.Version{{Name: "v1", Share: 100}},
			Routes:     []parser.Route{{Path: "/permits"}},
			Objectives: parser.Objectives{GoodShare: 0.99},
			Move:       move,
		},
		{
			Name:     "quiet",
			Versions: []parser.Version{{Name: "v1", Share: 100}},
			Routes:   []parser.Route{{Path: "/quiet"}},
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if state, err = state.Apply(e); err != nil {
		t.Fatal(err)
	}
	var ledger reporter.Ledger
	for i := range int64(10) {
		ledger.Add(reporter.Batch{
			From:   "vm-1",
			Run:    1,
			Number: i + 1,
			Minute: reporter.Minute(now) - i,
			Rows: []reporter.Row{
				{Key: reporter.Key{Service: "permits"}, Tally: reporter.Tally{Calls: 100, Bad: i / 2}},
				{Key: reporter.Key{Service: "permits", Version: "v1", DC: "klang"}, Tally: reporter.Tally{
					Calls:   100,
					Busy:    30 * time.Second,
					Slots:   6,
					Targets: 1,
				}},
			},
		})
	}
	return reporter.Build(state, []reporter.Account{ledger.Account("permits", now)}, now)
}

func TestGolden(t *testing.T) {
	r := sampleReport(t)
	var text, html bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.Assert(t, "report.text", text.Bytes())
	g.Assert(t, "report.html", html.Bytes())
}

func TestBurnRate(t *testing.T) {
	l := sampleReport(t).Levels[0]
	// In the last five minutes, 0+0+1+1+2 of 500 calls are bad. That is 0.8%; the
	// goal permits 1%.
	if b := l.Burns[0]; b.Calls != 500 || b.Bad != 4 || b.Rate < 0.79 || b.Rate > 0.81 {
		t.Errorf("burn rate over 5 minutes: %+v, want 500 calls, 4 bad and a rate of 0.8", b)
	}
}

// TestBatchesAreCountedOnce sends batches again, as after a lost acknowledgement.
// It checks that each is counted once and that no call within the longest window
// is lost.
func TestBatchesAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger reporter.Ledger
		var outbox reporter.Outbox
		key := reporter.Key{Service: "a"}
		start := reporter.Minute(now)
		var total int64
		minute := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			minute += rapid.Int64Range(0, 1).Draw(t, "minutes")
			calls := rapid.Int64Range(0, 9).Draw(t, "calls")
			total += calls
			outbox.Enqueue(reporter.Batch{
				From:   "vm-1",
				Run:    7,
				Minute: minute,
				Rows:   []reporter.Row{{Key: key, Tally: reporter.Tally{Calls: calls}}},
			})
			for b, ok := outbox.Next(); ok && rapid.Bool().Draw(t, "sent"); b, ok = outbox.Next() {
				ledger.Add(b)
				if rapid.Bool().Draw(t, "acknowledged") {
					outbox.Acknowledge(b.Number)
				}
			}
		}
		for b, ok := outbox.Next(); ok; b, ok = outbox.Next() {
			ledger.Add(b)
			outbox.Acknowledge(b.Number)
		}
		got := ledger.Account("a", now.Add(time.Duration(minute-start)*time.Minute)).Total()
		if got != total {
			t.Fatalf("counted %d calls, want %d", got, total)
		}
	})
}

func TestValidateBatch(t *testing.T) {
	row := func(r reporter.Row) reporter.Batch { return reporter.Batch{Rows: []reporter.Row{r}} }
	key := reporter.Key{Service: "a"}
	bad := []reporter.Batch{
		row(reporter.Row{}),
		row(reporter.Row{Key: key, Tally: reporter.Tally{Calls: 1, Bad: 2}}),
		row(reporter.Row{Key: key, Tally: reporter.Tally{Calls: -1}}),
		{Rows: make([]reporter.Row, 5000)},
	}
	for i, b := range bad {
		if b.Validate() == nil {
			t.Errorf("Validate() = nil for invalid batch %d, want an error", i)
		}
	}
	if err := row(reporter.Row{Key: key, Tally: reporter.Tally{Calls: 2, Bad: 1}}).Validate(); err != nil {
		t.Error(err)
	}
}

// TestImport imports the tallies of a service into another ledger twice. It
// checks that all minutes but the current one are added, and only once.
func TestImport(t *testing.T) {
	var first, second reporter.Ledger
	key := reporter.Key{Service: "a"}
	minute := reporter.Minute(now)
	for i := range int64(100) {
		first.Add(reporter.Batch{
			From:   "vm-1",
			Run:    1,
			Number: i + 1,
			Minute: minute - 99 + i,
			Rows:   []reporter.Row{{Key: key, Tally: reporter.Tally{Calls: 10, Bad: 1}}},
		})
	}
	second.Import("a", first.History("a"), minute)
	second.Import("a", first.History("a"), minute)
	got := second.Account("a", now)
	if got.Total() != 990 || got.Windows[0].Calls != 40 || got.Windows[1].Bad != 59 {
		t.Errorf("windows after Import: %+v, want 990 calls in all, 40 in 5 minutes and 59 bad in 1 hour", got.Windows)
	}
	if !second.Contains("a") || second.Contains("b") {
		t.Error("Contains after Import: want true for a and false for b")
	}
}
