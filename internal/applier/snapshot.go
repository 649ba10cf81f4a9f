package applier

import "github.com/coltsfootlane/coltsfootlane/pkg/parser"

// Snapshot is a whole state in the form in which it is stored and sent.
type Snapshot struct {
	Revision      uint64           `json:"rev"`
	Digest        Digest           `json:"digest"`
	Services      []parser.Service `json:"services,omitempty"`
	Moves         []MoveStatus     `json:"moves,omitempty"`
	Zones         []Zone           `json:"zones,omitempty"`
	Homes         *Homes           `json:"homes,omitempty"`
	MoveHistories []MoveHistory    `json:"past,omitempty"`
}

// Snapshot returns the snapshot of the state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{
		Revision:      s.revision,
		Digest:        s.digest,
		Services:      s.Services(),
		Moves:         s.Moves(),
		Zones:         s.Zones(),
		MoveHistories: s.MoveHistories(),
	}
	if h, ok := s.homes[homesItem]; ok {
		snap.Homes = &h
	}
	return snap
}

// Restore returns the state of a snapshot. It fails if the digest differs or the
// state is invalid.
func Restore(snap Snapshot) (*State, error) {
	s := &State{
		revision:  snap.Revision,
		services:  map[string]parser.Service{},
		moves:     map[string]MoveStatus{},
		zones:     map[string]Zone{},
		homes:     map[string]Homes{},
		pastMoves: map[string]MoveHistory{},
	}
	for _, svc := range snap.Services {
		s.digest = putItem(s.digest, kindService, s.services, svc.Name, svc)
	}
	for _, m := range snap.Moves {
		s.digest = putItem(s.digest, kindMove, s.moves, m.Service, m)
	}
	for _, z := range snap.Zones {
		s.digest = putItem(s.digest, kindZone, s.zones, z.DataCentre, z)
	}
	for _, p := range snap.MoveHistories {
		s.digest = putItem(s.digest, kindHistory, s.pastMoves, p.Service, p)
	}
	if snap.Homes != nil {
		s.digest = putItem(s.digest, kindHomes, s.homes, homesItem, *snap.Homes)
	}
	if s.digest != snap.Digest {
		return nil, Class.New("snapshot %d: digest %s, got %s", snap.Revision, snap.Digest, s.digest)
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	var err error
	s.index, err = newIndex(s.Services())
	return s, Class.Wrap(err)
}
