// Package deduplicator prevents a non-idempotent request from running twice
// when its caller retries it with the same Idempotency-Key.
//
// Before such a request runs, the entry daemon that received it claims the key
// at the key's holders, a few daemons of the key's home data centre. A Holder
// stores claims. A Round collects the replies of all holders to one claim. Both
// use no sockets or timers.
package deduplicator

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Claim is a request to a holder to grant a key.
type Claim struct {
	Key string `json:"key"`
	// RequestFingerprint is the fingerprint of the request's method, path and
	// body.
	RequestFingerprint string `json:"print"`
	// Token identifies one submission of the request. A retry by the caller has
	// another token.
	Token string `json:"token"`
	// Holders are the names of the key's holders in the claiming daemon's view,
	// sorted.
	Holders []string `json:"holders"`
	// HomesPublished is the publication time of the list of home data centres
	// that the claiming daemon uses.
	HomesPublished time.Time `json:"homes"`
}

// Answer is a target's complete response as a holder stores it.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Size returns the approximate memory that the response takes, in bytes.
func (a *Answer) Size() int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// Settlement reports to a holder how a submission with a claim has ended.
type Settlement struct {
	Key   string `json:"key"`
	Token string `json:"token"`
	// Released means that the submission has not run and will not run.
	Released bool `json:"released,omitempty"`
	// Answer is the target's response, or nil if it is too large to be stored.
	Answer *Answer `json:"answer,omitempty"`
}

// State is the state of a key at a holder, as reported in the reply to a claim.
type State string

const (
	// Unsure means that the holder cannot decide; Reply.Reason states why.
	Unsure State = "unsure"
	// Granted means that this holder grants the key to the claim.
	Granted State = "granted"
	// Running means that another submission has claimed the key.
	Running State = "running"
	// Ended means that another submission has run; its response may be present.
	Ended State = "ended"
	// Differs means that the key was claimed for a different request.
	Differs State = "differs"
)

// Reply is a holder's reply to a claim.
type Reply struct {
	State State `json:"state"`
	// Reason states why the holder cannot decide.
	Reason string  `json:"reason,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Limits on the memory of a holder.
const (
	// maxClaims is the maximum number of stored claims, including released ones,
	// which count until they expire. Beyond it the holder grants no new claim.
	maxClaims = 20_000
	// maxTotalAnswerBytes is the maximum total size of the stored responses, in bytes.
	// Beyond it a holder records that a request has run without storing its
	// response.
	maxTotalAnswerBytes = 16 << 20
	// MaxAnswer is the maximum size of one stored response, in bytes.
	MaxAnswer = 16 << 10
	// MaxKey is the maximum length of a key, in bytes.
	MaxKey = 255
)

// View is a holder's view of a key at the time of a claim.
type View struct {
	// Holders are the names of the key's holders in the holder's own view,
	// sorted.
	Holders []string
	// HomesPublished is the publication time of the list of home data centres
	// that the holder uses.
	HomesPublished time.Time
	// UnsureReason states why the view is unreliable. It is empty if the view is
	// reliable.
	UnsureReason string
}

// Holder stores claims. It is safe for concurrent use.
type Holder struct {
	clock   timekeeper.Clock
	window  time.Duration
	started time.Time

	mu     sync.Mutex
	claims map[string]*claimRecord
	// byAge holds the claims, oldest first, including released ones.
	byAge []*claimRecord
	// answerBytes is the total size of the stored responses, in bytes.
	answerBytes int
}

// claimRecord is one stored claim.
type claimRecord struct {
	claim     Claim
	claimedAt time.Time
	ended     bool
	answer    *Answer
	// released means that the claim was released and its key may be claimed
	// again.
	released bool
}

// NewHolder returns an empty holder that stores claims for the window. It
// grants no claim for its first window, since an earlier process may have
// granted one.
func NewHolder(clock timekeeper.Clock, window time.Duration) *Holder {
	return &Holder{
		clock:   clock,
		window:  window,
		started: clock.Now(),
		claims:  map[string]*claimRecord{},
	}
}

// Claim replies to a claim. If the key is claimed already, the reply depends on
// the stored claim alone. Otherwise the holder grants the key only if its own
// view agrees with the claim.
func (h *Holder) Claim(c Claim, v View) Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.removeExpired(now)
	if previous, ok := h.claims[c.Key]; ok {
		return previous.reply(c)
	}
	if reason := h.refusalReason(c, v, now); reason != "" {
		return Reply{
			State:  Unsure,
			Reason: reason,
		}
	}
	record := &claimRecord{
		claim:     c,
		claimedAt: now,
	}
	h.claims[c.Key] = record
	h.byAge = append(h.byAge, record)
	return Reply{State: Granted}
}

// refusalReason returns why a key without a claim cannot be granted, or "".
func (h *Holder) refusalReason(c Claim, v View, now time.Time) string {
	switch {
	case v.UnsureReason != "":
		return v.UnsureReason
	case now.Sub(h.started) < h.window:
		return "holder started within the window"
	case !c.HomesPublished.Equal(v.HomesPublished):
		return "lists of home data centres differ"
	case !slices.Equal(c.Holders, v.Holders):
		return "views of the holders differ"
	case len(h.byAge) >= maxClaims:
		return "too many claims"
	default:
		return ""
	}
}

func (e *claimRecord) reply(c Claim) Reply {
	switch {
	case e.claim.RequestFingerprint != c.RequestFingerprint:
		return Reply{State: Differs}
	case e.claim.Token == c.Token && !e.ended:
		return Reply{State: Granted}
	case e.ended:
		return Reply{
			State:  Ended,
			Answer: e.answer,
		}
	default:
		return Reply{State: Running}
	}
}

// Settle records a settlement. It ignores a settlement whose claim is unknown or
// has already ended.
func (h *Holder) Settle(s Settlement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.claims[s.Key]
	if !ok || e.claim.Token != s.Token || e.ended {
		return
	}
	if s.Released {
		e.released = true
		delete(h.claims, s.Key)
		return
	}
	e.ended = true
	size := s.Answer.Size()
	if size <= MaxAnswer && h.answerBytes+size <= maxTotalAnswerBytes {
		e.answer = s.Answer
		h.answerBytes += size
	}
}

// removeExpired removes the claims that are older than the window.
func (h *Holder) removeExpired(now time.Time) {
	n := 0
	for ; n < len(h.byAge) && now.Sub(h.byAge[n].claimedAt) >= h.window; n++ {
		e := h.byAge[n]
		h.answerBytes -= e.answer.Size()
		if !e.released {
			delete(h.claims, e.claim.Key)
		}
	}
	h.byAge = slices.Delete(h.byAge, 0, n)
}

// Counts are the sizes of a holder's contents.
type Counts struct {
	Claims int
	// Answers is the total size of the stored responses, in bytes.
	Answers int
}

// Counts returns the sizes of the holder's contents.
func (h *Holder) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Counts{
		Claims:  len(h.claims),
		Answers: h.answerBytes,
	}
}

// Numbers of holders of a key.
const (
	// HoldersPerKey is the number of holders of a key. A data centre with fewer
	// daemons has fewer holders.
	HoldersPerKey = 5
	// minHolders is the minimum number of holders with which a round can be won.
	minHolders = 3
)

// quorum returns how many of n holders must grant a claim: all but one, and at
// least a majority.
func quorum(n int) int { return max(n/2+1, n-1) }

// Outcome is the result of a claim at all holders.
type Outcome uint8

const (
	// Pending means that more replies are needed.
	Pending Outcome = iota
	// Won means that the request may run.
	Won
	// Lost means that the request must not run, and that this submission has
	// not run.
	Lost
	// Busy means that another submission has claimed the key and may have run.
	Busy
	// Repeated means that another submission has run; its response may be
	// present.
	Repeated
	// Mismatched means that the key belongs to a different request.
	Mismatched
)

// Round collects the replies of all holders of a key to the claim of one
// submission. It is not safe for concurrent use.
type Round struct {
	holders       int
	replied       int
	granted       int
	running       bool
	differs       bool
	ended         bool
	answer        *Answer
	reason        string
	tooFewHolders bool
}

// NewRound returns a round for a key with the given number of holders.
func NewRound(holders int) *Round {
	return &Round{
		holders:       holders,
		tooFewHolders: holders < minHolders,
	}
}

// AddReply adds the reply of one more holder. It must also be called for each
// holder that cannot be reached, with the state Unsure.
func (r *Round) AddReply(p Reply) {
	r.replied++
	switch p.State {
	case Granted:
		r.granted++
	case Running:
		r.running = true
	case Differs:
		r.differs = true
	case Ended:
		r.ended = true
		if r.answer == nil {
			r.answer = p.Answer
		}
	default:
		r.reason = cmp.Or(r.reason, p.Reason)
	}
}

// Outcome returns the result of the replies so far. If one of them reports a
// claim of another submission, the round is not won.
func (r *Round) Outcome() Outcome {
	claimedByOther := r.running || r.differs || r.ended
	switch {
	case r.tooFewHolders:
		return Lost
	case r.ended && r.answer != nil:
		return Repeated
	case !claimedByOther && r.granted >= quorum(r.holders):
		return Won
	case r.replied < r.holders:
		return Pending
	case r.ended:
		return Repeated
	case r.differs:
		return Mismatched
	case r.running:
		return Busy
	default:
		return Lost
	}
}

// Answer returns the stored response of the submission that ran, or nil.
func (r *Round) Answer() *Answer { return r.answer }

// Reason returns why the round was lost: the first reason of a holder that could
// not decide, or that there are too few holders.
func (r *Round) Reason() string {
	if r.tooFewHolders {
		return "too few daemons in the home data centre"
	}
	return cmp.Or(r.reason, "holder out of reach")
}
