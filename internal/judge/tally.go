package judge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Count is a number of calls and how many of them were bad. A call is bad if the
// target failed it, could not be reached, or exceeded the time limit.
type Count struct {
	Calls uint64 `json:"calls"`
	Bad   uint64 `json:"bad"`
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	return Count{
		Calls: c.Calls + o.Calls,
		Bad:   c.Bad + o.Bad,
	}
}

// minus returns the difference c - o, or zero if o has more calls or more bad
// calls than c.
func (c Count) minus(o Count) Count {
	if c.Calls < o.Calls || c.Bad < o.Bad {
		return Count{}
	}
	return Count{
		Calls: c.Calls - o.Calls,
		Bad:   c.Bad - o.Bad,
	}
}

// RouteCount is the count of one route.
type RouteCount struct {
	// Route is the path pattern of the route.
	Route string `json:"route"`
	Count
}

// RolloutID identifies one rollout of one service. A rollout that is published with
// another version or deadline has another ID.
type RolloutID struct {
	Service string    `json:"service"`
	To      string    `json:"to"`
	By      time.Time `json:"by"`
}

// RolloutIDOf returns the ID of a service's rollout.
func RolloutIDOf(service string, m parser.Move) RolloutID {
	return RolloutID{
		Service: service,
		To:      m.To,
		By:      m.By.UTC().Round(0),
	}
}

// Subject returns the subject of the gossip record that withdraws the version.
func (id RolloutID) Subject() string {
	return id.Service + "/" + id.To + "/" + id.By.Format(time.RFC3339Nano)
}

// Tally holds the counts of the calls at one daemon's target during a rollout.
// The counts are totals since Epoch, so a tally may be lost, repeated or delayed:
// the next one includes its calls.
type Tally struct {
	RolloutID RolloutID `json:"case"`
	// Version is the version that the daemon's target runs.
	Version string `json:"version"`
	// From is the daemon's name. Epoch is the time at which the daemon began to
	// count.
	From  string    `json:"from"`
	Epoch time.Time `json:"epoch"`
	// Sequence increases with each tally of an epoch.
	Sequence uint64 `json:"seq"`
	// Busy is the total time that the target has spent on calls.
	Busy   time.Duration `json:"busy"`
	Routes []RouteCount  `json:"routes"`
}

// InitialBadCalls is the number of first calls of a target that, if all of them
// are bad, make its daemon withdraw the version at once, without waiting for
// the judges.
const InitialBadCalls = 8

// Recorder counts the calls of one daemon's target during a rollout. It is safe
// for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	tally  Tally
	counts map[string]Count
	total  Count
}

// Begin starts counting for a rollout. It does nothing if the recorder already
// counts for that rollout and version.
func (r *Recorder) Begin(id RolloutID, version, from string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts != nil && r.tally.RolloutID == id && r.tally.Version == version {
		return
	}
	r.tally = Tally{
		RolloutID: id,
		Version:   version,
		From:      from,
		Epoch:     now.UTC(),
	}
	r.counts = map[string]Count{}
	r.total = Count{}
}

// End stops counting.
func (r *Recorder) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts = nil
}

// Record counts one call on a route that took the given time. It ignores calls
// while no rollout is counted, and calls on routes beyond maxRoutes. It reports
// whether this is call number InitialBadCalls and all calls so far were bad.
func (r *Recorder) Record(route string, bad bool, duration time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		return false
	}
	if _, seen := r.counts[route]; !seen && len(r.counts) >= maxRoutes {
		return false
	}
	call := Count{Calls: 1}
	if bad {
		call.Bad = 1
	}
	r.counts[route] = r.counts[route].Plus(call)
	r.total = r.total.Plus(call)
	r.tally.Busy += duration
	return r.total.Calls == InitialBadCalls && r.total.Bad == InitialBadCalls
}

// Tally returns the totals so far with the next sequence number. ok is false if
// nothing is counted.
func (r *Recorder) Tally() (t Tally, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		return Tally{}, false
	}
	r.tally.Sequence++
	t = r.tally
	for _, route := range slices.Sorted(maps.Keys(r.counts)) {
		t.Routes = append(t.Routes, RouteCount{
			Route: route,
			Count: r.counts[route],
		})
	}
	return t, true
}
