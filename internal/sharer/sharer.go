// Package sharer decides in which order the waiting requests of several customers are served,
// so that each gets its share of a target, however many requests another one sends.
//
// It uses start-time fair queueing. Each request has a turn, a virtual time. The turns of one
// customer are as far apart as its requests are long, and the turn of a customer that has not
// been served recently is the present. The waiting request with the earliest turn is next.
package sharer

import "maps"

// Sharer assigns turns. The zero value is ready to use. It is not safe for concurrent use.
type Sharer struct {
	// present is the turn of the last request that was served.
	present float64
	// next holds the earliest turn of each customer's next request, if later than present.
	next map[string]float64
	// forgetAt is the number of entries at which those that no longer matter are dropped.
	forgetAt int
}

// minForgetAt is the lowest value of Sharer.forgetAt.
const minForgetAt = 64

// Turn returns the turn that a request of a customer would get now.
func (s *Sharer) Turn(customer string) float64 {
	return max(s.present, s.next[customer])
}

// Enter returns the turn of a new request of a customer. cost is the time that the request is
// expected to take, in any unit.
func (s *Sharer) Enter(customer string, cost float64) (turn float64) {
	if s.next == nil {
		s.next = map[string]float64{}
	}
	turn = s.Turn(customer)
	s.next[customer] = turn + cost
	if len(s.next) >= max(minForgetAt, s.forgetAt) {
		maps.DeleteFunc(s.next, func(_ string, next float64) bool { return next <= s.present })
		s.forgetAt = 2 * len(s.next)
	}
	return turn
}

// Serve records that a request with a turn is served.
func (s *Sharer) Serve(turn float64) {
	s.present = max(s.present, turn)
}

// Leave returns the cost of a request that has entered and will not be served.
func (s *Sharer) Leave(customer string, cost float64) {
	if next, ok := s.next[customer]; ok {
		s.next[customer] = next - cost
	}
}

// Customers returns the number of customers of which something is kept.
func (s *Sharer) Customers() int { return len(s.next) }
