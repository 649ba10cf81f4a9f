package parser

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Upper bounds of the durations in an operator file.
const (
	maxTimeout  = 10 * time.Minute
	maxStepTime = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// RuleError reports that a service violates a validation rule.
type RuleError struct {
	// Token is the offending key or value. It is used to find the line.
	Token  string
	Reason string
}

// Error returns the reason.
func (e *RuleError) Error() string { return e.Reason }

func ruleErrorf(token, format string, args ...any) error {
	return &RuleError{Token: token, Reason: fmt.Sprintf(format, args...)}
}

// Check returns a RuleError for the first rule that s violates, or nil. It
// considers neither other services nor the current time.
func (s Service) Check() error {
	checks := []func() error{
		s.checkName,
		s.checkVersions,
		s.checkRoutes,
		s.checkDependencies,
		s.checkMove,
		s.checkObjectives,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s Service) checkName() error {
	if !namePattern.MatchString(s.Name) {
		return ruleErrorf("name", "name %q: want 1 to 63 of a-z, 0-9, '-' and '.'", s.Name)
	}
	return nil
}

func (s Service) checkVersions() error {
	if n := len(s.Versions); n == 0 || n > MaxVersions {
		return ruleErrorf("versions", "%d versions: want 1 to %d", n, MaxVersions)
	}
	sum := 0
	seen := map[string]bool{}
	for _, v := range s.Versions {
		if !namePattern.MatchString(v.Name) {
			return ruleErrorf("versions", "version name %q: want 1 to 63 of a-z, 0-9, '-' and '.'", v.Name)
		}
		if seen[v.Name] {
			return ruleErrorf(v.Name, "version %q is declared twice", v.Name)
		}
		if v.Share < 0 || v.Share > 100 {
			return ruleErrorf(v.Name, "version %q: share %d is not in 0 to 100", v.Name, v.Share)
		}
		seen[v.Name] = true
		sum += v.Share
	}
	if sum != 100 {
		return ruleErrorf("versions", "shares sum to %d, not 100", sum)
	}
	return nil
}

func (s Service) checkRoutes() error {
	if n := len(s.Routes); n == 0 || n > MaxRoutes {
		return ruleErrorf("routes", "%d routes: want 1 to %d", n, MaxRoutes)
	}
	seen := map[string]bool{}
	for _, r := range s.Routes {
		if err := r.check(); err != nil {
			return err
		}
		for _, key := range r.Patterns() {
			if seen[key] {
				return ruleErrorf(r.Path, "route %s is declared twice", key)
			}
			seen[key] = true
		}
	}
	return nil
}

// AnyMethod is the method in the pattern of a route that matches all methods.
const AnyMethod = "*"

// Patterns returns the "METHOD path" pairs that the route matches. Each pair may
// be declared only once in the mesh.
func (r Route) Patterns() []string {
	if len(r.Methods) == 0 {
		return []string{AnyMethod + " " + r.Path}
	}
	patterns := make([]string, 0, len(r.Methods))
	for _, m := range r.Methods {
		patterns = append(patterns, m+" "+r.Path)
	}
	return patterns
}

func (r Route) check() error {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# ") || len(r.Path) > 256 {
		return ruleErrorf("path", "path %q: want a prefix that starts with '/', up to 256 bytes", r.Path)
	}
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || strings.ContainsAny(m, " *") {
			return ruleErrorf("methods", "method %q: want an HTTP method in capitals", m)
		}
	}
	if d := r.Timeout.Duration; d < 0 || d > maxTimeout {
		return ruleErrorf("limit", "limit %v is not in 0 to %v", d, maxTimeout)
	}
	return nil
}

func (s Service) checkDependencies() error {
	for _, n := range s.Dependencies {
		if n == s.Name {
			return ruleErrorf("needs", "service %q needs itself", n)
		}
	}
	return nil
}

func (s Service) checkMove() error {
	if s.Move == nil {
		return nil
	}
	m := s.Move
	if !namePattern.MatchString(m.To) {
		return ruleErrorf("to", "move to %q: invalid version name", m.To)
	}
	for _, v := range s.Versions {
		if v.Name == m.To && v.Share > 0 {
			return ruleErrorf("to", "move to %q, which already has a share of %d%%", m.To, v.Share)
		}
	}
	if m.By.IsZero() {
		return ruleErrorf("move", "the move has no deadline in \"by\"")
	}
	if h := m.Hold.Duration; h < 0 || h > maxStepTime {
		return ruleErrorf("hold", "hold %v is not in 0 to %v", h, maxStepTime)
	}
	return checkSteps(m.Plan())
}

func checkSteps(steps []int) error {
	last := 0
	for _, n := range steps {
		if n <= last || n > 100 {
			return ruleErrorf("steps", "steps %v: want strictly rising shares in percent, up to 100", steps)
		}
		last = n
	}
	if last != 100 {
		return ruleErrorf("steps", "steps %v do not end at 100", steps)
	}
	return nil
}

func (s Service) checkObjectives() error {
	if g := s.Objectives.GoodShare; g < 0 || g >= 1 {
		return ruleErrorf("good", "good %v: want at least 0 and less than 1", g)
	}
	if s.Objectives.MaxLatency.Duration < 0 {
		return ruleErrorf("late", "late %v is negative", s.Objectives.MaxLatency.Duration)
	}
	return nil
}
