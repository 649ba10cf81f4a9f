// Package chooser picks the target that is expected to answer a request first.
//
// It knows what the targets' daemons told with their latest answers (load,
// service times, failures) and what it has itself under way at each.
package chooser

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Weights of a choice.
const (
	// defaultWork stands for the service time of a rule that no target has
	// told yet.
	defaultWork = 60 * time.Millisecond
	// loadSlowdown is the part by which a target with all slots busy is taken
	// to be slower than an idle one.
	loadSlowdown = 0.5
	// failurePenalty is what a target costs that fails every request: as much
	// as a client loses that has to send again.
	failurePenalty = 600 * time.Millisecond
	// farPenalty is the cost of another zone, whose links are dearer than the
	// few milliseconds that they take.
	farPenalty = 20 * time.Millisecond
	// farBytePenalty is the cost of carrying a kilobyte to another zone.
	farBytePenalty = 2500 * time.Microsecond
	// suspectPenalty puts a target that did not answer behind all others.
	suspectPenalty = 10 * time.Second
	// jitter is the part by which costs are varied, so that daemons that know
	// the same do not all choose the same target.
	jitter = 0.15
)

// Times of what is known.
const (
	// minSuspicion is how long a target that could not be reached is avoided,
	// and doubles with each further failure up to maxSuspicion.
	minSuspicion = 300 * time.Millisecond
	maxSuspicion = 2 * time.Second
	// trustTime is the age at which nothing is believed any more of a target's
	// service times and failures, so that it is tried again.
	trustTime = 5 * time.Second
	// forgetAfter drops what is known of a target that was not used.
	forgetAfter = time.Minute
)

// Target is one that may be chosen.
type Target struct {
	// Daemon names the VM that the target stands on, and Address is where its
	// daemon takes requests.
	Daemon  string
	Address string
	// Instance identifies one start of the target.
	Instance string
	Version  string
	// Near means that it stands in the chooser's own zone.
	Near bool
	// Doubtful means that its zone seems to be out of reach.
	Doubtful bool
	Slots    int
}

// Load is what a target's daemon tells of it with each answer.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Work is the mean service time of the answered rule's requests, or 0.
	Work time.Duration
	// Failing is the share of its latest answers that were failures, 0 to 1.
	Failing float64
	// Faulty is the same among the answers to requests that it has run.
	Faulty float64
	// Wait is how long the target takes nothing more, or 0.
	Wait time.Duration
	// Lag is what the request took beyond its time at the target's daemon: on
	// links that are full, and at daemons short of processor time.
	Lag time.Duration
}

// state is what is known of one target.
type state struct {
	load Load
	// underWay counts the chooser's own requests, and underWayThen those when
	// the load was told.
	underWay     int
	underWayThen int
	work         map[string]time.Duration
	// lag is the mean lag of the latest requests.
	lag        time.Duration
	avoidUntil time.Time
	// suspectUntil and strikes say for how long the target is avoided after
	// failures to reach it in a row.
	suspectUntil time.Time
	strikes      int
	heard        time.Time
	used         time.Time
}

// Chooser chooses between targets. It is safe for concurrent use.
type Chooser struct {
	Clock timekeeper.Clock

	mu     sync.Mutex
	states map[string]*state
	// work is the mean service time of each rule over all targets.
	work  map[string]time.Duration
	swept time.Time
}

// New returns a chooser that knows nothing yet.
func New(clock timekeeper.Clock) *Chooser {
	return &Chooser{
		Clock:  clock,
		states: map[string]*state{},
		work:   map[string]time.Duration{},
	}
}

// Wanted describes the request that a target is chosen for.
type Wanted struct {
	Rule string
	// Bytes is the size of the request's body.
	Bytes int
	// Avoid reports whether a target must not be chosen; nil avoids none.
	Avoid func(instance string) bool
}

// Choice is a chosen target.
type Choice struct {
	Target
	// Margin is by how much the next best target is worse for a request that has
	// already come to the chosen one: a wait there is worth as much.
	Margin time.Duration
}

// Pick returns the target with the least expected time to an answer; ok is false
// when there is none.
func (c *Chooser) Pick(targets []Target, w Wanted) (choice Choice, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.sweep(now)
	var cost time.Duration
	second := suspectPenalty
	for _, t := range targets {
		if w.Avoid != nil && w.Avoid(t.Instance) {
			continue
		}
		estimate := c.cost(c.state(t.Instance, now), t, w, now)
		estimate += time.Duration(float64(estimate) * jitter * rand.Float64())
		if !ok || estimate < cost {
			if ok {
				second = cost
			}
			choice.Target, cost, ok = t, estimate, true
		} else {
			second = min(second, estimate)
		}
	}
	if ok {
		choice.Margin = second - cost + c.state(choice.Instance, now).way(now)
	}
	return choice, ok
}

// cost estimates the time to an answer from a target.
func (c *Chooser) cost(s *state, t Target, w Wanted, now time.Time) time.Duration {
	stale := s.stale(now)
	work, known := s.work[w.Rule]
	if !known {
		work = c.expected(w.Rule)
	}
	work += time.Duration(stale * float64(c.expected(w.Rule)-work))
	slots := max(1, t.Slots)
	load := max(s.underWay, s.load.Running+s.load.Queued+s.underWay-s.underWayThen)
	cost := work + s.way(now)
	cost += time.Duration(float64(work) * loadSlowdown * min(1, float64(load)/float64(slots)))
	if over := load + 1 - slots; over > 0 {
		cost += work * time.Duration(over) / time.Duration(slots)
	}
	cost += time.Duration((1 - stale) * s.load.Failing * float64(failurePenalty))
	if !t.Near {
		cost += farPenalty + farBytePenalty*time.Duration(w.Bytes>>10)
	}
	if wait := s.avoidUntil.Sub(now); wait > 0 {
		cost += wait
	}
	if s.suspectUntil.After(now) || t.Doubtful {
		cost += suspectPenalty
	}
	return cost
}

// stale is how little is believed of what was heard of the target, 0 to 1.
func (s *state) stale(now time.Time) float64 {
	return min(1, float64(now.Sub(s.heard))/float64(trustTime))
}

// way returns the time that a request is expected to take to the target and back.
func (s *state) way(now time.Time) time.Duration {
	return time.Duration((1 - s.stale(now)) * float64(s.lag))
}

func (c *Chooser) expected(rule string) time.Duration {
	if work, ok := c.work[rule]; ok {
		return work
	}
	return defaultWork
}

// Expected returns the mean service time of a rule's requests.
func (c *Chooser) Expected(rule string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expected(rule)
}

func (c *Chooser) state(instance string, now time.Time) *state {
	s, ok := c.states[instance]
	if !ok {
		s = &state{work: map[string]time.Duration{}}
		c.states[instance] = s
	}
	s.used = now
	return s
}

// sweep forgets the targets that were not used for long.
func (c *Chooser) sweep(now time.Time) {
	if now.Sub(c.swept) < forgetAfter {
		return
	}
	c.swept = now
	for instance, s := range c.states {
		if s.underWay == 0 && now.Sub(s.used) > forgetAfter {
			delete(c.states, instance)
		}
	}
}

// Started counts a request as under way at a target.
func (c *Chooser) Started(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(instance, c.Clock.Now()).underWay++
}

// Ended counts a request at a target as ended.
func (c *Chooser) Ended(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(instance, c.Clock.Now())
	s.underWay = max(0, s.underWay-1)
	s.underWayThen = min(s.underWayThen, s.underWay+s.load.Running)
}

const (
	// meanShare is the weight of a new value in a running mean over all targets.
	meanShare = 0.05
	// lagShare is the weight of the latest lag in a target's mean.
	lagShare = 0.2
)

// Heard takes in what an answer, or a refusal, told of a target.
func (c *Chooser) Heard(instance, rule string, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	s := c.state(instance, now)
	s.load = l
	s.heard = now
	s.underWayThen = s.underWay
	s.strikes = 0
	s.suspectUntil = time.Time{}
	s.avoidUntil = now.Add(l.Wait)
	s.lag += time.Duration(lagShare * float64(l.Lag-s.lag))
	if l.Work <= 0 {
		return
	}
	s.work[rule] = l.Work
	if mean, ok := c.work[rule]; ok {
		c.work[rule] = mean + time.Duration(meanShare*float64(l.Work-mean))
	} else {
		c.work[rule] = l.Work
	}
}

// Unreachable notes that a target's daemon did not answer.
func (c *Chooser) Unreachable(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	s := c.state(instance, now)
	if s.suspectUntil.After(now) {
		return
	}
	s.suspectUntil = now.Add(min(maxSuspicion, minSuspicion<<s.strikes))
	s.strikes = min(s.strikes+1, 3)
}

// Faulty returns the mean share of failures among the requests that targets have
// run.
func (c *Chooser) Faulty(targets []Target) float64 {
	if len(targets) == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum float64
	for _, t := range targets {
		if s, ok := c.states[t.Instance]; ok {
			sum += s.load.Faulty
		}
	}
	return sum / float64(len(targets))
}
