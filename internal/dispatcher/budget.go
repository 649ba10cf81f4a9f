package dispatcher

import (
	"sync"
)

// Budget bounds the sends of requests that a target has been sent already. Each
// daemon holds its own part of what the whole system may send, so that they
// need not talk to keep it.
type Budget struct {
	// Ratio is the number of repeats that each request pays for.
	Ratio float64
	// Slack is the number of repeats that the whole system may send in a
	// window beyond that.
	Slack float64
	// Daemons returns the number of daemons that share the slack.
	Daemons func() int

	mu     sync.Mutex
	tokens map[string]float64
}

// Shares of the system's bound that are used; the rest covers the calls that
// repeated requests make, and daemons that are not known of yet.
const (
	ratioShare = 0.6
	slackShare = 0.6
)

// Earn counts a request of a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, limit := b.balance(service)
	b.tokens[service] = min(limit, tokens+b.Ratio*ratioShare)
}

// Spend takes one repeat and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, _ := b.balance(service)
	if tokens < 1 {
		return false
	}
	b.tokens[service] = tokens - 1
	return true
}

// balance returns a service's tokens and the most that it may have: what is
// saved up can be spent within one window.
func (b *Budget) balance(service string) (tokens, limit float64) {
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	limit = max(1, b.Slack*slackShare/float64(max(1, b.Daemons())))
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = limit
		b.tokens[service] = limit
	}
	return min(tokens, limit), limit
}
