package limiter

import (
	"math"
	"time"
)

// Smoothing of service times and detection of jumps in them.
const (
	// meanWindow is the number of requests over which mean service times are
	// averaged.
	meanWindow = 16
	// baselineWindow is the number of requests over which the baseline service
	// time and the baseline failure rate are averaged.
	baselineWindow = 64
	// minSamples is the number of requests of a route that are needed before
	// its service times are tested for a jump.
	minSamples = 8
	// maxRoutes bounds the number of routes with an estimate of their own.
	// Further routes share one estimate.
	maxRoutes = 64

	// slowDrift and slowThreshold are the parameters of the cumulative sum of
	// log service times relative to the baseline. maxSlowTerm bounds the term
	// of one request.
	slowDrift     = math.Ln2
	slowThreshold = 12.0
	maxSlowTerm   = 4 * math.Ln2
	// failDrift and failThreshold are the parameters of the cumulative sum of
	// failures.
	failDrift     = 0.2
	failThreshold = 3.0
)

// average is an exponentially weighted moving average. Until a full window of
// samples has been added, it is their arithmetic mean.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64, window int) {
	a.count = min(a.count+1, window)
	a.value += (sample - a.value) / float64(a.count)
}

// estimate holds the service times of one route.
type estimate struct {
	// mean is the average service time, in seconds.
	mean average
	// baseline is the average of the natural logarithm of the service time in
	// seconds.
	baseline average
}

// targetStats holds the service times and failures of one target.
type targetStats struct {
	routes      map[string]*estimate
	overall     average
	failureRate average
	// slowSum and failSum are cumulative sums (Page's test). They rise while
	// service times or failures are above the baseline.
	slowSum float64
	failSum float64
}

// newTargetStats returns statistics without any samples.
func newTargetStats() targetStats {
	return targetStats{routes: map[string]*estimate{}}
}

// route returns the estimate of a route and creates it if necessary. Routes
// beyond maxRoutes share the estimate of the empty name.
func (s *targetStats) route(name string) *estimate {
	r := s.routes[name]
	if r == nil && len(s.routes) >= maxRoutes {
		name = ""
		r = s.routes[name]
	}
	if r == nil {
		r = &estimate{}
		s.routes[name] = r
	}
	return r
}

// expected returns the mean service time of a route, or zero if there is no
// estimate.
func (s *targetStats) expected(route string) time.Duration {
	r := s.routes[route]
	if r == nil {
		r = s.routes[""]
	}
	if r == nil {
		return 0
	}
	return seconds(r.mean.value)
}

// mean returns the mean service time over all routes.
func (s *targetStats) mean() time.Duration { return seconds(s.overall.value) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// observe records an outcome and reports whether service times or failures have
// jumped. A request that was cancelled within the mean service time is ignored.
func (s *targetStats) observe(route string, o Outcome) bool {
	r := s.route(route)
	elapsed := max(o.Duration.Seconds(), time.Microsecond.Seconds())
	if o.Aborted && elapsed < r.mean.value {
		return false
	}
	s.observeFailure(o)
	if o.Failed && !o.Aborted {
		return s.failSum > failThreshold
	}
	s.observeTime(r, elapsed)
	return s.slowSum > slowThreshold || s.failSum > failThreshold
}

// observeFailure adds an outcome to the cumulative sum of failures and to the
// failure rate. Cancelled requests, including those that timed out, are ignored.
func (s *targetStats) observeFailure(o Outcome) {
	if o.Aborted {
		return
	}
	sample := 0.0
	if o.Failed {
		sample = 1
	}
	s.failSum = max(0, s.failSum+sample-s.failureRate.value-failDrift)
	s.failureRate.add(sample, baselineWindow)
}

// slowTerm returns the term that a request still running after elapsed adds to
// the cumulative sum of service times.
func (s *targetStats) slowTerm(route string, elapsed time.Duration) float64 {
	r := s.routes[route]
	if r == nil || r.baseline.count < minSamples || elapsed <= 0 {
		return 0
	}
	return max(0, min(math.Log(elapsed.Seconds())-r.baseline.value, maxSlowTerm)-slowDrift)
}

// observeTime adds a service time in seconds to the averages and to the
// cumulative sum.
func (s *targetStats) observeTime(r *estimate, elapsed float64) {
	logTime := math.Log(elapsed)
	if r.baseline.count >= minSamples {
		s.slowSum = max(0, s.slowSum+min(logTime-r.baseline.value, maxSlowTerm)-slowDrift)
	}
	r.baseline.add(logTime, baselineWindow)
	r.mean.add(elapsed, meanWindow)
	s.overall.add(elapsed, meanWindow)
}
