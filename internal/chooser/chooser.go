// Package chooser picks the target with the lowest expected response time for a
// request.
//
// The estimate uses the load, service times and failures that the targets'
// daemons report with each response, and the requests that the chooser's own
// daemon has in flight at each target.
package chooser

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spiller"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Parameters of the cost of a target.
const (
	// defaultServiceTime is used for a rule until a target reports a service time.
	defaultServiceTime = 60 * time.Millisecond
	// loadSlowdown is the fraction by which a target with all slots busy is
	// assumed to be slower than an idle one.
	loadSlowdown = 0.5
	// failurePenalty is the cost of a target that fails every request: about the
	// time that a client loses when it has to retry.
	failurePenalty = 600 * time.Millisecond
	// suspectPenalty ranks a target that did not respond behind all others.
	suspectPenalty = 10 * time.Second
	// jitter is the largest fraction by which a cost is randomly increased, so
	// that daemons with the same data do not all choose the same target.
	jitter = 0.15
)

// Lifetimes of the state of a target.
const (
	// minSuspicion is how long an unreachable target is avoided. Each further
	// failure doubles the time, up to maxSuspicion.
	minSuspicion = 300 * time.Millisecond
	maxSuspicion = 2 * time.Second
	// maxLoadAge is the age at which the service times, failures and lag of a target
	// are ignored, so that the target is tried again.
	maxLoadAge = 5 * time.Second
	// stateTTL is how long the state of an unused target is kept.
	stateTTL = time.Minute
)

// Target is a target that may be chosen.
type Target struct {
	// Daemon is the name of the target's VM, and Address is where the daemon on it
	// accepts requests.
	Daemon  string
	Address string
	// Instance identifies a target process. A restarted target has a new instance.
	Instance string
	Version  string
	// SameZone means that the target is in the chooser's own zone.
	SameZone bool
	// ZoneUnreachable means that the target's zone seems to be unreachable.
	ZoneUnreachable bool
	// Slots is the number of requests that the target can run at once.
	Slots int
}

// Load is the load of a target. Its daemon reports all fields but Lag and ResponseBytes
// with each response.
type Load struct {
	// Running is the number of requests that the target runs, and Queued the number
	// that wait for one of its Slots.
	Running int
	Queued  int
	Slots   int
	// ServiceTime is the mean service time of the requests of the rule, or 0 if it is
	// unknown.
	ServiceTime time.Duration
	// FailureRate is the exponentially weighted average of the fraction of requests
	// that failed or were not run, from 0 to 1.
	FailureRate float64
	// FaultRate is the exponentially weighted average of the fraction that failed
	// among the requests that the target has run, from 0 to 1.
	FaultRate float64
	// ReopenAfter is the time until the target accepts requests again, or 0.
	ReopenAfter time.Duration
	// BodyWait is the expected time until the daemon reads the next large body.
	BodyWait time.Duration
	// Lag is the part of the response time that was not spent at the target's
	// daemon. It grows when links are saturated or daemons are short of CPU time. The
	// daemon that sent the request measures it.
	Lag time.Duration
	// ResponseBytes is the size of the response's body, or 0 if it is unknown. The daemon
	// that sent the request measures it.
	ResponseBytes int
}

// targetState is the state of one target.
type targetState struct {
	load Load
	// inFlight counts the requests that the chooser's own daemon has in flight at
	// the target. inFlightAtLoad is its value when the load was reported, or less if
	// requests have ended since.
	inFlight       int
	inFlightAtLoad int
	serviceTime    map[string]time.Duration
	// lag is the exponentially weighted average of Load.Lag.
	lag time.Duration
	// notBefore is the time at which the target accepts requests again.
	notBefore time.Time
	// suspectUntil is the end of the time for which the target is avoided, and
	// failures counts the consecutive failures to reach it, up to 3.
	suspectUntil time.Time
	failures     int
	loadAt       time.Time
	usedAt       time.Time
}

// Chooser chooses between targets. It is safe for concurrent use.
type Chooser struct {
	Clock timekeeper.Clock
	// Random returns a pseudo-random number in [0, 1). The Chooser serializes its calls.
	Random func() float64
	// StayTargets is the number of targets in the own zone from which on requests leave it
	// only as package spiller decides. If it is 0, or if there are fewer, targets of other
	// zones cost spiller.TransferCost more, and nothing else keeps requests from them.
	StayTargets int
	// OnZone is called for each choice that depends on package spiller. It may be nil, and
	// must not call the Chooser.
	OnZone func(z ZoneChoice)

	mu     sync.Mutex
	states map[string]*targetState
	// serviceTime is the mean service time of each rule over all targets.
	serviceTime map[string]time.Duration
	// responseBytes is the mean size of the responses of each rule.
	responseBytes map[string]int
	spills        map[spillKey]*spillState
	sweptAt       time.Time
	// pool holds the states of the targets of the choice in progress.
	pool []*targetState
}

// New returns a Chooser without any state.
func New(clock timekeeper.Clock) *Chooser {
	return &Chooser{
		Clock:       clock,
		Random:      rand.Float64,
		states:      map[string]*targetState{},
		serviceTime: map[string]time.Duration{},

		responseBytes: map[string]int{},
		spills:        map[spillKey]*spillState{},
	}
}

// Request describes the request that a target is chosen for.
type Request struct {
	Rule string
	// Service is the service of the targets.
	Service string
	// Objective is the time within which a response to the rule's requests should be sent,
	// or 0 if there is none.
	Objective time.Duration
	// Bytes is the size of the request's body. AwaitsTurn means that the target's daemon
	// reads such bodies one after the other.
	Bytes      int
	AwaitsTurn bool
	// Attempts is the number of earlier attempts of the request.
	Attempts int
	// Exclude reports whether a target must not be chosen; nil excludes none.
	Exclude func(instance string) bool
}

// Choice is a chosen target.
type Choice struct {
	Target
	// QueueTimeout is the longest worthwhile queueing time: the difference in cost to
	// the second-best target, plus the chosen target's expected lag and wait for the body.
	// The lag is added because it has already passed when the request arrives.
	QueueTimeout time.Duration
}

// Pick returns the target with the lowest cost. ok is false if there are no
// targets or all are excluded.
func (c *Chooser) Pick(targets []Target, r Request) (choice Choice, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.sweep(now)
	var own, other group
	c.pool = c.pool[:0]
	for i := range targets {
		t := &targets[i]
		state := c.targetState(t.Instance, now)
		c.pool = append(c.pool, state)
		if c.StayTargets > 0 {
			groupOf(t, &own, &other).count(state, t, now)
		}
	}
	stays := c.stays(own, r)
	for i := range targets {
		t := &targets[i]
		g := groupOf(t, &own, &other)
		if r.Exclude != nil && r.Exclude(t.Instance) {
			g.excluded++
			continue
		}
		use := 0.0
		if stays {
			use = g.meanUse()
		}
		estimate := c.cost(c.pool[i], t, r, now, use)
		g.add(t, estimate, estimate+time.Duration(float64(estimate)*jitter*c.Random()), c.pool[i].loadAt)
	}
	best := own.merge(other)
	if stays && best.size > 0 {
		best = c.chooseZone(own, other, r, now)
	}
	if best.size == 0 {
		return Choice{}, false
	}
	s := c.targetState(best.target.Instance, now)
	return Choice{
		Target:       *best.target,
		QueueTimeout: best.secondCost - best.cost + s.expectedLag(now) + s.expectedBodyWait(r, now),
	}, true
}

// cost returns the estimated response time of a target plus its penalties. use is the load
// per slot that is assumed as the reported one ages.
func (c *Chooser) cost(s *targetState, t *Target, r Request, now time.Time, use float64) time.Duration {
	staleness := s.staleness(now)
	serviceTime, known := s.serviceTime[r.Rule]
	if !known {
		serviceTime = c.meanServiceTime(r.Rule)
	}
	serviceTime += time.Duration(staleness * float64(c.meanServiceTime(r.Rule)-serviceTime))
	slots := max(1, t.Slots)
	// Without ageing, a target that was busy once would never be tried again.
	reported := int((1-staleness)*float64(s.load.Running+s.load.Queued) + staleness*use*float64(slots))
	load := max(s.inFlight, reported+s.inFlight-s.inFlightAtLoad)
	cost := serviceTime + s.expectedLag(now) + s.expectedBodyWait(r, now)
	cost += time.Duration(float64(serviceTime) * loadSlowdown * min(1, float64(load)/float64(slots)))
	if excess := load + 1 - slots; excess > 0 {
		cost += serviceTime * time.Duration(excess) / time.Duration(slots)
	}
	cost += time.Duration((1 - staleness) * s.load.FailureRate * float64(failurePenalty))
	if !t.SameZone {
		cost += spiller.TransferCost(r.Bytes)
	}
	if wait := s.notBefore.Sub(now); wait > 0 {
		cost += wait
	}
	if s.suspectUntil.After(now) || t.ZoneUnreachable {
		cost += suspectPenalty
	}
	return cost
}

// staleness returns the age of the reported load as a fraction of maxLoadAge, at
// most 1.
func (s *targetState) staleness(now time.Time) float64 {
	return min(1, float64(now.Sub(s.loadAt))/float64(maxLoadAge))
}

// expectedLag returns the expected lag of a request. It decreases with the age
// of the reported load.
func (s *targetState) expectedLag(now time.Time) time.Duration {
	return time.Duration((1 - s.staleness(now)) * float64(s.lag))
}

// expectedBodyWait returns the expected time until the target's daemon reads the request's
// body. It decreases with the age of the reported load.
func (s *targetState) expectedBodyWait(r Request, now time.Time) time.Duration {
	if !r.AwaitsTurn {
		return 0
	}
	return time.Duration((1 - s.staleness(now)) * float64(s.load.BodyWait))
}

func (c *Chooser) meanServiceTime(rule string) time.Duration {
	if serviceTime, ok := c.serviceTime[rule]; ok {
		return serviceTime
	}
	return defaultServiceTime
}

// MeanServiceTime returns the mean service time of the requests of a rule.
func (c *Chooser) MeanServiceTime(rule string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meanServiceTime(rule)
}

// ServiceTimeAt returns the mean service time of the requests of a rule at some targets,
// the average of the targets' last reports, or 0 if none has reported.
func (c *Chooser) ServiceTimeAt(rule string, targets []Target) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum time.Duration
	known := 0
	for _, t := range targets {
		if s, ok := c.states[t.Instance]; ok && s.serviceTime[rule] > 0 {
			sum += s.serviceTime[rule]
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

// targetState returns the state of a target, which it creates if necessary.
func (c *Chooser) targetState(instance string, now time.Time) *targetState {
	s, ok := c.states[instance]
	if !ok {
		s = &targetState{serviceTime: map[string]time.Duration{}}
		c.states[instance] = s
	}
	s.usedAt = now
	return s
}

// sweep deletes the state of targets that have not been used for stateTTL.
func (c *Chooser) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < stateTTL {
		return
	}
	c.sweptAt = now
	for instance, s := range c.states {
		if s.inFlight == 0 && now.Sub(s.usedAt) > stateTTL {
			delete(c.states, instance)
		}
	}
	c.sweepSpills(now)
}

// RequestStarted counts a request as in flight at a target.
func (c *Chooser) RequestStarted(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetState(instance, c.Clock.Now()).inFlight++
}

// RequestEnded counts a request at a target as ended.
func (c *Chooser) RequestEnded(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targetState(instance, c.Clock.Now())
	s.inFlight = max(0, s.inFlight-1)
	s.inFlightAtLoad = min(s.inFlightAtLoad, s.inFlight+s.load.Running)
}

const (
	// meanWeight is the weight of a new service time in the exponentially weighted
	// average over all targets.
	meanWeight = 0.05
	// lagWeight is the weight of the latest lag in a target's average.
	lagWeight = 0.2
)

// RecordLoad records the load that a target's daemon reported with a response or a
// rejection.
func (c *Chooser) RecordLoad(instance, rule string, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	s := c.targetState(instance, now)
	s.load = l
	s.loadAt = now
	s.inFlightAtLoad = s.inFlight
	s.failures = 0
	s.suspectUntil = time.Time{}
	s.notBefore = now.Add(l.ReopenAfter)
	s.lag += time.Duration(lagWeight * float64(l.Lag-s.lag))
	if l.ResponseBytes > 0 {
		c.recordResponseBytes(rule, l.ResponseBytes)
	}
	if l.ServiceTime <= 0 {
		return
	}
	s.serviceTime[rule] = l.ServiceTime
	if mean, ok := c.serviceTime[rule]; ok {
		c.serviceTime[rule] = mean + time.Duration(meanWeight*float64(l.ServiceTime-mean))
	} else {
		c.serviceTime[rule] = l.ServiceTime
	}
}

// RecordUnreachable records that a target's daemon did not respond.
func (c *Chooser) RecordUnreachable(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	s := c.targetState(instance, now)
	if s.suspectUntil.After(now) {
		return
	}
	s.suspectUntil = now.Add(min(maxSuspicion, minSuspicion<<s.failures))
	s.failures = min(s.failures+1, 3)
}

// FaultRate returns the mean of Load.FaultRate over the targets. A target without
// state counts as 0.
func (c *Chooser) FaultRate(targets []Target) float64 {
	if len(targets) == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum float64
	for _, t := range targets {
		if s, ok := c.states[t.Instance]; ok {
			sum += s.load.FaultRate
		}
	}
	return sum / float64(len(targets))
}
