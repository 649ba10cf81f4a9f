// Package router finds the service, route and version for a request.
package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Match is the service and route of a request.
type Match struct {
	Service string
	Route   parser.Route
	// MaxLatency is the service's latency goal, or 0 if it has none.
	MaxLatency time.Duration
}

// Table maps requests to routes and versions for one configuration state. It is
// immutable.
type Table struct {
	revision uint64
	// matches is keyed by method and path, separated by a space.
	matches map[string]Match
	// shares is keyed by service.
	shares map[string][]parser.Version
}

// NewTable returns the table for a state.
func NewTable(s *applier.State) *Table {
	t := &Table{
		revision: s.Revision(),
		matches:  map[string]Match{},
		shares:   map[string][]parser.Version{},
	}
	for _, svc := range s.Services() {
		t.addService(s, svc)
	}
	return t
}

// Next returns the table for s. If s follows the table's state by one log
// entry, only the services that the entry changed are rebuilt. Otherwise, or if
// t is nil, the whole table is built.
func (t *Table) Next(s *applier.State) *Table {
	if t == nil || s.Revision() != t.revision+1 || len(s.ChangedServices()) == 0 {
		return NewTable(s)
	}
	changed := s.ChangedServices()
	next := &Table{
		revision: s.Revision(),
		matches:  maps.Clone(t.matches),
		shares:   maps.Clone(t.shares),
	}
	maps.DeleteFunc(next.matches, func(_ string, m Match) bool { return slices.Contains(changed, m.Service) })
	for _, name := range changed {
		delete(next.shares, name)
		if svc, ok := s.Service(name); ok {
			next.addService(s, svc)
		}
	}
	return next
}

// addService adds a service's routes and shares to a table under construction.
func (t *Table) addService(s *applier.State, svc parser.Service) {
	t.shares[svc.Name] = s.Shares(svc.Name)
	for _, r := range svc.Routes {
		for _, c := range r.Patterns() {
			t.matches[c] = Match{
				Service:    svc.Name,
				Route:      r,
				MaxLatency: svc.Objectives.MaxLatency.Duration,
			}
		}
	}
}

// WithShares returns a copy of the table with other traffic shares for the
// versions of a service.
func (t *Table) WithShares(service string, shares []parser.Version) *Table {
	c := &Table{
		revision: t.revision,
		matches:  t.matches,
		shares:   maps.Clone(t.shares),
	}
	c.shares[service] = slices.Clone(shares)
	return c
}

// Match returns the route whose path is the longest prefix of the request's path
// that ends at a segment boundary. A route for the method takes precedence over
// a route for any method with the same path.
func (t *Table) Match(method, path string) (Match, bool) {
	for prefix := path; prefix != ""; prefix = shorterPrefix(prefix) {
		if m, ok := t.matches[method+" "+prefix]; ok {
			return m, true
		}
		if m, ok := t.matches[parser.AnyMethod+" "+prefix]; ok {
			return m, true
		}
	}
	return Match{}, false
}

// shorterPrefix returns the next shorter prefix of path that ends with a slash
// or before one.
func shorterPrefix(path string) string {
	if strings.HasSuffix(path, "/") {
		return path[:len(path)-1]
	}
	return path[:strings.LastIndexByte(path, '/')+1]
}

// Version returns the version of a service selected by point, a number in [0, 1).
// The versions divide the interval [0, 1) in proportion to their shares. The second
// result is false if no version has a share at point.
func (t *Table) Version(service string, point float64) (string, bool) {
	remaining := point * 100
	for _, v := range t.shares[service] {
		remaining -= float64(v.Share)
		if remaining < 0 {
			return v.Name, true
		}
	}
	return "", false
}

// Shares returns the versions of a service with their traffic shares.
func (t *Table) Shares(service string) []parser.Version {
	return t.shares[service]
}
