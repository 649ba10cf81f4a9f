package emulator

import (
	"math/rand/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Frequencies of the random choices of a schedule. A choice with the value n happens
// once in n calls or turns on average.
const (
	// pauseOneIn is the frequency at which a client is paused at its turn.
	pauseOneIn = 60
	// outageOneIn is the frequency at which an outage starts at a call.
	outageOneIn = 150
	// faultOneIn is the frequency at which a call gets a fault that is drawn from
	// all kinds, including FaultNone.
	faultOneIn = 6
	// delayedCallOneIn is the frequency at which a delayed call is executed before
	// a call.
	delayedCallOneIn = 8
)

const (
	// maxPauseTurns bounds the length of a client's pause, in turns of the client.
	maxPauseTurns = 300
	// maxOutageCalls bounds the length of an outage, in calls.
	maxOutageCalls = 20
)

// Schedule runs clients of a platform one at a time, from one call to the next.
// The seed alone determines the order of the calls, the pauses of the clients and
// the faults. The same seed repeats the same history.
type Schedule struct {
	platform storer.Platform
	random   *rand.Rand
	clients  []*scheduledClient
	// delayedCalls are delayed calls that have not been executed yet.
	delayedCalls []func()
	// outageCalls is the number of calls until the outage ends.
	outageCalls int
	// lastTick is the last value that Tick returned.
	lastTick int64
}

// scheduledClient is one client of a Schedule.
type scheduledClient struct {
	// nextFault receives the fault of the client's next call. The client then
	// continues.
	nextFault chan Fault
	// ready receives a value when the client waits before a call. It is closed
	// when the client has ended.
	ready chan bool
	// pausedTurns is the number of turns for which the client stays paused.
	pausedTurns int
}

// NewSchedule returns a schedule without clients.
func NewSchedule(platform storer.Platform, seed uint64) *Schedule {
	return &Schedule{
		platform: platform,
		random:   rand.New(rand.NewPCG(seed, 4)),
	}
}

// Tick advances the logical time of the history by one and returns it.
func (s *Schedule) Tick() int64 {
	s.lastTick++
	return s.lastTick
}

// Add starts a client. It calls run with the platform that the client must use
// and returns when the client waits before its first call or has ended.
func (s *Schedule) Add(run func(p storer.Platform)) {
	c := &scheduledClient{
		nextFault: make(chan Fault),
		ready:     make(chan bool),
	}
	injector := Injector{
		Inner: s.platform,
		NextFault: func() Fault {
			c.ready <- true
			return <-c.nextFault
		},
		OnDelayed: func(call func()) { s.delayedCalls = append(s.delayedCalls, call) },
	}
	go func() {
		defer close(c.ready)
		run(injector.Platform())
	}()
	if <-c.ready {
		s.clients = append(s.clients, c)
	}
}

// Run runs all clients to their end and then executes the remaining delayed
// calls.
func (s *Schedule) Run() {
	for len(s.clients) > 0 {
		s.step()
	}
	for len(s.delayedCalls) > 0 {
		s.runDelayedCall()
	}
}

// step lets one client make its call and run to the next one, unless the client
// is paused.
func (s *Schedule) step() {
	i := s.random.IntN(len(s.clients))
	c := s.clients[i]
	if s.random.IntN(pauseOneIn) == 0 {
		c.pausedTurns = s.random.IntN(maxPauseTurns)
	}
	if c.pausedTurns > 0 {
		c.pausedTurns--
		return
	}
	if s.random.IntN(delayedCallOneIn) == 0 {
		s.runDelayedCall()
	}
	c.nextFault <- s.drawFault()
	if !<-c.ready {
		s.clients = append(s.clients[:i], s.clients[i+1:]...)
	}
}

// runDelayedCall executes one delayed call, chosen at random.
func (s *Schedule) runDelayedCall() {
	if len(s.delayedCalls) == 0 {
		return
	}
	i := s.random.IntN(len(s.delayedCalls))
	s.delayedCalls[i]()
	s.delayedCalls = append(s.delayedCalls[:i], s.delayedCalls[i+1:]...)
}

// drawFault returns a random fault for a call. During an outage all calls fail
// with FaultRefuse or FaultDrop.
func (s *Schedule) drawFault() Fault {
	if s.random.IntN(outageOneIn) == 0 {
		s.outageCalls = s.random.IntN(maxOutageCalls)
	}
	if s.outageCalls > 0 {
		s.outageCalls--
		return FaultRefuse + Fault(s.random.IntN(2))
	}
	if s.random.IntN(faultOneIn) > 0 {
		return FaultNone
	}
	return Fault(s.random.IntN(int(FaultKinds)))
}
