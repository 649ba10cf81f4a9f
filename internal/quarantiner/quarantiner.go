// Package quarantiner finds a request that crashes every target that runs it,
// and refuses it after the second crash.
//
// When a target dies, the requests in flight become suspects, except those with
// a fingerprint that has succeeded recently. From then on each target runs only
// one suspect at a time, so a second death identifies the cause. The package
// uses no sockets or timers.
package quarantiner

import (
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// QuarantineTTL is the time after which a suspect or a quarantine expires.
const QuarantineTTL = 10 * time.Minute

const (
	// deathsToQuarantine is the number of deaths after which a request is
	// refused.
	deathsToQuarantine = 2
	// deathWindow is the time within which broken connections are counted as
	// one death of the target.
	deathWindow = time.Second
	// maxSuspects is the maximum number of suspects that are stored.
	maxSuspects = 4096
	// maxSuccesses is the maximum number of stored fingerprints of successful
	// requests.
	maxSuccesses = 8192
	// MaxSuspectsPerDeath is the maximum number of suspects of one death.
	MaxSuspectsPerDeath = 256
	// MaxFingerprint is the maximum length of a fingerprint, in bytes.
	MaxFingerprint = 64
)

// Errors of requests that were refused before they ran.
var (
	ErrQuarantined = classifier.NewFailure(classifier.NotRun, "request has crashed targets", nil)
	ErrSuspected   = classifier.NewFailure(classifier.NotRun, "request was in flight at a crash, another such request is running", nil)
)

// Report is the report of a target's death to the daemons of its service.
type Report struct {
	Service string `json:"service"`
	// Death is the unique ID of the death.
	Death string `json:"death"`
	// Fingerprints are the fingerprints of the suspects.
	Fingerprints []string `json:"prints"`
}

// suspect is a fingerprint that was in flight at one or more deaths.
type suspect struct {
	deaths  map[string]bool
	expires time.Time
}

// Quarantiner tracks the requests of one target and the suspects of its
// service. It is safe for concurrent use.
type Quarantiner struct {
	clock timekeeper.Clock

	mu       sync.Mutex
	suspects map[string]*suspect
	// inFlight counts the requests in flight at the target by fingerprint.
	inFlight map[string]int
	// isolated is set while a suspect runs in isolation at the target.
	isolated bool
	// successes and previousSuccesses are the fingerprints of requests that
	// succeeded. When successes is full it replaces previousSuccesses.
	successes, previousSuccesses map[string]bool
	// lastDeath is the time of the target's last death.
	lastDeath time.Time
}

// New returns a quarantiner without suspects.
func New(clock timekeeper.Clock) *Quarantiner {
	return &Quarantiner{
		clock:     clock,
		suspects:  map[string]*suspect{},
		inFlight:  map[string]int{},
		successes: map[string]bool{},
	}
}

// Admit admits a request to the target or refuses it. It returns isolated true
// if the request is a suspect that has not succeeded recently. The caller must
// then call EndIsolation when the request has ended; until then no other such
// suspect runs.
func (q *Quarantiner) Admit(fingerprint string) (isolated bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspect(fingerprint)
	switch {
	case s == nil:
		return false, nil
	case len(s.deaths) >= deathsToQuarantine:
		return false, ErrQuarantined
	case q.hasSucceeded(fingerprint):
		return false, nil
	case q.isolated:
		return false, ErrSuspected
	}
	q.isolated = true
	return true, nil
}

// EndIsolation records that the suspect that ran in isolation has ended.
func (q *Quarantiner) EndIsolation() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isolated = false
}

// suspect returns the suspect with a fingerprint, or nil. It removes an expired
// one.
func (q *Quarantiner) suspect(fingerprint string) *suspect {
	s := q.suspects[fingerprint]
	if s != nil && !s.expires.After(q.clock.Now()) {
		delete(q.suspects, fingerprint)
		return nil
	}
	return s
}

// hasSucceeded reports whether the fingerprint has succeeded recently: it is one
// of the last maxSuccesses/2 to maxSuccesses fingerprints that succeeded.
func (q *Quarantiner) hasSucceeded(fingerprint string) bool {
	return q.successes[fingerprint] || q.previousSuccesses[fingerprint]
}

// RequestStarted records that a request is sent to the target.
func (q *Quarantiner) RequestStarted(fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight[fingerprint]++
}

// RequestEnded records that a request at the target has ended, and whether it
// succeeded.
func (q *Quarantiner) RequestEnded(fingerprint string, succeeded bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight[fingerprint]--; q.inFlight[fingerprint] <= 0 {
		delete(q.inFlight, fingerprint)
	}
	if !succeeded || q.successes[fingerprint] {
		return
	}
	if len(q.successes) >= maxSuccesses/2 {
		q.previousSuccesses = q.successes
		q.successes = map[string]bool{}
	}
	q.successes[fingerprint] = true
}

// TargetDied returns the fingerprints in flight at the target's death that have
// not succeeded recently, at most MaxSuspectsPerDeath. Several connections may
// break in one death; only the first call within deathWindow returns them.
func (q *Quarantiner) TargetDied() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now.Sub(q.lastDeath) < deathWindow {
		return nil
	}
	q.lastDeath = now
	var fingerprints []string
	for fingerprint := range q.inFlight {
		if !q.hasSucceeded(fingerprint) && len(fingerprints) < MaxSuspectsPerDeath {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// AddReport adds the report of a death and returns those of its fingerprints
// that are quarantined.
func (q *Quarantiner) AddReport(r Report) (quarantined []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fingerprint := range r.Fingerprints[:min(len(r.Fingerprints), MaxSuspectsPerDeath)] {
		s := q.suspect(fingerprint)
		if s == nil {
			if !q.makeRoom() || len(fingerprint) > MaxFingerprint {
				continue
			}
			s = &suspect{deaths: map[string]bool{}}
			q.suspects[fingerprint] = s
		}
		if len(s.deaths) < deathsToQuarantine {
			s.deaths[r.Death] = true
		}
		s.expires = q.clock.Now().Add(QuarantineTTL)
		if len(s.deaths) >= deathsToQuarantine {
			quarantined = append(quarantined, fingerprint)
		}
	}
	return quarantined
}

// makeRoom removes expired suspects if there are maxSuspects of them. It
// reports whether one more can be stored.
func (q *Quarantiner) makeRoom() bool {
	if len(q.suspects) < maxSuspects {
		return true
	}
	for fingerprint := range q.suspects {
		q.suspect(fingerprint)
	}
	return len(q.suspects) < maxSuspects
}
