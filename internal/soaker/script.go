package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what an event does.
type Kind string

// Kinds of events.
const (
	// Kill, Pause, Stop and Reload send a signal to a daemon; it is started
	// again, or continued, after the event's length.
	Kill   Kind = "kill"
	Pause  Kind = "pause"
	Stop   Kind = "stop"
	Reload Kind = "reload"
	// Delay, Reset, Silence, CutForth and CutBack disturb one link.
	Delay    Kind = "delay"
	Reset    Kind = "reset"
	Silence  Kind = "silence"
	CutForth Kind = "cut forth"
	CutBack  Kind = "cut back"
	// StoreSilent, StoreRefuse, StoreSlow, StoreLose, StoreLapse, StorePause and
	// StoreForget are faults of the store.
	StoreSilent Kind = "store silent"
	StoreRefuse Kind = "store refuses"
	StoreSlow   Kind = "store slow"
	StoreLose   Kind = "store loses answers"
	StoreLapse  Kind = "store's leases lapse"
	StorePause  Kind = "store's leases don't lapse"
	StoreForget Kind = "store forgets its history"
	// Crash, Drain, Slow, Fail, Lose and Shed are what targets do.
	Crash Kind = "target crashes"
	Drain Kind = "target drains"
	Slow  Kind = "target slow"
	Fail  Kind = "target fails requests"
	Lose  Kind = "target loses answers"
	Shed  Kind = "target sheds"
	// Declare, Evacuate and Move are changes of operators.
	Declare  Kind = "new configuration"
	Evacuate Kind = "zone out"
	Move     Kind = "move"
)

// Hop names a link of a daemon.
type Hop string

// Links of a daemon.
const (
	// HopAdmit and HopControl lead from the other daemons, HopStore to the
	// store, HopTarget to the target and HopReport from it.
	HopAdmit   Hop = "admit"
	HopControl Hop = "control"
	HopStore   Hop = "store"
	HopTarget  Hop = "target"
	HopReport  Hop = "report"
)

// Event is one thing that happens during a soak.
type Event struct {
	// At is the time since the soak began, and Length how long it lasts.
	At     time.Duration
	Length time.Duration
	Kind   Kind
	// Node is the daemon that it happens to, or at whose target.
	Node int
	// Hop is the link that is disturbed.
	Hop Hop
	// Bad makes the version of a move a bad one.
	Bad bool
}

// weights says how often each kind comes up.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4},
	{Pause, 5},
	{Stop, 4},
	{Reload, 1},
	{Delay, 3},
	{Reset, 4},
	{Silence, 4},
	{CutForth, 4},
	{CutBack, 4},
	{StoreSilent, 2},
	{StoreRefuse, 2},
	{StoreSlow, 1},
	{StoreLose, 2},
	{StoreLapse, 2},
	{StorePause, 1},
	{StoreForget, 1},
	{Crash, 4},
	{Drain, 3},
	{Slow, 2},
	{Fail, 2},
	{Lose, 2},
	{Shed, 2},
	{Declare, 4},
	{Evacuate, 2},
	{Move, 1},
}

// Times of events.
const (
	// eventGap is the mean time between two events.
	eventGap = 400 * time.Millisecond
	// shortest and longest bound how long one lasts.
	shortest = 100 * time.Millisecond
	longest  = 3 * time.Second
	// longStore is the same for the store's faults, and most longer than a lease
	// is not needed: leases lapse by an event of their own.
	longStore = 5 * time.Second
	// movePeriod is the time that a move is given.
	movePeriod = 6 * time.Second
	// series is the part of the events that hit the node of the one before.
	series = 0.3
)

// Script returns what happens in a soak, in order of time. The same seed gives
// the same events.
func Script(seed uint64, nodes int, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var events []Event
	moved := false
	node := 0
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(eventGap))
		if at >= length {
			break
		}
		if random.Float64() >= series {
			node = random.IntN(nodes)
		}
		e := Event{
			At:     at,
			Length: shortest + time.Duration(random.Float64()*float64(longest-shortest)),
			Node:   node,
			Kind:   pick(random.IntN(total)),
			Hop:    pickHop(random),
			Bad:    random.IntN(2) == 0,
		}
		switch {
		case e.Kind == Move && (moved || length-at < movePeriod):
			continue
		case e.Kind == Move:
			moved = true
		case slices.Contains([]Kind{StoreSilent, StoreRefuse, StoreSlow, StoreLose, StorePause}, e.Kind):
			e.Length = shortest + time.Duration(random.Float64()*float64(longStore-shortest))
		}
		events = append(events, e)
	}
	return events
}

func pick(n int) Kind {
	for _, w := range weights {
		if n < w.weight {
			return w.kind
		}
		n -= w.weight
	}
	return Reload
}

func pickHop(random *rand.Rand) Hop {
	hops := []Hop{HopAdmit, HopAdmit, HopControl, HopControl, HopStore, HopTarget, HopReport}
	return hops[random.IntN(len(hops))]
}
