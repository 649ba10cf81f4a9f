package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a point in time as the clocks of a machine show that no jump of the time of day
// moves.
type Reading struct {
	// Steady does not count the time for which the machine was suspended, and Boot does.
	Steady, Boot time.Duration
}

// Since returns the time from o to r. It is the longer one if the clocks differ.
func (r Reading) Since(o Reading) time.Duration {
	return max(r.Steady-o.Steady, r.Boot-o.Boot)
}

// NewReader returns a function that reads the clocks. The steady one is that of clock.
func NewReader(clock Clock) func() Reading {
	start := clock.Now()
	return func() Reading {
		return Reading{
			Steady: clock.Now().Sub(start),
			Boot:   boot(),
		}
	}
}

// boot returns the time since the machine has started, or 0 if the system does not tell.
func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Parameters of a Steadier.
const (
	// maxSlew is the most that one call of Sample moves the time, and maxOffset the offset
	// from the time of day up to which it does. A larger one is a jump.
	maxSlew   = 5 * time.Millisecond
	maxOffset = 100 * time.Millisecond
	// jumpTime is the time after which a jump is followed that has not been taken back.
	jumpTime = 5 * time.Minute
)

// Steadier keeps a time of day that a jump of the machine's time of day does not move. It is
// safe for concurrent use.
type Steadier struct {
	// wall returns the machine's time of day, and read its other clocks.
	wall func() time.Time
	read func() Reading

	mu sync.Mutex
	// base is the time at the last sample.
	base    time.Time
	sampled Reading
	// jumped is the time of the first of the latest samples that saw a jump.
	jumped   Reading
	isJumped bool
}

// NewSteadier returns a Steadier that begins with the time of day.
func NewSteadier(wall func() time.Time, read func() Reading) *Steadier {
	return &Steadier{
		wall:    wall,
		read:    read,
		base:    wall(),
		sampled: read(),
	}
}

// At returns the time at which a steady clock shows a value. The time for which the machine was
// suspended since the last sample is missing in it.
func (s *Steadier) At(steady time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base.Add(steady - s.sampled.Steady)
}

// Sample compares the time with the machine's time of day. It should be called about once a
// second.
func (s *Steadier) Sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, wall := s.read(), s.wall()
	s.base = s.base.Add(r.Since(s.sampled))
	s.sampled = r
	offset := wall.Sub(s.base)
	switch {
	case offset.Abs() <= maxOffset:
		s.isJumped = false
		s.base = s.base.Add(max(-maxSlew, min(maxSlew, offset)))
	case !s.isJumped:
		s.isJumped, s.jumped = true, r
	case r.Since(s.jumped) >= jumpTime:
		s.isJumped = false
		s.base = wall
	}
}

// Correct moves the time, because other machines agree on another one.
func (s *Steadier) Correct(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base = s.base.Add(by)
}
