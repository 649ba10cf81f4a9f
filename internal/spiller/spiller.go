// Package spiller decides what share of a rule's requests leaves the own zone.
//
// Requests leave if the targets of the own zone are expected to respond too late for the
// objective, and those of another zone earlier by more than the transfer costs, unless that
// zone is short as well. The share changes gradually, so that the zones do not exchange the
// same overflow in turn.
package spiller

import "time"

// Parameters of the decision.
const (
	// highSlack and lowSlack are the fractions of the time between the service time and
	// the objective that requests may wait in the own zone before more of them leave, and
	// below which fewer do. The rest is left for requests that take longer than the mean.
	highSlack = 0.15
	lowSlack  = 0.05
	// shortSlack is the fraction of that time above which the other zones count as short.
	// turnedAwaySlack is the one above which the own zone does for a request that targets
	// there have turned away.
	shortSlack      = 0.5
	turnedAwaySlack = 0.33
	// rate is the largest change of the share per second, which applies if a response time
	// is beyond its bound by the whole time between the service time and the objective.
	// minRate is the smallest change.
	rate    = 0.5
	minRate = 0.1
	// maxStep is the longest time for which a share changes at once.
	maxStep = 200 * time.Millisecond
	// probeShare is the largest share while the load of the other zones is not known.
	probeShare = 0.05
	// maxReportAge is the age at which the reports of another zone's targets are ignored.
	maxReportAge = 2 * time.Second
	// smoothing is the time constant of the average response times.
	smoothing = 300 * time.Millisecond
	// stale is the age at which a share is forgotten.
	stale = 5 * time.Second
	// transfer and transferPerKB are the cost of a request between zones and of each
	// kilobyte, as the gain in response time that they have to bring.
	transfer      = 20 * time.Millisecond
	transferPerKB = 2500 * time.Microsecond
)

// TransferCost returns the cost of sending a number of bytes between zones, as the gain in
// response time that makes up for it.
func TransferCost(bytes int) time.Duration {
	return transfer + transferPerKB*time.Duration(bytes>>10)
}

// Demand describes the requests of a rule.
type Demand struct {
	// Objective is the time within which a response should be sent, and ServiceTime the
	// mean service time.
	Objective, ServiceTime time.Duration
	// Bytes is the size of a request's body and of the response's.
	Bytes int
}

// slack returns the time between the service time and the objective.
func (d Demand) slack() time.Duration {
	return max(time.Millisecond, d.Objective-d.ServiceTime)
}

// bound returns the response time of a request that waits for a fraction of the slack.
func (d Demand) bound(fraction float64) time.Duration {
	return d.ServiceTime + time.Duration(fraction*float64(d.slack()))
}

// Stays reports whether requests are held back in their own zone: if the time that they may
// wait there is worth the transfer.
func (d Demand) Stays() bool {
	return d.bound(highSlack)-d.ServiceTime >= TransferCost(0)
}

// MayLeave reports whether a request that targets of its own zone have turned away may leave
// it, by the expected response times at the best of the others there and elsewhere: if the
// own zone is short and the other zones are not.
func (d Demand) MayLeave(own, other time.Duration) bool {
	return own > d.bound(turnedAwaySlack) && other <= d.bound(shortSlack)
}

// change returns the change of a share within a time for a response time that is beyond its
// bound by excess.
func (d Demand) change(excess, within time.Duration) float64 {
	return within.Seconds() * min(rate, max(minRate, rate*float64(excess)/float64(d.slack())))
}

// Zone describes the targets of one zone, or of several.
type Zone struct {
	// Usable means that some target accepts requests.
	Usable bool
	// Expected is the expected response time at the best of them.
	Expected time.Duration
	// ReportAge is the age of the latest report of a target's load.
	ReportAge time.Duration
}

// Spill is the share of a rule's requests that leaves the own zone, with the state that it
// depends on. It is immutable. The zero Spill lets none leave.
type Spill struct {
	// Share is a fraction from 0 to 1.
	Share float64
	// Own and Other are the average expected response times in the own zone and in the
	// others.
	Own, Other time.Duration

	at time.Time
}

// With returns the share after a request at the time now, for which the targets of the own
// and of the other zones were compared.
func (s Spill) With(now time.Time, d Demand, own, other Zone) Spill {
	if !own.Usable || !other.Usable {
		return s
	}
	elapsed := now.Sub(s.at)
	if s.at.IsZero() || elapsed > stale {
		return Spill{
			Own:   own.Expected,
			Other: other.Expected,
			at:    now,
		}
	}
	s.at = now
	weight := min(1, float64(elapsed)/float64(smoothing))
	s.Own += time.Duration(weight * float64(own.Expected-s.Own))
	s.Other += time.Duration(weight * float64(other.Expected-s.Other))
	high, low := d.bound(highSlack), d.bound(lowSlack)
	there := s.Other + TransferCost(d.Bytes)
	excess := max(there-s.Own, low-s.Own, s.Other-d.bound(shortSlack))
	step := min(elapsed, maxStep)
	switch {
	case excess > 0:
		s.Share = max(0, s.Share-d.change(excess, step))
	case s.Own > high && s.Own-there > high-low:
		s.Share = max(s.Share, min(s.Share+d.change(s.Own-high, step), maxShare(other)))
	}
	return s
}

// maxShare returns the largest share that may leave for targets of other zones.
func maxShare(other Zone) float64 {
	if other.ReportAge > maxReportAge {
		return probeShare
	}
	return 1
}
