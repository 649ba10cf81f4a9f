package applier

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// ValidationError reports a validation rule that a state would violate: an invalid
// service, move, zone or list of homes, or a reference to something that does not exist.
type ValidationError struct {
	// Service is the service at fault, or empty.
	Service string
	Reason  string
}

// Error returns the reason.
func (e *ValidationError) Error() string { return e.Reason }

func validationErrorf(service, format string, args ...any) error {
	return &ValidationError{
		Service: service,
		Reason:  fmt.Sprintf(format, args...),
	}
}

// Check checks the whole state. It returns an error for the first validation rule
// that the state violates.
func (s *State) Check() error {
	services := s.Services()
	if _, err := newIndex(services); err != nil {
		return Class.Wrap(err)
	}
	for _, svc := range services {
		if err := s.checkService(svc); err != nil {
			return Class.Wrap(err)
		}
	}
	for _, m := range s.Moves() {
		if err := s.checkMove(m); err != nil {
			return Class.Wrap(err)
		}
	}
	for _, p := range s.MoveHistories() {
		if err := s.checkMoveHistory(p); err != nil {
			return Class.Wrap(err)
		}
	}
	if h, ok := s.homes[homesItem]; ok {
		if err := h.check(); err != nil {
			return Class.Wrap(err)
		}
	}
	return Class.Wrap(checkZones(s.Zones()))
}

// checkChange returns an error for the first validation rule that s violates because
// of the change from old. It assumes that old violates none. Route patterns are checked
// when the index is updated.
func (s *State) checkChange(old *State, c Change) error {
	for _, svc := range c.Services {
		if err := s.checkService(svc); err != nil {
			return err
		}
	}
	for _, name := range c.Removed {
		if s.index.dependants[name] > 0 {
			return s.dependencyError(name)
		}
	}
	for _, m := range c.Moves {
		if err := s.checkMove(m); err != nil {
			return err
		}
		if err := old.checkNotFinal(m); err != nil {
			return err
		}
	}
	if c.Homes != nil {
		if err := old.checkHomes(*c.Homes); err != nil {
			return err
		}
	}
	return checkZones(c.Zones)
}

// checkMoveHistory rejects the history of a service that does not exist, an empty or
// too long history, and moves in it that have not ended or belong to another service.
func (s *State) checkMoveHistory(h MoveHistory) error {
	if _, ok := s.services[h.Service]; !ok {
		return validationErrorf(h.Service, "past moves of service %q, which does not exist", h.Service)
	}
	if len(h.Moves) == 0 || len(h.Moves) > maxPastMoves {
		return validationErrorf(h.Service, "%d past moves of service %s: want 1 to %d", len(h.Moves), h.Service, maxPastMoves)
	}
	for _, m := range h.Moves {
		if m.Service != h.Service || !m.Phase.Final() {
			return validationErrorf(h.Service, "move of service %s in phase %s is among the past moves of service %s", m.Service, m.Phase, h.Service)
		}
	}
	return nil
}

// MinHomesInterval is the minimum time between two changes of the list of home data
// centres. Idempotency keys are kept no longer than that, so claims at the former
// homes have expired before the list changes again.
const MinHomesInterval = time.Hour

// maxHomes bounds the list of home data centres.
const maxHomes = 256

func (h Homes) check() error {
	if len(h.DataCentres) == 0 || len(h.DataCentres) > maxHomes {
		return validationErrorf("", "%d home data centres: want 1 to %d", len(h.DataCentres), maxHomes)
	}
	names := slices.Sorted(slices.Values(h.DataCentres))
	if names[0] == "" || len(slices.Compact(names)) < len(h.DataCentres) {
		return validationErrorf("", "home data centres: a name is empty or listed twice")
	}
	return nil
}

// checkHomes rejects a list whose Previous is not the list in force, or that follows
// it before claims at the former homes have expired.
func (s *State) checkHomes(h Homes) error {
	if err := h.check(); err != nil {
		return err
	}
	old, ok := s.homes[homesItem]
	if !slices.Equal(h.Previous, old.DataCentres) {
		return validationErrorf("", "home data centres: the former list differs from the list in force")
	}
	if ok && h.Published.Sub(old.Published) < MinHomesInterval {
		return validationErrorf("", "home data centres were last changed at %s: want at least %s between changes", old.Published.Format(time.RFC3339), MinHomesInterval)
	}
	return nil
}

// checkService checks a service and that its dependencies exist.
func (s *State) checkService(svc parser.Service) error {
	if err := svc.Check(); err != nil {
		return validationErrorf(svc.Name, "service %s: %v", svc.Name, err)
	}
	for _, dependency := range svc.Dependencies {
		if _, ok := s.services[dependency]; !ok {
			return validationErrorf(svc.Name, "service %s needs %q, which does not exist", svc.Name, dependency)
		}
	}
	return nil
}

// dependencyError returns the error for the removal of a service that another service
// depends on.
func (s *State) dependencyError(removed string) error {
	for _, svc := range s.Services() {
		for _, dependency := range svc.Dependencies {
			if dependency == removed {
				return validationErrorf(svc.Name, "service %s needs %q, which does not exist", svc.Name, dependency)
			}
		}
	}
	return validationErrorf(removed, "service %q is still needed by another service", removed)
}

// checkMove checks a move status and that the service declares its move.
func (s *State) checkMove(m MoveStatus) error {
	svc, ok := s.services[m.Service]
	if !ok {
		return validationErrorf(m.Service, "move of service %q, which does not exist", m.Service)
	}
	if svc.Move == nil || !sameMove(*svc.Move, m.Move) {
		return validationErrorf(m.Service, "move of service %s to version %s differs from the declared move", m.Service, m.Move.To)
	}
	if m.Share < 0 || m.Share > 100 {
		return validationErrorf(m.Service, "move of service %s: share %d is not between 0 and 100", m.Service, m.Share)
	}
	switch m.Phase {
	case Pending, Running, Done, RolledBack:
		return nil
	default:
		return validationErrorf(m.Service, "move of service %s: unknown phase %q", m.Service, m.Phase)
	}
}

// checkNotFinal rejects a status that would change the outcome of a move that has
// ended.
func (s *State) checkNotFinal(m MoveStatus) error {
	old, ok := s.moves[m.Service]
	if !ok || !old.Phase.Final() || !sameMove(old.Move, m.Move) {
		return nil
	}
	if m.Phase != old.Phase || m.Share != old.Share {
		return validationErrorf(m.Service, "move of service %s has ended as %s and cannot change", m.Service, old.Phase)
	}
	return nil
}

func checkZones(zones []Zone) error {
	for _, z := range zones {
		if z.DataCentre == "" {
			return validationErrorf("", "zone without a data centre")
		}
	}
	return nil
}

// checkNames rejects a change that names an item twice, since its result would
// depend on the order.
func (c Change) checkNames() error {
	seen := map[string]bool{}
	addName := func(kind, item string) error {
		key := kind + "/" + item
		if seen[key] {
			return validationErrorf("", "change names %s %q twice", kind, item)
		}
		seen[key] = true
		return nil
	}
	for _, svc := range c.Services {
		if err := addName(kindService, svc.Name); err != nil {
			return err
		}
	}
	for _, removed := range c.Removed {
		if err := addName(kindService, removed); err != nil {
			return err
		}
	}
	for _, m := range c.Moves {
		if err := addName(kindMove, m.Service); err != nil {
			return err
		}
	}
	for _, z := range c.Zones {
		if err := addName(kindZone, z.DataCentre); err != nil {
			return err
		}
	}
	return nil
}
