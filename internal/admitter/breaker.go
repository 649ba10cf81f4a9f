package admitter

import "time"

// Limits of a breaker.
const (
	// turnedAwayRow is the number of requests in a row that a target turns away
	// before its gate is shut. One that sheds now and then does so rarely.
	turnedAwayRow = 4
	// minShut is how long the gate is shut at first, and doubles with each
	// request that is turned away on trial, up to maxShut.
	minShut = 50 * time.Millisecond
	maxShut = 400 * time.Millisecond
)

// breaker keeps requests from a target that turns them away. Once it has been
// shut for a time, one request goes on trial. The zero value is open.
type breaker struct {
	// row counts the requests turned away in a row.
	row int
	// period is how long it is shut after the latest one, until a moment.
	period time.Duration
	until  time.Time
	// trial means that a request is on trial.
	trial bool
}

// shut reports whether requests are refused.
func (b *breaker) shut(now time.Time) bool {
	return b.row >= turnedAwayRow && (b.trial || now.Before(b.until))
}

// wait returns how long it stays shut at least.
func (b *breaker) wait(now time.Time) time.Duration {
	switch {
	case !b.shut(now):
		return 0
	case b.trial:
		return b.period
	}
	return b.until.Sub(now)
}

// pass notes that a request is handed over.
func (b *breaker) pass() { b.trial = b.row >= turnedAwayRow }

// learn takes in how a request has ended.
func (b *breaker) learn(o Outcome, now time.Time) {
	trial := b.trial
	b.trial = false
	switch {
	case o.Cut:
	case !o.TurnedAway:
		*b = breaker{}
	default:
		b.row++
		switch {
		case b.row < turnedAwayRow:
		case b.period == 0:
			b.period = minShut
			b.until = now.Add(b.period)
		case trial:
			b.period = min(2*b.period, maxShut)
			b.until = now.Add(b.period)
		}
	}
}
