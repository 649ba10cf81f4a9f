// Package timekeeper provides the clocks of time-dependent code.
package timekeeper

import (
	"sync"
	"time"
)

// Clock returns the current time. Code that depends on the time uses a Clock, so
// that tests can control it.
type Clock interface {
	Now() time.Time
}

// System is the system clock. The zero value is ready to use.
type System struct{}

// Now returns the current system time.
func (System) Now() time.Time { return time.Now() }

// Virtual is a fake clock whose time changes only through Advance and Set. It is
// safe for concurrent use. The zero value is set to the zero time.
type Virtual struct {
	mu  sync.Mutex
	now time.Time
}

// NewVirtual returns a clock that is set to now.
func NewVirtual(now time.Time) *Virtual {
	return &Virtual{now: now}
}

// Now returns the time of the clock.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Advance adds d to the time of the clock and returns the new time.
func (v *Virtual) Advance(d time.Duration) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
	return v.now
}

// Set sets the clock to t, which may be earlier than its current time: the clock
// of a paused VM may jump in either direction.
func (v *Virtual) Set(t time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = t
}
