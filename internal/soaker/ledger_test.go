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

// request returns one that was answered well after 20 ms.
func request(id string) soaker.Request {
	return soaker.Request{
		Call:   emulator.Call{ID: id, Path: "/u/" + id, Body: "b", Left: time.Second},
		Once:   true,
		Caller: "desk",
		Sent:   noon,
		Ended:  noon.Add(20 * time.Millisecond),
		Reply:  emulator.Reply{Status: 200, Instance: "i-1", Intact: true},
	}
}

func arrival(id string, after time.Duration) emulator.Arrival {
	return emulator.Arrival{ID: id, Path: "/u/" + id, Body: "b", Caller: "desk", At: noon.Add(after), Ran: true}
}

func start(arrivals ...emulator.Arrival) soaker.Start {
	return soaker.Start{Instance: "i-1", Slots: 4, Most: 1, Began: noon, Arrivals: arrivals}
}

// TestLedger breaks each promise by itself.
func TestLedger(t *testing.T) {
	lost := errors.New("connection reset")
	for name, test := range map[string]struct {
		requests []soaker.Request
		starts   []soaker.Start
		want     string
	}{
		"well": {
			requests: []soaker.Request{request("a")},
			starts:   []soaker.Start{start(arrival("a", 0))},
		},
		"twice": {
			requests: []soaker.Request{request("a")},
			starts:   []soaker.Start{start(arrival("a", 0), arrival("a", time.Second))},
			want:     "twice",
		},
		"attempts": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Once = false
				return r
			}()},
			starts: []soaker.Start{start(arrival("a", 0), arrival("a", 0), arrival("a", 0))},
			want:   "attempts",
		},
		"not run, and has": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Reply = emulator.Reply{Status: 503, RetryAfter: "1"}
				return r
			}()},
			starts: []soaker.Start{start(arrival("a", 0))},
			want:   "as not run, and has run",
		},
		"no Retry-After": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Reply = emulator.Reply{Status: 503}
				return r
			}()},
			want: "without saying when",
		},
		"lost": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Err = lost
				return r
			}()},
			want: "lost",
		},
		"lost while the daemon was killed": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Err, r.Excused = lost, true
				return r
			}()},
		},
		"unread when the daemon stopped": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Err, r.Stopping = lost, true
				return r
			}()},
		},
		"passed on when the daemon stopped": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Err, r.Stopping = lost, true
				return r
			}()},
			starts: []soaker.Start{start(arrival("a", 0))},
			want:   "lost",
		},
		"late": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Ended = noon.Add(1400 * time.Millisecond)
				return r
			}()},
			starts: []soaker.Start{start(arrival("a", 0))},
			want:   "late",
		},
		"another's answer": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Reply.Intact = false
				return r
			}()},
			starts: []soaker.Start{start(arrival("a", 0))},
			want:   "mixed",
		},
		"answer of a target that never got it": {
			requests: []soaker.Request{request("a")},
			want:     "never got it",
		},
		"unasked": {
			starts: []soaker.Start{start(arrival("x", 0))},
			want:   "unasked",
		},
		"other body": {
			requests: []soaker.Request{request("a")},
			starts: []soaker.Start{start(func() emulator.Arrival {
				a := arrival("a", 0)
				a.Body = "c"
				return a
			}())},
			want: "another path or body",
		},
		"forged caller": {
			requests: []soaker.Request{request("a")},
			starts: []soaker.Start{start(func() emulator.Arrival {
				a := arrival("a", 0)
				a.Caller = "forged"
				return a
			}())},
			want: "caller",
		},
		"too many at once": {
			starts: []soaker.Start{{Instance: "i-1", Slots: 4, Most: 5}},
			want:   "slots",
		},
		"after it drains": {
			requests: []soaker.Request{request("a")},
			starts: []soaker.Start{func() soaker.Start {
				s := start(arrival("a", time.Second))
				s.Drained = noon
				return s
			}()},
			want: "drain",
		},
		"cold": {
			requests: many(40),
			starts: []soaker.Start{func() soaker.Start {
				s := start()
				s.Warm = noon.Add(2 * time.Second)
				for _, r := range many(40) {
					s.Arrivals = append(s.Arrivals, arrival(r.Call.ID, time.Second))
				}
				return s
			}()},
			want: "cold",
		},
		"no route": {
			requests: []soaker.Request{func() soaker.Request {
				r := request("a")
				r.Reply = emulator.Reply{Status: 404}
				return r
			}()},
			want: "route",
		},
		"budget": {
			requests: many(100),
			starts: []soaker.Start{func() soaker.Start {
				s := start()
				for _, r := range many(100) {
					a := arrival(r.Call.ID, time.Second)
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
			broken := l.Broken(time.Second)
			if (len(broken) > 0) != (test.want != "") {
				t.Fatalf("broken: %q, want %q", broken, test.want)
			}
			if test.want != "" && !strings.Contains(strings.Join(broken, "\n"), test.want) {
				t.Errorf("broken: %q, want %q", broken, test.want)
			}
		})
	}
}

// many returns answered requests that may be repeated.
func many(n int) []soaker.Request {
	var requests []soaker.Request
	for i := range n {
		r := request(fmt.Sprint("m-", i))
		r.Once = false
		requests = append(requests, r)
	}
	return requests
}
