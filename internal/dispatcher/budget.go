package dispatcher

import (
	"sync"
)

// RetryBudget limits retries of requests that may have reached a target already. It
// has a token bucket for each service. Each daemon enforces its own part of the
// system's limit, so that the daemons need not exchange counts.
type RetryBudget struct {
	// Daemons returns the number of daemons that share the burst.
	Daemons func() int

	mu     sync.Mutex
	tokens map[string]float64
	// ratio is the number of retries allowed per request. burst is the number of
	// further retries that all daemons together may send in any period of time.
	ratio, burst float64
}

// SetLimits sets the retry limits of the whole system.
func (b *RetryBudget) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	b.burst = burst
}

// Fractions of the limits that the buckets use. The rest is reserved for the
// calls that targets repeat while they run a retried request, and for daemons
// that are not in the member list yet.
const (
	ratioFraction = 0.5
	burstFraction = 0.6
)

// Deposit adds the tokens for one request of a service to its bucket.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, limit := b.tokensAndLimit(service)
	b.tokens[service] = min(limit, tokens+b.ratio*ratioFraction)
}

// Tokens that one retry costs. A retry of a request that may have run also
// repeats the calls that the target makes while it runs the request.
const (
	notRunCost = 1
	ranCost    = 2
)

// TryWithdraw takes cost tokens from a service's bucket and reports whether there were
// enough.
func (b *RetryBudget) TryWithdraw(service string, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, _ := b.tokensAndLimit(service)
	if tokens < cost {
		return false
	}
	b.tokens[service] = tokens - cost
	return true
}

// tokensAndLimit returns a service's tokens and the size of its bucket. It creates
// a full bucket for a new service. The size bounds the retries beyond ratio in any
// period of time.
func (b *RetryBudget) tokensAndLimit(service string) (tokens, limit float64) {
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	limit = max(ranCost, b.burst*burstFraction/float64(max(1, b.Daemons())))
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = limit
		b.tokens[service] = limit
	}
	return min(tokens, limit), limit
}
