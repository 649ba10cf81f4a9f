// Package prober implements group membership: it tracks the daemons of the
// mesh, their addresses and the targets that they announce.
//
// Inside a data centre it follows SWIM: daemons probe each other, suspect
// members that don't answer, and spread updates by gossip. Between data
// centres, a few gateways of each exchange their differences. A Prober has no
// sockets or timers. The caller runs it at every tick and with every message,
// and sends the messages that it returns.
package prober

import (
	"encoding/binary"
	"net/netip"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a daemon as seen by its peers. Within one incarnation
// a higher status supersedes a lower one.
type Status uint8

const (
	// Alive means that the daemon answers probes.
	Alive Status = iota
	// Suspect means that the daemon did not answer and can still refute the
	// suspicion.
	Suspect
	// Dead means that the daemon did not refute a suspicion in time.
	Dead
	// Left means that the daemon announced its own shutdown.
	Left
)

var statusNames = [...]string{
	Alive:   "alive",
	Suspect: "suspect",
	Dead:    "dead",
	Left:    "left",
}

// String returns the name of the status in lower case.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Member describes one daemon and the target that it announces. Values are
// immutable.
type Member struct {
	// ID is the name of the VM.
	ID string `json:"id"`
	DC string `json:"dc"`
	// Admit is the address for forwarded requests and Control the address for
	// messages between daemons, both as IP:port.
	Admit   string `json:"admit"`
	Control string `json:"control"`
	// Incarnation increases with every change that the daemon makes to its own
	// entry. A restarted daemon starts from the clock in milliseconds, above
	// its earlier incarnations.
	Incarnation uint64 `json:"inc"`
	Status      Status `json:"status,omitempty"`
	// Target is the announced target. It is nil if there is none.
	Target *Target `json:"target,omitempty"`
}

// Target describes the target that a daemon announces.
type Target struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Slots is the target's concurrency limit in requests.
	Slots int `json:"slots"`
	// Draining means that the target takes no new requests.
	Draining bool `json:"draining,omitempty"`
	// Instance identifies one start of the target. It is empty if targets have
	// no instance IDs.
	Instance string `json:"instance,omitempty"`
	// StartedAt is the time at which the target started, in Unix milliseconds, or 0 if it
	// is unknown. A restarted target may use the same instance ID.
	StartedAt int64 `json:"started,omitempty"`
	// Withdrawn means that the daemon has declared the target's version bad.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Calls counts the target's responses during the rollout of its version whose
	// record has the revision Rollout. Failures counts the failed ones among them, Timed
	// those whose duration was judged and Slow the slow ones among those. They are
	// published after each failure and, at intervals, after slow responses.
	Calls    int    `json:"calls,omitempty"`
	Failures int    `json:"faults,omitempty"`
	Timed    int    `json:"timed,omitempty"`
	Slow     int    `json:"slow,omitempty"`
	Rollout  uint64 `json:"rollout,omitempty"`
	// RolloutEra is the era of that revision, or 0 if it is unknown.
	RolloutEra uint64 `json:"rolloutera,omitempty"`
}

// WithStatus returns a copy of m with the given status.
func (m Member) WithStatus(s Status) Member {
	m.Status = s
	return m
}

// WithTarget returns a copy of m that announces a copy of t, or no target if t
// is nil.
func (m Member) WithTarget(t *Target) Member {
	m.Target = nil
	if t != nil {
		c := *t
		m.Target = &c
	}
	return m
}

// Supersedes reports whether m is newer than o: it has a higher incarnation, or
// the same incarnation and a higher status.
func (m Member) Supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Status > o.Status
}

// Limits on the fields of a received member.
const (
	maxNameBytes = 63
	maxSlots     = 10_000
)

// Valid reports whether all fields of the member are within their limits.
func (m Member) Valid() bool {
	return validName(m.ID) && validName(m.DC) && validAddress(m.Admit) && validAddress(m.Control) &&
		m.Status <= Left && (m.Target == nil || m.Target.valid())
}

func (t Target) valid() bool {
	return validName(t.Service) && validName(t.Version) && t.Slots >= 0 && t.Slots <= maxSlots &&
		len(t.Instance) <= maxNameBytes
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return s == "" || err == nil
}

// interned returns a copy of m whose data centre, service and version strings
// share memory with those of other members.
func (m Member) interned() Member {
	m.DC = unique.Make(m.DC).Value()
	if m.Target == nil {
		return m
	}
	t := *m.Target
	t.Service = unique.Make(t.Service).Value()
	t.Version = unique.Make(t.Version).Value()
	m.Target = &t
	return m
}

// sum returns the hash that the member contributes to a digest. It is 0 for a dead or
// departed member, so that removing its tombstone leaves the digest unchanged.
func (m Member) sum() uint64 {
	if m.Status > Suspect {
		return 0
	}
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 8+maxNameBytes), m.Incarnation)
	return xxhash.Sum64(append(data, m.ID...))
}

// version returns the fields of m that decide which of two entries is newer.
func (m Member) version() MemberVersion {
	return MemberVersion{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		Status:      m.Status,
	}
}

// Serves reports whether the member's target takes new requests.
func (m Member) Serves() bool {
	return m.Status <= Suspect && m.Target != nil && !m.Target.Draining
}
