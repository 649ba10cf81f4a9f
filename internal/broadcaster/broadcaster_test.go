package broadcaster_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/broadcaster"
)

const (
	callTimeout = time.Second
	latency     = 10 * time.Millisecond
	// deliveryTimeout is the time within which an event is to arrive.
	deliveryTimeout = 2*callTimeout + 2*latency
)

var errTimeout = errors.New("timeout")

// network is a set of daemons in memory.
type network struct {
	daemons map[string]*broadcaster.Broadcaster
	silent  map[string]bool

	mu sync.Mutex
	// arrivals holds the first time at which the event arrived, and calls the number of
	// calls that each daemon has made.
	arrivals map[string]time.Time
	calls    map[string]int
}

// newNetwork returns a network of daemons. Every silentEvery-th one is silent, or none if
// it is 0. Every oldEvery-th one knows only the method of the event.
func newNetwork(daemons, silentEvery, oldEvery int) *network {
	n := &network{
		daemons:  map[string]*broadcaster.Broadcaster{},
		silent:   map[string]bool{},
		arrivals: map[string]time.Time{},
		calls:    map[string]int{},
	}
	for i := range daemons {
		address := fmt.Sprint("daemon-", i)
		n.silent[address] = silentEvery > 0 && i%silentEvery == 1
		isOld := oldEvery > 0 && i%oldEvery == 2
		n.daemons[address] = &broadcaster.Broadcaster{
			Call: func(to, method string, params any) error {
				return n.call(address, to, method, params)
			},
			Handle: func(method string, _ json.RawMessage) error {
				if isOld && method == broadcaster.RelayMethod {
					return errors.New("unknown method")
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				if n.arrivals[address].IsZero() {
					n.arrivals[address] = time.Now()
				}
				return nil
			},
		}
		if isOld {
			n.daemons[address].Call = nil // it passes nothing on
		}
	}
	return n
}

// call makes one call.
func (n *network) call(from, to, method string, params any) error {
	n.mu.Lock()
	n.calls[from]++
	n.mu.Unlock()
	if n.silent[to] {
		time.Sleep(callTimeout)
		return errTimeout
	}
	time.Sleep(latency)
	d := n.daemons[to]
	if r, ok := params.(broadcaster.Relay); ok && d.Call != nil {
		return d.HandleRelay(r)
	}
	return d.Handle(method, nil)
}

// others returns the addresses of all daemons but the first.
func (n *network) others() []string {
	var addresses []string
	for i := 1; i < len(n.daemons); i++ {
		addresses = append(addresses, fmt.Sprint("daemon-", i))
	}
	return addresses
}

// TestSendReachesAll sends an event and checks that all daemons that answer have it in
// time, and how many calls a daemon makes at most.
func TestSendReachesAll(t *testing.T) {
	for name, c := range map[string]struct {
		daemons, silentEvery, oldEvery int
		maxCalls                       int
	}{
		"few":                           {daemons: 10, maxCalls: 9},
		"195":                           {daemons: 195, maxCalls: 14},
		"1000":                          {daemons: 1000, maxCalls: 32},
		"200, a third silent":           {daemons: 200, silentEvery: 3, maxCalls: 200},
		"1000, a third silent":          {daemons: 1000, silentEvery: 3, maxCalls: 500},
		"200, some of an older version": {daemons: 200, oldEvery: 5, maxCalls: 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(c.daemons, c.silentEvery, c.oldEvery)
				start := time.Now()
				if err := n.daemons["daemon-0"].Send("crash", "report", n.others()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(deliveryTimeout + 2*callTimeout) // until all calls have ended
				synctest.Wait()
				for _, address := range n.others() {
					arrival := n.arrivals[address]
					if !n.silent[address] && (arrival.IsZero() || arrival.Sub(start) > deliveryTimeout) {
						t.Errorf("event at %s at %v, want it within %v of %v", address, arrival, deliveryTimeout, start)
					}
				}
				for address, calls := range n.calls {
					if calls > c.maxCalls {
						t.Errorf("%s made %d calls, want at most %d", address, calls, c.maxCalls)
					}
				}
			})
		})
	}
}

// TestHugeRelayIsRefused guards against a message that makes a daemon call many others.
func TestHugeRelayIsRefused(t *testing.T) {
	b := &broadcaster.Broadcaster{
		Call:   func(string, string, any) error { t.Error("passed on"); return nil },
		Handle: func(string, json.RawMessage) error { t.Error("handled"); return nil },
	}
	if err := b.HandleRelay(broadcaster.Relay{To: make([]string, 5000)}); err == nil {
		t.Error("no error")
	}
}
