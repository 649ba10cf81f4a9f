package admitter

import "time"

// Limits of a breaker.
const (
	// openAfter is the number of consecutive requests that a target does not run
	// before the breaker opens. A target that sheds only part of its load rarely
	// reaches it.
	openAfter = 4
	// minOpen is how long the breaker stays open at first. Each failed probe
	// doubles the time, up to maxOpen.
	minOpen = 50 * time.Millisecond
	maxOpen = 400 * time.Millisecond
)

// breaker is a circuit breaker for a target that does not run its requests. Once
// its open time has passed, it admits one request as a probe. The zero value is
// closed.
type breaker struct {
	// notRun counts consecutive requests that the target did not run.
	notRun int
	// openFor is the current open time, and openUntil its end.
	openFor   time.Duration
	openUntil time.Time
	// probing means that a probe is in flight.
	probing bool
}

// open reports whether requests are rejected.
func (b *breaker) open(now time.Time) bool {
	return b.notRun >= openAfter && (b.probing || now.Before(b.openUntil))
}

// wait returns the shortest time for which the breaker stays open.
func (b *breaker) wait(now time.Time) time.Duration {
	switch {
	case !b.open(now):
		return 0
	case b.probing:
		return b.openFor
	}
	return b.openUntil.Sub(now)
}

// admitted records that a request was admitted.
func (b *breaker) admitted() { b.probing = b.notRun >= openAfter }

// recordOutcome updates the breaker with the outcome of a request.
func (b *breaker) recordOutcome(o Outcome, now time.Time) {
	probing := b.probing
	b.probing = false
	switch {
	case o.Aborted:
	case !o.NotRun:
		*b = breaker{}
	default:
		b.notRun++
		switch {
		case b.notRun < openAfter:
		case b.openFor == 0:
			b.openFor = minOpen
			b.openUntil = now.Add(b.openFor)
		case probing:
			b.openFor = min(2*b.openFor, maxOpen)
			b.openUntil = now.Add(b.openFor)
		}
	}
}
