// Package gater computes how many new requests a data centre gets: none while
// it is evacuated, and a rising share after operators have brought it back.
package gater

import "time"

// Setting is an operator's setting for a data centre.
type Setting struct {
	DataCentre string
	// Evacuated means that the data centre is evacuated and gets no new requests.
	Evacuated bool
	// Since is the time at which the operator made the setting.
	Since time.Time
}

// Ramp of a data centre that operators have brought back.
const (
	// RampDuration is the time until the data centre gets its full share.
	RampDuration = 30 * time.Second
	// rampStartShare is the minimum share during the ramp.
	rampStartShare = 0.05
)

// Gate holds the latest setting for each data centre. It is immutable. The zero
// value does not limit any data centre.
type Gate struct {
	latest map[string]Setting
}

// New returns a gate with the latest of the given settings for each data
// centre.
func New(latest ...Setting) Gate {
	g := Gate{latest: make(map[string]Setting, len(latest))}
	for _, s := range latest {
		previous, ok := g.latest[s.DataCentre]
		if !ok || s.Since.After(previous.Since) {
			g.latest[s.DataCentre] = s
		}
	}
	return g
}

// Setting returns the latest setting for a data centre, if there is one.
func (g Gate) Setting(dataCentre string) (Setting, bool) {
	s, ok := g.latest[dataCentre]
	return s, ok
}

// Evacuated reports whether the data centre is evacuated.
func (g Gate) Evacuated(dataCentre string) bool { return g.latest[dataCentre].Evacuated }

// Unlimited reports whether every data centre gets its full share, in which case
// no request needs a check.
func (g Gate) Unlimited(now time.Time) bool {
	for name := range g.latest {
		if g.Share(name, now) < 1 {
			return false
		}
	}
	return true
}

// Share returns the fraction of its normal requests that the data centre gets at
// the time now, 0 to 1.
func (g Gate) Share(dataCentre string, now time.Time) float64 {
	s, ok := g.latest[dataCentre]
	if !ok {
		return 1
	}
	if s.Evacuated {
		return 0
	}
	share := float64(now.Sub(s.Since)) / float64(RampDuration)
	return min(1, max(rampStartShare, share))
}
