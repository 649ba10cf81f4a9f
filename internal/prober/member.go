// Package prober keeps the membership: which daemons there are, where, and
// which targets they have announced.
//
// Inside a data centre the daemons probe each other, suspect those that stay
// silent and spread what is new as rumours. Between data centres a few
// gateways exchange what differs. The Prober is a core without sockets or
// timers: it is called at every tick and with every message, and returns the
// messages to send.
package prober

import (
	"encoding/binary"
	"net/netip"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// Status is what is believed of a daemon. Within an incarnation a later status
// supersedes an earlier one.
type Status uint8

const (
	// Alive means that the daemon answers.
	Alive Status = iota
	// Suspect means that it did not answer and may refute that.
	Suspect
	// Dead means that it has not refuted a suspicion.
	Dead
	// Left means that it has said that it leaves.
	Left
)

var statusNames = [...]string{
	Alive:   "alive",
	Suspect: "suspect",
	Dead:    "dead",
	Left:    "left",
}

// String returns the status's name.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Member is one daemon with the target that it has announced. Values are
// immutable.
type Member struct {
	// ID is the VM's name.
	ID string `json:"id"`
	DC string `json:"dc"`
	// Admit and Control are addresses as IP:port.
	Admit   string `json:"admit"`
	Control string `json:"control"`
	// Incarnation rises whenever the daemon says something new of itself. A
	// restarted daemon starts from the clock, above what it said before.
	Incarnation uint64 `json:"inc"`
	Status      Status `json:"status,omitempty"`
	// Target is the announced target, or nil.
	Target *Target `json:"target,omitempty"`
}

// Target is an announced target.
type Target struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Draining means that it takes no new work.
	Draining bool `json:"draining,omitempty"`
	// Instance identifies the target's start, where targets have such names.
	Instance string `json:"instance,omitempty"`
	// Withdrawn means that its daemon has found its version to be bad.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Calls and Faults count the answers, and the failures among them, since
	// its version is being moved to; they are told with each failure.
	Calls  int `json:"calls,omitempty"`
	Faults int `json:"faults,omitempty"`
}

// WithStatus returns a copy of m with another status.
func (m Member) WithStatus(s Status) Member {
	m.Status = s
	return m
}

// WithTarget returns a copy of m with another target, or none.
func (m Member) WithTarget(t *Target) Member {
	m.Target = nil
	if t != nil {
		c := *t
		m.Target = &c
	}
	return m
}

// Supersedes reports whether m is newer than o.
func (m Member) Supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Status > o.Status
}

// Bounds of what is accepted of a member.
const (
	maxNameBytes = 63
	maxSlots     = 10_000
)

// Valid reports whether the member is within bounds, whoever sent it.
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

// interned returns m with the strings that members have in common shared.
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

// sum is the member's part in a digest: none when it is gone, so that
// forgetting it changes no digest.
func (m Member) sum() uint64 {
	if m.Status > Suspect {
		return 0
	}
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 8+maxNameBytes), m.Incarnation)
	return xxhash.Sum64(append(data, m.ID...))
}

// version returns the part of m that says which is newer.
func (m Member) version() Version {
	return Version{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		Status:      m.Status,
	}
}

// Serves reports whether the member's target takes new work.
func (m Member) Serves() bool {
	return m.Status <= Suspect && m.Target != nil && !m.Target.Draining
}
