package retrier

import "sync"

// Parameters of a service's retry budget.
const (
	// retryCost is the number of successes that pay for one retry.
	retryCost = 10
	// maxCredit is the maximum credit of a service, in successes, and also its
	// initial credit. It pays for ten retries.
	maxCredit = 10 * retryCost
	// maxBudgets bounds the number of services with a budget. For each further
	// service, an arbitrary budget is discarded; the service of that budget
	// starts again with the initial credit.
	maxBudgets = 4096
)

// budgets holds the retry budgets of services. The zero value is ready to use.
type budgets struct {
	mu     sync.Mutex
	credit map[string]int
}

// deposit adds a success to a service's credit. A service without a budget already
// has the maximum credit.
func (b *budgets) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if balance, ok := b.credit[service]; ok {
		b.credit[service] = min(maxCredit, balance+1)
	}
}

// withdraw pays for one retry. It reports whether the credit sufficed.
func (b *budgets) withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance < retryCost {
		return false
	}
	b.credit[service] = balance - retryCost
	return true
}

// affords reports whether a service's credit suffices for a retry.
func (b *budgets) affords(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(service) >= retryCost
}

// balance returns a service's credit. For a new service, it makes room for a
// budget and returns the initial credit.
func (b *budgets) balance(service string) int {
	balance, ok := b.credit[service]
	if ok {
		return balance
	}
	if b.credit == nil {
		b.credit = map[string]int{}
	}
	for name := range b.credit {
		if len(b.credit) < maxBudgets {
			break
		}
		delete(b.credit, name)
	}
	return maxCredit
}
