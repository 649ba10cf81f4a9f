// Package sharer decides in which order the waiting requests of several customers are served,
// so that each gets its share of a target, however many requests another one sends.
//
// It uses start-time fair queueing. Each request has a turn, a virtual time. The turns of one
// customer are as far apart as its requests are long, and the turn of a customer that has not
// been served recently is the present. The waiting request with the earliest turn is next.
//
// Requests without a customer, such as the calls that targets make for requests which were
// admitted already, share a target half and half with all customers together.
package sharer

import "maps"

// Turn is the place of a request in the order.
type Turn struct {
	// At orders the turns. Of equal ones, that of the request that came first is the earlier.
	At       float64
	customer string
	cost     float64
}

// Sharer assigns turns. The zero value is ready to use. It is not safe for concurrent use.
type Sharer struct {
	// present is the turn of the last request that was served.
	present  float64
	accounts map[string]account
	// forgetAt is the number of entries at which those that no longer matter are dropped.
	forgetAt int
}

// account holds the turns of a customer. Its requests keep their order, so next is never earlier
// than last.
type account struct {
	// last is the turn of its last request, and next the earliest one of its next request. The
	// present counts instead if it is later.
	last, next float64
}

// minForgetAt is the lowest value of Sharer.forgetAt.
const minForgetAt = 64

// Next returns the place that a request of a customer would get now.
func (s *Sharer) Next(customer string) float64 {
	return max(s.present, s.accounts[customer].next)
}

// Enter returns the turn of a new request of a customer. cost is the time that the request is
// expected to take, in any unit.
func (s *Sharer) Enter(customer string, cost float64) Turn {
	if s.accounts == nil {
		s.accounts = map[string]account{}
	}
	if customer == "" {
		cost /= float64(max(1, len(s.accounts)))
	}
	t := Turn{
		At:       s.Next(customer),
		customer: customer,
		cost:     cost,
	}
	s.accounts[customer] = account{
		last: t.At,
		next: t.At + cost,
	}
	if len(s.accounts) >= max(minForgetAt, s.forgetAt) {
		maps.DeleteFunc(s.accounts, func(_ string, a account) bool { return a.next <= s.present })
		s.forgetAt = 2 * len(s.accounts)
	}
	return t
}

// Serve records that a request is served.
func (s *Sharer) Serve(t Turn) {
	s.present = max(s.present, t.At)
}

// Leave gives the customer of a request that will not be served its time back.
func (s *Sharer) Leave(t Turn) {
	if a, ok := s.accounts[t.customer]; ok {
		a.next = max(a.last, a.next-t.cost)
		s.accounts[t.customer] = a
	}
}

// Customers returns the number of customers of which something is kept.
func (s *Sharer) Customers() int { return len(s.accounts) }
