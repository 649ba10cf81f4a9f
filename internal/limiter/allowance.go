package limiter

import (
	"cmp"
	"time"
)

// Growth of a target's allowance during warm-up.
const (
	// A step requires successesPerSlot successful requests per slot of the current
	// allowance.
	successesPerSlot = 4
	// defaultWarmup replaces Options.Warmup if that is zero.
	defaultWarmup = 10 * time.Second
	// A step takes at least 1/warmupSteps of the warm-up time. It adds at most
	// 1/warmupSteps of the slots and at most 1/maxGrowthDivisor of the current
	// allowance, but always at least one slot.
	warmupSteps      = 10
	maxGrowthDivisor = 2
)

// allowance is the number of requests that a target may run concurrently. It
// grows from one to slots during warm-up.
type allowance struct {
	slots int
	// minStepTime is the minimum duration of a step.
	minStepTime time.Duration
	// value is the current allowance.
	value int
	// successes counts the successful requests of the current step.
	successes int
	// stepStart is the time of the first success counted in successes.
	stepStart time.Time
}

func newAllowance(slots int, warmup time.Duration) allowance {
	return allowance{
		slots:       max(1, slots),
		minStepTime: cmp.Or(warmup, defaultWarmup) / warmupSteps,
		value:       1,
	}
}

// now returns the current allowance.
func (a *allowance) now() int { return min(a.value, a.slots) }

// recordSuccess counts a successful request that was admitted while at least
// half of the allowance was in use. A step takes at least minStepTime from its first
// success, and an idle target does not warm up.
func (a *allowance) recordSuccess(now time.Time) {
	if a.value >= a.slots {
		return
	}
	if a.successes == 0 {
		a.stepStart = now
	}
	a.successes++
	if a.successes < successesPerSlot*a.value || now.Sub(a.stepStart) < a.minStepTime {
		return
	}
	step := max(1, min(a.value/maxGrowthDivisor, a.slots/warmupSteps))
	a.value = min(a.slots, a.value+step)
	a.successes = 0
}

// reset sets the allowance to that of a cold target.
func (a *allowance) reset() {
	a.value = 1
	a.successes = 0
}

// resize changes the number of slots. A larger number takes effect only through
// further successes.
func (a *allowance) resize(slots int) {
	a.slots = max(1, slots)
	a.value = min(a.value, a.slots)
}
