package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/throttler"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// newThrottler returns a throttler with a virtual clock and a fixed seed.
func newThrottler() (*throttler.Throttler, *timekeeper.Virtual) {
	clock := timekeeper.NewVirtual(time.Unix(1000, 0))
	return &throttler.Throttler{
		Clock:  clock,
		Random: rand.New(rand.NewPCG(1, 2)).Float64,
	}, clock
}

// play sends a hundred requests a second of which room get a slot, and returns the number
// that asked for one in the last second.
func play(t *throttler.Throttler, clock *timekeeper.Virtual, k throttler.Kind, room, seconds int) (asked int) {
	for range seconds {
		asked = 0
		left := 0.0
		for range 100 {
			clock.Advance(10 * time.Millisecond)
			left += float64(room) / 100
			if !t.Admit(k) {
				continue
			}
			asked++
			admitted := left >= 1
			if admitted {
				left--
			}
			t.Record(k, admitted)
		}
	}
	return asked
}

// TestAdmit checks that few requests ask in vain while there is little room, that some do
// even while there is none, and that all do again within seconds.
func TestAdmit(t *testing.T) {
	k := throttler.Kind{Service: "s", Rule: "r"}
	for _, test := range []struct{ room, least, most int }{
		{room: 100, least: 100, most: 100},
		{room: 80, least: 95, most: 100},
		{room: 50, least: 60, most: 100},
		{room: 20, least: 22, most: 70},
		{room: 0, least: 1, most: 25},
	} {
		throttled, clock := newThrottler()
		asked := play(throttled, clock, k, test.room, 5)
		if asked < test.least || asked > test.most {
			t.Errorf("room for %d of 100: %d asked, want %d to %d", test.room, asked, test.least, test.most)
		}
		if asked := play(throttled, clock, k, 100, 4); asked < 95 {
			t.Errorf("4 s after room for %d of 100: %d asked, want 95", test.room, asked)
		}
	}
}

// TestIsLate checks that only requests of clients that have waited count as late.
func TestIsLate(t *testing.T) {
	throttled, clock := newThrottler()
	k := throttler.Kind{Service: "s", Rule: "r"}
	const objective = 500 * time.Millisecond
	for i, test := range []struct {
		left time.Duration
		late bool
	}{
		{left: 2900 * time.Millisecond},
		{left: 3 * time.Second},
		{left: 2600 * time.Millisecond},
		{left: 2 * time.Second, late: true},
		{left: 900 * time.Millisecond, late: true},
	} {
		clock.Advance(100 * time.Millisecond)
		if late := throttled.IsLate(k, test.left, objective); late != test.late {
			t.Errorf("request %d with %v left: late %v, want %v", i, test.left, late, test.late)
		}
	}
}

func ExampleThrottler_RetryAfter() {
	t := &throttler.Throttler{
		Clock:  timekeeper.NewVirtual(time.Unix(1000, 0)),
		Random: func() float64 { return 0.5 },
	}
	k := throttler.Kind{
		Service: "s",
		Rule:    "r",
	}
	for i := range 30 {
		t.Record(k, i%3 > 0) // a third is rejected
	}
	fmt.Println(t.RetryAfter(k, 3*time.Second))
	fmt.Println(t.RetryAfter(k, 600*time.Millisecond))
	// Output:
	// 500ms
	// 200ms
}
