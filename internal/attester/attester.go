// Package attester measures how long ago a daemon's copy of the operators' records was known
// to be the newest.
//
// A proof is an instant at which the copy contained all changes that the store had
// confirmed. The daemon that reads the store proves the instant before the read. Others get
// proofs from daemons that have one: as an age, relative to a reading of the receiver's own
// clock that the sender has received before it measured the age. A message that is delayed
// or a process that is paused can therefore make a proof older, never younger.
package attester

import (
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// driftDivisor is the reciprocal of the greatest relative difference between the rates of two
// machines' clocks.
const driftDivisor = 1000

// Attester holds the latest proof. It is safe for concurrent use.
type Attester struct {
	Clock timekeeper.Steady
	// MaxAge is the age from which a proof no longer counts.
	MaxAge time.Duration
	// Token identifies the process. Stamps of another process are ignored, because their
	// clock may be another one.
	Token uint64

	mu      sync.Mutex
	proven  timekeeper.Reading
	hasOnce bool
	// stamps holds the last stamp of each daemon.
	stamps map[string]Stamp
}

// Stamp is a reading of a daemon's clock. Other daemons only send it back.
type Stamp struct {
	Token     uint64 `json:"token"`
	Monotonic int64  `json:"steady"`
	Boot      int64  `json:"boot"`
}

// Proof tells a daemon how old the sender's proof is. It holds for the sender's copy.
type Proof struct {
	// Stamp is the receiver's own, received by the sender before it measured the age.
	Stamp Stamp `json:"stamp"`
	// Age is in microseconds.
	Age int64 `json:"age"`
}

// Stamp returns a stamp of the present.
func (a *Attester) Stamp() Stamp {
	now := a.Clock.Read()
	return Stamp{
		Token:     a.Token,
		Monotonic: int64(now.Monotonic),
		Boot:      int64(now.Boot),
	}
}

// Confirm records that the copy contains all changes up to an instant.
func (a *Attester) Confirm(at timekeeper.Reading) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.Clock.Read(); at.After(now) {
		return
	}
	if !a.hasOnce || at.After(a.proven) {
		a.proven, a.hasOnce = at, true
	}
}

// Age returns the age of the latest proof; ok is false if there is none.
func (a *Attester) Age() (age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Clock.Read().Since(a.proven), a.hasOnce
}

// Left returns for how long the latest proof counts from now on. It is 0 if there is none
// that counts.
func (a *Attester) Left() time.Duration {
	age, ok := a.Age()
	if !ok {
		return 0
	}
	return max(0, a.MaxAge-a.MaxAge/driftDivisor-age)
}

// RecordStamp records the last stamp of another daemon.
func (a *Attester) RecordStamp(daemon string, s Stamp) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stamps == nil {
		a.stamps = map[string]Stamp{}
	}
	a.stamps[daemon] = s
}

// Retain forgets the stamps of the daemons that keep does not report.
func (a *Attester) Retain(keep func(daemon string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for daemon := range a.stamps {
		if !keep(daemon) {
			delete(a.stamps, daemon)
		}
	}
}

// Prove returns a proof for another daemon, or nil if there is none that counts or no stamp
// of the daemon. The copy that it is sent with must be read after the call.
func (a *Attester) Prove(daemon string) *Proof {
	a.mu.Lock()
	defer a.mu.Unlock()
	stamp, ok := a.stamps[daemon]
	if !ok || !a.hasOnce {
		return nil
	}
	age := a.Clock.Read().Since(a.proven)
	if age >= a.MaxAge {
		return nil
	}
	return &Proof{
		Stamp: stamp,
		Age:   (age + age/driftDivisor).Microseconds() + 1,
	}
}

// Accept records a proof that another daemon has sent. The daemon's own copy must contain the
// copy that it was sent with.
func (a *Attester) Accept(p Proof) {
	if p.Stamp.Token != a.Token || p.Age < 0 || p.Age > a.MaxAge.Microseconds() {
		return
	}
	a.Confirm(timekeeper.Reading{
		Monotonic: time.Duration(p.Stamp.Monotonic),
		Boot:      time.Duration(p.Stamp.Boot),
	}.Add(-time.Duration(p.Age) * time.Microsecond))
}
