// Package matcher finds the rule that a request falls under in the plan that is
// in force.
//
// A plan holds everything that operators declare at one version: hosts with
// their rules, services, and the limits of what clients may send. Plans are
// immutable.
package matcher

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// Kinds of requests. The zero value is the one that allows least.
const (
	// Once means that a request runs at most once.
	Once Kind = iota
	// Idempotent means that a request may be repeated.
	Idempotent
)

// Part is one of the services that a rule's requests are split between.
type Part struct {
	Service string
	// Weight is relative to those of the rule's other parts.
	Weight float64
}

// Rule says what becomes of the requests under one path prefix of a host.
type Rule struct {
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Parts has at least one entry.
	Parts []Part
	// Timeout is the longest time a client is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// Attempts bounds the targets that one request is sent to.
	Attempts int
	// Rank is the priority; 0 goes first.
	Rank int
}

// Service is what operators say of a service's targets.
type Service struct {
	Name string
	// ColdRate is the number of requests a second that a cold target bears.
	ColdRate float64
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is what operators have declared. Values are immutable.
type Plan struct {
	// Version rises with every plan.
	Version  uint64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]Rule
}

// New returns a plan of the rules of each host.
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
	}
	return p
}

// Match returns the rule with the longest prefix that begins the path.
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

// LongestTimeout returns the longest time-out of a rule.
func (p *Plan) LongestTimeout() time.Duration {
	var longest time.Duration
	for _, rules := range p.hosts {
		for _, r := range rules {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Splitter deals a rule's requests out to its parts so that, at any moment,
// each part's count is within one of its share. It is not safe for concurrent
// use.
type Splitter struct {
	credit []float64
}

// Next returns the index of the part that the next request goes to.
func (s *Splitter) Next(parts []Part) int {
	if len(s.credit) != len(parts) {
		s.credit = make([]float64, len(parts))
	}
	var sum float64
	best := 0
	for i, p := range parts {
		s.credit[i] += p.Weight
		sum += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= sum
	return best
}
