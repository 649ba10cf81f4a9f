package judge

import (
	"math"
	"slices"
)

// Parameters of the sequential test.
const (
	// FalsePositiveRate is the maximum probability that a good version is found
	// bad in a rollout.
	FalsePositiveRate = 1.0 / 200
	// minBadShare is the minimum share of bad calls at which a version can be
	// found bad.
	minBadShare = 0.02
	// toleratedRatio is the maximum ratio of a good new version's share of bad
	// calls to that of the old version.
	toleratedRatio = 2.0
	// longWindowCalls is the number of calls of the old version over which its
	// share of bad calls is measured. The window starts with priorCalls assumed
	// calls, of which a share of minBadShare/toleratedRatio is bad.
	longWindowCalls = 5000
	priorCalls      = 100
	// shortWindowCalls is the number of calls of the window that detects a
	// recent rise in the old version's share.
	shortWindowCalls = 20
	// noiseDeviations is the number of standard deviations by which the lower
	// bound of the share in the short window is below that share.
	noiseDeviations = 1.0
)

// betFractions are the fractions of the current value that the test bets on the
// next call being bad.
var betFractions = [...]float64{0.04, 0.12, 0.3, 0.7}

// window counts about the last maxCalls calls of the old version.
type window struct {
	maxCalls, calls, bad float64
}

// add adds the calls of a period. A period with at least maxCalls calls
// replaces the window's contents.
func (w *window) add(c Count) {
	if c.Calls == 0 {
		return
	}
	kept := min(w.calls, max(0, w.maxCalls-float64(c.Calls)))
	if w.calls > 0 {
		w.bad *= kept / w.calls
	}
	w.calls = kept + float64(c.Calls)
	w.bad += float64(c.Bad)
}

// baselineRate estimates the old version's share of bad calls on one route.
type baselineRate struct {
	long, short window
}

func newBaselineRate() baselineRate {
	return baselineRate{
		long: window{
			maxCalls: longWindowCalls,
			calls:    priorCalls,
			bad:      priorCalls * minBadShare / toleratedRatio,
		},
		short: window{maxCalls: shortWindowCalls},
	}
}

func (r *baselineRate) add(c Count) {
	r.long.add(c)
	r.short.add(c)
}

// badShare returns the old version's share of bad calls: the larger of the share
// in the long window and a lower bound of the share in the short window.
func (r *baselineRate) badShare() float64 {
	long := r.long.bad / r.long.calls
	if r.short.calls < shortWindowCalls {
		return long
	}
	recent := r.short.bad / r.short.calls
	deviation := math.Sqrt(recent * (1 - recent) / r.short.calls)
	return min(1, max(long, recent-noiseDeviations*deviation))
}

// maxGoodShare returns the largest share of bad calls at which the new version
// is as good as the old one.
func (r *baselineRate) maxGoodShare() float64 {
	p := r.badShare()
	return max(minBadShare, min(toleratedRatio*p, (1+p)/2))
}

// martingale is a test martingale of bets on bad calls, starting at 1, with one
// value for each bet size. It is a supermartingale while the version is good.
type martingale struct {
	logValues [len(betFractions)]float64
	// counts are the calls since the bets started.
	counts Count
}

// add bets on the calls of a period, at odds that are fair for a version whose
// share of bad calls is exactly maxGoodShare.
func (w *martingale) add(c Count, maxGoodShare float64) {
	bad := float64(c.Bad)
	good := float64(c.Calls - c.Bad)
	for i, s := range betFractions {
		w.logValues[i] += bad*math.Log1p(s*(1-maxGoodShare)/maxGoodShare) + good*math.Log1p(-s)
	}
	w.counts = w.counts.Plus(c)
}

// clampAtOne sets each value below 1 back to 1, which restarts its bets.
func (w *martingale) clampAtOne() {
	allBelowOne := true
	for i, l := range w.logValues {
		allBelowOne = allBelowOne && l <= 0
		w.logValues[i] = max(0, l)
	}
	if allBelowOne {
		w.counts = Count{}
	}
}

// logMean returns the logarithm of the mean of the values.
func (w *martingale) logMean() float64 {
	largest := slices.Max(w.logValues[:])
	sum := 0.0
	for _, l := range w.logValues {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(betFractions)))
}

// test is the sequential test of whether the new version's calls on one route
// are bad more often than maxGoodShare allows.
type test struct {
	baselineRate baselineRate
	// sinceRise is set to 1 when the new version's share rises. It detects
	// faults that appear with the larger share.
	sinceRise martingale
	// cusum is set back to 1 whenever it falls below 1, as in a CUSUM test.
	// It detects a fault that appears late as fast as one that was always
	// present.
	cusum martingale
}

// add adds the calls of the old and of the new version in one period.
func (t *test) add(baseline, canary Count) {
	t.baselineRate.add(baseline)
	if canary.Calls == 0 {
		return
	}
	maxGoodShare := t.baselineRate.maxGoodShare()
	t.sinceRise.add(canary, maxGoodShare)
	t.cusum.add(canary, maxGoodShare)
	t.cusum.clampAtOne()
}

// thresholds are the logarithms of the values at which a version is found bad.
type thresholds struct {
	sinceRise, cusum float64
}

// thresholdsFor returns the thresholds for the numbers of rises and of
// restarts, each summed over all routes. By Ville's inequality and a union
// bound over all starts, a good version reaches one of the thresholds with a
// probability of at most FalsePositiveRate. Each of the two thresholds gets half
// of that probability.
func thresholdsFor(rises, restarts float64) thresholds {
	return thresholds{
		sinceRise: math.Log(2 * rises / FalsePositiveRate),
		cusum:     math.Log(2 * restarts / FalsePositiveRate),
	}
}

// exceeded reports whether a threshold was reached, and returns the calls since
// the start of the bets that reached it.
func (t *test) exceeded(b thresholds) (Count, bool) {
	if t.sinceRise.logMean() >= b.sinceRise {
		return t.sinceRise.counts, true
	}
	return t.cusum.counts, t.cusum.logMean() >= b.cusum
}
