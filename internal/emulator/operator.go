package emulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// IdleTimeout is the idle timeout of clients' connections in the operator's plans.
const IdleTimeout = 15 * time.Second

// Host is the Host header of the requests that a Client sends.
const Host = "a.example"

// Class is the error class of this package.
var Class = errs.Class("emulator")

// Route is a rule of a configuration that Records.Declare writes.
type Route struct {
	Prefix string
	// Kind is safe, unsafe or upload.
	Kind    string
	Service string
	// TimeoutMs is the timeout of a request in milliseconds; 0 means 2000.
	TimeoutMs int
	// ObjectiveMs is the time within which requests should be answered, in milliseconds; 0
	// means 300.
	ObjectiveMs int
	// Public means that requests need no key.
	Public bool
}

// Customer is a customer in a configuration, with the keys of its clients.
type Customer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Values in the configurations that Records.Declare writes.
const (
	routeTimeoutMs   = 2000
	routeObjectiveMs = 300
	routeAttempts    = 2
	warmupSeconds    = 1
	// MaxConns is the number of connections that a target accepts.
	MaxConns = 100
	// ColdRate is the maximum rate of a target that warms up, in requests per
	// second.
	ColdRate = 10
)

// Declare writes a configuration of the given version, as an operator does, and
// returns its revision in the store.
func (r *Records) Declare(version int, routes ...Route) (uint64, error) {
	return r.DeclareFor(nil, version, routes...)
}

// DeclareFor is like Declare, with customers. Requests need no keys if it is nil.
func (r *Records) DeclareFor(customers []Customer, version int, routes ...Route) (uint64, error) {
	services := map[string]bool{}
	var rules, clusters []map[string]any
	for i, route := range routes {
		if route.TimeoutMs == 0 {
			route.TimeoutMs = routeTimeoutMs
		}
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r%d", i), "kind": route.Kind, "target_latency_ms": cmp.Or(route.ObjectiveMs, routeObjectiveMs), "priority": 1, "public": route.Public,
			"match":  map[string]any{"prefix": route.Prefix},
			"action": map[string]any{"service": route.Service, "timeout_ms": route.TimeoutMs, "attempts": routeAttempts},
		})
		if !services[route.Service] {
			services[route.Service] = true
			clusters = append(clusters, map[string]any{
				"name": route.Service, "max_conns": MaxConns, "warmup_s": warmupSeconds, "warmup_per_s": ColdRate,
			})
		}
	}
	config := map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": IdleTimeout.Milliseconds()},
		"listeners": []any{map[string]any{"host": Host, "rules": rules}},
		"clusters":  clusters,
	}
	if customers != nil {
		config["tenants"] = customers
	}
	data, err := json.Marshal(config)
	if err != nil {
		return 0, Class.Wrap(err)
	}
	return r.Put("op/config", data), nil
}

// Order requests a move of a service to a version within a period, in seconds.
func (r *Records) Order(service, version string, seconds int) error {
	data, err := json.Marshal(map[string]any{"service": service, "target_version": version, "period_s": seconds})
	if err != nil {
		return Class.Wrap(err)
	}
	r.Put("op/rollout/"+service, data)
	return nil
}

// Outcome returns the state of a service's move that is written in the store, or
// "" if there is none.
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

// Evacuate requests the evacuation of a zone. If evacuate is false, it withdraws
// the request.
func (r *Records) Evacuate(zone string, evacuate bool) {
	if evacuate {
		r.Put("op/evacuate/"+zone, []byte("{}"))
		return
	}
	r.Delete("op/evacuate/" + zone)
}

// Registered reports whether a daemon is registered in the store.
func (r *Records) Registered(daemon string) bool {
	_, ok := r.Value("coltsfootlane/daemons/" + daemon)
	return ok
}

// Base is the prefix of URL paths in reports to daemons and calls to the store.
const Base = "/coltsfootlane/"

// parseEcho splits the body of a Backend's response into the instance, the path
// and the body of the request.
func parseEcho(body string) (instance, path, requestBody string, ok bool) {
	parts := strings.SplitN(body, " ", 3)
	if len(parts) != 3 {
		return "", "", "", false
	}
	return parts[0], parts[1], parts[2], true
}
