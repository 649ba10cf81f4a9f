package soaker

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Parameters of customers' keys in a soak.
const (
	// revokeWithin is the time after which a removed key must be refused everywhere.
	revokeWithin = 5 * time.Second
	// keyPrefix is the path prefix of the requests that need a key.
	keyPrefix = "/k/"
	// keptKey is the key that no configuration removes.
	keptKey = "key-that-is-kept"
	// removedKeyInterval is the interval of requests with removed keys to a daemon, and
	// removedKeyID is the prefix of their IDs.
	removedKeyInterval = 200 * time.Millisecond
	removedKeyID       = "removed-key-"
)

// keptRoute is the route of requests with the key that is kept.
var keptRoute = route{
	prefix: keyPrefix,
	body:   40,
	key:    keptKey,
}

// removedKeys holds the keys that configurations have removed. It is safe for concurrent use.
type removedKeys struct {
	mu      sync.Mutex
	removed []removedKey
}

// removedKey is a key with the time at which its removal was acknowledged.
type removedKey struct {
	key string
	at  time.Time
}

func (r *removedKeys) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = append(r.removed, removedKey{
		key: key,
		at:  time.Now(),
	})
}

// forget drops all keys: a store that has come back from an older copy may have them again.
func (r *removedKeys) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = nil
}

// latest returns the key removed last of those that must be refused by now.
func (r *removedKeys) latest() (key string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.removed {
		if time.Since(k.at) > revokeWithin {
			key, ok = k.key, true
		}
	}
	return key, ok
}

// keyOf returns the key that only one version of the configuration has.
func keyOf(version int) string { return fmt.Sprint("key-of-version-", version) }

// withKeys returns the customers of a configuration and its routes with one that needs a key. The
// others need none.
func withKeys(version int, routes []emulator.Route) ([]emulator.Customer, []emulator.Route) {
	for i := range routes {
		routes[i].Public = true
	}
	routes = append(routes, emulator.Route{Prefix: keyPrefix, Kind: "safe", Service: mainService})
	return []emulator.Customer{
		{Name: "rotating", Keys: []string{keyOf(version)}, Priority: 1},
		{Name: "steady", Keys: []string{keptKey}, Priority: 1},
	}, routes
}

// sendRemovedKeys sends requests with removed keys to a daemon until ctx ends.
func (s *soak) sendRemovedKeys(ctx context.Context, n *node) {
	c := emulator.NewClient(n.settings.Listen.Traffic)
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		if key, ok := s.removedKeys.latest(); ok {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			_, _ = c.Do(callCtx, emulator.Call{
				ID:      fmt.Sprint(removedKeyID, n.settings.Name, "-", i),
				Path:    keyPrefix + "x",
				Key:     key,
				Timeout: time.Second,
			})
			cancel()
		}
		select {
		case <-time.After(removedKeyInterval):
		case <-ctx.Done():
		}
	}
}

// cutOff removes a key while one daemon is cut off from the store and no daemon hears from another.
// Requests with that key are sent meanwhile; checkRemovedKeys reports those that reach a target.
func (s *soak) cutOff() {
	serving := s.nodesOf(mainService) // its own target is one that it may choose
	cut := serving[s.options.Seed%uint64(len(serving))]
	links := []*Link{cut.links[HopStore]}
	for _, n := range s.nodes {
		links = append(links, n.links[HopControl])
	}
	for _, l := range links {
		l.SetFault(Fault{
			StallToServer:   true,
			StallFromServer: true,
		})
	}
	s.declareConfig()
	time.Sleep(revokeWithin + evacuationCheckTime)
	for _, l := range links {
		l.SetFault(Fault{})
	}
	s.checkRecovery("cut", time.Now().Add(recoveryTimeout))
}

// checkRemovedKeys records a violation for each request with a removed key that reached a target.
func (s *soak) checkRemovedKeys() {
	for _, id := range s.ledger.arrivedIDs(removedKeyID) {
		s.ledger.AddViolation("keys: request %s was sent over %v after its key had been removed, and reached a target", id, revokeWithin)
	}
}

// arrivedIDs returns the IDs with a prefix of the requests that reached targets.
func (l *Ledger) arrivedIDs(prefix string) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, start := range l.starts {
		for _, a := range start.Arrivals {
			if strings.HasPrefix(a.ID, prefix) {
				ids = append(ids, a.ID)
			}
		}
	}
	return ids
}
