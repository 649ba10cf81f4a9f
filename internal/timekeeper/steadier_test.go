package timekeeper

import (
	"testing"
	"time"
)

// machine is the set of clocks of a virtual machine.
type machine struct {
	wall    time.Time
	reading Reading
}

func (m *machine) newSteadier() *Steadier {
	return NewSteadier(func() time.Time { return m.wall }, func() Reading { return m.reading })
}

// run lets time pass with a sample each second.
func (m *machine) run(s *Steadier, t time.Duration) {
	for ; t > 0; t -= time.Second {
		m.wall = m.wall.Add(time.Second)
		m.reading.Monotonic += time.Second
		m.reading.Boot += time.Second
		s.Sample()
	}
}

// checkOffset checks how far a Steadier is ahead of a true time.
func checkOffset(t *testing.T, s *Steadier, m *machine, truth time.Time, want, tolerance time.Duration) {
	t.Helper()
	if got := s.At(m.reading.Monotonic).Sub(truth); (got - want).Abs() > tolerance {
		t.Errorf("time is %v ahead, want %v within %v", got, want, tolerance)
	}
}

func TestJumpIsNotFollowed(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second, 400 * time.Millisecond} {
		m := &machine{wall: time.UnixMilli(1_700_000_000_000)}
		s := m.newSteadier()
		m.run(s, 10*time.Second)
		m.wall = m.wall.Add(step)
		m.run(s, 20*time.Second)
		checkOffset(t, s, m, m.wall.Add(-step), 0, time.Millisecond)
		m.wall = m.wall.Add(-step)
		m.run(s, 20*time.Second)
		checkOffset(t, s, m, m.wall, 0, time.Millisecond)
	}
}

func TestLastingJumpIsFollowed(t *testing.T) {
	m := &machine{wall: time.UnixMilli(1_700_000_000_000)}
	s := m.newSteadier()
	m.wall = m.wall.Add(2 * time.Second)
	m.run(s, jumpTime)
	checkOffset(t, s, m, m.wall, -2*time.Second, time.Millisecond)
	m.run(s, 2*time.Second)
	checkOffset(t, s, m, m.wall, 0, time.Millisecond)
}

func TestSmallOffsetIsSlewed(t *testing.T) {
	m := &machine{wall: time.UnixMilli(1_700_000_000_000)}
	s := m.newSteadier()
	m.wall = m.wall.Add(50 * time.Millisecond)
	m.run(s, 5*time.Second)
	checkOffset(t, s, m, m.wall, -25*time.Millisecond, time.Millisecond)
	m.run(s, 10*time.Second)
	checkOffset(t, s, m, m.wall, 0, time.Millisecond)
}

func TestSuspensionIsCounted(t *testing.T) {
	m := &machine{wall: time.UnixMilli(1_700_000_000_000)}
	s := m.newSteadier()
	before := m.reading
	m.wall = m.wall.Add(7 * time.Second)
	m.reading.Boot += 7 * time.Second
	if got := m.reading.Since(before); got != 7*time.Second {
		t.Errorf("%v have passed, want 7s", got)
	}
	s.Sample()
	checkOffset(t, s, m, m.wall, 0, time.Millisecond)
}

func TestCorrectionOutlivesWrongTimeOfDay(t *testing.T) {
	m := &machine{wall: time.UnixMilli(1_700_000_000_000)}
	s := m.newSteadier()
	s.Correct(-3 * time.Second)
	m.run(s, time.Minute)
	checkOffset(t, s, m, m.wall, -3*time.Second, time.Millisecond)
}
