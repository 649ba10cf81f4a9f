// Package gater computes the share of new requests that a data centre gets: 0
// while it is evacuated, and a rising share after the evacuation has ended.
package gater

import "time"

// Setting records whether an operator has evacuated a data centre, and since
// when.
type Setting struct {
	DataCentre string
	// Evacuated means that the data centre is evacuated and gets no new requests.
	Evacuated bool
	// Since is the time of the operator's last change.
	Since time.Time
}

// Ramp-up after the end of an evacuation.
const (
	// RampDuration is the time until the data centre gets its full share.
	RampDuration = 30 * time.Second
	// rampStartShare is the minimum share during the ramp.
	rampStartShare = 0.05
)

// Gate holds the latest setting for each data centre. It is immutable. The zero
// value does not limit any data centre.
type Gate struct {
	settings map[string]Setting
}

// New returns a gate with the latest of the given settings for each data
// centre.
func New(settings ...Setting) Gate {
	g := Gate{settings: make(map[string]Setting, len(settings))}
	for _, s := range settings {
		previous, ok := g.settings[s.DataCentre]
		if !ok || s.Since.After(previous.Since) {
			g.settings[s.DataCentre] = s
		}
	}
	return g
}

// Setting returns the latest setting for a data centre, if there is one.
func (g Gate) Setting(dataCentre string) (Setting, bool) {
	s, ok := g.settings[dataCentre]
	return s, ok
}

// Evacuated reports whether the data centre is evacuated.
func (g Gate) Evacuated(dataCentre string) bool { return g.settings[dataCentre].Evacuated }

// Unlimited reports whether every data centre gets its full share. If so, Share
// need not be called for each request.
func (g Gate) Unlimited(now time.Time) bool {
	for name := range g.settings {
		if g.Share(name, now) < 1 {
			return false
		}
	}
	return true
}

// Share returns the fraction of its normal requests that the data centre gets at
// the time now, 0 to 1.
func (g Gate) Share(dataCentre string, now time.Time) float64 {
	s, ok := g.settings[dataCentre]
	if !ok {
		return 1
	}
	if s.Evacuated {
		return 0
	}
	share := float64(now.Sub(s.Since)) / float64(RampDuration)
	return min(1, max(rampStartShare, share))
}
