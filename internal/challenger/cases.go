package challenger

import (
	"math/rand/v2"
	"time"
)

// Cases returns the cases in which the baseline and the daemon's policy are
// compared.
func Cases() []Case {
	return []Case{
		{
			Name: "normal load",
			Load: 0.6,
		},
		{
			Name: "overload",
			Load: 1.25,
		},
		{
			Name:           "cold targets join",
			Load:           0.9,
			InitialTargets: 7,
			Events: []Event{{
				At: time.Second,
				Do: func(f *Fleet) { f.Join() },
			}},
		},
		{
			Name: "a target turns cold",
			Load: 0.6,
			Events: []Event{{
				At: time.Second,
				Do: func(f *Fleet) { f.MakeCold(0) },
			}},
		},
		{
			Name: "a target fails",
			Load: 0.6,
			Events: []Event{{
				At: time.Second,
				Do: func(f *Fleet) { f.SetFailing(0, true) },
			}},
		},
		{
			Name: "all targets unreachable",
			Load: 0.6,
			Events: []Event{{
				At: 0,
				Do: func(f *Fleet) { f.SetAllUnreachable(true) },
			}},
			Measured: outageDuration,
		},
		{
			Name: "all targets fail",
			Load: 0.6,
			Events: []Event{{
				At: 0,
				Do: func(f *Fleet) { f.SetAllFailing(true) },
			}},
			Measured: outageDuration,
		},
	}
}

// outageDuration is the measured duration of a full outage.
const outageDuration = 5 * time.Second

// Baseline returns the baseline policy.
func Baseline() Policy {
	return Policy{
		Name:     "round robin, naive retry",
		Baseline: true,
	}
}

// defaultQueueSize is the default maximum number of requests that wait at a target.
const defaultQueueSize = 64

// DaemonPolicy returns the policy of a daemon.
func DaemonPolicy() Policy {
	return Policy{
		Name:      "limiter, balancer, retrier",
		MaxQueued: defaultQueueSize,
	}
}

// shortTimeout is a call timeout that leaves little time for waiting in a queue.
const shortTimeout = 400 * time.Millisecond

// Loads returns cases without events, for the comparison of variants.
func Loads() []Case {
	return []Case{
		{Name: "load 0.60", Load: 0.6},
		{Name: "load 0.90", Load: 0.9},
		{Name: "load 0.90, 400 ms", Load: 0.9, CallTimeout: shortTimeout},
		{Name: "load 1.25", Load: 1.25},
		{Name: "load 1.25, 400 ms", Load: 1.25, CallTimeout: shortTimeout},
	}
}

// Warmups returns the case of joining cold targets with several warm-up speeds.
func Warmups() []Case {
	var cases []Case
	for _, step := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		c := Cases()[2]
		c.Name = "a slot every " + step.String()
		c.SlotWarmup = step
		cases = append(cases, c)
	}
	return cases
}

// longQueueSize is large enough for all requests that a case can queue.
const longQueueSize = 1000

// AlternativePolicies returns alternatives to DaemonPolicy: other queue sizes, removal
// of queued requests after a timeout, and replicas of idempotent calls. Once one replica
// starts, the others are cancelled (Bogatyrev et al., "The Timeliness of the
// Reserved Service in the Cluster", GraphiCon 2021).
func AlternativePolicies() []Policy {
	return []Policy{
		{Name: "no queue"},
		{Name: "queue of 4", MaxQueued: 4},
		{Name: "queue of 16", MaxQueued: 16},
		{Name: "long queue, destroyed when too late to run", MaxQueued: longQueueSize},
		{Name: "long queue, destroyed at the deadline", MaxQueued: longQueueSize, QueueTimeout: untilDeadline},
		{Name: "long queue, exponential patience", MaxQueued: longQueueSize, QueueTimeout: exponentialTimeout},
		{Name: "two replicas, cancelled after 1 ms", MaxQueued: defaultQueueSize, Replicas: 2, CancelDelay: time.Millisecond},
		{Name: "two replicas, cancelled after 16 ms", MaxQueued: defaultQueueSize, Replicas: 2, CancelDelay: 16 * time.Millisecond},
	}
}

// untilDeadline returns the time left until the deadline as the queue timeout.
func untilDeadline(_ *rand.Rand, left time.Duration) time.Duration { return left }

// exponentialTimeout draws the queue timeout of the paper's model: it is distributed
// exponentially, with the time left until the deadline as its mean.
func exponentialTimeout(random *rand.Rand, left time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(left))
}
