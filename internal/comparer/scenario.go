package comparer

import "time"

// Conditions contains the conditions on which a scenario's fault depends.
type Conditions struct {
	// Share is the new version's share of the traffic in percent.
	Share int
	// Elapsed is the time since that share took effect.
	Elapsed time.Duration
}

// Scenario is one kind of simulated rollout.
type Scenario struct {
	Name string
	// Good means that the expected outcome is completion. Otherwise the
	// rollout is expected to be rolled back.
	Good bool
	// Rate is the number of the service's calls per second. A fifth of them
	// use a second route.
	Rate float64
	// Bad returns the fraction of bad calls of the new or the old version on
	// a route.
	Bad func(c Conditions, isNew bool, route int) float64
	// DetectionDelay is the delay from the start of a bad call until it is known to
	// be bad.
	DetectionDelay time.Duration
	// DetectableInSeconds means that enough calls are bad for a verdict within seconds.
	DetectableInSeconds bool
	// Outages means that the platform is down for minutes. The seed selects
	// the step at which the outage begins; with some seeds there is none.
	Outages bool
}

const (
	// oldBadShare is the old version's fraction of bad calls.
	oldBadShare = 0.01
	// largeRate is the call rate per second of a service at the design size,
	// smallRate at the size of the existing services.
	largeRate = 1400
	smallRate = 137
)

// constantFault returns a fault of the new version that starts with the first call.
func constantFault(share float64) func(Conditions, bool, int) float64 {
	return func(_ Conditions, isNew bool, _ int) float64 {
		if isNew {
			return share
		}
		return oldBadShare
	}
}

// conditionalFault returns a fault of the new version that occurs under a condition.
func conditionalFault(share float64, occurs func(c Conditions, route int) bool) func(Conditions, bool, int) float64 {
	return func(c Conditions, isNew bool, route int) float64 {
		if isNew && occurs(c, route) {
			return share
		}
		return oldBadShare
	}
}

// delayedFault returns a fault that starts ten seconds after the new version got all
// calls.
func delayedFault(share float64) func(Conditions, bool, int) float64 {
	return conditionalFault(share, func(c Conditions, _ int) bool {
		return c.Share == 100 && c.Elapsed > 10*time.Second
	})
}

// sharedFault is a fault of both versions that lasts three seconds.
func sharedFault(c Conditions, _ bool, _ int) float64 {
	if c.Share == 50 && c.Elapsed > 3*time.Second && c.Elapsed < 6*time.Second {
		return 0.5
	}
	return oldBadShare
}

// Scenarios returns the scenarios in which the detectors are compared.
func Scenarios() []Scenario {
	underLoad := func(c Conditions, _ int) bool { return c.Share >= 50 }
	onSecondRoute := func(_ Conditions, route int) bool { return route == 1 }
	equallyNoisy := func(Conditions, bool, int) float64 { return 0.04 }
	return []Scenario{
		goodScenario("good", largeRate, constantFault(oldBadShare)),
		goodScenario("good, small service", smallRate, constantFault(oldBadShare)),
		goodScenario("good, noisy like the old one", largeRate, equallyNoisy),
		goodScenario("good, old and new fail together", largeRate, sharedFault),
		goodScenario("good, outage or none", largeRate, constantFault(oldBadShare)).withOutages(),
		goodScenario("good, 1 call/s, outage or none", 1, constantFault(oldBadShare)).withOutages(),
		badScenario("bad at once, 100%", largeRate, constantFault(1)).withDetectableInSeconds(),
		badScenario("bad at once, 30%", largeRate, constantFault(0.3)).withDetectableInSeconds(),
		badScenario("bad at once, 5%", largeRate, constantFault(0.05)),
		badScenario("bad at once, 100%, small service", smallRate, constantFault(1)),
		badScenario("bad at once, 100%, 1 call/s", 1, constantFault(1)),
		badScenario("bad later, 10%", largeRate, delayedFault(0.1)).withDetectableInSeconds(),
		badScenario("bad later, 30%, outage or none", largeRate, delayedFault(0.3)).withDetectableInSeconds().withOutages(),
		badScenario("bad under load, 50%", largeRate, conditionalFault(0.5, underLoad)).withDetectableInSeconds(),
		badScenario("bad on one route, 30%", largeRate, conditionalFault(0.3, onSecondRoute)),
		badScenario("slow, not failing", largeRate, constantFault(1)).withDetectableInSeconds().withDetectionDelay(300 * time.Millisecond),
	}
}

func goodScenario(name string, rate float64, fault func(Conditions, bool, int) float64) Scenario {
	return Scenario{
		Name: name,
		Good: true,
		Rate: rate,
		Bad:  fault,
	}
}

func badScenario(name string, rate float64, fault func(Conditions, bool, int) float64) Scenario {
	return Scenario{
		Name: name,
		Rate: rate,
		Bad:  fault,
	}
}

func (s Scenario) withDetectableInSeconds() Scenario {
	s.DetectableInSeconds = true
	return s
}

func (s Scenario) withOutages() Scenario {
	s.Outages = true
	return s
}

func (s Scenario) withDetectionDelay(delay time.Duration) Scenario {
	s.DetectionDelay = delay
	return s
}
