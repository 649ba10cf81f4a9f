package applier

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Entry is one entry of the configuration log: the change from the state at
// Revision-1 to the state at Revision.
type Entry struct {
	Revision uint64 `json:"rev"`
	// ID identifies one commit. A writer that got no answer to its commit compares
	// ID with the entry in the log to learn whether the commit succeeded.
	ID string `json:"id"`
	// Author is the name of the operator or daemon that committed the entry.
	Author string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
	// Base and Result are the digests of the states before and after the change.
	Base   Digest `json:"base"`
	Result Digest `json:"result"`
	Change Change `json:"change"`
}

// Change is the content of an entry.
type Change struct {
	// Services are added, or replace those with the same names.
	Services []parser.Service `json:"services,omitempty"`
	// Removed are the names of services to remove.
	Removed []string `json:"removed,omitempty"`
	// Moves are new statuses of moves.
	Moves []MoveStatus `json:"moves,omitempty"`
	// Zones are data centres that are taken out of service or returned to it.
	Zones []Zone `json:"zones,omitempty"`
	// Homes is the new list of home data centres, or nil if it does not change.
	Homes *Homes `json:"homes,omitempty"`
}

// Empty reports whether the change has no content.
func (c Change) Empty() bool {
	return len(c.Services)+len(c.Removed)+len(c.Moves)+len(c.Zones) == 0 && c.Homes == nil
}

// NewEntry returns the entry that applies the change to s, or an error if the resulting
// state would be invalid.
func (s *State) NewEntry(id, author string, at time.Time, c Change) (Entry, error) {
	normalised, err := c.normalised()
	if err != nil {
		return Entry{}, err
	}
	next, err := s.with(normalised)
	if err != nil {
		return Entry{}, Class.Wrap(err)
	}
	return Entry{
		Revision: next.revision,
		ID:       id,
		Author:   author,
		At:       at,
		Base:     s.digest,
		Result:   next.digest,
		Change:   normalised,
	}, nil
}

// Apply returns the state that results from the entry. It returns an error if the
// entry is not the next one, its base or result digest differs, or the resulting
// state would be invalid. s is not modified.
func (s *State) Apply(e Entry) (*State, error) {
	if e.Revision != s.revision+1 {
		return nil, Class.New("entry %d does not follow revision %d", e.Revision, s.revision)
	}
	if e.Base != s.digest {
		return nil, Class.New("entry %d: base digest %s, state has %s", e.Revision, e.Base, s.digest)
	}
	next, err := s.with(e.Change)
	if err != nil {
		return nil, Class.New("entry %d: %w", e.Revision, err)
	}
	if next.digest != e.Result {
		return nil, Class.New("entry %d: result digest %s, got %s", e.Revision, e.Result, next.digest)
	}
	return next, nil
}

// Kinds of items in the digest.
const (
	kindService = "service"
	kindMove    = "move"
	kindZone    = "zone"
	kindHomes   = "homes"
	kindHistory = "past"
)

// putItem adds or replaces an item in a map and returns the updated digest.
func putItem[T any](d Digest, kind string, items map[string]T, name string, item T) Digest {
	d = removeItem(d, kind, items, name)
	items[name] = item
	return d.toggled(kind, name, item)
}

// removeItem removes an item from a map and returns the updated digest.
func removeItem[T any](d Digest, kind string, items map[string]T, name string) Digest {
	old, ok := items[name]
	if !ok {
		return d
	}
	delete(items, name)
	return d.toggled(kind, name, old)
}

func clone[T any](items map[string]T) map[string]T {
	if items == nil {
		return map[string]T{}
	}
	return maps.Clone(items)
}

// changedServices returns the names of the services that the change adds, replaces
// or removes, or whose moves it updates.
func (c Change) changedServices() []string {
	names := slices.Clone(c.Removed)
	for _, svc := range c.Services {
		names = append(names, svc.Name)
	}
	for _, m := range c.Moves {
		names = append(names, m.Service)
	}
	return names
}

// with returns the state after the change, or an error if it breaks a rule. It
// checks only rules that the change can break, given that s is valid.
func (s *State) with(c Change) (*State, error) {
	if err := c.checkNames(); err != nil {
		return nil, err
	}
	n := &State{
		revision:        s.revision + 1,
		digest:          s.digest,
		services:        clone(s.services),
		moves:           clone(s.moves),
		zones:           clone(s.zones),
		homes:           clone(s.homes),
		pastMoves:       clone(s.pastMoves),
		index:           s.index.clone(),
		changedServices: c.changedServices(),
	}
	n.removeFromIndex(c)
	for _, name := range c.Removed {
		n.digest = removeItem(n.digest, kindService, n.services, name)
		n.digest = removeItem(n.digest, kindMove, n.moves, name)
		n.digest = removeItem(n.digest, kindHistory, n.pastMoves, name)
	}
	for _, svc := range c.Services {
		n.putService(svc)
		if err := n.index.addService(svc); err != nil {
			return nil, err
		}
	}
	for _, m := range c.Moves {
		n.digest = putItem(n.digest, kindMove, n.moves, m.Service, m)
	}
	for _, z := range c.Zones {
		n.digest = putItem(n.digest, kindZone, n.zones, z.DataCentre, z)
	}
	if c.Homes != nil {
		n.digest = putItem(n.digest, kindHomes, n.homes, homesItem, *c.Homes)
	}
	if err := n.checkChange(s, c); err != nil {
		return nil, err
	}
	return n, nil
}

// removeFromIndex removes the services that the change removes or replaces from the
// index, so that one change can transfer a route from one service to another.
func (s *State) removeFromIndex(c Change) {
	for _, name := range c.Removed {
		s.index.removeService(s.services[name])
	}
	for _, svc := range c.Services {
		s.index.removeService(s.services[svc.Name])
	}
}

// putService adds or replaces a service. It keeps the status of its move if the move
// is the same, and otherwise replaces it by that of the new move, if any. The status
// of a move that has ended is added to the past moves.
func (s *State) putService(svc parser.Service) {
	s.digest = putItem(s.digest, kindService, s.services, svc.Name, svc)
	old, ok := s.moves[svc.Name]
	if ok && svc.Move != nil && sameMove(old.Move, *svc.Move) {
		return
	}
	if ok && old.Phase.Final() {
		s.digest = putItem(s.digest, kindHistory, s.pastMoves, svc.Name, s.pastMoves[svc.Name].with(old))
	}
	if svc.Move == nil {
		s.digest = removeItem(s.digest, kindMove, s.moves, svc.Name)
		return
	}
	s.digest = putItem(s.digest, kindMove, s.moves, svc.Name, MoveStatus{
		Service: svc.Name,
		Move:    *svc.Move,
		Phase:   Pending,
	})
}

// sameMove reports whether two declarations describe the same move.
func sameMove(a, b parser.Move) bool {
	return a.To == b.To && a.By.Equal(b.By)
}
