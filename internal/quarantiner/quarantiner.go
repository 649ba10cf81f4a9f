// Package quarantiner finds a request that crashes every target that runs it,
// and refuses it after the second crash.
//
// When a target crashes, the requests in flight become suspects, except those with
// a fingerprint that has succeeded recently. From then on each target runs only
// one suspect at a time, so a second crash identifies the cause. The package
// uses no sockets or timers.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// QuarantineTTL is the time after which a suspect or a quarantine expires.
const QuarantineTTL = 10 * time.Minute

const (
	// crashesToQuarantine is the number of crashes after which a request is
	// refused.
	crashesToQuarantine = 2
	// crashWindow is the time within which broken connections are counted as
	// one crash of the target.
	crashWindow = time.Second
	// maxSuspects is the maximum number of suspects that are stored.
	maxSuspects = 4096
	// maxSuccesses is the maximum number of stored fingerprints of successful
	// requests.
	maxSuccesses = 8192
	// MaxSuspectsPerDeath is the maximum number of suspects of one crash.
	MaxSuspectsPerDeath = 256
	// MaxFingerprint is the maximum length of a fingerprint, in bytes.
	MaxFingerprint = 64
)

// Errors of requests that were refused before they ran.
var (
	ErrQuarantined = classifier.NewFailure(classifier.NotRun, "request has crashed targets", nil)
	ErrSuspected   = classifier.NewFailure(classifier.NotRun, "request was in flight at a crash, another such request is running", nil)
)

// Report is the report of a target's crash to the daemons of its service.
type Report struct {
	Service string `json:"service"`
	// Death is the unique ID of the crash.
	Death string `json:"death"`
	// Fingerprints are the fingerprints of the suspects.
	Fingerprints []string `json:"prints"`
}

// suspect is a fingerprint that was in flight at one or more crashes.
type suspect struct {
	crashes map[string]bool
	expires time.Time
}

// brokenRequest is a request whose connection to the target broke.
type brokenRequest struct {
	fingerprint string
	at          time.Time
}

// Quarantiner tracks the requests of one target and the suspects of its
// service. It is safe for concurrent use.
type Quarantiner struct {
	clock timekeeper.Clock

	mu       sync.Mutex
	suspects map[string]*suspect
	// inFlight counts the requests in flight at the target by fingerprint.
	inFlight map[string]int
	// broken holds the requests whose connection broke within crashWindow while the
	// target still listened, oldest first.
	broken []brokenRequest
	// isolated is true while a suspected request runs at the target. No second
	// one is admitted in that time.
	isolated bool
	// successes and previousSuccesses are the fingerprints of requests that
	// succeeded. When successes is full it replaces previousSuccesses.
	successes, previousSuccesses map[string]bool
	// lastCrash is the time of the target's last crash.
	lastCrash time.Time
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

// Admit admits a request to the target or refuses it. isolated is true if the
// request's fingerprint is a suspect that has not succeeded recently. The caller
// must then call EndIsolation when the request has ended. Until then no other
// such request is admitted.
func (q *Quarantiner) Admit(fingerprint string) (isolated bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspect(fingerprint)
	switch {
	case s == nil:
		return false, nil
	case len(s.crashes) >= crashesToQuarantine:
		return false, ErrQuarantined
	case q.hasSucceeded(fingerprint):
		return false, nil
	case q.isolated:
		return false, ErrSuspected
	}
	q.isolated = true
	return true, nil
}

// EndIsolation records that the suspected request for which Admit returned
// isolated has ended, so that the next one may run.
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

// hasSucceeded reports whether a request with the fingerprint has succeeded
// recently. The two sets together hold the latest fingerprints that succeeded:
// at least maxSuccesses/2, once so many have succeeded, and at most maxSuccesses.
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

// RequestBroke records that a request at the target has ended because its connection
// broke. If a crash is seen within crashWindow, the request is a suspect: a process
// that exits may close its connections before its listening socket.
func (q *Quarantiner) RequestBroke(fingerprint string) {
	q.RequestEnded(fingerprint, false)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now.Sub(q.lastCrash) < crashWindow {
		return
	}
	q.removeOldBroken(now)
	if len(q.broken) >= MaxSuspectsPerDeath {
		q.broken = q.broken[1:]
	}
	q.broken = append(q.broken, brokenRequest{
		fingerprint: fingerprint,
		at:          now,
	})
}

// removeOldBroken removes the requests whose connection broke crashWindow ago.
func (q *Quarantiner) removeOldBroken(now time.Time) {
	for len(q.broken) > 0 && now.Sub(q.broken[0].at) >= crashWindow {
		q.broken = q.broken[1:]
	}
}

// TargetDied returns the fingerprints in flight at the target's crash, or whose
// connection broke within crashWindow before, that have not succeeded recently, at
// most MaxSuspectsPerDeath. Several connections may break in one crash; only the first
// call within crashWindow that finds any returns them.
func (q *Quarantiner) TargetDied() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now.Sub(q.lastCrash) < crashWindow {
		return nil
	}
	q.removeOldBroken(now)
	suspects := map[string]bool{}
	for _, b := range q.broken {
		suspects[b.fingerprint] = true
	}
	for fingerprint := range q.inFlight {
		suspects[fingerprint] = true
	}
	var fingerprints []string
	for fingerprint := range suspects {
		if !q.hasSucceeded(fingerprint) && len(fingerprints) < MaxSuspectsPerDeath {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	if len(fingerprints) > 0 {
		q.lastCrash = now
		q.broken = nil
	}
	return fingerprints
}

// AddReport adds the report of a crash and returns those of its fingerprints
// that are quarantined.
func (q *Quarantiner) AddReport(r Report) (quarantined []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fingerprint := range r.Fingerprints[:min(len(r.Fingerprints), MaxSuspectsPerDeath)] {
		s := q.addSuspect(fingerprint)
		if s == nil {
			continue
		}
		s.addCrash(r.Death)
		s.expires = q.clock.Now().Add(QuarantineTTL)
		if len(s.crashes) >= crashesToQuarantine {
			quarantined = append(quarantined, fingerprint)
		}
	}
	return quarantined
}

// maxSuspicions is the maximum number of suspects that Suspicions returns.
const maxSuspicions = 1024

// Suspicion is a suspect as daemons tell it to one that has started.
type Suspicion struct {
	Fingerprint string `json:"print"`
	// Crashes holds the IDs of the crashes at which the request was in flight.
	Crashes []string `json:"deaths"`
	// TTL is the time until the suspicion expires, in milliseconds.
	TTL int64 `json:"ttl"`
}

// Suspicions returns the suspects, those with most crashes first, at most maxSuspicions.
func (q *Quarantiner) Suspicions() []Suspicion {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var list []Suspicion
	for fingerprint, s := range q.suspects {
		if !s.expires.After(now) {
			continue
		}
		list = append(list, Suspicion{
			Fingerprint: fingerprint,
			Crashes:     slices.Sorted(maps.Keys(s.crashes)),
			TTL:         s.expires.Sub(now).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		return cmp.Or(len(b.Crashes)-len(a.Crashes), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), maxSuspicions)]
}

// AddSuspicions adds the suspects of another daemon and returns the fingerprints that are
// quarantined.
func (q *Quarantiner) AddSuspicions(list []Suspicion) (quarantined []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, other := range list[:min(len(list), maxSuspicions)] {
		s := q.addSuspect(other.Fingerprint)
		if s == nil {
			continue
		}
		for _, crash := range other.Crashes {
			s.addCrash(crash)
		}
		ttl := time.Duration(min(other.TTL, QuarantineTTL.Milliseconds())) * time.Millisecond
		if expires := q.clock.Now().Add(ttl); expires.After(s.expires) {
			s.expires = expires
		}
		if len(s.crashes) >= crashesToQuarantine {
			quarantined = append(quarantined, other.Fingerprint)
		}
	}
	return quarantined
}

// addSuspect returns the suspect with a fingerprint, which it adds if necessary. It returns
// nil if there is no room or the fingerprint is invalid. The caller holds the lock.
func (q *Quarantiner) addSuspect(fingerprint string) *suspect {
	s := q.suspect(fingerprint)
	if s == nil && len(fingerprint) <= MaxFingerprint && q.makeRoom() {
		s = &suspect{crashes: map[string]bool{}}
		q.suspects[fingerprint] = s
	}
	return s
}

// addCrash adds a crash unless there are enough for a quarantine.
func (s *suspect) addCrash(id string) {
	if len(s.crashes) < crashesToQuarantine && len(id) <= MaxFingerprint {
		s.crashes[id] = true
	}
}

// makeRoom removes expired suspects if maxSuspects are stored. It reports
// whether one more can be stored.
func (q *Quarantiner) makeRoom() bool {
	if len(q.suspects) < maxSuspects {
		return true
	}
	for fingerprint := range q.suspects {
		q.suspect(fingerprint)
	}
	return len(q.suspects) < maxSuspects
}
