package dispatcher

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// unprovenRetryAfter is the Retry-After value while keys can't be relied on. A daemon that
// reaches the store or another daemon confirms them about once a second.
const unprovenRetryAfter = time.Second

// authenticate sets the customer and the priority of a request and removes its key from the
// headers to forward. It is called before each attempt, since keys may be removed meanwhile.
func (d *Dispatcher) authenticate(c *call) error {
	if d.Plan().Keys == nil {
		c.priority = c.rule.Priority
		return nil
	}
	c.header = d.WithoutCredentials(c.request.Header)
	c.identified = timekeeper.System{}.Read()
	proof := d.Authenticator.Proof()
	var err error
	c.identity, c.priority, err = authenticator.Authenticate(proof, d.Plan(), c.rule, c.client.Key)
	if err == authenticator.ErrUnproven {
		c.retryAfter = unprovenRetryAfter
	}
	return err
}

// isKeyRefused reports whether a request was refused because of its key.
func isKeyRefused(err error) bool {
	return err == authenticator.ErrNoKey || err == authenticator.ErrUnknownKey
}
