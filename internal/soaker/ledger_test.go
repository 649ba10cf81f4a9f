package soaker_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// answeredRequest returns a non-idempotent request that got status 200 after 20
// ms.
func answeredRequest(id string) soaker.Request {
	return soaker.Request{
		Call:          emulator.Call{ID: id, Path: "/u/" + id, Body: "b", Timeout: time.Second},
		NonIdempotent: true,
		Caller:        "desk",
		Sent:          noon,
		Ended:         noon.Add(20 * time.Millisecond),
		Reply:         emulator.Reply{Status: 200, Instance: "i-1", MatchesCall: true},
	}
}

func runArrival(id string, after time.Duration) emulator.Arrival {
	return emulator.Arrival{ID: id, Path: "/u/" + id, Body: "b", Caller: "desk", At: noon.Add(after), Ran: true}
}

func targetStart(arrivals ...emulator.Arrival) soaker.Start {
	return soaker.Start{Instance: "i-1", Slots: 4, MaxRunning: 1, Began: noon, Arrivals: arrivals}
}

// TestLedger violates one guarantee at a time and expects the ledger to report
// it.
func TestLedger(t *testing.T) {
	errReset := errors.New("connection reset")
	for name, test := range map[string]struct {
		requests []soaker.Request
		starts   []soaker.Start
		want     string
	}{
		"no violation": {
			requests: []soaker.Request{answeredRequest("a")},
			starts:   []soaker.Start{targetStart(runArrival("a", 0))},
		},
		"non-idempotent request ran twice": {
			requests: []soaker.Request{answeredRequest("a")},
			starts:   []soaker.Start{targetStart(runArrival("a", 0), runArrival("a", time.Second))},
			want:     "twice",
		},
		"idempotent request ran three times": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.NonIdempotent = false
				return r
			}()},
			starts: []soaker.Start{targetStart(runArrival("a", 0), runArrival("a", 0), runArrival("a", 0))},
			want:   "attempts",
		},
		"response says not run but the request ran": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Reply = emulator.Reply{Status: 503, RetryAfter: "1"}
				return r
			}()},
			starts: []soaker.Start{targetStart(runArrival("a", 0))},
			want:   "as not run, and has run",
		},
		"503 without Retry-After": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Reply = emulator.Reply{Status: 503}
				return r
			}()},
			want: "without saying when",
		},
		"no response from a running daemon": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err = errReset
				return r
			}()},
			want: "lost",
		},
		"no response from a killed daemon": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.Excused = errReset, true
				return r
			}()},
		},
		"not forwarded when the daemon stopped": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.DaemonStopping = errReset, true
				return r
			}()},
		},
		"forwarded when the daemon stopped": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.DaemonStopping = errReset, true
				return r
			}()},
			starts: []soaker.Start{targetStart(runArrival("a", 0))},
			want:   "lost",
		},
		"reached a target without a run when the daemon stopped": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.DaemonStopping = errReset, true
				return r
			}()},
			starts: []soaker.Start{targetStart(func() emulator.Arrival {
				a := runArrival("a", 0)
				a.Ran = false
				return a
			}())},
			want: "lost",
		},
		"not forwarded for longer than the slack when the daemon stopped": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.DaemonStopping, r.Ended = errReset, true, noon.Add(250*time.Millisecond)
				return r
			}()},
			want: "lost",
		},
		"last byte sent within the slack before the daemon closed": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.DaemonStopping, r.Ended = errReset, true, noon.Add(250*time.Millisecond)
				r.BodySent = noon.Add(100 * time.Millisecond)
				return r
			}()},
		},
		"sent after the daemon closed the connection to stop": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.SentAfterClose, r.DaemonStopping, r.Ended = errReset, true, true, noon.Add(250*time.Millisecond)
				return r
			}()},
		},
		"sent after the idle timeout of the connection": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.SentAfterClose, r.ConnectionIdle = errReset, true, emulator.IdleTimeout
				return r
			}()},
		},
		"sent after the daemon closed the connection for no reason": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.SentAfterClose, r.ConnectionIdle = errReset, true, emulator.IdleTimeout/2
				return r
			}()},
			want: "lost",
		},
		"sent after the daemon closed the connection, and forwarded": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Err, r.SentAfterClose, r.DaemonStopping = errReset, true, true
				return r
			}()},
			starts: []soaker.Start{targetStart(runArrival("a", 0))},
			want:   "lost",
		},
		"response after the deadline": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Ended = noon.Add(1400 * time.Millisecond)
				return r
			}()},
			starts: []soaker.Start{targetStart(runArrival("a", 0))},
			want:   "late",
		},
		"response to another request": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Reply.MatchesCall = false
				return r
			}()},
			starts: []soaker.Start{targetStart(runArrival("a", 0))},
			want:   "mixed",
		},
		"response of a target that did not receive the request": {
			requests: []soaker.Request{answeredRequest("a")},
			want:     "never got it",
		},
		"request that no client sent": {
			starts: []soaker.Start{targetStart(runArrival("x", 0))},
			want:   "unasked",
		},
		"body differs": {
			requests: []soaker.Request{answeredRequest("a")},
			starts: []soaker.Start{targetStart(func() emulator.Arrival {
				a := runArrival("a", 0)
				a.Body = "c"
				return a
			}())},
			want: "another path or body",
		},
		"caller differs": {
			requests: []soaker.Request{answeredRequest("a")},
			starts: []soaker.Start{targetStart(func() emulator.Arrival {
				a := runArrival("a", 0)
				a.Caller = "forged"
				return a
			}())},
			want: "caller",
		},
		"more requests than slots": {
			starts: []soaker.Start{{Instance: "i-1", Slots: 4, MaxRunning: 5}},
			want:   "slots",
		},
		"arrival after the drain": {
			requests: []soaker.Request{answeredRequest("a")},
			starts: []soaker.Start{func() soaker.Start {
				s := targetStart(runArrival("a", time.Second))
				s.DrainAcknowledged = noon
				return s
			}()},
			want: "drain",
		},
		"cold target over its rate": {
			requests: idempotentRequests(40),
			starts: []soaker.Start{func() soaker.Start {
				s := targetStart()
				s.WarmAt = noon.Add(2 * time.Second)
				for _, r := range idempotentRequests(40) {
					s.Arrivals = append(s.Arrivals, runArrival(r.Call.ID, time.Second))
				}
				return s
			}()},
			want: "cold",
		},
		"404 on a known route": {
			requests: []soaker.Request{func() soaker.Request {
				r := answeredRequest("a")
				r.Reply = emulator.Reply{Status: 404}
				return r
			}()},
			want: "route",
		},
		"retry budget exceeded": {
			requests: idempotentRequests(100),
			starts: []soaker.Start{func() soaker.Start {
				s := targetStart()
				for _, r := range idempotentRequests(100) {
					a := runArrival(r.Call.ID, time.Second)
					s.Arrivals = append(s.Arrivals, a)
					a.Ran = false
					s.Arrivals = append(s.Arrivals, a)
				}
				return s
			}()},
			want: "budget",
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := soaker.NewLedger()
			for _, r := range test.requests {
				l.Add(r)
			}
			for _, s := range test.starts {
				l.AddStart(s)
			}
			violations := l.Violations(time.Second)
			if (len(violations) > 0) != (test.want != "") {
				t.Fatalf("got violations %q, want one that contains %q, or none if that is empty", violations, test.want)
			}
			if test.want != "" && !strings.Contains(strings.Join(violations, "\n"), test.want) {
				t.Errorf("got violations %q, want one that contains %q", violations, test.want)
			}
		})
	}
}

// idempotentRequests returns n idempotent requests that got status 200.
func idempotentRequests(n int) []soaker.Request {
	var requests []soaker.Request
	for i := range n {
		r := answeredRequest(fmt.Sprint("m-", i))
		r.NonIdempotent = false
		requests = append(requests, r)
	}
	return requests
}

// TestViolationTellsProgress guards against late or lost requests that no log explains.
func TestViolationTellsProgress(t *testing.T) {
	late := answeredRequest("a")
	late.Ended = noon.Add(1400 * time.Millisecond)
	lost := answeredRequest("b")
	lost.Err = errors.New("connection reset")
	l := soaker.NewLedger()
	for _, r := range []soaker.Request{late, lost} {
		r.Progress = soaker.Progress{
			Connected: time.Millisecond,
			Written:   700 * time.Millisecond,
			FirstByte: 1300 * time.Millisecond,
		}
		l.Add(r)
	}
	l.AddStart(targetStart(runArrival("a", 0)))
	const want = "sent at 12:00:00.000, connected after 1ms, written after 700ms, first byte after 1.3s"
	violations := l.Violations(time.Second)
	if len(violations) != 2 {
		t.Errorf("violations %q, want 2", violations)
	}
	for _, v := range violations {
		if !strings.Contains(v, want) {
			t.Errorf("violation %q, want it to contain %q", v, want)
		}
	}
}
