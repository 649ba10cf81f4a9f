package matcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Customer is an organisation whose clients present keys.
type Customer struct {
	Name string
	// Keys are the keys that its clients may present. A plan holds only their hashes.
	Keys []string
	// Priority takes precedence over that of rules if HasPriority is set; 0 is the highest.
	// Among requests of customers of one priority, that of rules counts.
	Priority    int
	HasPriority bool
}

// keyDigest is the SHA-256 hash of a key. A look-up by it takes a time that does not depend
// on how much of a key is right.
type keyDigest [sha256.Size]byte

// keyIDBytes is the length of a key's ID before hex encoding.
const keyIDBytes = 12

// id returns the ID of a key, by which daemons refer to it.
func (k keyDigest) id() string { return hex.EncodeToString(k[:keyIDBytes]) }

// Holder is the customer that holds a key.
type Holder struct {
	Customer string
	// KeyID identifies the key without revealing it.
	KeyID       string
	priority    int
	hasPriority bool
}

// Limits of the priorities that are told apart.
const (
	maxCustomerPriority = 1 << 20
	maxRulePriority     = 999
)

// Priority returns the priority of a request of the holder under a rule: that of the customer,
// or of the rule if the customer has none, and among equal ones that of the rule. The zero
// Holder stands for no customer.
func (h Holder) Priority(r *Rule) int {
	first := r.Priority
	if h.hasPriority {
		first = h.priority
	}
	clamp := func(n, highest int) int { return max(0, min(n, highest)) }
	return clamp(first, maxCustomerPriority)*(maxRulePriority+1) + clamp(r.Priority, maxRulePriority)
}

// KeySet holds the customers of a plan and the hashes of their keys. It is immutable.
type KeySet struct {
	holders   map[keyDigest]Holder
	ids       map[string]bool
	customers map[string]bool
}

// NewKeySet returns the set of some customers. It returns an error if a customer has no name
// or that of another one, if a priority is negative, or if a key is empty or held twice. The
// error contains no key.
func NewKeySet(customers []Customer) (*KeySet, error) {
	s := &KeySet{
		holders:   map[keyDigest]Holder{},
		ids:       map[string]bool{},
		customers: map[string]bool{},
	}
	for i, c := range customers {
		switch {
		case c.Name == "":
			return nil, fmt.Errorf("customer %d has no name", i+1)
		case s.customers[c.Name]:
			return nil, fmt.Errorf("customer %q is declared twice", c.Name)
		case c.Priority < 0:
			return nil, fmt.Errorf("customer %q: priority %d is negative", c.Name, c.Priority)
		}
		s.customers[c.Name] = true
		for n, key := range c.Keys {
			if key == "" {
				return nil, fmt.Errorf("customer %q: key %d is empty", c.Name, n+1)
			}
			digest := keyDigest(sha256.Sum256([]byte(key)))
			if other, held := s.holders[digest]; held {
				return nil, fmt.Errorf("customer %q: key %d is also held by %q", c.Name, n+1, other.Customer)
			}
			s.ids[digest.id()] = true
			s.holders[digest] = Holder{
				Customer:    c.Name,
				KeyID:       digest.id(),
				priority:    c.Priority,
				hasPriority: c.HasPriority,
			}
		}
	}
	return s, nil
}

// Holder returns the holder of a key.
func (s *KeySet) Holder(key string) (Holder, bool) {
	h, ok := s.holders[sha256.Sum256([]byte(key))]
	return h, ok
}

// HasKeyID reports whether a customer holds the key with an ID.
func (s *KeySet) HasKeyID(id string) bool { return s.ids[id] }

// Customers returns the number of customers.
func (s *KeySet) Customers() int { return len(s.customers) }

// WithKeys returns the plan with the keys that its requests need. Under a plan without them,
// requests need none.
func (p *Plan) WithKeys(s *KeySet) *Plan {
	next := *p
	next.Keys = s
	return &next
}
