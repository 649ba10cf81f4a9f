package distributor

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

// Times of fetches.
const (
	// fetchGrace is how long a node that receives a higher revision number waits for
	// the tree to deliver the entries before it fetches them.
	fetchGrace = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the smallest and the largest range of the
	// random delay before the next attempt of a fetch.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxFetchAttempts is the number of failed attempts after which the node stops
	// until it receives a higher revision number again.
	maxFetchAttempts = 16
)

// Rate limit of replies to fetches. It allows under 22 KB/s averaged over a minute,
// which leaves the rest of a daemon's 27 KB/s to pushes and head exchanges.
const (
	// replyRate is in bytes per second.
	replyRate = 12 << 10
	// replyBurst is in bytes.
	replyBurst = 512 << 10
)

func newReplyLimiter() *rate.Limiter { return rate.NewLimiter(replyRate, replyBurst) }

// scheduleFetch records a revision known to exist and schedules a fetch after the
// grace period, unless one is in flight or due earlier.
func (n *Node) scheduleFetch(revision uint64, grace time.Duration) {
	n.highestKnown = max(n.highestKnown, revision)
	at := n.clock.Now().Add(grace)
	if n.fetching || (!n.fetchAt.IsZero() && n.fetchAt.Before(at)) {
		return
	}
	n.fetchAt = at
}

// addSource adds a peer with a higher revision to those that fetch prefers. The
// oldest is dropped when there are more than maxSources.
func (n *Node) addSource(p Peer) {
	if slices.Contains(n.sources, p) {
		return
	}
	if len(n.sources) >= maxSources {
		n.sources = n.sources[1:]
	}
	n.sources = append(n.sources, p)
}

// fetch requests what follows the node's revision from a peer with a higher one, or
// from a random peer if none is known.
func (n *Node) fetch() []Call {
	n.fetchAt = time.Time{}
	if n.highestKnown <= n.state.Revision() {
		return nil
	}
	p, ok := n.pickSource()
	if !ok {
		n.scheduleRetry()
		return nil
	}
	n.fetching = true
	n.counts.Fetches++
	return []Call{n.newCall(p, Message{
		Fetch: &Fetch{After: n.state.Revision()},
	})}
}

// Of the fetches without a known source, one in remoteFetchRatio goes to another
// data centre.
const remoteFetchRatio = 4

func (n *Node) pickSource() (Peer, bool) {
	if len(n.sources) > 0 {
		return n.sources[n.random.IntN(len(n.sources))], true
	}
	if n.random.IntN(remoteFetchRatio) == 0 {
		if p, ok := n.randomRemote(); ok {
			return p, true
		}
	}
	return n.randomLocal()
}

// scheduleRetry schedules the next attempt after a random delay, the range of which
// doubles with each attempt up to maxRetryDelay.
func (n *Node) scheduleRetry() {
	if n.fetchAttempts >= maxFetchAttempts {
		n.fetchAttempts, n.highestKnown = 0, n.state.Revision()
		return
	}
	limit := min(minRetryDelay<<min(n.fetchAttempts, 8), maxRetryDelay)
	n.fetchAttempts++
	n.fetchAt = n.clock.Now().Add(minRetryDelay/2 + n.jitter(limit))
}

// retryElsewhere drops a source that returned nothing newer and schedules another
// attempt.
func (n *Node) retryElsewhere(p Peer) {
	n.sources = slices.DeleteFunc(n.sources, func(o Peer) bool { return o == p })
	if n.highestKnown > n.state.Revision() {
		n.scheduleRetry()
	}
}

// answerFetch returns the reply to a fetch, or a refusal if the reply would exceed
// the rate limit.
func (n *Node) answerFetch(f Fetch) *FetchReply {
	s := n.replyAfter(f.After)
	cost := min(base64Size(s.Snapshot)+s.Batch.size(), replyBurst)
	if !n.replyLimiter.AllowN(n.clock.Now(), cost) {
		n.counts.Refused++
		return &FetchReply{Refused: true}
	}
	n.counts.Served++
	return s
}

func (n *Node) replyAfter(revision uint64) *FetchReply {
	if revision >= n.state.Revision() {
		return &FetchReply{}
	}
	if entries, ok := n.recentLog.after(revision, maxBatchBytes); ok {
		return &FetchReply{Batch: pack(entries)}
	}
	entries, ok := n.recentLog.after(n.lastSnapshot.revision, maxBatchBytes)
	if n.lastSnapshot.revision <= revision || !ok {
		snap, err := packSnapshot(n.state)
		if err != nil {
			return &FetchReply{}
		}
		n.lastSnapshot, entries = snap, nil
	}
	return &FetchReply{
		Snapshot: n.lastSnapshot.data,
		Batch:    pack(entries),
	}
}

// applyReply applies the reply to a fetch. It fetches again if the node is still
// behind.
func (n *Node) applyReply(from Peer, r FetchReply) []Call {
	before, wasReady := n.state.Revision(), n.ready
	if len(r.Snapshot) > 0 {
		n.installSnapshot(r.Snapshot)
	}
	n.applyBatch(r.Batch)
	if n.state.Revision() == before {
		n.retryElsewhere(from)
		return nil
	}
	n.fetchAttempts = 0
	n.fetchAt = time.Time{}
	calls := n.applyDeferred()
	if from.DC != n.self.DC {
		calls = append(calls, n.startPush(before, wasReady)...)
	}
	return append(calls, n.fetch()...)
}

// installSnapshot replaces the state by that of a newer snapshot and keeps the
// snapshot for replies to other nodes.
func (n *Node) installSnapshot(data []byte) {
	var state *applier.State
	snap, err := unpackSnapshot(data)
	if err == nil && snap.Revision <= n.state.Revision() {
		return
	}
	if err == nil {
		state, err = n.restore(snap)
	}
	if err != nil {
		n.counts.Rejected++
		return
	}
	n.recentLog.reset(state.Revision())
	n.lastSnapshot = packedSnapshot{
		revision: state.Revision(),
		data:     data,
	}
	n.counts.Restored++
	n.setState(state)
}
