package prober

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Timing of failure detection inside a data centre.
const (
	// TickPeriod is the interval at which the caller runs Tick.
	TickPeriod = 100 * time.Millisecond
	// probePeriod is the interval between direct probes.
	probePeriod = 500 * time.Millisecond
	// suspectProbePeriod replaces probePeriod while any member is suspect,
	// because the same fault may have stopped other members too.
	suspectProbePeriod = 200 * time.Millisecond
	// probeTimeout is how long a probe waits for a direct answer before other
	// peers are asked to ping the member. The member becomes suspect if there
	// is no answer at all within indirectProbeTimeout of the first ping.
	probeTimeout         = 200 * time.Millisecond
	indirectProbeTimeout = 600 * time.Millisecond
	// indirectPingTimeout is how long a ping on behalf of a peer waits for an
	// answer.
	indirectPingTimeout = 5 * time.Second
	// The suspicion timeout is baseSuspicionTimeout multiplied by the decimal
	// logarithm of the number of members, and at least minSuspicionTimeout.
	baseSuspicionTimeout = 1500 * time.Millisecond
	minSuspicionTimeout  = 2 * time.Second
	// maxTickGap is the interval between two ticks that shows that the daemon
	// itself was paused. It then doesn't treat missing answers as failures of
	// its peers.
	maxTickGap = time.Second
	// isolationTimeout is the time without a message from any peer after which
	// the daemon treats itself as partitioned and stops declaring members
	// suspect or dead.
	isolationTimeout = 3 * time.Second
	// tombstoneTTL is how long a dead or departed member is kept in the table.
	tombstoneTTL = 10 * time.Minute
)

const (
	// indirectProbes is the number of peers asked to ping an unresponsive
	// member.
	indirectProbes = 3
	// maxIndirectAcks limits the peers that wait for an answer of the same
	// member.
	maxIndirectAcks = 16
	// maxHealthPenalty limits healthPenalty, and so how far timeouts grow.
	maxHealthPenalty = 3
	// lateTickPenalty is the minimum healthPenalty after a late tick.
	lateTickPenalty = 3
	// leaveFanout is the number of peers notified directly of a leave.
	leaveFanout = 8
)

// Options configures a Prober.
type Options struct {
	Table *Table
	Facts *spreader.Store
	Clock timekeeper.Clock
	// Seeds returns the control addresses of daemons to join through. The
	// result may differ between calls.
	Seeds func() []string
	// Random is the source of all random choices.
	Random *rand.Rand
	// OnNewFact, if not nil, is called with each new fact received from a peer. It
	// must not call the Prober.
	OnNewFact func(spreader.Fact)
}

// Prober runs the membership protocol of one daemon. It is safe for concurrent
// use.
type Prober struct {
	table     *Table
	facts     *spreader.Store
	clock     timekeeper.Clock
	seeds     func() []string
	onNewFact func(spreader.Fact)

	mu       sync.Mutex
	random   *rand.Rand
	started  time.Time
	lastTick time.Time
	// lastContact is when a message from a peer last arrived.
	lastContact time.Time
	// queuedIncarnation is the daemon's own incarnation that was last queued
	// for gossip.
	queuedIncarnation uint64
	// peers holds the other members of the data centre in probe order.
	// nextPeerIndex is the index of the next one to probe.
	peers         []string
	nextPeerIndex int
	nextProbe     time.Time
	// healthPenalty rises when the daemon itself may be slow. It scales the
	// timeouts of failure detection: 0 leaves them unchanged.
	healthPenalty int
	probes        map[string]*probe
	suspicions    map[string]suspicion
	indirectAcks  map[string]*indirectAcks
	tombstones    []tombstone

	// Updates to gossip to peers of the data centre.
	memberQueue *spreader.Queue[string, Member]
	factQueue   *spreader.Queue[uint64, spreader.Fact]
	reachQueue  *spreader.Queue[string, Reachability]
	// updateBytes, syncLimiter and exportLimiter limit the bytes per second that
	// gossip, anti-entropy and exports to other data centres may use.
	updateBytes tokenBucket
	syncLimiter tokenBucket
	nextSync    time.Time
	nextSeed    time.Time
	// hints holds control addresses for the next digest exchanges.
	hints []string

	// State of a gateway's exchange with other data centres.
	remotes        map[string]*remote
	cachedGateways map[string]cachedGateways
	reachability   map[string]Reachability
	// memberExports and factExports wait to be sent to other data centres.
	memberExports   []Member
	factExports     []spreader.Fact
	exportLimiter   tokenBucket
	nextExport      time.Time
	nextCrossDCSync time.Time
}

// probe is a ping that has not been answered yet.
type probe struct {
	sent time.Time
	// indirectSent is set once other peers have been asked to ping the member.
	indirectSent bool
}

// indirectAcks holds the calls to make when a member answers a ping sent on
// behalf of others.
type indirectAcks struct {
	calls   []Call
	expires time.Time
}

// suspicion is the deadline by which a suspect has to refute its status.
type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

// tombstone is a dead or departed member that is removed after tombstoneTTL.
type tombstone struct {
	version MemberVersion
	created time.Time
}

// New returns a Prober. The caller must call Tick every TickPeriod.
func New(o Options) *Prober {
	now := o.Clock.Now()
	p := &Prober{
		table:          o.Table,
		facts:          o.Facts,
		clock:          o.Clock,
		seeds:          o.Seeds,
		onNewFact:      o.OnNewFact,
		random:         o.Random,
		started:        now,
		lastTick:       now,
		lastContact:    now,
		probes:         map[string]*probe{},
		suspicions:     map[string]suspicion{},
		indirectAcks:   map[string]*indirectAcks{},
		memberQueue:    spreader.NewQueue[string, Member](),
		factQueue:      spreader.NewQueue[uint64, spreader.Fact](),
		reachQueue:     spreader.NewQueue[string, Reachability](),
		updateBytes:    newBucket(gossipRate, gossipBurst, now),
		syncLimiter:    newBucket(syncRate, syncBurst, now),
		exportLimiter:  newBucket(exportRate, exportBurst, now),
		remotes:        map[string]*remote{},
		cachedGateways: map[string]cachedGateways{},
		reachability:   map[string]Reachability{},
	}
	return p
}

// Tick does the work that is due and returns the calls to make.
func (p *Prober) Tick() []Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.detectPause(now)
	p.removeExpired(now)
	p.queueSelf(now)
	if p.table.Self().Status == Left {
		return p.gossip(now)
	}
	calls := p.checkProbes(now)
	p.declareDead(now)
	calls = append(calls, p.startProbe(now)...)
	calls = append(calls, p.gossip(now)...)
	calls = append(calls, p.startSync(now)...)
	return append(calls, p.crossDCCalls(now)...)
}

// HandleMessage handles a message from a peer. It returns the answer and any further
// calls to make.
func (p *Prober) HandleMessage(m Message) (Message, []Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.applyMessage(m, now)
	answer := p.newMessage("")
	var calls []Call
	switch m.Kind {
	case Ping:
		p.piggyback(&answer, now)
	case PingRequest:
		calls = p.probeOnBehalf(m, now)
	case IndirectAck:
		p.completeProbe(m.Subject)
	case Sync:
		calls = p.answerSync(m, &answer, now)
	case Compare:
		p.answerCompare(m, &answer, now)
	}
	p.appendCorrections(m, &answer)
	return answer, calls
}

// HandleAnswer handles the answer to a call and returns any further calls to make.
func (p *Prober) HandleAnswer(c Call, answer Message) []Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.applyMessage(answer, now)
	p.completeProbe(answer.From)
	calls := p.takeIndirectAcks(answer.From)
	calls = append(calls, p.sendWanted(c, answer)...)
	if c.Message.Kind == Sync {
		calls = append(calls, p.handleSyncAnswer(c, answer, now)...)
	}
	return calls
}

// Leave returns calls that send the daemon's own entry to several peers and to
// a gateway of each other data centre at once. It is used after the daemon has
// set its own status to Left.
func (p *Prober) Leave() []Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queueSelf(p.clock.Now())
	var calls []Call
	for range leaveFanout {
		calls = append(calls, p.callPeer(p.randomPeer(""), p.newPush(p.table.Self()))...)
	}
	for _, dc := range p.table.DataCentres() {
		if m, ok := p.randomGateway(dc); ok && dc != p.table.Self().DC {
			calls = append(calls, callMember(m, p.newPush(p.table.Self())))
		}
	}
	return calls
}

// AddHint adds the control address of a daemon that may be unknown here. One of
// the next digest exchanges goes to it.
func (p *Prober) AddHint(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hints) < maxHints {
		p.hints = append(p.hints, address)
	}
}

// BroadcastFact queues a fact of the daemon's own for gossip.
func (p *Prober) BroadcastFact(f spreader.Fact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queueFact(f, p.clock.Now())
	p.factExports = append(p.factExports, f)
}

func (p *Prober) newMessage(kind Kind) Message {
	self := p.table.Self()
	return Message{
		Kind: kind,
		From: self.ID,
		DC:   self.DC,
	}
}

// newPush returns a Push message with the given members.
func (p *Prober) newPush(members ...Member) Message {
	m := p.newMessage(Push)
	m.Members = members
	return m
}

// callMember returns the call that sends msg to m.
func callMember(m Member, msg Message) Call {
	return Call{
		To:      m.Control,
		ID:      m.ID,
		Message: msg,
	}
}

// callPeer returns the call that sends msg to the member with the given ID, or
// nil if the member is unknown, has no control address or is the daemon itself.
func (p *Prober) callPeer(id string, msg Message) []Call {
	m, ok := p.table.Get(id)
	if !ok || m.Control == "" || m.Control == p.table.Self().Control {
		return nil
	}
	return []Call{callMember(m, msg)}
}

// isolated reports whether the daemon may itself be partitioned from its peers.
func (p *Prober) isolated(now time.Time) bool { return now.Sub(p.lastContact) >= isolationTimeout }

// scaled returns the timeout t lengthened in proportion to the daemon's own
// health penalty.
func (p *Prober) scaled(t time.Duration) time.Duration { return t * time.Duration(1+p.healthPenalty) }

// startProbe pings the next member in probe order if a probe is due.
func (p *Prober) startProbe(now time.Time) []Call {
	if now.Before(p.nextProbe) {
		return nil
	}
	p.nextProbe = now.Add(p.probePeriod())
	id := p.nextPeer()
	if id == "" || p.probes[id] != nil {
		return nil
	}
	p.probes[id] = &probe{sent: now}
	return p.callPeer(id, p.newPing(id, now))
}
