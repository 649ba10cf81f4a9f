package shifter_test

import (
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

var order = shifter.Order{
	Service:  "renewal",
	Version:  "v2",
	Period:   16 * time.Second,
	Revision: 7,
}

// TestShareOverTime adds up what a version gets that turns bad with the last
// step and is found within half a second: it must stay below a tenth.
func TestShareOverTime(t *testing.T) {
	for _, period := range []time.Duration{8, 12, 16, 30, 600} {
		o := order
		o.Period = period * time.Second
		const step = 10 * time.Millisecond
		var exposed, last float64
		var all time.Duration
		for at := time.Duration(0); at < o.Period; at += step {
			share := o.Share(at)
			if share < last {
				t.Fatalf("the share falls from %v to %v at %v", last, share, at)
			}
			last = share
			if share == 1 && all == 0 {
				all = at
			}
			if all == 0 || at < all+500*time.Millisecond {
				exposed += share * step.Seconds()
			}
		}
		if last != 1 {
			t.Errorf("period %v: share %v at the end", o.Period, last)
		}
		if limit := 0.1 * o.Period.Seconds(); exposed > limit {
			t.Errorf("period %v: %.2f s worth of requests, want at most %.2f", o.Period, exposed, limit)
		}
		if due := o.Due(); due > o.Period-time.Second || due < all+time.Second {
			t.Errorf("period %v: done after %v, all requests from %v on", o.Period, due, all)
		}
	}
}

func TestJudge(t *testing.T) {
	const usual = 100 * time.Millisecond
	good := shifter.Answer{Rule: "pay", Duration: usual, Usual: usual}
	failed := shifter.Answer{Rule: "pay", Failed: true, Duration: usual, Usual: usual}
	slow := shifter.Answer{Rule: "pay", Duration: 8 * usual, Usual: usual}
	late := shifter.Answer{Rule: "pay", Duration: 3 * usual, Usual: usual}
	repeat := func(pattern ...shifter.Answer) []shifter.Answer {
		var all []shifter.Answer
		for len(all) < 60 {
			all = append(all, pattern...)
		}
		return all
	}
	other := good
	other.Rule = "status"
	for name, test := range map[string]struct {
		answers []shifter.Answer
		failing float64
		bad     bool
	}{
		"good":                      {answers: repeat(good)},
		"fails a third":             {answers: repeat(good, good, failed), bad: true},
		"as the former version":     {answers: repeat(good, good, good, failed), failing: 0.25},
		"one failure in sixty":      {answers: append(repeat(good), failed)},
		"slow by half":              {answers: repeat(good, slow), bad: true},
		"a little slow":             {answers: repeat(late)},
		"one rule of two fails":     {answers: repeat(other, other, other, other, failed, good), bad: true},
		"fails after a good start":  {answers: append(repeat(good), repeat(good, failed)...), bad: true},
		"three failures are chance": {answers: []shifter.Answer{failed, failed, failed}},
	} {
		t.Run(name, func(t *testing.T) {
			var j shifter.Judge
			for _, a := range test.answers {
				j.Add(order, a, test.failing)
			}
			if got := j.Bad(order); got != test.bad {
				t.Errorf("bad %v, want %v", got, test.bad)
			}
			next := order
			next.Revision++
			if j.Bad(next) {
				t.Error("a verdict holds for another order")
			}
		})
	}
}

func TestPool(t *testing.T) {
	for name, test := range map[string]struct {
		pool    shifter.Pool
		failing float64
		bad     bool
	}{
		"nothing":                         {},
		"a few of many":                   {pool: shifter.Pool{Calls: 1000, Faults: 4}},
		"one in twelve":                   {pool: shifter.Pool{Calls: 90, Faults: 8}, bad: true},
		"one in twelve, as the former is": {pool: shifter.Pool{Calls: 90, Faults: 8}, failing: 0.08},
		"most, though the former fails":   {pool: shifter.Pool{Calls: 60, Faults: 40}, failing: 0.2, bad: true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.pool.Bad(test.failing); got != test.bad {
				t.Errorf("bad %v, want %v", got, test.bad)
			}
		})
	}
}

func TestOutcomeOfAnEarlierOrder(t *testing.T) {
	outcome := shifter.Outcome{
		Version: "v2",
		State:   shifter.RolledBack,
		Item:    storer.Item{Version: 5},
	}
	if outcome.Settles(order) {
		t.Error("an outcome that is older than the order settles it")
	}
	outcome.Item.Version = 9
	if !outcome.Settles(order) {
		t.Error("the outcome does not settle its order")
	}
}
