package tallier_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/tallier"
)

// collect brings a book up to date with a ledger.
func collect(b *tallier.Book, daemon string, l *tallier.Ledger, through time.Time) {
	b.Apply(daemon, l.Since(b.Position(daemon)), through)
}

func checkSum(t *testing.T, b *tallier.Book, window int64, want tallier.Counts) {
	t.Helper()
	if got := b.Sum(window); !maps.Equal(got, want) {
		t.Errorf("window %d has %v, want %v", window, got, want)
	}
}

func TestSum(t *testing.T) {
	b := tallier.NewBook()
	l1, l2 := tallier.NewLedger(11), tallier.NewLedger(22)
	l1.Add(7, "huka", 2)
	l1.Add(8, "huka", 1)
	l2.Add(7, "huka", 1)
	l2.Add(7, "puhu", 1)
	collect(b, "a", l1, time.Time{})
	collect(b, "b", l2, time.Time{})
	checkSum(t, b, 7, tallier.Counts{"huka": 3, "puhu": 1})
	l2.Add(7, "puhu", -1) // its target has refused it
	l1.Add(7, "huka", 1)
	collect(b, "a", l1, time.Time{})
	collect(b, "b", l2, time.Time{})
	checkSum(t, b, 7, tallier.Counts{"huka": 4})
	checkSum(t, b, 8, tallier.Counts{"huka": 1})
}

func TestDeltaHasOnlyChanges(t *testing.T) {
	l := tallier.NewLedger(11)
	l.Add(7, "huka", 1)
	l.Add(7, "puhu", 1)
	first := l.Since(0, 0)
	l.Add(7, "puhu", 1)
	second := l.Since(first.Incarnation, first.Sequence)
	if len(second.Windows) != 1 || !maps.Equal(second.Windows[7], tallier.Counts{"puhu": 2}) {
		t.Errorf("delta %+v, want 2 of puhu only", second)
	}
	if third := l.Since(second.Incarnation, second.Sequence); len(third.Windows) != 0 {
		t.Errorf("delta %+v, want none", third)
	}
}

func TestRepeatedAndOldDeltas(t *testing.T) {
	b, l := tallier.NewBook(), tallier.NewLedger(11)
	l.Add(7, "huka", 1)
	first := l.Since(0, 0)
	l.Add(7, "huka", 1)
	second := l.Since(0, 0)
	for _, d := range []tallier.Delta{first, second, second, first} {
		b.Apply("a", d, time.Time{})
	}
	checkSum(t, b, 7, tallier.Counts{"huka": 2})
}

func TestCountsOfRestartedDaemon(t *testing.T) {
	b := tallier.NewBook()
	before, after := tallier.NewLedger(11), tallier.NewLedger(12)
	before.Add(7, "huka", 5)
	collect(b, "a", before, time.Time{})
	after.Add(7, "huka", 1)
	collect(b, "a", after, time.Time{})
	after.Add(7, "huka", 1)
	collect(b, "a", after, time.Time{})
	checkSum(t, b, 7, tallier.Counts{"huka": 7})
}

func TestCountsOfDepartedDaemonAreKept(t *testing.T) {
	b, l := tallier.NewBook(), tallier.NewLedger(11)
	l.Add(7, "huka", 5)
	collect(b, "a", l, time.Time{})
	b.Forget(7, nil)
	checkSum(t, b, 7, tallier.Counts{"huka": 5})
	b.Forget(8, nil)
	checkSum(t, b, 7, tallier.Counts{})
	if incarnation, sequence := b.Position("a"); incarnation != 0 || sequence != 0 {
		t.Errorf("position %d, %d of a daemon that is gone", incarnation, sequence)
	}
}

func TestForgottenWindowsStayEmpty(t *testing.T) {
	l := tallier.NewLedger(11)
	l.Add(7, "huka", 1)
	l.Forget(8)
	l.Add(7, "huka", 1)
	if d := l.Since(0, 0); len(d.Windows) != 0 {
		t.Errorf("delta %+v, want no windows", d)
	}
}

func TestEndedProcessIsNotMissing(t *testing.T) {
	b, end := tallier.NewBook(), time.UnixMilli(1_700_000_005_000)
	collect(b, "a", tallier.NewLedger(11), end.Add(-time.Second))
	b.Close("a", end)
	b.Close("b", end)
	if missing := b.Missing([]string{"a", "b"}, end); !slices.Equal(missing, []string{"b"}) {
		t.Errorf("missing %v, want b, from which nothing was ever collected", missing)
	}
}

func TestDue(t *testing.T) {
	c := tallier.Calendar{
		Window:   5 * time.Second,
		Settle:   400 * time.Millisecond,
		Patience: 6 * time.Second,
	}
	number := c.Number(time.UnixMilli(1_700_000_003_000))
	end := c.End(number)
	if want := time.UnixMilli(1_700_000_005_000); !end.Equal(want) || c.Number(end) != number+1 {
		t.Fatalf("window %d ends at %v, want %v", number, end, want)
	}
	live := []string{"a", "b"}
	tests := []struct {
		name      string
		since     time.Duration
		collected map[string]time.Duration
		due       bool
		missing   []string
	}{
		{"before the end", -time.Second, map[string]time.Duration{"a": -time.Second, "b": -time.Second}, false, nil},
		{"not settled", 300 * time.Millisecond, map[string]time.Duration{"a": 300 * time.Millisecond, "b": 300 * time.Millisecond}, false, nil},
		{"all collected", 500 * time.Millisecond, map[string]time.Duration{"a": 400 * time.Millisecond, "b": 450 * time.Millisecond}, true, nil},
		{"one collected too early", 2 * time.Second, map[string]time.Duration{"a": time.Second, "b": 300 * time.Millisecond}, false, []string{"b"}},
		{"one never collected", 5900 * time.Millisecond, map[string]time.Duration{"a": time.Second}, false, []string{"b"}},
		{"out of patience", 6 * time.Second, map[string]time.Duration{"a": time.Second}, true, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := tallier.NewBook()
			for daemon, through := range tt.collected {
				collect(b, daemon, tallier.NewLedger(1), end.Add(through))
			}
			due, missing := c.Due(number, end.Add(tt.since), b, live)
			if due != tt.due || !slices.Equal(missing, tt.missing) {
				t.Errorf("due %v, missing %v, want %v, %v", due, missing, tt.due, tt.missing)
			}
		})
	}
}

func TestAgree(t *testing.T) {
	offsets := map[string]time.Duration{"a": 0, "b": 3 * time.Second, "c": 3010 * time.Millisecond, "d": 2990 * time.Millisecond, "e": 3 * time.Second}
	if got := tallier.Agree(offsets); got.Offset != 3*time.Second || len(got.Corrections) != 1 || got.Corrections["a"] != 3*time.Second {
		t.Errorf("consensus %+v, want a correction of a by 3s", got)
	}
	delete(offsets, "e")
	if got := tallier.Agree(offsets); len(got.Corrections) != 0 {
		t.Errorf("consensus %+v of too few clocks", got)
	}
}
