package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	// Kill, Pause, Stop and Reload send a signal to a daemon: SIGKILL, SIGSTOP,
	// SIGTERM or SIGHUP. After the event's length, a daemon that was killed or
	// stopped is started again, and a paused one resumes. A Stop may pause the daemon
	// during its graceful shutdown.
	Kill   Kind = "kill"
	Pause  Kind = "pause"
	Stop   Kind = "stop"
	Reload Kind = "reload"
	// Delay, Reset, StallBoth, StallRequests and StallResponses are faults of one
	// link. Reset resets its connections, StallRequests stalls the data to the
	// server, StallResponses the data from it, and StallBoth both.
	Delay          Kind = "delay"
	Reset          Kind = "reset"
	StallBoth      Kind = "silence"
	StallRequests  Kind = "stall to server"
	StallResponses Kind = "stall from server"
	// The Store kinds are faults of the store. StoreUnresponsive leaves calls
	// without a response, StoreRefuse responds with status 503, StoreSlow delays
	// responses, StoreLoseResponses applies changes without a response,
	// StoreRevokeLeases revokes all leases, StorePauseLeases keeps leases from
	// expiring, StoreCompact compacts the history, and StoreRestore brings the store back
	// from a copy that is older by the event's length.
	StoreUnresponsive  Kind = "store unresponsive"
	StoreRefuse        Kind = "store responds with 503"
	StoreSlow          Kind = "store slow"
	StoreLoseResponses Kind = "store loses responses"
	StoreRevokeLeases  Kind = "store revokes all leases"
	StorePauseLeases   Kind = "store stops expiring leases"
	StoreCompact       Kind = "store compacts its history"
	StoreRestore       Kind = "store comes back from an older copy"
	// Crash, Drain, Slow, Fail, LoseResponses, Shed, EndlessHeads and EndlessBodies
	// are faults and state changes of a target. LoseResponses closes connections in
	// place of a response, and Shed rejects requests with status 503. The responses
	// of the last two do not end.
	Crash         Kind = "target crashes"
	Drain         Kind = "target drains"
	Slow          Kind = "target slow"
	Fail          Kind = "target fails requests"
	LoseResponses Kind = "target loses responses"
	Shed          Kind = "target sheds load"
	EndlessHeads  Kind = "target sends heads without end"
	EndlessBodies Kind = "target sends bodies without end"
	// Declare, Evacuate and Move are changes that an operator makes: a new
	// configuration, the evacuation of a zone for the event's length, and the
	// move of the main service to another version.
	Declare  Kind = "new configuration"
	Evacuate Kind = "zone evacuated"
	Move     Kind = "move"
)

// Hop identifies a link between a daemon and one of its peers.
type Hop string

// Links of a daemon.
const (
	// HopAdmit and HopControl carry connections from the other daemons to its
	// admit and control addresses. HopStore leads to the store and HopTarget to
	// the target. HopReport carries the target's reports to the daemon.
	HopAdmit   Hop = "admit"
	HopControl Hop = "control"
	HopStore   Hop = "store"
	HopTarget  Hop = "target"
	HopReport  Hop = "report"
)

// Event is a fault or a change during a soak.
type Event struct {
	// At is the time since the start of fault injection, and Length how long the
	// event lasts.
	At     time.Duration
	Length time.Duration
	Kind   Kind
	// Node is the index of the node whose daemon, target, links or zone the event
	// affects.
	Node int
	// Hop is the link that a link fault affects.
	Hop Hop
	// Bad makes a move's new version fail requests.
	Bad bool
	// Pauses are the pauses of a daemon during its graceful shutdown, for Stop.
	Pauses []ShutdownPause
}

// ShutdownPause is a pause of a daemon that is shutting down. After is the time
// from SIGTERM, or from the end of the previous pause, to the start of this one.
type ShutdownPause struct {
	After, Length time.Duration
}

// weights are the relative frequencies of the kinds.
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
	{StallBoth, 4},
	{StallRequests, 4},
	{StallResponses, 4},
	{StoreUnresponsive, 2},
	{StoreRefuse, 2},
	{StoreSlow, 1},
	{StoreLoseResponses, 2},
	{StoreRevokeLeases, 2},
	{StorePauseLeases, 1},
	{StoreCompact, 1},
	{Crash, 4},
	{Drain, 3},
	{Slow, 2},
	{Fail, 2},
	{LoseResponses, 2},
	{Shed, 2},
	{Declare, 4},
	{Evacuate, 2},
	{Move, 1},
}

// Times of events.
const (
	// meanEventGap is the mean time between two events.
	meanEventGap = 400 * time.Millisecond
	// meanEndlessGap is the mean time between two events of the endless kinds.
	meanEndlessGap = 8 * time.Second
	// meanRestoreGap is the mean time between two events of the kind StoreRestore.
	meanRestoreGap = 10 * time.Second
	// minEventLength and maxEventLength are the limits of an event's length.
	minEventLength = 100 * time.Millisecond
	maxEventLength = 3 * time.Second
	// maxStoreFaultLength is the maximum length of a store fault. It is shorter
	// than a lease's time to live. StoreRevokeLeases covers the loss of leases.
	maxStoreFaultLength = 5 * time.Second
	// movePeriod is the period within which a requested move must complete.
	movePeriod = 6 * time.Second
	// sameNodeProbability is the probability that an event affects the node of the
	// previous event.
	sameNodeProbability = 0.3
	// pausedStopProbability is the probability that a daemon is paused during its
	// graceful shutdown, again and again for at most shutdownPausePeriod.
	pausedStopProbability = 0.5
	shutdownPausePeriod   = 5 * time.Second
	// minShutdownPause and maxShutdownPause are the limits of the length of such a
	// pause, and maxShutdownRun of the time to the next one.
	minShutdownPause = 100 * time.Millisecond
	maxShutdownPause = 600 * time.Millisecond
	maxShutdownRun   = time.Second
)

// GenerateEvents returns the events of a soak in order of their time. The same seed
// gives the same events.
func GenerateEvents(seed uint64, nodes int, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	pauseRandom := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var events []Event
	hasMove := false
	node := 0
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanEventGap))
		if at >= length {
			break
		}
		if random.Float64() >= sameNodeProbability {
			node = random.IntN(nodes)
		}
		e := Event{
			At:     at,
			Length: minEventLength + time.Duration(random.Float64()*float64(maxEventLength-minEventLength)),
			Node:   node,
			Kind:   pickKind(random.IntN(total)),
			Hop:    pickHop(random),
			Bad:    random.IntN(2) == 0,
		}
		switch {
		case e.Kind == Move && (hasMove || length-at < movePeriod):
			continue
		case e.Kind == Move:
			hasMove = true
		case e.Kind == Stop && pauseRandom.Float64() < pausedStopProbability:
			e.Pauses = generateShutdownPauses(pauseRandom)
		case slices.Contains([]Kind{StoreUnresponsive, StoreRefuse, StoreSlow, StoreLoseResponses, StorePauseLeases}, e.Kind):
			e.Length = minEventLength + time.Duration(random.Float64()*float64(maxStoreFaultLength-minEventLength))
		}
		events = append(events, e)
	}
	events = append(events, generateSeparate(seed, 2, nodes, length, meanEndlessGap, EndlessHeads, EndlessBodies)...)
	events = append(events, generateSeparate(seed, 3, nodes, length, meanRestoreGap, StoreRestore)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// generateShutdownPauses returns the pauses of one graceful shutdown.
func generateShutdownPauses(random *rand.Rand) []ShutdownPause {
	var pauses []ShutdownPause
	for total := time.Duration(0); ; {
		p := ShutdownPause{
			After:  time.Duration(random.Float64() * float64(maxShutdownRun)),
			Length: minShutdownPause + time.Duration(random.Float64()*float64(maxShutdownPause-minShutdownPause)),
		}
		if total += p.After + p.Length; total > shutdownPausePeriod {
			return pauses
		}
		pauses = append(pauses, p)
	}
}

// generateSeparate returns events of some kinds. They have a random source of their own, so that
// the other events of a seed do not depend on them.
func generateSeparate(seed, stream uint64, nodes int, length, meanGap time.Duration, kinds ...Kind) []Event {
	random := rand.New(rand.NewPCG(seed, stream))
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= length {
			return events
		}
		events = append(events, Event{
			At:     at,
			Length: minEventLength + time.Duration(random.Float64()*float64(maxEventLength-minEventLength)),
			Node:   random.IntN(nodes),
			Kind:   kinds[random.IntN(len(kinds))],
		})
	}
}

// pickKind returns the kind at index n when each kind is repeated by its weight.
func pickKind(n int) Kind {
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
