package prober_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// network connects Probers in memory. It runs on a virtual clock.
type network struct {
	clock  *timekeeper.Virtual
	random *rand.Rand
	nodes  map[string]*node
	names  []string
	queue  events
	// lossRate is the fraction of messages that are dropped.
	lossRate float64
	// partitioned reports whether messages between two data centres are
	// dropped.
	partitioned func(a, b string) bool
	// seeds are the control addresses of the seeds.
	seeds []string
	// countBytes enables counting the bytes of messages.
	countBytes bool
	// lastUsed is when each connection was last used.
	lastUsed map[endpoints]time.Time
	// onChange, if not nil, is called with each node after it ran a tick or
	// handled a message.
	onChange func(*node)
}

// node is one daemon of a network.
type node struct {
	name, dc string
	up       bool
	target   *prober.Target
	// paused is the time until which the daemon doesn't run.
	paused time.Time
	table  *prober.Table
	facts  *spreader.Store
	prober *prober.Prober
	// generation counts the starts of the daemon. Events of earlier ones are
	// dropped.
	generation     int
	sent, received int
}

// event is a function to run at a time. tieBreak is random; it orders events with
// the same time.
type event struct {
	runAt    time.Time
	tieBreak int
	do       func()
}

// events implements heap.Interface, ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].runAt.Equal(e[j].runAt) {
		return e[i].tieBreak < e[j].tieBreak
	}
	return e[i].runAt.Before(e[j].runAt)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// TCP/IP overhead of a call and its answer, in bytes: on a new connection
// (twelve segments and the hello) and on an open one.
const (
	dialOverhead = 12*40 + 250
	callOverhead = 4 * 40
	// connectionIdleTimeout is the time without calls after which a connection
	// is closed.
	connectionIdleTimeout = 10 * time.Second
)

// endpoints identifies a connection by its caller and callee.
type endpoints struct{ from, to string }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newNetwork returns a network of daemons that have not started. Data centres
// are named "d0", "d1" and so on. Each daemon has a target, and about ten
// daemons share a service.
func newNetwork(seed uint64, dataCentres, each int) *network {
	n := &network{
		clock:       timekeeper.NewVirtual(epoch),
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[string]*node{},
		lastUsed:    map[endpoints]time.Time{},
		partitioned: func(string, string) bool { return false },
	}
	for c := range dataCentres {
		for i := range each {
			d := &node{
				name: fmt.Sprintf("10.%d.%d.%d:7001", c, i/250, i%250),
				dc:   fmt.Sprintf("d%d", c),
			}
			d.target = &prober.Target{
				Service: fmt.Sprintf("service-%d", len(n.names)%max(1, dataCentres*each/10)),
				Version: "v1",
				Slots:   10,
			}
			n.nodes[d.name] = d
			n.names = append(n.names, d.name)
			if i < 3 {
				n.seeds = append(n.seeds, d.name)
			}
		}
	}
	return n
}

// member returns the entry of a daemon started at now.
func member(d *node, now time.Time) prober.Member {
	return prober.Member{
		ID:          d.name,
		DC:          d.dc,
		Admit:       d.name[:len(d.name)-1] + "2",
		Control:     d.name,
		Incarnation: uint64(now.UnixMilli()),
		Target:      d.target,
	}
}

// start starts a daemon whose table holds only itself and the known members.
func (n *network) start(d *node, known ...prober.Member) {
	now := n.clock.Now()
	d.generation++
	d.up = true
	d.table = prober.NewTable(member(d, now))
	d.facts = spreader.NewStore(n.clock)
	d.prober = prober.New(prober.Options{
		Table:  d.table,
		Facts:  d.facts,
		Clock:  n.clock,
		Seeds:  func() []string { return n.seeds },
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 2)),
	})
	for _, m := range known {
		d.table.Merge(m)
	}
	n.tick(d, d.generation, now.Add(n.randomDuration(prober.TickPeriod)))
}

// startAll starts every daemon at once. With prefill, each table holds all
// members from the start.
func (n *network) startAll(prefill bool) {
	var all []prober.Member
	for _, name := range n.names {
		if prefill {
			all = append(all, member(n.nodes[name], n.clock.Now()))
		}
	}
	for _, name := range n.names {
		n.start(n.nodes[name], all...)
	}
}

// randomDuration returns a random duration less than t.
func (n *network) randomDuration(t time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(t)))
}

// runAt schedules do at time t.
func (n *network) runAt(t time.Time, do func()) {
	heap.Push(&n.queue, event{
		runAt:    t,
		tieBreak: n.random.Int(),
		do:       do,
	})
}

// tick schedules a tick of a daemon at runAt, which in turn schedules the next
// one. The ticks end when the daemon stops or restarts.
func (n *network) tick(d *node, generation int, runAt time.Time) {
	n.runAt(runAt, func() {
		if !d.up || d.generation != generation {
			return
		}
		next := n.clock.Now().Add(prober.TickPeriod)
		if d.paused.After(n.clock.Now()) {
			next = d.paused
		} else {
			n.call(d, d.prober.Tick())
		}
		n.tick(d, generation, next)
	})
}

// messageSize returns the encoded size of a message, or 0 if bytes are not
// counted.
func (n *network) messageSize(m prober.Message) int {
	if !n.countBytes {
		return 0
	}
	r := jsonrpc2.Request{
		Method: "member",
		ID:     jsonrpc2.ID{Num: 1000},
	}
	if err := r.SetParams(m); err != nil {
		panic(err)
	}
	frame, err := linker.EncodeFrame(&r)
	if err != nil {
		panic(err)
	}
	return len(frame)
}

// deliver runs receive at the destination after the network delay, unless the
// message is dropped.
func (n *network) deliver(from, to *node, m prober.Message, receive func(prober.Message)) {
	size := n.messageSize(m)
	from.sent += size
	delay := 500*time.Microsecond + n.randomDuration(time.Millisecond)
	if from.dc != to.dc {
		delay += 10*time.Millisecond + n.randomDuration(20*time.Millisecond)
	}
	if n.random.Float64() < n.lossRate || n.partitioned(from.dc, to.dc) {
		return
	}
	generation := to.generation
	var arrive func()
	arrive = func() {
		if !to.up || to.generation != generation {
			return
		}
		if to.paused.After(n.clock.Now()) {
			n.runAt(to.paused.Add(n.randomDuration(time.Millisecond)), arrive)
			return
		}
		to.received += size
		receive(m)
		if n.onChange != nil {
			n.onChange(to)
		}
	}
	n.runAt(n.clock.Now().Add(delay), arrive)
}

// call sends the calls of a daemon and handles their answers.
func (n *network) call(from *node, calls []prober.Call) {
	for _, c := range calls {
		to := n.nodes[c.To]
		if to == nil || to == from {
			continue
		}
		n.addOverhead(from, to)
		n.deliver(from, to, c.Message, func(m prober.Message) {
			answer, more := to.prober.HandleMessage(clone(m))
			n.call(to, more)
			n.deliver(to, from, answer, func(a prober.Message) { n.call(from, from.prober.HandleAnswer(c, clone(a))) })
		})
	}
	if n.onChange != nil {
		n.onChange(from)
	}
}

// addOverhead adds the TCP/IP overhead of a call to the byte counts.
func (n *network) addOverhead(from, to *node) {
	key := endpoints{
		from: from.name,
		to:   to.name,
	}
	overhead := callOverhead
	if lastUsed, ok := n.lastUsed[key]; !ok || n.clock.Now().Sub(lastUsed) > connectionIdleTimeout {
		overhead = dialOverhead
	}
	n.lastUsed[key] = n.clock.Now()
	from.sent += overhead / 2
	from.received += overhead - overhead/2
	to.sent += overhead - overhead/2
	to.received += overhead / 2
}

// clone copies the member list, so that sender and receiver share no slice.
func clone(m prober.Message) prober.Message {
	m.Members = slices.Clone(m.Members)
	return m
}

// run runs the network for the duration t.
func (n *network) run(t time.Duration) {
	n.runUntil(t, func() bool { return false })
}

// runUntil runs the network until done returns true, for at most t, and returns
// the elapsed time. It calls done after every event.
func (n *network) runUntil(t time.Duration, done func() bool) time.Duration {
	start := n.clock.Now()
	end := start.Add(t)
	for n.queue.Len() > 0 && !n.queue[0].runAt.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.clock.Set(e.runAt)
		e.do()
		if done() {
			return e.runAt.Sub(start)
		}
	}
	n.clock.Set(end)
	return t
}

// measureSpread runs the network until informed has returned true for every
// running daemon outside exclude. It returns the sorted times after which it did,
// and the number of daemons for which it did not within limit.
func (n *network) measureSpread(limit time.Duration, exclude map[string]bool, informed func(*node) bool) (times []time.Duration, missing int) {
	waiting := map[*node]bool{}
	for _, d := range n.nodes {
		if d.up && !exclude[d.name] {
			waiting[d] = true
		}
	}
	start := n.clock.Now()
	n.onChange = func(d *node) {
		if waiting[d] && informed(d) {
			delete(waiting, d)
			times = append(times, n.clock.Now().Sub(start))
		}
	}
	n.runUntil(limit, func() bool { return len(waiting) == 0 })
	n.onChange = nil
	slices.Sort(times)
	return times, len(waiting)
}

// quantile returns the q-quantile of sorted times.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
}

func percentiles(times []time.Duration) string {
	return fmt.Sprintf("p50 %v, p99 %v, max %v", quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1))
}

// serves reports whether d sends new requests to the target of o.
func (d *node) serves(o *node) bool {
	return slices.ContainsFunc(d.table.Serving(o.target.Service, "v1"), func(m prober.Member) bool { return m.ID == o.name })
}
