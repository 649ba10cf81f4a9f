package emulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Host is the host that clients of the stand-in platform ask for.
const Host = "a.example"

// Class is the class of the errors of this package.
var Class = errs.Class("emulator")

// Route is one rule of a configuration that the stand-in operator declares.
type Route struct {
	Prefix string
	// Kind is safe, unsafe or upload.
	Kind    string
	Service string
	// TimeoutMs is the time that a request may take; 0 means 2000.
	TimeoutMs int
}

// Limits of the stand-in operator's configurations.
const (
	routeTimeoutMs = 2000
	routeAttempts  = 2
	warmupSeconds  = 1
	// ColdRate is the number of requests a second that a cold target bears.
	ColdRate = 10
)

// Declare writes a configuration as the operator does, and returns its revision.
func (r *Records) Declare(version int, routes ...Route) (uint64, error) {
	services := map[string]bool{}
	var rules, clusters []map[string]any
	for i, route := range routes {
		if route.TimeoutMs == 0 {
			route.TimeoutMs = routeTimeoutMs
		}
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r%d", i), "kind": route.Kind, "target_latency_ms": 300, "priority": 1,
			"match":  map[string]any{"prefix": route.Prefix},
			"action": map[string]any{"service": route.Service, "timeout_ms": route.TimeoutMs, "attempts": routeAttempts},
		})
		if !services[route.Service] {
			services[route.Service] = true
			clusters = append(clusters, map[string]any{
				"name": route.Service, "max_conns": 100, "warmup_s": warmupSeconds, "warmup_per_s": ColdRate,
			})
		}
	}
	data, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": Host, "rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		return 0, Class.Wrap(err)
	}
	return r.Put("op/config", data), nil
}

// Order asks for a service to be moved to a version within a period.
func (r *Records) Order(service, version string, seconds int) error {
	data, err := json.Marshal(map[string]any{"service": service, "target_version": version, "period_s": seconds})
	if err != nil {
		return Class.Wrap(err)
	}
	r.Put("op/rollout/"+service, data)
	return nil
}

// Outcome returns what was written of a service's move, "" for nothing.
func (r *Records) Outcome(service string) (string, error) {
	value, ok := r.Value("status/rollout/" + service)
	if !ok {
		return "", nil
	}
	var s struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return "", Class.Wrap(err)
	}
	return s.State, nil
}

// Evacuate takes a zone out, or back in.
func (r *Records) Evacuate(zone string, out bool) {
	if out {
		r.Put("op/evacuate/"+zone, []byte("{}"))
		return
	}
	r.Delete("op/evacuate/" + zone)
}

// Registered reports whether the store holds a daemon's key.
func (r *Records) Registered(daemon string) bool {
	_, ok := r.Value("coltsfootlane/daemons/" + daemon)
	return ok
}

// Base is the path that the stand-in platform's calls to daemons begin with.
const Base = "/coltsfootlane/"

// echoed splits a target's answer into its parts.
func echoed(body string) (instance, path, sent string, ok bool) {
	parts := strings.SplitN(body, " ", 3)
	if len(parts) != 3 {
		return "", "", "", false
	}
	return parts[0], parts[1], parts[2], true
}
