package router_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// state returns a state with the given services.
func state(t *testing.T, services ...parser.Service) *applier.State {
	t.Helper()
	s := new(applier.State)
	e, err := s.NewEntry("id", "test", time.Time{}, applier.Change{Services: services})
	if err != nil {
		t.Fatal(err)
	}
	if s, err = s.Apply(e); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMatch(t *testing.T) {
	table := router.NewTable(state(
		t,
		parser.Service{
			Name:     "root",
			Versions: []parser.Version{{Name: "v1", Share: 100}},
			Routes:   []parser.Route{{Path: "/"}, {Path: "/a/b", Methods: []string{"POST"}}},
		},
		parser.Service{
			Name:     "a",
			Versions: []parser.Version{{Name: "v1", Share: 25}, {Name: "v2", Share: 75}},
			Routes:   []parser.Route{{Path: "/a"}, {Path: "/c/", Methods: []string{"GET"}}},
		},
	))
	tests := []struct{ method, path, service string }{
		{"GET", "/", "root"},
		{"GET", "/ab", "root"},
		{"GET", "/a", "a"},
		{"GET", "/a/", "a"},
		{"GET", "/a/b", "a"},
		{"POST", "/a/b", "root"},
		{"POST", "/a/b/c", "root"},
		{"GET", "/c/d", "a"},
		{"PUT", "/c/d", "root"},
		{"GET", "/c", "root"},
	}
	for _, tt := range tests {
		m, ok := table.Match(tt.method, tt.path)
		if !ok || m.Service != tt.service {
			t.Errorf("Match(%s %s) = %q, %t; want %q", tt.method, tt.path, m.Service, ok, tt.service)
		}
	}
	if _, ok := table.Match("GET", ""); ok {
		t.Error("Match for an empty path = ok true, want false")
	}
	for point, want := range map[float64]string{0: "v1", 0.2499: "v1", 0.25: "v2", 0.9999: "v2"} {
		if got, _ := table.Version("a", point); got != want {
			t.Errorf("Version(%v) = %q, want %q", point, got, want)
		}
	}
	other := table.WithShares("a", []parser.Version{{Name: "v1", Share: 100}})
	if got, _ := other.Version("a", 0.9); got != "v1" {
		t.Errorf("Version after WithShares = %q, want v1", got)
	}
	if got, _ := table.Version("a", 0.9); got != "v2" {
		t.Errorf("WithShares changed its receiver: Version = %q, want v2", got)
	}
}

// TestNext builds tables incrementally from random log entries and compares
// each with a table that is built from the whole state.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := new(applier.State)
		table := router.NewTable(s)
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			e, err := s.NewEntry(fmt.Sprint(i), "test", time.Time{}, drawChange(t, s))
			if err != nil {
				continue
			}
			if s, err = s.Apply(e); err != nil {
				t.Fatal(err)
			}
			table = table.Next(s)
			if !reflect.DeepEqual(table, router.NewTable(s)) {
				t.Fatalf("after entry %+v, the table differs from the one built from the state, want equal tables", e.Change)
			}
		}
	})
}

// drawChange returns a random change that adds, replaces or removes one
// service.
func drawChange(t *rapid.T, s *applier.State) applier.Change {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	if _, ok := s.Service(name); ok && rapid.Bool().Draw(t, "removed") {
		return applier.Change{Removed: []string{name}}
	}
	share := rapid.IntRange(0, 100).Draw(t, "share")
	path := rapid.SampledFrom([]string{"/x", "/y", "/z"}).Draw(t, "path")
	return applier.Change{Services: []parser.Service{{
		Name:     name,
		Versions: []parser.Version{{Name: "v1", Share: share}, {Name: "v2", Share: 100 - share}},
		Routes:   []parser.Route{{Path: path}},
	}}}
}
