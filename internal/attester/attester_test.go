package attester_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/attester"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const maxAge = 5 * time.Second

// daemon is an attester with the clock of its machine. The clocks of machines differ.
type daemon struct {
	*attester.Attester
	clock *timekeeper.VirtualSteady
}

func newDaemon(token uint64, uptime time.Duration) *daemon {
	clock := &timekeeper.VirtualSteady{}
	clock.Advance(uptime)
	return &daemon{
		Attester: &attester.Attester{
			Clock:  clock,
			MaxAge: maxAge,
			Token:  token,
		},
		clock: clock,
	}
}

// advance lets time pass on several machines.
func advance(d time.Duration, daemons ...*daemon) {
	for _, m := range daemons {
		m.clock.Advance(d)
	}
}

func ExampleAttester() {
	relay, other := newDaemon(1, time.Hour), newDaemon(2, time.Minute)
	read := relay.clock.Read()
	advance(time.Second, relay, other) // until the store answers
	relay.Confirm(read)

	relay.RecordStamp("other", other.Stamp())
	advance(time.Second, relay, other) // until the relay's next message
	proof := relay.Prove("other")
	advance(time.Second, relay, other) // until it arrives
	other.Accept(*proof)
	age, ok := other.Age()
	fmt.Println(age.Round(10*time.Millisecond), ok, other.Left().Round(10*time.Millisecond))
	// Output: 4s true 990ms
}

// TestAgeIsNeverUnderstated passes a proof on while machines are suspended, messages are late
// and clocks run at their own pace. The instant that is proven must not be later than the read.
func TestAgeIsNeverUnderstated(t *testing.T) {
	type mesh struct{ relay, middle, last *daemon }
	all := func(m mesh, d time.Duration) { advance(d, m.relay, m.middle, m.last) }
	pass := func(m mesh, from, to *daemon, name string) {
		if p := from.Prove(name); p != nil {
			all(m, 300*time.Millisecond)
			to.Accept(*p)
		}
	}
	stamps := func(m mesh) {
		m.relay.RecordStamp("middle", m.middle.Stamp())
		m.middle.RecordStamp("last", m.last.Stamp())
	}
	for name, test := range map[string]struct {
		// between happens between the read of the store and its answer, and late between the
		// arrivals of the two proofs.
		between, late func(m mesh)
		// elapsed is the time between the read and the end.
		elapsed time.Duration
	}{
		"in touch": {
			elapsed: 600 * time.Millisecond,
		},
		"slow store": {
			between: func(m mesh) { all(m, 2*time.Second) },
			elapsed: 2600 * time.Millisecond,
		},
		"relay suspended during its read": {
			between: func(m mesh) {
				m.relay.clock.Suspend(2 * time.Second)
				advance(2*time.Second, m.middle, m.last)
			},
			elapsed: 2600 * time.Millisecond,
		},
		"last daemon suspended": {
			late: func(m mesh) {
				m.last.clock.Suspend(2 * time.Second)
				advance(2*time.Second, m.relay, m.middle)
			},
			elapsed: 2600 * time.Millisecond,
		},
		"all suspended": {
			late: func(m mesh) {
				for _, d := range []*daemon{m.relay, m.middle, m.last} {
					d.clock.Suspend(3 * time.Second)
				}
			},
			elapsed: 3600 * time.Millisecond,
		},
		"too old": {
			late:    func(m mesh) { all(m, 6*time.Second) },
			elapsed: 6600 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := mesh{relay: newDaemon(1, time.Hour), middle: newDaemon(2, 0), last: newDaemon(3, 48*time.Hour)}
			read := m.relay.clock.Read()
			if test.between != nil {
				test.between(m)
			}
			m.relay.Confirm(read)
			stamps(m)
			pass(m, m.relay, m.middle, "middle")
			if test.late != nil {
				test.late(m)
			}
			pass(m, m.middle, m.last, "last")
			age, ok := m.last.Age()
			switch {
			case ok && age < test.elapsed:
				t.Errorf("age %v after %v", age, test.elapsed)
			case m.last.Left() > max(0, maxAge-test.elapsed):
				t.Errorf("the proof counts for another %v, want at most %v", m.last.Left(), max(0, maxAge-test.elapsed))
			case test.elapsed < time.Second && (!ok || age > 2*time.Second):
				t.Errorf("age %v, %v after %v in touch", age, ok, test.elapsed)
			}
		})
	}
}

// TestAcceptIgnores checks that a proof doesn't count whose stamp is not of this process, and
// that no message makes a proof later than the present or than its stamp.
func TestAcceptIgnores(t *testing.T) {
	d := newDaemon(7, time.Minute)
	present := d.Stamp()
	future := present
	future.Monotonic += int64(time.Hour)
	future.Boot += int64(time.Hour)
	other := present
	other.Token = 8
	for name, p := range map[string]attester.Proof{
		"another process": {Stamp: other, Age: 1},
		"negative age":    {Stamp: present, Age: -1},
		"stamp ahead":     {Stamp: future, Age: 1},
		"too old":         {Stamp: present, Age: maxAge.Microseconds() + 1},
		"overflow":        {Stamp: present, Age: 1 << 62},
	} {
		d.Accept(p)
		if _, ok := d.Age(); ok || d.Left() != 0 {
			t.Errorf("%s: the proof counts", name)
		}
	}
	d.Accept(attester.Proof{Stamp: present, Age: 1000})
	if age, ok := d.Age(); !ok || age != time.Millisecond {
		t.Errorf("age %v, %v; want 1ms", age, ok)
	}
	d.Confirm(d.clock.Read().Add(-time.Second))
	if age, _ := d.Age(); age != time.Millisecond {
		t.Errorf("an older proof replaced the latest: age %v", age)
	}
}

// TestProveNeedsStamp checks that no proof is sent to a daemon that has sent no stamp, after the
// stamp is forgotten, or once the proof is too old.
func TestProveNeedsStamp(t *testing.T) {
	d, other := newDaemon(1, time.Minute), newDaemon(2, time.Hour)
	d.Confirm(d.clock.Read())
	if d.Prove("other") != nil {
		t.Error("a proof without a stamp")
	}
	d.RecordStamp("other", other.Stamp())
	if d.Prove("other") == nil {
		t.Error("no proof despite a stamp")
	}
	d.Retain(func(string) bool { return false })
	if d.Prove("other") != nil {
		t.Error("a proof with a forgotten stamp")
	}
	d.RecordStamp("other", other.Stamp())
	d.clock.Suspend(maxAge)
	if d.Prove("other") != nil {
		t.Error("a proof that is too old")
	}
}
