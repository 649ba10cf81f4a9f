package admitter

import "time"

// Thresholds of a breaker.
const (
	// openAfter is the number of consecutive requests that a target does not run
	// before the breaker opens. A target that sheds only part of its load rarely
	// rejects so many in a row.
	openAfter = 4
	// minOpen is how long the breaker is open at first. Each failed probe doubles
	// the time, up to maxOpen.
	minOpen = 50 * time.Millisecond
	maxOpen = 400 * time.Millisecond
)

// breaker is a circuit breaker for a target that does not run its requests. When
// its open time has passed, it admits one request as a probe. The zero value is
// closed.
type breaker struct {
	// consecutiveNotRun counts consecutive requests that the target did not run.
	consecutiveNotRun int
	// openFor is the current open time, and openUntil its end.
	openFor   time.Duration
	openUntil time.Time
	// probing means that a probe is in flight.
	probing bool
}

// open reports whether requests are rejected.
func (b *breaker) open(now time.Time) bool {
	return b.consecutiveNotRun >= openAfter && (b.probing || now.Before(b.openUntil))
}

// wait estimates how long the breaker stays open. During a probe it returns the
// current open time, although the breaker closes as soon as the probe succeeds.
func (b *breaker) wait(now time.Time) time.Duration {
	switch {
	case !b.open(now):
		return 0
	case b.probing:
		return b.openFor
	}
	return b.openUntil.Sub(now)
}

// admitted records that a request was admitted. It is a probe if the breaker is
// not closed.
func (b *breaker) admitted() { b.probing = b.consecutiveNotRun >= openAfter }

// recordOutcome updates the breaker with the outcome of a request.
func (b *breaker) recordOutcome(o Outcome, now time.Time) {
	probing := b.probing
	b.probing = false
	switch {
	case o.Aborted:
	case !o.NotRun:
		*b = breaker{}
	default:
		b.consecutiveNotRun++
		switch {
		case b.consecutiveNotRun < openAfter:
		case b.openFor == 0:
			b.openFor = minOpen
			b.openUntil = now.Add(b.openFor)
		case probing:
			b.openFor = min(2*b.openFor, maxOpen)
			b.openUntil = now.Add(b.openFor)
		}
	}
}
