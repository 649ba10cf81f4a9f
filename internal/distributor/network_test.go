package distributor

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Times and sizes of the simulated network.
const (
	localDelay     = 500 * time.Microsecond
	minRemoteDelay = time.Millisecond
	maxRemoteDelay = 40 * time.Millisecond
	platformDelay  = 3 * time.Millisecond
	// readTime is the time that the platform takes to serve one read. It serves one
	// read at a time.
	readTime = time.Second / 2000
	// workDelay is the time that a daemon takes to process a push or the reply to a
	// fetch.
	workDelay = 5 * time.Millisecond
	// detectionDelay is the time after which a death is reflected in every daemon's
	// membership.
	detectionDelay = 5 * time.Second
	// joinDelay is the time after which a daemon that started has received the
	// membership.
	joinDelay = 300 * time.Millisecond
	// callOverhead is the size that JSON-RPC and framing add to a message, in bytes.
	callOverhead = 64
	// maxWatchRetryDelay is the longest delay before a daemon retries a failed
	// watch.
	maxWatchRetryDelay = 2 * time.Second
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network simulates a fleet of real Nodes and Relays on a virtual clock. The seed
// determines all random choices.
type network struct {
	t        testing.TB
	clock    *timekeeper.Virtual
	random   *rand.Rand
	queue    events
	seq      int
	vms      []*vm
	byID     map[string]*vm
	platform *emulator.Platform
	log      *committer.Log
	head     *applier.State
	// commitCalls counts the platform calls made by commits.
	commitCalls uint64
	// commits maps each revision to the time of its commit.
	commits map[uint64]time.Time
	// latencies maps each revision to the times from its commit until each daemon
	// had it.
	latencies map[uint64][]time.Duration
	loss      float64
	// partitioned reports whether calls between two data centres are lost.
	// platformCut reports whether calls from a data centre to the platform are lost.
	partitioned func(a, b string) bool
	platformCut func(dc string) bool
	// allWatch makes every daemon watch the platform, as the baseline for
	// comparison.
	allWatch bool
	// busyUntil is when the platform will have answered all reads received so far.
	busyUntil time.Time
	// applied and restored cache the results of apply and restore, since all daemons
	// compute the same states.
	applied  map[*applier.State]*applier.State
	restored map[uint64]*applier.State
}

// vm simulates one daemon.
type vm struct {
	network *network
	member  prober.Member
	node    *Node
	relay   *Relay
	// generation is incremented whenever the daemon starts, stops or pauses, so that
	// events scheduled before have no effect.
	generation int
	down       bool
	paused     bool
	watching   bool
	// watchPending means that a watch request is open at the platform. watchID
	// identifies the current sequence of watch requests.
	watchPending bool
	watchID      int
	// lastRevision is the revision that the daemon last served with, and minRevision
	// the one before its last restart.
	lastRevision, minRevision uint64
	readyAt                   time.Time
	tickAt                    time.Time
	sentBytes                 int
	messages                  int
}

func newNetwork(t testing.TB, seed uint64, dcs, perDC, services int) *network {
	n := &network{
		t:           t,
		clock:       timekeeper.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)),
		random:      rand.New(rand.NewPCG(seed, seed)),
		byID:        map[string]*vm{},
		commits:     map[uint64]time.Time{},
		latencies:   map[uint64][]time.Duration{},
		partitioned: func(_, _ string) bool { return false },
		platformCut: func(string) bool { return false },
		applied:     map[*applier.State]*applier.State{},
		restored:    map[uint64]*applier.State{},
		head:        &applier.State{},
	}
	n.platform = emulator.NewPlatform(n.clock)
	n.log = &committer.Log{
		Platform: n.platform.Client(),
		Clock:    n.clock,
	}
	for i := range services {
		n.commit(i)
	}
	n.commits = map[uint64]time.Time{}
	for i := range dcs * perDC {
		v := &vm{network: n}
		dc := fmt.Sprintf("dc-%02d", i%dcs)
		v.member = prober.Member{
			ID:      fmt.Sprintf("%s-%04d", dc, i/dcs),
			DC:      dc,
			Control: fmt.Sprintf("10.%d.%d.%d:7103", i%dcs, i/dcs/256, i/dcs%256),
		}
		n.vms = append(n.vms, v)
		n.byID[v.member.ID] = v
		v.start()
		v.node.InstallHead(n.head)
	}
	n.updateViews()
	return n
}

// service returns a service of about 300 bytes in JSON. Its name is a hash, so that
// a list of services does not compress well.
func service(i, share int) parser.Service {
	name := fmt.Sprintf("s-%016x", mix(uint64(i)))
	return parser.Service{
		Name:     name,
		Versions: []parser.Version{{Name: "v1", Share: 100 - share}, {Name: "v2", Share: share}},
		Routes: []parser.Route{
			{Path: "/" + name + "/lookup", Methods: []string{"GET"}, Timeout: parser.Duration{Duration: time.Second}},
			{Path: "/" + name + "/payments", Methods: []string{"POST"}, NonIdempotent: true, Timeout: parser.Duration{Duration: 3 * time.Second}},
		},
		Objectives: parser.Objectives{MaxLatency: parser.Duration{Duration: 300 * time.Millisecond}, GoodShare: 0.99},
	}
}

// commit commits one entry that changes the given services, and answers the pending
// watch requests.
func (n *network) commit(services ...int) {
	var update applier.Change
	for _, i := range services {
		update.Services = append(update.Services, service(i, 1+int(n.head.Revision())%98))
	}
	before := n.platformCalls()
	e, err := n.log.Commit(context.Background(), n.head, update)
	n.commitCalls += n.platformCalls() - before
	if err != nil {
		n.t.Fatalf("commit: %v", err)
	}
	if n.head, err = n.apply(n.head, e); err != nil {
		n.t.Fatal(err)
	}
	n.commits[e.Revision] = n.clock.Now()
	for _, v := range n.vms {
		if v.watchPending {
			n.schedule(platformDelay+n.queueRead(), v.whileRunning(func() { v.watchPending = v.watchPending && v.deliverEntries() }))
		}
	}
}

// queueRead adds one read to the platform's queue and returns the time until it is
// answered.
func (n *network) queueRead() time.Duration {
	now := n.clock.Now()
	if n.busyUntil.Before(now) {
		n.busyUntil = now
	}
	n.busyUntil = n.busyUntil.Add(readTime)
	return n.busyUntil.Sub(now)
}

// breakWatches ends all watches, as a platform outage or a partition does.
func (n *network) breakWatches() {
	for _, v := range n.vms {
		if v.watching {
			v.watching, v.watchPending = false, false
			v.watch()
		}
	}
}

func (n *network) apply(s *applier.State, e applier.Entry) (*applier.State, error) {
	if next := n.applied[s]; next != nil && next.Digest() == e.Result && e.Base == s.Digest() {
		return next, nil
	}
	next, err := s.Apply(e)
	if err == nil {
		n.applied[s] = next
	}
	return next, err
}

func (n *network) restore(snap applier.Snapshot) (*applier.State, error) {
	if s := n.restored[snap.Revision]; s != nil {
		return s, nil
	}
	s, err := applier.Restore(snap)
	if err == nil {
		n.restored[snap.Revision] = s
	}
	return s, err
}

func (n *network) randomDuration(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d)))
}

func (n *network) schedule(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.clock.Now().Add(d), seq: n.seq, run: run})
}

// run runs the simulation for d of virtual time.
func (n *network) run(d time.Duration) {
	end := n.clock.Now().Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.clock.Set(e.at)
		e.run()
	}
	n.clock.Set(end)
}

// updateViews sets the current membership at every daemon.
func (n *network) updateViews() {
	var members []prober.Member
	for _, v := range n.vms {
		if !v.down && !v.paused {
			members = append(members, v.member)
		}
	}
	views := map[string]View{}
	for _, v := range n.vms {
		if _, ok := views[v.member.DC]; !ok {
			views[v.member.DC] = NewView(v.member.DC, members)
		}
		v.node.SetView(views[v.member.DC])
	}
}

// delay returns the one-way delay between two data centres.
func (n *network) delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	extra := mix(NewPeer(prober.Member{ID: min(a, b) + max(a, b)}).hash) % uint64(maxRemoteDelay-minRemoteDelay)
	return minRemoteDelay + time.Duration(extra)
}

// dropped reports whether a message from a to b is lost.
func (n *network) dropped(a, b *vm) bool {
	return n.partitioned(a.member.DC, b.member.DC) || n.random.Float64() < n.loss
}

// whileRunning wraps run so that it has no effect once the daemon was stopped,
// paused or restarted.
func (v *vm) whileRunning(run func()) func() {
	generation := v.generation
	return func() {
		if v.generation == generation && !v.paused {
			run()
			v.recordRevision()
		}
	}
}

func (v *vm) start() {
	v.generation++
	v.down, v.watching, v.watchPending = false, false, false
	v.minRevision, v.lastRevision = max(v.minRevision, v.lastRevision), 0
	v.readyAt = time.Time{}
	v.node = New(Options{
		Self:    v.member,
		Clock:   v.network.clock,
		Seed:    uint64(v.generation),
		Apply:   v.network.apply,
		Restore: v.network.restore,
	})
	v.node.SetView(NewView(v.member.DC, []prober.Member{v.member}))
	v.relay = &Relay{
		Node:     v.node,
		Election: NewElection(v.network.clock, v.node.self.hash+uint64(v.generation)),
		Log:      v.network.log,
		DC:       v.member.DC,
		Control:  v.member.Control,
	}
	v.tickAt = time.Time{}
	v.scheduleTick()
	v.network.schedule(v.network.randomDuration(ElectionPeriod), v.whileRunning(v.step))
}

func (v *vm) stop() {
	v.generation++
	v.down, v.watching, v.watchPending = true, false, false
}

// pause suspends the daemon, and resume continues it with the state it had.
func (v *vm) pause() {
	v.generation++
	v.paused = true
}

func (v *vm) resume() {
	v.paused = false
	v.tickAt = time.Time{}
	v.scheduleTick()
	v.network.schedule(0, v.whileRunning(v.step))
	if v.watching {
		v.watching, v.watchPending = false, false
		v.watch()
	}
}

// scheduleTick schedules a call of Tick for when it is due.
func (v *vm) scheduleTick() {
	at := v.node.NextTick()
	if !v.tickAt.IsZero() && !at.Before(v.tickAt) {
		return
	}
	v.tickAt = at
	v.network.schedule(max(0, at.Sub(v.network.clock.Now())), v.whileRunning(func() {
		if v.tickAt.Equal(at) {
			v.tickAt = time.Time{}
			v.send(v.node.Tick())
		}
	}))
}

// recordRevision schedules the next tick and records the latency of the entries that
// the daemon has newly applied. It fails the test if the daemon's revision
// decreased.
func (v *vm) recordRevision() {
	v.scheduleTick()
	n, revision := v.network, v.node.State().Revision()
	if !v.node.Ready() || revision == v.lastRevision {
		return
	}
	if v.readyAt.IsZero() {
		v.readyAt = n.clock.Now()
	}
	if revision < v.lastRevision || revision < v.minRevision {
		n.t.Fatalf("%s went from revision %d (%d before its restart) back to %d", v.member.ID, v.lastRevision, v.minRevision, revision)
	}
	for r := max(v.lastRevision, v.minRevision) + 1; r <= revision; r++ {
		if at, ok := n.commits[r]; ok {
			n.latencies[r] = append(n.latencies[r], n.clock.Now().Sub(at))
		}
	}
	v.lastRevision = revision
}

func (v *vm) countMessage(m Message) {
	data, err := json.Marshal(m)
	if err != nil {
		v.network.t.Fatal(err)
	}
	v.sentBytes += len(data) + callOverhead
	v.messages++
}

// send simulates calls, their answers, losses and timeouts.
func (v *vm) send(calls []Call) {
	n := v.network
	for _, c := range calls {
		v.countMessage(c.Message)
		to := n.byID[c.To.ID]
		delay := n.delay(v.member.DC, to.member.DC)
		failed := v.whileRunning(func() { v.send(v.node.HandleFailure(c)) })
		if n.dropped(v, to) || to.down || to.paused {
			n.schedule(c.Timeout, failed)
			continue
		}
		n.schedule(delay, to.whileRunning(func() {
			answer, more := to.node.Receive(c.Message)
			to.countMessage(answer)
			to.afterWork(c.Message.Push != nil, func() { to.send(more) })
			if n.dropped(to, v) {
				n.schedule(c.Timeout-delay, failed)
				return
			}
			n.schedule(delay, v.whileRunning(func() {
				v.afterWork(c.Message.Fetch != nil, func() { v.send(v.node.HandleAnswer(c, answer)) })
			}))
		}))
	}
}

// afterWork calls run, after workDelay if there are entries to process.
func (v *vm) afterWork(entries bool, run func()) {
	if !entries {
		run()
		return
	}
	v.network.schedule(workDelay, v.whileRunning(run))
}

// step calls Step every ElectionPeriod and starts or ends the watch, as the daemon does.
func (v *vm) step() {
	n := v.network
	n.schedule(ElectionPeriod, v.whileRunning(v.step))
	if n.platformCut(v.member.DC) {
		return
	}
	if n.allWatch {
		v.watch()
		return
	}
	v.send(v.relay.Step(context.Background()))
	if v.relay.Election.HoldsSlot() {
		v.watch()
	} else {
		v.watching, v.watchPending = false, false
	}
}

// watch starts to follow the log: it reads up to the head, then sends watch
// requests. A request ends with an entry or after WatchTimeout.
func (v *vm) watch() {
	if v.watching {
		return
	}
	v.watching = true
	v.watchID++
	v.network.schedule(v.network.randomDuration(maxWatchRetryDelay), v.whileRunning(v.pollLog(v.watchID)))
}

func (v *vm) pollLog(id int) func() {
	return func() {
		n := v.network
		if !v.watching || v.watchID != id {
			return
		}
		if v.watchPending {
			// This read counts as the watch request that ended without an entry.
			_, _ = n.log.Platform.Get(context.Background(), "watch")
			v.watchPending = false
		}
		v.watchPending = v.catchUp()
		if !v.watchPending {
			n.schedule(n.randomDuration(maxWatchRetryDelay), v.whileRunning(v.pollLog(id)))
			return
		}
		n.schedule(WatchTimeout, v.whileRunning(v.pollLog(id)))
	}
}

// deliverEntries ends a watch request with the entries that were committed. Each
// read of an entry counts as one watch request. It returns false if the platform did
// not answer.
func (v *vm) deliverEntries() bool {
	n := v.network
	if n.platformCut(v.member.DC) {
		return false
	}
	for v.node.State().Revision() < n.head.Revision() {
		e, ok, err := v.relay.Log.Read(context.Background(), v.node.State().Revision()+1)
		if err != nil || !ok {
			return false
		}
		calls, applied := v.node.ApplyEntry(e)
		if !applied {
			return v.catchUp()
		}
		v.afterWork(len(calls) > 0, func() { v.send(calls) })
	}
	return true
}

// catchUp reads the log up to its head. It returns false if the platform did not
// answer.
func (v *vm) catchUp() bool {
	if v.network.platformCut(v.member.DC) {
		return false
	}
	calls, err := v.relay.CatchUp(context.Background())
	v.afterWork(len(calls) > 0, func() { v.send(calls) })
	return err == nil
}

// percentile returns the quantile of all latencies at share, which is between 0 and
// 1, and the number of latencies.
func (n *network) percentile(share float64) (time.Duration, int) {
	var all []time.Duration
	for _, l := range n.latencies {
		all = append(all, l...)
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))], len(all)
}

func (n *network) platformCalls() uint64 {
	c := n.platform.Counts()
	return c.Reads + c.Writes + c.Leases
}
