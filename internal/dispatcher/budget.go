package dispatcher

import (
	"sync"
)

// Budget bounds the sends of requests that a target has been sent already. Each
// daemon holds its own part of what the whole system may send, so that they
// need not talk to keep it.
type Budget struct {
	// Daemons returns the number of daemons that share the slack.
	Daemons func() int

	mu     sync.Mutex
	tokens map[string]float64
	// ratio is the number of repeats that each request pays for, and slack the
	// number that the whole system may send in a window beyond that.
	ratio, slack float64
}

// Set sets what the whole system may send.
func (b *Budget) Set(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	b.slack = slack
}

// Shares of the system's bound that are used; the rest covers the calls that
// repeated requests make, and daemons that are not known of yet.
const (
	ratioShare = 0.5
	slackShare = 0.6
)

// Earn counts a request of a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, limit := b.balance(service)
	b.tokens[service] = min(limit, tokens+b.ratio*ratioShare)
}

// Costs of a repeat. One of a request that may have run repeats the calls that
// the target makes for it too.
const (
	notRunCost = 1
	ranCost    = 2
)

// Spend takes the cost of one repeat and reports whether there was enough.
func (b *Budget) Spend(service string, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, _ := b.balance(service)
	if tokens < cost {
		return false
	}
	b.tokens[service] = tokens - cost
	return true
}

// balance returns a service's tokens and the most that it may have: what is
// saved up can be spent within one window.
func (b *Budget) balance(service string) (tokens, limit float64) {
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	limit = max(ranCost, b.slack*slackShare/float64(max(1, b.Daemons())))
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = limit
		b.tokens[service] = limit
	}
	return min(tokens, limit), limit
}
