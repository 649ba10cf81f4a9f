// Package broadcaster sends an event to all daemons, with a number of calls by each of
// them that grows with the square root of the number of daemons.
//
// The sender divides the receivers into groups and calls one daemon of each group, which
// handles the event and passes it on to the rest of its group. If two of a group don't
// answer, the sender calls the others itself. So an event arrives within two call timeouts
// and two calls, at all daemons that answer, unless a daemon fails while it passes it on.
// An event may arrive more than once.
package broadcaster

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("broadcaster")

const (
	// maxDirect is the largest number of receivers that the sender calls itself.
	maxDirect = 128
	// maxHeads is the number of daemons of a group that are asked to pass an event on
	// before the sender calls the rest of the group itself.
	maxHeads = 2
	// maxRelayed bounds the receivers to which a daemon passes an event on.
	maxRelayed = 1024
)

// RelayMethod is the method by which a daemon is asked to handle an event and to pass it on.
const RelayMethod = "relay"

// Relay holds the parameters of RelayMethod.
type Relay struct {
	// Method and Params are those of the event.
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	// To holds the addresses to which the event is to be passed on.
	To []string `json:"to"`
}

// Broadcaster sends events and passes on those of others. It is safe for concurrent use.
type Broadcaster struct {
	// Call calls a method of the daemon at an address and returns an error if that has
	// not answered.
	Call func(address, method string, params any) error
	// Handle handles an event that another daemon has sent.
	Handle func(method string, params json.RawMessage) error
}

// Send sends an event to the daemons at the addresses. It does not wait for them.
func (b *Broadcaster) Send(method string, params any, to []string) error {
	if len(to) <= maxDirect {
		b.callAll(method, params, to)
		return nil
	}
	data, err := json.Marshal(params)
	if err != nil {
		return Class.Wrap(err)
	}
	to = slices.Clone(to)
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	size := int(math.Ceil(math.Sqrt(float64(len(to)))))
	for group := range slices.Chunk(to, size) {
		go b.sendToGroup(method, data, group)
	}
	return nil
}

// sendToGroup sends an event to a group of daemons.
func (b *Broadcaster) sendToGroup(method string, params json.RawMessage, group []string) {
	for range min(maxHeads, len(group)-1) {
		head, rest := group[0], group[1:]
		r := Relay{
			Method: method,
			Params: params,
			To:     rest,
		}
		if b.Call(head, RelayMethod, r) == nil {
			return
		}
		// A daemon of an older version has no RelayMethod.
		b.callAll(method, params, group[:1])
		group = rest
	}
	b.callAll(method, params, group)
}

// HandleRelay handles an event and passes it on.
func (b *Broadcaster) HandleRelay(r Relay) error {
	if len(r.To) > maxRelayed {
		return Class.New("event for %d daemons, at most %d", len(r.To), maxRelayed)
	}
	if err := b.Handle(r.Method, r.Params); err != nil {
		return err
	}
	b.callAll(r.Method, r.Params, r.To)
	return nil
}

// callAll calls a method of several daemons. It does not wait for them.
func (b *Broadcaster) callAll(method string, params any, to []string) {
	for _, address := range to {
		go func() { _ = b.Call(address, method, params) }() // Call counts failures
	}
}
