// Package spreader stores facts: observations that daemons exchange by gossip. A
// fact takes effect as soon as it is received, without a commit to the platform's
// log. No commit is needed because a fact only stops traffic to a version, a data
// centre or a request that crashes targets, or ends the evacuation of a data
// centre. For one kind and subject, the latest fact replaces the others.
//
// A daemon gossips a new fact to a few peers, and anti-entropy delivers it to
// those that missed it. Every fact expires.
package spreader

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Kind is the type of a fact.
type Kind string

const (
	// Withdrawn means that the rollout under way sends no more traffic to a
	// version. The subject is "service/version/deadline".
	Withdrawn Kind = "withdrawn"
	// DataCentreOut means that operators evacuated a data centre, and
	// DataCentreIn that they restored it. The subject is the name of the data
	// centre.
	DataCentreOut Kind = "dc-out"
	DataCentreIn  Kind = "dc-in"
	// Quarantined means that requests with a fingerprint crash targets. The
	// subject is "service/fingerprint".
	Quarantined Kind = "quarantined"
)

// Fact is one observation of a daemon. Values are immutable.
type Fact struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	// Detail is the reason or evidence, for operators.
	Detail string `json:"detail,omitempty"`
	// Origin is the name of the daemon that made the observation.
	Origin string `json:"origin,omitempty"`
	// At is the time of the observation. Of facts with the same kind and
	// subject the latest wins. A fact too far ahead of the local clock is
	// rejected.
	At time.Time `json:"at"`
	// Until is the time at which the fact expires.
	Until time.Time `json:"until"`
}

// maxLifetime limits how far in the future a fact may expire, whatever its
// origin set.
const maxLifetime = 7 * 24 * time.Hour

// maxFacts limits the facts in a store. Further ones are rejected.
const maxFacts = 10_000

// maxSkew is how far ahead of the local clock a fact's time may be. Without
// this limit, a fact from a fast clock would win over all later ones.
const maxSkew = time.Minute

// Size limits of a fact's texts, in bytes.
const (
	maxSubjectBytes = 512
	maxDetailBytes  = 1024
)

// Key returns a hash of the fact's kind, subject and time. It identifies the
// fact in anti-entropy.
func (f Fact) Key() uint64 {
	text := strconv.Quote(string(f.Kind)) + strconv.Quote(f.Subject) + strconv.FormatInt(f.At.UnixNano(), 10)
	return xxhash.Sum64String(text)
}

// acceptable reports whether the fact has not expired and is within its limits.
func (f Fact) acceptable(now time.Time) bool {
	return f.Until.After(now) && f.Until.Sub(now) <= maxLifetime && f.At.Sub(now) <= maxSkew &&
		len(f.Kind)+len(f.Subject) <= maxSubjectBytes && len(f.Detail)+len(f.Origin) <= maxDetailBytes
}

// subjectKey identifies what a fact is about.
type subjectKey struct {
	kind    Kind
	subject string
}

// storedFact is a fact with its cached Key.
type storedFact struct {
	Fact
	key uint64
}

// Store holds the facts known to a daemon. It is safe for concurrent use.
type Store struct {
	clock timekeeper.Clock

	mu    sync.Mutex
	facts map[subjectKey]storedFact
	// sum is the exclusive or of the keys of all facts.
	sum uint64
}

// NewStore returns an empty store.
func NewStore(clock timekeeper.Clock) *Store {
	return &Store{
		clock: clock,
		facts: map[subjectKey]storedFact{},
	}
}

// Add stores a fact and reports whether it was new. A fact is rejected if it
// has expired, exceeds a limit, is no later than the stored one of its kind and
// subject, or the store is full.
func (s *Store) Add(f Fact) bool {
	now := s.clock.Now()
	if !f.acceptable(now) {
		return false
	}
	key := subjectKey{kind: f.Kind, subject: f.Subject}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.facts[key]
	if known && !f.At.After(old.At) {
		return false
	}
	if !known && len(s.facts) >= maxFacts {
		s.removeExpired(now)
		if len(s.facts) >= maxFacts {
			return false
		}
	}
	s.sum ^= old.key
	stored := storedFact{
		Fact: f,
		key:  f.Key(),
	}
	s.facts[key] = stored
	s.sum ^= stored.key
	return true
}

// removeExpired removes expired facts. The caller must hold s.mu.
func (s *Store) removeExpired(now time.Time) {
	for key, f := range s.facts {
		if !f.Until.After(now) {
			s.sum ^= f.key
			delete(s.facts, key)
		}
	}
}

// NextTime returns the time for a new fact: now, or just after the stored fact of
// the kind and subject if that is later. A daemon whose clock is slow can thus
// still replace the stored fact.
func (s *Store) NextTime(kind Kind, subject string) time.Time {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.facts[subjectKey{kind: kind, subject: subject}]; ok && !now.After(old.At) {
		return old.At.Add(time.Nanosecond)
	}
	return now
}

// Sum returns a digest of the facts that have not expired. It is 0 if there are
// none.
func (s *Store) Sum() uint64 {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	return s.sum
}

// Keys returns the keys of the facts that have not expired, in no particular
// order.
func (s *Store) Keys() []uint64 {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	keys := make([]uint64, 0, len(s.facts))
	for _, f := range s.facts {
		keys = append(keys, f.key)
	}
	return keys
}

// Select returns the facts that have not expired and whose keys satisfy wanted,
// in no particular order.
func (s *Store) Select(wanted func(key uint64) bool) []Fact {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	var facts []Fact
	for _, f := range s.facts {
		if wanted(f.key) {
			facts = append(facts, f.Fact)
		}
	}
	return facts
}

// Get returns the fact of a kind and subject. It reports false if there is none
// or it has expired.
func (s *Store) Get(kind Kind, subject string) (Fact, bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.facts[subjectKey{kind: kind, subject: subject}]
	return f.Fact, ok && f.Until.After(now)
}

// All returns the facts that have not expired, sorted by kind and subject.
func (s *Store) All() []Fact {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	facts := make([]Fact, 0, len(s.facts))
	for _, f := range s.facts {
		facts = append(facts, f.Fact)
	}
	slices.SortFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return facts
}
