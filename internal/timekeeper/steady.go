package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a reading of two clocks of a machine that nobody sets. Readings of different
// machines, or of one before and after it has started again, can't be compared.
type Reading struct {
	// Monotonic does not count the time while the machine is suspended; Boot does.
	Monotonic, Boot time.Duration
}

// Since returns the time since an earlier reading: the longer of those of the two clocks.
func (r Reading) Since(earlier Reading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Boot-earlier.Boot)
}

// Add returns the reading d later.
func (r Reading) Add(d time.Duration) Reading {
	return Reading{
		Monotonic: r.Monotonic + d,
		Boot:      r.Boot + d,
	}
}

// After reports whether r is later than o on both clocks.
func (r Reading) After(o Reading) bool {
	return r.Monotonic > o.Monotonic && r.Boot > o.Boot
}

// Steady is a clock that measures how long something takes. It is not affected by changes of
// the time of day.
type Steady interface {
	Read() Reading
}

// processStart is the origin of the monotonic clock.
var processStart = time.Now()

// Read returns a reading of the clocks. If the system has no clock that counts suspension,
// the monotonic one stands in for it.
func (System) Read() Reading {
	monotonic := time.Since(processStart)
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Reading{
			Monotonic: monotonic,
			Boot:      monotonic,
		}
	}
	return Reading{
		Monotonic: monotonic,
		Boot:      time.Duration(t.Nano()),
	}
}

// VirtualSteady is a fake Steady clock. It is safe for concurrent use. The zero value is
// ready to use.
type VirtualSteady struct {
	mu  sync.Mutex
	now Reading
}

// Read returns the reading of the clock.
func (v *VirtualSteady) Read() Reading {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Advance adds d to both clocks.
func (v *VirtualSteady) Advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
}

// Suspend lets the machine be suspended for d.
func (v *VirtualSteady) Suspend(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now.Boot += d
}
