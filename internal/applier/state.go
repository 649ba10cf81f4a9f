// Package applier defines the configuration of the mesh: the immutable State, and
// the log entries that change one state into the next.
//
// An entry is applied completely or not at all. Its base digest must be that of the
// state, the resulting state must be valid, and the digest of the result must match.
package applier

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Class is the error class of this package.
var Class = errs.Class("applier")

// Phase is the stage that a move has reached.
type Phase string

const (
	// Pending means that the new version has no traffic yet.
	Pending Phase = "pending"
	// Running means that the new version has a share of the traffic.
	Running Phase = "running"
	// Done means that the new version has all traffic. The phase is final.
	Done Phase = "done"
	// RolledBack means that the move was rolled back and the new version has no
	// traffic. The phase is final.
	RolledBack Phase = "taken-back"
)

// Final reports whether the phase is final.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// MoveStatus is the committed status of the move of a service to a new version.
type MoveStatus struct {
	Service string `json:"service"`
	// Move is the declaration of the move.
	Move  parser.Move `json:"move"`
	Phase Phase       `json:"phase"`
	// Step is the number of steps taken.
	Step int `json:"step"`
	// Share is the share of the traffic that version Move.To has, in percent.
	Share int `json:"share"`
	// Since is when the phase or step was committed.
	Since time.Time `json:"since"`
	// Reason is why the move was rolled back.
	Reason string `json:"reason,omitempty"`
	// Keeper is the daemon that committed the status.
	Keeper string `json:"keeper,omitempty"`
}

// Zone records whether operators have taken a data centre out of service.
type Zone struct {
	DataCentre string `json:"dc"`
	// Evacuated means that the data centre gets no new work.
	Evacuated bool `json:"out"`
	// Since is when Evacuated was set. The traffic of a data centre that returns to
	// service is ramped up from then.
	Since time.Time `json:"since"`
}

// MoveHistory is the list of a service's ended moves that were replaced by others or
// removed from its declaration, oldest first.
type MoveHistory struct {
	Service string       `json:"service"`
	Moves   []MoveStatus `json:"moves"`
}

// maxPastMoves bounds the past moves that are kept for a service.
const maxPastMoves = 5

// with returns a copy with one more move. The oldest move is dropped if there are
// more than maxPastMoves.
func (h MoveHistory) with(m MoveStatus) MoveHistory {
	moves := append(slices.Clone(h.Moves), m)
	return MoveHistory{
		Service: m.Service,
		Moves:   moves[max(0, len(moves)-maxPastMoves):],
	}
}

// Homes is the list of home data centres. The idempotency keys of non-idempotent
// requests are assigned to them.
type Homes struct {
	DataCentres []string `json:"dcs"`
	// Previous is the list that this one replaced.
	Previous []string `json:"former,omitempty"`
	// Published is when the list was published.
	Published time.Time `json:"since"`
}

// State is the configuration at one revision. It is immutable. The zero value is the
// empty configuration at revision 0.
type State struct {
	revision uint64
	digest   Digest
	services map[string]parser.Service
	moves    map[string]MoveStatus
	zones    map[string]Zone
	index    index
	// pastMoves maps services to their past moves.
	pastMoves map[string]MoveHistory
	// changedServices are the names that ChangedServices returns.
	changedServices []string
	// homes has at most one item, under homesItem.
	homes map[string]Homes
}

// Revision returns the revision of the log entry that the state results from.
func (s *State) Revision() uint64 { return s.revision }

// Digest returns the digest of the contents of the state.
func (s *State) Digest() Digest { return s.digest }

// ChangedServices returns the names of the services that the last entry added, replaced or
// removed, or whose moves it updated. It is empty if the state was restored from a
// snapshot.
func (s *State) ChangedServices() []string { return s.changedServices }

// Service returns a service by name.
func (s *State) Service(name string) (parser.Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Services returns the services, sorted by name.
func (s *State) Services() []parser.Service {
	names := slices.Sorted(maps.Keys(s.services))
	services := make([]parser.Service, 0, len(names))
	for _, name := range names {
		services = append(services, s.services[name])
	}
	return services
}

// Move returns the status of the move of a service.
func (s *State) Move(service string) (MoveStatus, bool) {
	m, ok := s.moves[service]
	return m, ok
}

// Moves returns the statuses of all moves, sorted by service.
func (s *State) Moves() []MoveStatus {
	names := slices.Sorted(maps.Keys(s.moves))
	moves := make([]MoveStatus, 0, len(names))
	for _, name := range names {
		moves = append(moves, s.moves[name])
	}
	return moves
}

// MoveHistories returns the past moves of all services, sorted by service.
func (s *State) MoveHistories() []MoveHistory {
	names := slices.Sorted(maps.Keys(s.pastMoves))
	histories := make([]MoveHistory, 0, len(names))
	for _, name := range names {
		histories = append(histories, s.pastMoves[name])
	}
	return histories
}

// Zone returns the zone of a data centre, if operators have set one.
func (s *State) Zone(dataCentre string) (Zone, bool) {
	z, ok := s.zones[dataCentre]
	return z, ok
}

// Zones returns the zones that operators have set, sorted by data centre.
func (s *State) Zones() []Zone {
	names := slices.Sorted(maps.Keys(s.zones))
	zones := make([]Zone, 0, len(names))
	for _, name := range names {
		zones = append(zones, s.zones[name])
	}
	return zones
}

// homesItem is the key of the only item in State.homes.
const homesItem = "homes"

// Homes returns the list of home data centres; it is empty until one is published.
func (s *State) Homes() Homes { return s.homes[homesItem] }

// Shares returns the shares of the traffic in force for the versions of a service:
// the declared ones, adjusted by the progress of a move. They add up to 100.
func (s *State) Shares(service string) []parser.Version {
	svc, ok := s.services[service]
	if !ok {
		return nil
	}
	m, ok := s.moves[service]
	if !ok || m.Share == 0 {
		return slices.Clone(svc.Versions)
	}
	return sharesDuringMove(svc.Versions, m.Move.To, m.Share)
}

// sharesDuringMove returns the declared shares scaled down so that newVersion gets
// the given share. The rounding remainder is added to the first scaled share that is
// not zero, or to the last one.
func sharesDuringMove(declared []parser.Version, newVersion string, share int) []parser.Version {
	shares := make([]parser.Version, 0, len(declared)+1)
	available := 100 - share
	remainder := available
	for _, v := range declared {
		if v.Name == newVersion {
			continue
		}
		scaled := v.Share * available / 100
		remainder -= scaled
		shares = append(shares, parser.Version{Name: v.Name, Share: scaled})
	}
	for i := range shares {
		if shares[i].Share > 0 || i == len(shares)-1 {
			shares[i].Share += remainder
			break
		}
	}
	return append(shares, parser.Version{Name: newVersion, Share: share})
}
