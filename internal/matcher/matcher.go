// Package matcher finds the rule of a plan that applies to a request.
//
// A plan is one version of the operators' routing configuration: hosts with their
// rules, services, and limits for clients' requests. Plans are immutable.
package matcher

import (
	"slices"
	"strings"
	"time"
)

// Kind states whether a request may run more than once.
type Kind uint8

// Kinds of requests. The zero value is the more restrictive one.
const (
	// NonIdempotent means that a request runs at most once.
	NonIdempotent Kind = iota
	// Idempotent means that a request may be retried after it may have run.
	Idempotent
)

// WeightedService is one of the services that a rule splits its requests between.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the rule's other services.
	Weight float64
}

// Rule applies to the requests under one path prefix of a host.
type Rule struct {
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits has at least one entry.
	Splits []WeightedService
	// Timeout is the longest time that a client waits for a response.
	Timeout time.Duration
	// Objective is the time within which a response should be sent.
	Objective time.Duration
	// MaxAttempts bounds the attempts of one request that may reach a target.
	MaxAttempts int
	// Priority 0 is the highest.
	Priority int
	// Public means that requests need no key.
	Public bool
}

// Patience returns the ratio of the rule's timeout to its objective, or 0 if it has none.
func (r Rule) Patience() float64 {
	if r.Objective <= 0 {
		return 0
	}
	return float64(r.Timeout) / float64(r.Objective)
}

// Service holds what operators declare about a service's targets.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold target can take, or 0
	// if there is no bound.
	ColdRate float64
	// Connections is the number of connections that a target accepts, or 0 if there is no
	// bound.
	Connections int
}

// Limits bounds what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one version of the operators' routing configuration. Plans are immutable.
type Plan struct {
	// Version is higher than those of all earlier plans.
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Patience is the largest ratio of a rule's timeout to its objective, over the rules that
	// have one. Clients of such a rule have the time to come back after a rejection.
	Patience float64
	// Keys is nil if requests need no key.
	Keys  *KeySet
	hosts map[string][]Rule
}

// New returns a plan with the given rules for each host.
func New(version uint64, limits Limits, services []Service, hosts map[string][]Rule) *Plan {
	p := &Plan{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]Rule, len(hosts)),
	}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	for host, rules := range hosts {
		sorted := slices.Clone(rules)
		slices.SortStableFunc(sorted, func(a, b Rule) int { return len(b.Prefix) - len(a.Prefix) })
		p.hosts[strings.ToLower(host)] = sorted
		for _, r := range rules {
			p.Patience = max(p.Patience, r.Patience())
		}
	}
	return p
}

// Match returns the rule with the longest prefix of path. It ignores the case
// and the port of host.
func (p *Plan) Match(host, path string) (*Rule, bool) {
	rules, ok := p.hosts[strings.ToLower(host)]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			rules = p.hosts[strings.ToLower(name)]
		}
	}
	for i := range rules {
		if strings.HasPrefix(path, rules[i].Prefix) {
			return &rules[i], true
		}
	}
	return nil, false
}

// LongestTimeout returns the longest timeout of all rules.
func (p *Plan) LongestTimeout() time.Duration {
	var longest time.Duration
	for _, rules := range p.hosts {
		for _, r := range rules {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Splitter distributes a rule's requests over its services by weighted round robin.
// After any number of requests, the number that each service got is close to its
// share. With five or more services the difference can exceed one. It is not safe for concurrent use.
type Splitter struct {
	// credit is the accumulated weight of each service. The weights of all
	// services are subtracted from it when the service gets a request.
	credit []float64
}

// Next returns the index of the service that gets the next request.
func (s *Splitter) Next(splits []WeightedService) int {
	if len(s.credit) != len(splits) {
		s.credit = make([]float64, len(splits))
	}
	var sum float64
	best := 0
	for i, p := range splits {
		s.credit[i] += p.Weight
		sum += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= sum
	return best
}
