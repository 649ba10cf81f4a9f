package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Request is a request that a client sent, with its outcome.
type Request struct {
	Call emulator.Call
	// NonIdempotent marks a non-idempotent request, which must not run twice.
	NonIdempotent bool
	// RecentRoute marks a request whose route was declared just before it was sent.
	// A 404 response is allowed for it.
	RecentRoute bool
	// Caller is the service of the daemon that the request was sent to.
	Caller string
	Sent   time.Time
	// BodySent is when the last byte was sent, zero if that was at Sent.
	BodySent time.Time
	// Written means that the whole request was sent.
	Written  bool
	Progress Progress
	Ended    time.Time
	Reply    emulator.Reply
	// Err is set if the client got no response. Excused means that the request
	// was allowed to fail; see process.excusesFailure.
	Err     error
	Excused bool
	// DaemonStopping means that the daemon had been sent SIGTERM when the request
	// ended.
	DaemonStopping bool
	// SentAfterClose means that the connection was closed before a part of the request
	// was written.
	SentAfterClose bool
	// ConnectionIdle is the time for which the connection had been idle before the
	// request, zero if it is new.
	ConnectionIdle time.Duration
}

// Progress holds the times since Sent at which the client had a connection, had written
// the request, if only to its buffer, and got the first byte of the response, or 0. With
// the times in the daemon's log they tell whether the daemon or the client was held up.
type Progress struct {
	Connected, Written, FirstByte time.Duration
}

// String returns the times.
func (p Progress) String() string {
	return fmt.Sprintf("connected after %v, written after %v, first byte after %v", p.Connected, p.Written, p.FirstByte)
}

// Start records one run of a target, from its start to its end.
type Start struct {
	Service  string
	Version  string
	Instance string
	// Slots is the target's concurrency limit, and MaxRunning the largest number of
	// requests that ran at once.
	Slots      int
	MaxRunning int
	Arrivals   []emulator.Arrival
	// Began is when the target started, and WarmAt when its warm-up ended.
	Began, WarmAt time.Time
	// Stalls lists the periods in which a fault stalled the link to the target, in
	// either direction. Stalled requests can reach the target after the daemon has
	// given up on them.
	Stalls []span
	// DrainAcknowledged is when the daemon acknowledged that the target drains. It
	// is zero if that did not happen.
	DrainAcknowledged time.Time
}

// Limits of the guarantees that are checked, from the users' platform
// specification.
const (
	// maxRuns is the maximum number of runs of an idempotent request.
	maxRuns = 2
	// shutdownLossSlack is the time after the last byte of a request within which a
	// stopping daemon may abort it, if the daemon has not forwarded it.
	shutdownLossSlack = 200 * time.Millisecond
	// responseSlack is how long after the request's deadline a response may arrive.
	responseSlack = 300 * time.Millisecond
	// drainSlack allows for requests that were in transit through a delayed link
	// when the daemon acknowledged the drain.
	drainSlack = linkDelay + 100*time.Millisecond
	// A target that warms up may run coldRateFactor times its declared rate plus
	// coldRateSlack requests in a second.
	coldRateFactor = 1.5
	coldRateSlack  = 8
	// retryRatio is the maximum number of retries per request. retrySlack is the
	// number of further retries allowed in each retryBudgetWindow.
	retryRatio        = 0.2
	retrySlack        = 60
	retryBudgetWindow = 10 * time.Second
)

// Ledger records the requests of clients, the runs of targets and the violations
// of guarantees. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]Request
	starts   []Start
	reported []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]Request{}}
}

// Add records a request that has ended.
func (l *Ledger) Add(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.Call.ID] = r
}

// AddStart records a run of a target that has ended.
func (l *Ledger) AddStart(s Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, s)
}

// AddViolation records a violation that was detected outside the ledger.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = append(l.reported, fmt.Sprintf(format, args...))
}

// Counts summarizes a ledger. Requests with status 200 count as answered,
// requests with another status as refused and requests without a response as
// unanswered. Arrivals counts the requests that reached targets.
type Counts struct {
	Requests, Answered, Refused, Unanswered, Arrivals int
}

// Counts returns a summary of what is recorded so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Requests: len(l.requests)}
	for _, r := range l.requests {
		switch {
		case r.Err != nil:
			c.Unanswered++
		case r.Reply.Status == 200:
			c.Answered++
		default:
			c.Refused++
		}
	}
	for _, start := range l.starts {
		c.Arrivals += len(start.Arrivals)
	}
	return c
}

// Violations returns a message for each violation of a guarantee. It must be called
// after all requests and target runs have ended. Length is the duration of the
// soak.
func (l *Ledger) Violations(length time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := append([]string(nil), l.reported...)
	runs := map[string]int{}
	instances := map[string]map[string]bool{}
	arrivals := 0
	for _, start := range l.starts {
		violations = append(violations, start.violations()...)
		for _, a := range start.Arrivals {
			arrivals++
			violations = append(violations, l.checkArrival(start, a)...)
			if a.Ran {
				runs[a.ID]++
			}
			if instances[a.ID] == nil {
				instances[a.ID] = map[string]bool{}
			}
			instances[a.ID][start.Instance] = true
		}
	}
	for id, r := range l.requests {
		violations = append(violations, r.violations(runs[id], instances[id])...)
	}
	windows := 1 + float64(length/retryBudgetWindow)
	if limit := float64(len(l.requests))*(1+retryRatio) + retrySlack*windows; float64(arrivals) > limit {
		violations = append(violations, fmt.Sprintf("budget: %d arrivals for %d requests, at most %.0f", arrivals, len(l.requests), limit))
	}
	return violations
}

// timeOfDay is the format of times in violations. Daemons log the time in UTC, too.
const timeOfDay = "15:04:05.000"

// checkArrival compares an arrival with the request that the client sent.
func (l *Ledger) checkArrival(start Start, a emulator.Arrival) []string {
	r, ok := l.requests[a.ID]
	switch {
	case !ok:
		return []string{fmt.Sprintf("unasked: %s got %q, which no client has sent", start.Instance, a.ID)}
	case a.Path != r.Call.Path || a.Body != r.Call.Body:
		return []string{fmt.Sprintf("mixed: %s got %q with another path or body", start.Instance, a.ID)}
	case a.Caller != r.Caller:
		return []string{fmt.Sprintf("caller: %s got %q from %q, want %q", start.Instance, a.ID, a.Caller, r.Caller)}
	}
	return nil
}

// violations returns the violations found in one request. It takes the number of the
// request's runs and the target instances that received it.
func (r Request) violations(runs int, instances map[string]bool) []string {
	var violations []string
	addViolation := func(format string, args ...any) {
		violations = append(violations, r.Call.ID+": "+fmt.Sprintf(format, args...))
	}
	sentAt := r.Sent.UTC().Format(timeOfDay)
	if r.NonIdempotent && runs > 1 {
		addViolation("twice: ran %d times and must not be repeated", runs)
	}
	if runs > maxRuns {
		addViolation("attempts: ran %d times, at most %d", runs, maxRuns)
	}
	if r.Err != nil {
		sent := r.Sent
		if !r.BodySent.IsZero() {
			sent = r.BodySent
		}
		mayClose := r.DaemonStopping || r.ConnectionIdle >= emulator.IdleTimeout-responseSlack
		crossedClose := r.SentAfterClose && mayClose || r.DaemonStopping && r.Ended.Sub(sent) <= shutdownLossSlack
		notForwarded := crossedClose && len(instances) == 0
		if !r.Excused && !notForwarded {
			addViolation("lost: no answer from a daemon that was there, %v after the request was sent (whole: %v), sent at %s, %v, arrived at %d targets: %v", r.Ended.Sub(sent), r.Written, sentAt, r.Progress, len(instances), r.Err)
		}
		return violations
	}
	if elapsed := r.Ended.Sub(r.Sent); elapsed > r.Call.Timeout+responseSlack && !r.Excused {
		addViolation("late: answered %d after %v of %v, sent at %s, %v", r.Reply.Status, elapsed, r.Call.Timeout, sentAt, r.Progress)
	}
	switch {
	case r.Reply.RetryAfter != "" && runs > 0:
		addViolation("refused: answered %d as not run, and has run", r.Reply.Status)
	case r.Reply.Status == 503 && r.Reply.RetryAfter == "":
		addViolation("refused: answered 503 without saying when to come again")
	case r.Reply.Status == 200 && !r.Reply.MatchesCall:
		addViolation("mixed: got another request's answer")
	case r.Reply.Status == 200 && !instances[r.Reply.Instance]:
		addViolation("mixed: answered by %q, which never got it", r.Reply.Instance)
	case r.Reply.Status >= 400 && r.Reply.Status < 500 && !(r.RecentRoute && r.Reply.Status == 404):
		addViolation("route: answered %d", r.Reply.Status)
	}
	return violations
}

// stalled reports whether a request that arrived at t may have been stalled on
// the link to the target.
func (s Start) stalled(t time.Time) bool {
	for _, stalled := range s.Stalls {
		if t.After(stalled.from) && t.Before(stalled.to.Add(drainSlack)) {
			return true
		}
	}
	return false
}

// violations returns the violations found in one run of a target.
func (s Start) violations() []string {
	var violations []string
	if s.MaxRunning > s.Slots && len(s.Stalls) == 0 {
		violations = append(violations, fmt.Sprintf("slots: %s ran %d at once, has %d", s.Instance, s.MaxRunning, s.Slots))
	}
	var coldRuns []time.Time
	for _, a := range s.Arrivals {
		if !s.DrainAcknowledged.IsZero() && a.At.After(s.DrainAcknowledged.Add(drainSlack)) && !s.stalled(a.At) {
			violations = append(violations, fmt.Sprintf("drain: %s got %q %v after its daemon knew that it drains", s.Instance, a.ID, a.At.Sub(s.DrainAcknowledged)))
		}
		if a.Ran && a.At.Before(s.WarmAt) {
			coldRuns = append(coldRuns, a.At)
		}
	}
	limit := coldRateFactor*emulator.ColdRate + coldRateSlack
	for i, first := range coldRuns {
		n := 0
		for _, t := range coldRuns[i:] {
			if t.Sub(first) < time.Second {
				n++
			}
		}
		if float64(n) > limit {
			return append(violations, fmt.Sprintf("cold: %s ran %d requests in a second while cold, bears %.0f", s.Instance, n, limit))
		}
	}
	return violations
}
