// Package authenticator decides on behalf of which customer a client's request is made, and
// refuses requests whose keys are unknown.
package authenticator

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Errors of refused requests. The verdict of each is NotRun.
var (
	ErrNoKey      = classifier.NewFailure(classifier.NotRun, "no key", nil)
	ErrUnknownKey = classifier.NewFailure(classifier.NotRun, "unknown key", nil)
	// ErrUnproven means that keys may have been removed without the daemon's knowledge.
	ErrUnproven = classifier.NewFailure(classifier.NotRun, "keys not confirmed by the store for too long", nil)
	// ErrRemoved means that a key was removed after its request was accepted.
	ErrRemoved = classifier.NewFailure(classifier.NotRun, "key removed while the request waited", nil)
)

// Identity states on behalf of which customer a request is made. The zero value means no
// customer.
type Identity struct {
	Customer string
	// KeyID identifies the key without revealing it, and Plan is the version of the plan in
	// which the customer holds it.
	KeyID string
	Plan  uint64
	// Valid is how long the request may still be sent to a target, or 0 if that is not
	// limited.
	Valid time.Duration
}

// Authenticator checks keys.
type Authenticator struct {
	// Left returns for how long the plan is still known to be recent enough to rely on its
	// keys. Nil means that its age does not matter.
	Left func() time.Duration
}

// Proof states for how long keys can be relied on.
type Proof struct {
	// limited means that it is only for the time left, which is 0 or less if keys can't be
	// relied on.
	limited bool
	left    time.Duration
}

// Proof returns the proof that counts for plans that are read after the call. A plan that was
// read before could be older than what is proven.
func (a *Authenticator) Proof() Proof {
	if a.Left == nil {
		return Proof{}
	}
	return Proof{
		limited: true,
		left:    a.Left(),
	}
}

// Authenticate returns the customer of a request under a plan and one of its rules, with the
// priority of the request. The plan was read after the proof. A plan without keys makes every
// request one of no customer.
func Authenticate(proof Proof, p *matcher.Plan, r *matcher.Rule, key string) (id Identity, priority int, err error) {
	if p.Keys == nil {
		return Identity{}, r.Priority, nil
	}
	if proof.limited && proof.left <= 0 {
		if r.Public {
			return Identity{}, matcher.Holder{}.Priority(r), nil
		}
		return Identity{}, 0, ErrUnproven
	}
	holder, ok := p.Keys.Holder(key)
	switch {
	case ok:
		return Identity{
			Customer: holder.Customer,
			KeyID:    holder.KeyID,
			Plan:     p.Version,
			Valid:    proof.left,
		}, holder.Priority(r), nil
	case r.Public:
		return Identity{}, matcher.Holder{}.Priority(r), nil
	case key == "":
		return Identity{}, 0, ErrNoKey
	}
	return Identity{}, 0, ErrUnknownKey
}

// Recheck returns the reason why a request that was accepted must no longer be sent to a
// target, given the plan in force there, or nil. accepted is the time since the request's
// daemon has stated the identity.
func (id Identity) Recheck(p *matcher.Plan, accepted time.Duration) error {
	switch {
	case id.Customer == "":
		return nil
	case id.Valid > 0 && accepted >= id.Valid:
		return ErrUnproven
	case p != nil && p.Keys != nil && p.Version > id.Plan && !p.Keys.HasKeyID(id.KeyID):
		return ErrRemoved
	}
	return nil
}
