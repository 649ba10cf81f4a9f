package balancer

import "time"

// Parameters of the expiry of reported headroom and of ejection.
const (
	// headroomExpiry is the time over which a reported headroom loses its
	// weight.
	headroomExpiry = time.Second
	// allowanceExpiry is the time after which a reported allowance is ignored.
	allowanceExpiry = 30 * time.Second
	// closedPeriod is the time for which a target that admits nothing is chosen
	// only as a last resort.
	closedPeriod = time.Second
	// defaultFreeShare is the fraction of the capacity that is assumed free if
	// no recent headroom was reported.
	defaultFreeShare = 0.5

	// A target is ejected after maxFailures consecutive failures, or if its
	// failure rate exceeds maxFailureRate with at least failureWindow outcomes.
	maxFailures    = 3
	maxFailureRate = 0.5
	failureWindow  = 16
	// outlierFactor is the minimum ratio of an ejected target's failure rate to
	// the mean failure rate of the others.
	outlierFactor = 2
	// unreachableFailures is the number of failures that one failed connection
	// counts as.
	unreachableFailures = 2

	// firstEjection is the duration of a target's first ejection. Each further
	// consecutive one is twice as long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// ejectionJitter is the maximum random extension of an ejection, as a
	// fraction of its duration.
	ejectionJitter = 0.2
)

// stats holds the load and the outcomes observed at one target.
type stats struct {
	// inFlight counts this balancer's requests in flight. sent counts the
	// requests started since the last reported headroom.
	inFlight int
	sent     int

	headroom   int
	allowance  int
	reportedAt time.Time
	// closedUntil is the time until which the target is chosen only as a last
	// resort, because it admits nothing.
	closedUntil time.Time

	consecutiveFailures int
	outcomes            int
	failureRate         float64
	// ejections counts consecutive ejections. After ejectedUntil, single
	// requests probe the target.
	ejections    int
	ejectedUntil time.Time
}

// recordHeadroom stores the headroom reported in a response.
func (s *stats) recordHeadroom(h Headroom, now time.Time) {
	s.headroom = max(0, h.Free)
	s.allowance = max(1, h.Allowance)
	s.sent = 0
	s.reportedAt = now
	if h.Allowance <= 0 {
		s.closedUntil = now.Add(closedPeriod)
	}
}

// capacity returns the expected number of requests that the target runs
// concurrently. It is 1, as for a cold target, before the first report, and all
// slots if the last report is too old.
func (s *stats) capacity(slots int, now time.Time) float64 {
	switch {
	case s.reportedAt.IsZero():
		return 1
	case now.Sub(s.reportedAt) > allowanceExpiry:
		return float64(max(1, slots))
	default:
		return float64(s.allowance)
	}
}

// free returns the expected number of free slots: the reported headroom less
// the requests sent since. As the report ages, the result approaches
// defaultFreeShare of the capacity less the requests in flight.
func (s *stats) free(slots int, now time.Time) float64 {
	expected := defaultFreeShare*s.capacity(slots, now) - float64(s.inFlight)
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age >= headroomExpiry {
		return expected
	}
	reported := float64(s.headroom - s.sent)
	return reported + (expected-reported)*float64(age)/float64(headroomExpiry)
}

func (s *stats) ejected() bool { return s.ejections > 0 }

// mayProbe reports whether an ejected target may receive a probe. At most one
// probe is in flight.
func (s *stats) mayProbe(now time.Time) bool {
	return s.inFlight == 0 && !now.Before(s.ejectedUntil)
}

func (s *stats) recordSuccess() {
	s.consecutiveFailures = 0
	s.addOutcome(0)
}

func (s *stats) recordFailure(r Result) {
	s.consecutiveFailures++
	if r == Unreachable {
		s.consecutiveFailures += unreachableFailures - 1
	}
	s.addOutcome(1)
}

// addOutcome adds an outcome to the failure rate: 1 for a failure, 0 for a
// success.
func (s *stats) addOutcome(sample float64) {
	s.outcomes = min(s.outcomes+1, failureWindow)
	s.failureRate += (sample - s.failureRate) / float64(s.outcomes)
}

// hasFailedOften reports whether the target has enough failures for an ejection.
func (s *stats) hasFailedOften() bool {
	return s.consecutiveFailures >= maxFailures || s.outcomes >= failureWindow && s.failureRate > maxFailureRate
}

// eject ejects the target for a jittered time; random is in [0, 1).
func (s *stats) eject(now time.Time, random float64) {
	duration := min(firstEjection<<min(s.ejections, 5), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(duration + time.Duration(random*ejectionJitter*float64(duration)))
}

// restore ends an ejection and clears the recorded failures.
func (s *stats) restore() {
	s.ejections = 0
	s.consecutiveFailures = 0
	s.outcomes = 0
	s.failureRate = 0
}
