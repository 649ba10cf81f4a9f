package comparer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/judge"
	"github.com/coltsfootlane/coltsfootlane/internal/mover"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Parameters of the simulated rollout.
const (
	rolloutWindow  = 15 * time.Minute
	stepHold       = 20 * time.Second
	outageDuration = 3 * time.Minute
	// outageSteps is the number of choices for the step at which an outage
	// begins. They include the time before the first step and no outage at all.
	// Successive seeds cycle through them.
	outageSteps = 6
	// propagationTime is the time after a detection or a commit until it takes
	// effect everywhere.
	propagationTime = 2 * judge.Period
	// routes is the number of the service's routes.
	routes = 2
	// secondRouteShare is the fraction of the calls on the second route.
	secondRouteShare = 0.2
)

// Result is the result of one simulated rollout.
type Result struct {
	Phase applier.Phase
	// OnTime means that the outcome was committed before the deadline.
	OnTime bool
	// FailedShare is the fraction of the service's calls before the outcome that
	// the new version failed.
	FailedShare float64
	// ReactionTime is the time from the first observable bad call until no call went
	// to the new version. It is 0 if no fault was detected.
	ReactionTime time.Duration
}

// simulation is the state of one simulated rollout.
type simulation struct {
	scenario   Scenario
	seed       uint64
	random     *rand.Rand
	start      time.Time
	now        time.Time
	status     applier.MoveStatus
	detector   Detector
	conditions Conditions
	// effectiveAt is the time at which the committed share takes effect. It is
	// zero if no change is pending.
	effectiveAt time.Time
	// delayed contains the counts that are not yet observable, oldest first.
	delayed [][routes]judge.Count
	// stepCalls is the number of calls observed since the step was committed.
	// Before the first step it counts calls of the old version, and after that
	// calls of the new version.
	stepCalls     uint64
	total, failed int
	detected      bool
	// observableAt is when the first bad call became observable, detectedAt
	// when the version was found bad.
	observableAt, detectedAt time.Time
	outageUntil              time.Time
}

// Simulate simulates one rollout on a virtual clock with the mover and a detector.
func Simulate(sc Scenario, seed uint64, newDetector NewDetector) Result {
	s := newSimulation(sc, seed, newDetector)
	for !s.status.Phase.Final() && s.now.Before(s.start.Add(rolloutWindow)) {
		s.runPeriod()
		s.now = s.now.Add(judge.Period)
	}
	return s.result()
}

func newSimulation(sc Scenario, seed uint64, newDetector NewDetector) *simulation {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		scenario: sc,
		seed:     seed,
		random:   rand.New(rand.NewPCG(seed, 0)),
		start:    start,
		now:      start,
		status: applier.MoveStatus{
			Service: "service",
			Phase:   applier.Pending,
			Move: parser.Move{
				To:   "new",
				By:   start.Add(rolloutWindow),
				Hold: parser.Duration{Duration: stepHold},
			},
		},
	}
	steps := len(mover.Plan(s.status.Move))
	s.detector = newDetector(judge.RolloutIDOf("service", s.status.Move), steps, start, s.random)
	return s
}

// runPeriod simulates one period: the calls, their evaluation by the detector and
// the mover's decision.
func (s *simulation) runPeriod() {
	s.applyShare()
	oldCounts, newCounts := s.drawCalls()
	s.judge(oldCounts, newCounts)
	if s.platformUp() {
		s.decide()
	}
}

// applyShare applies the changes of the new version's share that are due.
func (s *simulation) applyShare() {
	if !s.effectiveAt.IsZero() && !s.now.Before(s.effectiveAt) {
		s.conditions = Conditions{Share: s.status.Share}
		s.effectiveAt = time.Time{}
	}
	stopped := s.detected && s.now.Sub(s.detectedAt) >= propagationTime
	if stopped || mover.SendingStopped(s.status, false, s.now) {
		s.conditions.Share = 0
	}
}

// drawCalls draws the calls of one period for the old and the new version.
func (s *simulation) drawCalls() (oldCounts, newCounts [routes]judge.Count) {
	for route, fraction := range [routes]float64{1 - secondRouteShare, secondRouteShare} {
		n := s.arrivals(s.scenario.Rate * fraction)
		m := binomial(s.random, n, float64(s.conditions.Share)/100)
		oldBadFraction := s.scenario.Bad(s.conditions, false, route)
		newBadFraction := s.scenario.Bad(s.conditions, true, route)
		oldCounts[route] = newCount(n-m, binomial(s.random, n-m, oldBadFraction))
		newCounts[route] = newCount(m, binomial(s.random, m, newBadFraction))
		s.total += n
		s.failed += int(newCounts[route].Bad)
		if s.observableAt.IsZero() && !s.scenario.Good && newBadFraction > oldBadShare && newCounts[route].Bad > 0 {
			s.observableAt = s.now.Add(s.scenario.DetectionDelay)
		}
	}
	s.conditions.Elapsed += judge.Period
	return oldCounts, newCounts
}

func newCount(calls, bad int) judge.Count {
	return judge.Count{
		Calls: uint64(calls),
		Bad:   uint64(bad),
	}
}

// arrivals returns the number of calls in a period at a rate per second. It draws
// whether a fractional call is rounded up.
func (s *simulation) arrivals(rate float64) int {
	mean := rate * judge.Period.Seconds()
	n := int(mean)
	if s.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// judge passes the counts that are observable at the end of the period to the
// detector.
func (s *simulation) judge(oldCounts, newCounts [routes]judge.Count) {
	observed := s.observableCounts(newCounts)
	if s.detected || oldCounts == observed && oldCounts == ([routes]judge.Count{}) {
		return
	}
	for route := range routes {
		if s.status.Step == 0 {
			s.stepCalls += oldCounts[route].Calls
		} else {
			s.stepCalls += observed[route].Calls
		}
	}
	end := s.now.Add(judge.Period)
	if s.detected = s.detector.Period(end, oldCounts[:], observed[:]); s.detected {
		s.detectedAt = end
	}
}

// observableCounts returns the new version's counts that become observable in this
// period.
func (s *simulation) observableCounts(newCounts [routes]judge.Count) (observed [routes]judge.Count) {
	periods := int(s.scenario.DetectionDelay / judge.Period)
	if periods == 0 {
		return newCounts
	}
	s.delayed = append(s.delayed, newCounts)
	if len(s.delayed) > periods {
		observed, s.delayed = s.delayed[0], s.delayed[1:]
	}
	return observed
}

// platformUp reports whether the platform is available. An outage begins at the
// step that the seed selects.
func (s *simulation) platformUp() bool {
	atOutageStep := s.status.Phase == applier.Running && s.status.Step == int(s.seed%outageSteps)
	if s.scenario.Outages && atOutageStep && s.outageUntil.IsZero() {
		s.outageUntil = s.now.Add(outageDuration)
	}
	return !s.now.Before(s.outageUntil)
}

// decide commits the mover's decision, if it makes one.
func (s *simulation) decide() {
	next, ok := mover.Next(mover.Situation{
		Status: s.status,
		Capacity: mover.Capacity{
			New: 1,
			Old: 1,
		},
		Withdrawn: s.detected,
		Calls:     s.stepCalls,
	}, s.now)
	if !ok {
		return
	}
	s.status = next
	s.stepCalls = 0
	s.effectiveAt = s.now.Add(propagationTime)
	s.detector.ShareRaised()
}

func (s *simulation) result() Result {
	r := Result{
		Phase:       s.status.Phase,
		OnTime:      s.status.Phase.Final() && s.status.Since.Before(s.status.Move.By),
		FailedShare: float64(s.failed) / float64(max(1, s.total)),
	}
	if s.detected && !s.observableAt.IsZero() {
		r.ReactionTime = s.detectedAt.Add(propagationTime).Sub(s.observableAt)
	}
	return r
}

// minNormalVariance is the variance above which the binomial distribution is
// approximated by the normal distribution.
const minNormalVariance = 20

// binomial draws the number of successes in n trials with success probability p.
func binomial(r *rand.Rand, n int, p float64) int {
	mean, variance := float64(n)*p, float64(n)*p*(1-p)
	switch {
	case p <= 0:
		return 0
	case p >= 1:
		return n
	case variance > minNormalVariance:
		rounded := math.Round(mean + r.NormFloat64()*math.Sqrt(variance))
		return min(n, max(0, int(rounded)))
	}
	successes := 0
	for at := failures(r, p); at < n; at += 1 + failures(r, p) {
		successes++
	}
	return successes
}

// failures draws the number of failures before the first success.
func failures(r *rand.Rand, p float64) int {
	return int(r.ExpFloat64() / -math.Log1p(-p))
}
