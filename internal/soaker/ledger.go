package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Request is one that a client has sent.
type Request struct {
	Call emulator.Call
	// Once means that it must not run twice.
	Once bool
	// Fresh means that its route was declared a moment before.
	Fresh bool
	// Caller is the service of the daemon that it was sent to.
	Caller string
	Sent   time.Time
	Ended  time.Time
	Reply  emulator.Reply
	// Err is set when no answer came, and Excused says that the daemon was not
	// there to answer.
	Err     error
	Excused bool
	// Stopping means that the daemon was asked to stop before it ended.
	Stopping bool
}

// Start is the log of one start of a target.
type Start struct {
	Service  string
	Version  string
	Instance string
	Slots    int
	Most     int
	Arrivals []emulator.Arrival
	// Began is when it started, and Warm when it ceased to be cold.
	Began, Warm time.Time
	// Held is when a link held what the daemon had sent to it: what passed later
	// may reach it when the daemon has given up on it.
	Held []span
	// Drained is when a daemon acknowledged that it drains; zero for never.
	Drained time.Time
}

// Bounds of what is promised, from the pages of the users' platform.
const (
	// attempts is the number of runs that a request that may be repeated may
	// have.
	attempts = 2
	// lossSlack is how long after its last byte a request may be cut off by a
	// daemon that stops and has not passed it on.
	lossSlack = 200 * time.Millisecond
	// answerSlack is what an answer may take beyond the request's deadline.
	answerSlack = 300 * time.Millisecond
	// drainSlack covers what was on its way through a delayed link when a target
	// said that it drains.
	drainSlack = linkDelay + 100*time.Millisecond
	// coldFactor and coldSlack bound the requests of a second at a cold target.
	coldFactor = 1.5
	coldSlack  = 8
	// retryRatio and retrySlack bound what is sent beyond one send a request:
	// the slack is for each budgetWindow.
	retryRatio   = 0.2
	retrySlack   = 60
	budgetWindow = 10 * time.Second
)

// Ledger holds what clients and targets have seen. It is safe for concurrent
// use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]Request
	starts   []Start
	notes    []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]Request{}}
}

// Add notes a request that has ended.
func (l *Ledger) Add(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.Call.ID] = r
}

// AddStart notes a start of a target that has ended.
func (l *Ledger) AddStart(s Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, s)
}

// Note adds a broken promise that was seen elsewhere.
func (l *Ledger) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, fmt.Sprintf(format, args...))
}

// Counts are the sizes of a ledger.
type Counts struct {
	Requests, Answered, Refused, Unanswered, Arrivals int
}

// Counts returns the ledger's sizes.
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

// Broken returns the promises that were broken, once all requests and starts have
// ended. Length is how long the soak took.
func (l *Ledger) Broken(length time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := append([]string(nil), l.notes...)
	ran := map[string]int{}
	at := map[string]map[string]bool{}
	arrivals := 0
	for _, start := range l.starts {
		broken = append(broken, start.broken()...)
		for _, a := range start.Arrivals {
			arrivals++
			broken = append(broken, l.unasked(start, a)...)
			if a.Ran {
				ran[a.ID]++
			}
			if at[a.ID] == nil {
				at[a.ID] = map[string]bool{}
			}
			at[a.ID][start.Instance] = true
		}
	}
	for id, r := range l.requests {
		broken = append(broken, r.broken(ran[id], at[id])...)
	}
	windows := 1 + float64(length/budgetWindow)
	if limit := float64(len(l.requests))*(1+retryRatio) + retrySlack*windows; float64(arrivals) > limit {
		broken = append(broken, fmt.Sprintf("budget: %d arrivals for %d requests, at most %.0f", arrivals, len(l.requests), limit))
	}
	return broken
}

// unasked says what is wrong with an arrival by itself.
func (l *Ledger) unasked(start Start, a emulator.Arrival) []string {
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

// broken returns what a request's answer and runs break.
func (r Request) broken(ran int, at map[string]bool) []string {
	var broken []string
	add := func(format string, args ...any) {
		broken = append(broken, r.Call.ID+": "+fmt.Sprintf(format, args...))
	}
	if r.Once && ran > 1 {
		add("twice: ran %d times and must not be repeated", ran)
	}
	if ran > attempts {
		add("attempts: ran %d times, at most %d", ran, attempts)
	}
	if r.Err != nil {
		unread := r.Stopping && ran == 0 && r.Ended.Sub(r.Sent) <= lossSlack
		if !r.Excused && !unread {
			add("lost: no answer from a daemon that was there: %v", r.Err)
		}
		return broken
	}
	if took := r.Ended.Sub(r.Sent); took > r.Call.Left+answerSlack && !r.Excused {
		add("late: answered %d after %v of %v", r.Reply.Status, took, r.Call.Left)
	}
	switch {
	case r.Reply.RetryAfter != "" && ran > 0:
		add("refused: answered %d as not run, and has run", r.Reply.Status)
	case r.Reply.Status == 503 && r.Reply.RetryAfter == "":
		add("refused: answered 503 without saying when to come again")
	case r.Reply.Status == 200 && !r.Reply.Intact:
		add("mixed: got another request's answer")
	case r.Reply.Status == 200 && !at[r.Reply.Instance]:
		add("mixed: answered by %q, which never got it", r.Reply.Instance)
	case r.Reply.Status >= 400 && r.Reply.Status < 500 && !(r.Fresh && r.Reply.Status == 404):
		add("route: answered %d", r.Reply.Status)
	}
	return broken
}

// held reports whether a link held what was sent to the target until a moment,
// or a little before.
func (s Start) held(at time.Time) bool {
	for _, held := range s.Held {
		if at.After(held.from) && at.Before(held.to.Add(drainSlack)) {
			return true
		}
	}
	return false
}

// broken returns what the arrivals at a target break.
func (s Start) broken() []string {
	var broken []string
	if s.Most > s.Slots && len(s.Held) == 0 {
		broken = append(broken, fmt.Sprintf("slots: %s ran %d at once, has %d", s.Instance, s.Most, s.Slots))
	}
	var cold []time.Time
	for _, a := range s.Arrivals {
		if !s.Drained.IsZero() && a.At.After(s.Drained.Add(drainSlack)) && !s.held(a.At) {
			broken = append(broken, fmt.Sprintf("drain: %s got %q %v after its daemon knew that it drains", s.Instance, a.ID, a.At.Sub(s.Drained)))
		}
		if a.Ran && a.At.Before(s.Warm) {
			cold = append(cold, a.At)
		}
	}
	limit := coldFactor*emulator.ColdRate + coldSlack
	for i, first := range cold {
		n := 0
		for _, t := range cold[i:] {
			if t.Sub(first) < time.Second {
				n++
			}
		}
		if float64(n) > limit {
			return append(broken, fmt.Sprintf("cold: %s ran %d requests in a second while cold, bears %.0f", s.Instance, n, limit))
		}
	}
	return broken
}
