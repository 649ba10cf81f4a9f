package timekeeper

import (
	"sync"
	"time"
)

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

// At returns the time at which the monotonic clock shows a value. The time for which the machine was
// suspended since the last sample is missing in it.
func (s *Steadier) At(monotonic time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base.Add(monotonic - s.sampled.Monotonic)
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
