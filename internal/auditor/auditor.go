// Package auditor checks a plan before operators send it: errors, entries that can never
// match, limits that contradict each other, and what differs from the plan in force.
//
// The package does no I/O. It knows a plan's entries by their keys in the operators' text,
// so that each finding names its place.
package auditor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

// Level states what follows from a finding.
type Level string

// Levels of findings.
const (
	// Invalid means that the daemons refuse the plan, or part of it has no meaning.
	Invalid Level = "error"
	// Unreachable means that an entry can never match.
	Unreachable Level = "unreachable"
	// Contradiction means that two limits can't both take effect.
	Contradiction Level = "contradiction"
)

// Finding is one fault of a plan.
type Finding struct {
	Level Level
	// Key is the key of the entry in the operators' text, Field the part of a rule, or
	// empty, and Line the line, or 0 if the key tells it.
	Key   string
	Field Field
	Line  int
	Text  string
}

// Host is the name of a host.
type Host struct {
	Key  string
	Name string
}

// Rule is a rule of a host.
type Rule struct {
	Key  string
	Host string
	matcher.Rule
}

// Service is a declared service.
type Service struct {
	Key string
	matcher.Service
}

// Customer is a customer with the secret keys of its callers, which no finding shows.
type Customer struct {
	Key     string
	Name    string
	Secrets []string
}

// Plan is a plan with the keys of its entries.
type Plan struct {
	Version   uint64
	Limits    matcher.Limits
	Hosts     []Host
	Rules     []Rule
	Services  []Service
	Customers []Customer
}

// Field is a part of a rule.
type Field uint8

// Fields of a rule. The zero value means the whole entry.
const (
	Whole Field = iota
	Prefix
	Split
	Timeout
	Attempts
)

// limitsKey is the key of the limits.
const limitsKey = "limits"

// Audit returns the findings of a plan, in the order of its entries. memory is the memory of
// the smallest VM's daemon in bytes, or 0 if it is unknown.
func Audit(p Plan, memory int64) []Finding {
	a := &audit{plan: p}
	a.checkLimits(memory)
	a.checkHosts()
	a.checkRules()
	a.checkServices()
	a.checkCustomers()
	return a.findings
}

// audit collects the findings of a plan.
type audit struct {
	plan     Plan
	findings []Finding
}

func (a *audit) add(l Level, key, format string, args ...any) {
	a.addField(l, key, Whole, format, args...)
}

func (a *audit) addField(l Level, key string, f Field, format string, args ...any) {
	a.findings = append(a.findings, Finding{
		Level: l,
		Key:   key,
		Field: f,
		Text:  fmt.Sprintf(format, args...),
	})
}

func (a *audit) checkLimits(memory int64) {
	l := a.plan.Limits
	if l.HeaderBytes <= 0 || l.BodyBytes <= 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		a.add(Invalid, limitsKey, "want positive sizes and timeouts")
	}
	if memory > 0 && l.BodyBytes > memory {
		a.add(Contradiction, limitsKey, "a body of %d bytes is more than the %d bytes of a daemon", l.BodyBytes, memory)
	}
}

func (a *audit) checkHosts() {
	first := map[string]string{}
	for _, h := range a.plan.Hosts {
		name := strings.ToLower(h.Name)
		switch {
		case name == "" || strings.ContainsAny(name, "/ \t"):
			a.add(Invalid, h.Key, "host %q: want a name", h.Name)
		case first[name] != "":
			a.add(Invalid, h.Key, "host %q is declared at %s already", h.Name, first[name])
		default:
			first[name] = h.Key
		}
	}
}

func (a *audit) checkRules() {
	services := map[string]bool{}
	for _, s := range a.plan.Services {
		services[s.Name] = true
	}
	first := map[string]string{}
	for _, r := range a.plan.Rules {
		a.checkPrefix(r, first)
		a.checkSplits(r, services)
		a.checkTimes(r)
	}
}

// checkPrefix checks a rule's prefix. first holds the keys of the rules seen so far by host
// and prefix. Only an equal prefix hides a rule, because the longest one is selected.
func (a *audit) checkPrefix(r Rule, first map[string]string) {
	place := strings.ToLower(r.Host) + " " + r.Prefix
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		a.addField(Invalid, r.Key, Prefix, "prefix %q: want one that begins and ends with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# \t"):
		a.addField(Unreachable, r.Key, Prefix, "prefix %q: no path has such a character", r.Prefix)
	case first[place] != "":
		a.addField(Unreachable, r.Key, Prefix, "prefix %q of this host is that of %s, which gets all its requests", r.Prefix, first[place])
	default:
		first[place] = r.Key
	}
}

func (a *audit) checkSplits(r Rule, services map[string]bool) {
	seen := map[string]bool{}
	var sum float64
	for _, s := range r.Splits {
		sum += max(0, s.Weight)
		switch {
		case !services[s.Service]:
			a.addField(Invalid, r.Key, Split, "service %q is not declared", s.Service)
		case s.Weight < 0:
			a.addField(Invalid, r.Key, Split, "service %q has the negative weight %v", s.Service, s.Weight)
		case s.Weight == 0:
			a.addField(Unreachable, r.Key, Split, "service %q has the weight 0", s.Service)
		case seen[s.Service]:
			a.addField(Contradiction, r.Key, Split, "service %q has two weights", s.Service)
		}
		seen[s.Service] = true
	}
	if sum == 0 {
		a.addField(Invalid, r.Key, Split, "no service gets the rule's requests")
	}
}

func (a *audit) checkTimes(r Rule) {
	switch {
	case r.Timeout <= 0:
		a.addField(Invalid, r.Key, Timeout, "want a positive timeout")
		return
	case r.Objective > r.Timeout:
		a.addField(Contradiction, r.Key, Timeout, "the timeout of %v is shorter than the objective of %v", r.Timeout, r.Objective)
	}
	// The last attempt begins when those before it have taken as long as the objective.
	if begins := time.Duration(r.MaxAttempts-1) * r.Objective; r.MaxAttempts > 1 && begins >= r.Timeout {
		a.addField(Contradiction, r.Key, Attempts, "after %d attempts of %v the timeout of %v has passed", r.MaxAttempts-1, r.Objective, r.Timeout)
	}
	if r.MaxAttempts < 1 {
		a.addField(Invalid, r.Key, Attempts, "want at least 1 attempt")
	}
}

func (a *audit) checkServices() {
	used := map[string]bool{}
	for _, r := range a.plan.Rules {
		for _, s := range r.Splits {
			used[s.Service] = true
		}
	}
	first := map[string]string{}
	for _, s := range a.plan.Services {
		switch {
		case s.Name == "":
			a.add(Invalid, s.Key, "want a name")
		case first[s.Name] != "":
			a.add(Invalid, s.Key, "service %q is declared at %s already", s.Name, first[s.Name])
		case !used[s.Name]:
			a.add(Unreachable, s.Key, "no rule sends requests to service %q", s.Name)
		}
		if s.ColdRate < 0 {
			a.add(Invalid, s.Key, "service %q has a negative rate while cold", s.Name)
		}
		if s.Connections < 0 {
			a.add(Invalid, s.Key, "service %q has a negative number of connections", s.Name)
		}
		first[s.Name] = s.Key
	}
}

func (a *audit) checkCustomers() {
	names, holders := map[string]string{}, map[string]string{}
	for _, c := range a.plan.Customers {
		switch {
		case c.Name == "":
			a.add(Invalid, c.Key, "want a name")
		case names[c.Name] != "":
			a.add(Invalid, c.Key, "customer %q is declared at %s already", c.Name, names[c.Name])
		case len(c.Secrets) == 0:
			a.add(Unreachable, c.Key, "customer %q has no key", c.Name)
		}
		names[c.Name] = c.Key
		for i, secret := range c.Secrets {
			holder, held := holders[secret]
			switch {
			case secret == "":
				a.add(Invalid, c.Key, "key %d of customer %q is empty", i, c.Name)
			case held && holder == c.Key:
				a.add(Contradiction, c.Key, "key %d of customer %q is there twice", i, c.Name)
			case held:
				a.add(Invalid, c.Key, "key %d of customer %q is held by %s too", i, c.Name, holder)
			}
			holders[secret] = c.Key
		}
	}
}

// HasErrors reports whether one of the findings is Invalid.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Level == Invalid })
}
