package distributor

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Times of head exchanges.
const (
	// exchangePeriod is the mean interval at which a daemon exchanges heads with a
	// random peer.
	exchangePeriod = time.Second
	// startupPeriod is the same for a daemon that is not ready.
	startupPeriod = 250 * time.Millisecond
	// singlePeerDelay is the time since the start after which the head of one ready
	// peer, rather than of requiredPeers, is enough for a node to become ready.
	singlePeerDelay = 2 * time.Second
	// localTimeout and remoteTimeout are the timeouts of a call within the data
	// centre and to another one.
	localTimeout  = 500 * time.Millisecond
	remoteTimeout = time.Second
)

// Numbers of peers, and limits of lists.
const (
	// requiredPeers is the number of ready peers whose heads a starting node needs
	// to determine the revision that it must reach.
	requiredPeers = 3
	// remoteExchangers is the average number of daemons of a data centre that
	// exchange heads with another data centre in each period. They are chosen at
	// random among all daemons, so that the loss of all relays does not isolate the
	// data centre.
	remoteExchangers = 4
	// maxSources bounds the peers that are kept as sources of fetches.
	maxSources = 8
	// maxDeferred bounds the pushes that wait for earlier entries.
	maxDeferred = 64
	// maxSeen bounds the pushes that are kept to detect duplicates.
	maxSeen = 256
)

// Options are the parameters of New.
type Options struct {
	// Self is the local daemon.
	Self  prober.Member
	Clock timekeeper.Clock
	// Seed determines, with the ID of Self, the random choices.
	Seed uint64
	// Apply and Restore compute states from entries and snapshots. Nil means
	// (*applier.State).Apply and applier.Restore.
	Apply   func(*applier.State, applier.Entry) (*applier.State, error)
	Restore func(applier.Snapshot) (*applier.State, error)
}

// Counts are the event counters of a Node since it started.
type Counts struct {
	// Applied counts log entries, and Restored snapshots, that replaced the state.
	Applied  uint64
	Restored uint64
	// Rejected counts entries and snapshots that were damaged or did not apply to
	// the state.
	Rejected uint64
	// Duplicates counts pushes that were received more than once.
	Duplicates uint64
	// Fetches counts fetches sent, Served fetches answered, and Refused fetches
	// refused because of the rate limit.
	Fetches uint64
	Served  uint64
	Refused uint64
	// Diverged counts heads received with the node's revision but another digest.
	Diverged uint64
}

// Node keeps the configuration of one daemon up to date and forwards log entries to
// its peers. It is safe for concurrent use.
type Node struct {
	self    Peer
	clock   timekeeper.Clock
	started time.Time
	apply   func(*applier.State, applier.Entry) (*applier.State, error)
	restore func(applier.Snapshot) (*applier.State, error)

	mu           sync.Mutex
	random       *rand.Rand
	view         View
	state        *applier.State
	recentLog    recentLog
	lastSnapshot packedSnapshot
	replyLimiter *rate.Limiter
	counts       Counts

	// requiredRevision is the highest revision received from a ready peer. The node
	// is not ready below it. readyPeers are the IDs of the ready peers that sent a
	// head before the node was ready. platformHeadSeen means that the platform's head
	// was received.
	requiredRevision uint64
	readyPeers       map[string]bool
	platformHeadSeen bool
	ready            bool

	// highestKnown is the highest revision known to exist. sources are peers with a
	// higher revision than the node had. deferred are pushes whose entries do not
	// apply yet. seen are the last pushes, oldest first.
	highestKnown uint64
	sources      []Peer
	deferred     []Push
	seen         []pushKey

	exchangeAt time.Time
	// fetchAt is when the next fetch is due; zero means that none is. fetchAttempts
	// counts those that failed in a row.
	fetchAt       time.Time
	fetching      bool
	fetchAttempts int
}

// pushKey identifies a push.
type pushKey struct {
	revision uint64
	span     Span
}

// New returns a Node with the empty configuration.
func New(o Options) *Node {
	n := &Node{
		self:         NewPeer(o.Self),
		clock:        o.Clock,
		started:      o.Clock.Now(),
		apply:        o.Apply,
		restore:      o.Restore,
		state:        &applier.State{},
		replyLimiter: newReplyLimiter(),
		readyPeers:   map[string]bool{},
	}
	n.random = rand.New(rand.NewPCG(o.Seed, n.self.hash))
	if n.apply == nil {
		n.apply = (*applier.State).Apply
	}
	if n.restore == nil {
		n.restore = applier.Restore
	}
	n.exchangeAt = n.started.Add(n.jitter(startupPeriod))
	return n
}

// jitter returns a random duration in (0, d].
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d)) + 1)
}

// SetView replaces the membership.
func (n *Node) SetView(v View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = v
}

// State returns the node's configuration. The daemon uses it once the node is ready.
func (n *Node) State() *applier.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

// Counts returns a copy of the event counters.
func (n *Node) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Rank returns the node's rank among the relay candidates of its data centre; ok is
// false if it is not one of them.
func (n *Node) Rank() (rank int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Rank(n.self.ID)
}

// NextTick returns when Tick is due.
func (n *Node) NextTick() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.fetching && !n.fetchAt.IsZero() && n.fetchAt.Before(n.exchangeAt) {
		return n.fetchAt
	}
	return n.exchangeAt
}

// Tick returns the calls that are due: head exchanges and fetches.
func (n *Node) Tick() []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.updateReady()
	var calls []Call
	if !now.Before(n.exchangeAt) {
		calls = n.exchangeHeads()
		period := exchangePeriod
		if !n.ready {
			period = startupPeriod
		}
		n.exchangeAt = now.Add(period/2 + n.jitter(period))
	}
	if !n.fetching && !n.fetchAt.IsZero() && !now.Before(n.fetchAt) {
		calls = append(calls, n.fetch()...)
	}
	return calls
}

// exchangeHeads returns calls that exchange heads with random peers: one in the data
// centre, and occasionally one in another. A node that is not ready calls up to
// requiredPeers in its data centre and always one in another.
func (n *Node) exchangeHeads() []Call {
	peers := 1
	if !n.ready {
		peers = requiredPeers
	}
	var calls []Call
	for range peers {
		if p, ok := n.randomLocal(); ok {
			calls = append(calls, n.newCall(p, Message{}))
		}
	}
	if n.ready && n.random.IntN(max(1, len(n.view.local))) >= remoteExchangers {
		return calls
	}
	if p, ok := n.randomRemote(); ok {
		calls = append(calls, n.newCall(p, Message{}))
	}
	return calls
}

func (n *Node) randomLocal() (Peer, bool) {
	if len(n.view.local) == 0 {
		return Peer{}, false
	}
	p := n.view.local[n.random.IntN(len(n.view.local))]
	return p, p.ID != n.self.ID
}

// randomRemote returns a random contact in another data centre.
func (n *Node) randomRemote() (Peer, bool) {
	if len(n.view.remoteDCs) == 0 {
		return Peer{}, false
	}
	peers := n.view.ranked[n.view.remoteDCs[n.random.IntN(len(n.view.remoteDCs))]]
	return peers[n.random.IntN(len(peers))], true
}

// newCall returns a call to a peer with the sender and its head filled in.
func (n *Node) newCall(to Peer, m Message) Call {
	m.From = n.self.ID
	m.Head = n.head()
	timeout := localTimeout
	if to.DC != n.self.DC {
		timeout = remoteTimeout
	}
	return Call{
		To:      to,
		Message: m,
		Timeout: timeout,
	}
}

func (n *Node) head() Head {
	return Head{
		Revision: n.state.Revision(),
		Digest:   n.state.Digest(),
		Ready:    n.ready,
	}
}

// Receive processes a peer's message. It returns the answer and the calls to make.
func (n *Node) Receive(m Message) (Message, []Call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.view.find(m.From)
	if known {
		n.observeHead(from, m.Head)
	}
	answer := Message{From: n.self.ID}
	var calls []Call
	switch {
	case m.Push != nil:
		calls = n.receivePush(*m.Push)
	case m.Fetch != nil:
		answer.FetchReply = n.answerFetch(*m.Fetch)
	}
	answer.Head = n.head()
	return answer, calls
}

// HandleAnswer processes the answer to a call and returns the calls to make.
func (n *Node) HandleAnswer(c Call, answer Message) []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observeHead(c.To, answer.Head)
	n.updateReady()
	if c.Message.Fetch == nil {
		return nil
	}
	n.fetching = false
	if answer.FetchReply == nil {
		n.retryElsewhere(c.To)
		return nil
	}
	return n.applyReply(c.To, *answer.FetchReply)
}

// HandleFailure processes a call that was not answered in time and returns the calls to
// make.
func (n *Node) HandleFailure(c Call) []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.Message.Fetch != nil:
		n.fetching = false
		n.retryElsewhere(c.To)
	case c.Message.Push != nil:
		return n.forwardOnBehalf(c)
	}
	return nil
}

// observeHead processes a head received from a peer.
func (n *Node) observeHead(from Peer, h Head) {
	if h.Ready {
		n.requiredRevision = max(n.requiredRevision, h.Revision)
		if !n.ready {
			n.readyPeers[from.ID] = true
		}
	}
	switch {
	case h.Revision == n.state.Revision() && h.Digest != n.state.Digest():
		n.counts.Diverged++
	case h.Revision > n.state.Revision():
		n.addSource(from)
		n.scheduleFetch(h.Revision, fetchGrace)
	}
}

// ObserveRevision records a revision number that a request or a response carried, and
// schedules a fetch if it is higher than the node's.
func (n *Node) ObserveRevision(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision > n.state.Revision() {
		n.scheduleFetch(revision, fetchGrace)
	}
}

// InstallHead installs the state at the platform's head unless the node has a newer one,
// and returns the calls to make.
func (n *Node) InstallHead(s *applier.State) []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	before, wasReady := n.state.Revision(), n.ready
	n.platformHeadSeen = true
	if s.Revision() > before {
		n.recentLog.reset(s.Revision())
		n.setState(s)
		n.counts.Restored++
	}
	n.updateReady()
	return append(n.applyDeferred(), n.startPush(before, wasReady)...)
}

// ApplyEntry applies an entry that was read from the platform and returns the calls to
// make. It returns false if the entry does not apply to the node's state; the
// caller must then call Relay.CatchUp.
func (n *Node) ApplyEntry(e applier.Entry) ([]Call, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before, wasReady := n.state.Revision(), n.ready
	if e.Revision <= before {
		return nil, true
	}
	data, err := json.Marshal(e)
	if err != nil || !n.applyEncoded(data) {
		return nil, false
	}
	return append(n.applyDeferred(), n.startPush(before, wasReady)...), true
}

// setState replaces the state by one of a higher revision.
func (n *Node) setState(s *applier.State) {
	n.state = s
	n.highestKnown = max(n.highestKnown, s.Revision())
	n.updateReady()
}

// applyEncoded applies one JSON-encoded entry. It returns false if the state was
// left unchanged because the entry is invalid or not the next one. An entry at or
// below the node's revision is skipped.
func (n *Node) applyEncoded(data json.RawMessage) bool {
	var e applier.Entry
	if err := json.Unmarshal(data, &e); err != nil {
		n.counts.Rejected++
		return false
	}
	if e.Revision <= n.state.Revision() {
		return true
	}
	if e.Revision > n.state.Revision()+1 {
		return false
	}
	next, err := n.apply(n.state, e)
	if err != nil {
		n.counts.Rejected++
		return false
	}
	n.recentLog.add(e.Revision, data)
	n.counts.Applied++
	n.setState(next)
	return true
}

// applyBatch applies entries in order up to the first that does not apply.
func (n *Node) applyBatch(b Batch) {
	entries, err := b.unpack()
	if err != nil {
		n.counts.Rejected++
		return
	}
	for _, data := range entries {
		if !n.applyEncoded(data) {
			return
		}
	}
}
