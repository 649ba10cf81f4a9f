package parser

import (
	"slices"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "300ms".
type Duration struct{ time.Duration }

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration such as "1m30s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = parsed
	return nil
}

// Service is a service as declared in an operator file. Treat values as immutable:
// the With methods return modified copies.
type Service struct {
	// Name is unique in the mesh.
	Name string `json:"name"`
	// Versions are the target versions. Their shares sum to 100.
	Versions []Version `json:"versions"`
	// Routes match the requests that the service handles.
	Routes []Route `json:"routes"`
	// Dependencies contains the names of the services that this one calls.
	Dependencies []string `json:"needs,omitempty"`
	// Move is the declared rollout of another version, or nil.
	Move *Move `json:"move,omitempty"`
	// Objectives are the service-level objectives. The judge and the
	// error-budget report use them.
	Objectives Objectives `json:"goals,omitzero"`
}

// Version is a target version and its declared share of the traffic.
type Version struct {
	Name string `json:"name"`
	// Share is in percent, 0 to 100.
	Share int `json:"share"`
}

// Route matches requests by path prefix and method.
type Route struct {
	// Path is a path prefix. The match ends at a slash or at the end of the
	// request's path.
	Path string `json:"path"`
	// Methods are the HTTP methods; empty means all methods.
	Methods []string `json:"methods,omitempty"`
	// NonIdempotent marks the route's requests as non-idempotent: they must not be
	// retried if they may have run.
	NonIdempotent bool `json:"once,omitempty"`
	// Timeout is the timeout of a request; zero means DefaultTimeout.
	Timeout Duration `json:"limit,omitzero"`
}

// DefaultTimeout is the timeout of a route that declares none.
const DefaultTimeout = 5 * time.Second

// EffectiveTimeout returns the route's timeout, or DefaultTimeout if it declares none.
func (r Route) EffectiveTimeout() time.Duration {
	if r.Timeout.Duration == 0 {
		return DefaultTimeout
	}
	return r.Timeout.Duration
}

// Move declares a rollout: it shifts all traffic to another version in steps, up
// to a deadline.
type Move struct {
	// To is the version that gets all traffic at the end.
	To string `json:"to"`
	// By is the deadline at which the rollout is completed or rolled back.
	By time.Time `json:"by"`
	// Steps are the successive shares of To in percent. They rise strictly
	// and end at 100.
	Steps []int `json:"steps,omitempty"`
	// Hold is the minimum duration of a step.
	Hold Duration `json:"hold,omitzero"`
}

// defaultSteps are the steps of a rollout that declares none, in percent.
var defaultSteps = []int{1, 10, 50, 100}

// Plan returns a copy of the rollout's steps, or of the default ones.
func (m Move) Plan() []int {
	if len(m.Steps) == 0 {
		return slices.Clone(defaultSteps)
	}
	return slices.Clone(m.Steps)
}

// Objectives are the service-level objectives of a service.
type Objectives struct {
	// MaxLatency is the latency above which a response counts as late.
	MaxLatency Duration `json:"late,omitzero"`
	// GoodShare is the target fraction of calls that succeed and are not late. It
	// is at least 0 and less than 1.
	GoodShare float64 `json:"good,omitempty"`
}

// WithMove returns a copy of s with the rollout m, or without one if m is nil.
func (s Service) WithMove(m *Move) Service {
	s.Move = nil
	if m != nil {
		c := *m
		c.Steps = slices.Clone(m.Steps)
		s.Move = &c
	}
	return s
}

// WithVersions returns a copy of s with the versions vs.
func (s Service) WithVersions(vs ...Version) Service {
	s.Versions = slices.Clone(vs)
	return s
}
