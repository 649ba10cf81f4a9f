package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Targets of a soak.
const (
	targetSlots = 4
	targetWork  = 15 * time.Millisecond
	targetSlow  = 300 * time.Millisecond
	// failShare is the part of the requests that a failing target fails.
	failShare = 0.5
	coldTime  = 2 * time.Second
	// drainTime is how long a target stays after it has said that it drains.
	drainTime = 2500 * time.Millisecond
	heartbeat = 200 * time.Millisecond
	// reportTime bounds a report to the daemon.
	reportTime = time.Second
)

// node is a daemon with its target and the links around it.
type node struct {
	zone, service string
	settings      loader.Settings
	process       *process
	links         map[Hop]*Link
	target        string
	ledger        *Ledger

	mu      sync.Mutex
	backend *emulator.Backend
	current Start
	version string
	starts  int
	// faults counts the events of each kind that last, and bad makes the target
	// fail requests for good.
	faults map[Kind]int
	bad    bool
}

// startTarget starts the target under a new name, cold unless it is the first.
func (n *node) startTarget(version string, bad bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backend != nil {
		return nil
	}
	n.starts++
	n.version, n.bad = version, bad
	b := &emulator.Backend{
		Service: n.service,
		Version: version,
		Slots:   targetSlots,
		Work:    targetWork,
		Clock:   timekeeper.System{},
	}
	name := fmt.Sprintf("%s-%s-%d", n.settings.Name, version, n.starts)
	if err := whenFree(func() error { return b.Start(n.target, name) }); err != nil {
		return err
	}
	n.current = Start{
		Service:  n.service,
		Version:  version,
		Instance: name,
		Slots:    targetSlots,
		Began:    time.Now(),
	}
	if n.starts > 1 {
		b.SetCold(coldTime)
		n.current.Warm = n.current.Began.Add(coldTime)
	}
	n.backend = b
	n.applyFaults()
	return nil
}

// endTarget ends the target and hands what it saw to the ledger.
func (n *node) endTarget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backend == nil {
		return
	}
	n.backend.Crash()
	n.current.Arrivals = n.backend.Arrivals()
	n.current.Most = n.backend.Most()
	n.ledger.AddStart(n.current)
	n.backend = nil
}

// replaceTarget ends the target and starts another.
func (n *node) replaceTarget(after time.Duration, version string, bad bool) {
	n.endTarget()
	time.Sleep(after)
	if err := n.startTarget(version, bad); err != nil {
		n.ledger.Note("soak: %v", err)
	}
}

// present returns the version of the target and whether it is a bad one.
func (n *node) present() (version string, bad bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.bad
}

// drainTarget lets the target say that it drains, and replaces it.
func (n *node) drainTarget(after time.Duration) {
	n.mu.Lock()
	b := n.backend
	if b != nil {
		b.SetLeaving()
	}
	n.mu.Unlock()
	if b == nil {
		return
	}
	for end := time.Now().Add(drainTime); time.Now().Before(end); time.Sleep(pollTime) {
		if n.report(b) == nil {
			n.mu.Lock()
			if n.backend == b {
				n.current.Drained = time.Now()
			}
			n.mu.Unlock()
			break
		}
	}
	time.Sleep(drainTime)
	n.mu.Lock()
	same := n.backend == b
	n.mu.Unlock()
	if same {
		version, bad := n.present()
		n.replaceTarget(after, version, bad)
	}
}

// held notes that the link to the target held what was sent.
func (n *node) held(s span) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.Held = append(n.current.Held, s)
}

// disturb lets a fault of the target last for a time.
func (n *node) disturb(k Kind, length time.Duration) {
	n.count(k, 1)
	time.Sleep(length)
	n.count(k, -1)
}

func (n *node) count(k Kind, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[k] += by
	n.applyFaults()
}

// applyFaults sets what goes wrong at the target. The caller holds the lock.
func (n *node) applyFaults() {
	if n.backend == nil {
		return
	}
	var f emulator.BackendFaults
	if n.faults[Slow] > 0 {
		f.Slow = targetSlow
	}
	if n.faults[Fail] > 0 || n.bad {
		f.FailShare = failShare
	}
	f.LoseAnswer = n.faults[Lose] > 0
	f.Shed = n.faults[Shed] > 0
	n.backend.SetFaults(f)
}

// beat lets the target report until ctx ends.
func (n *node) beat(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		b := n.backend
		n.mu.Unlock()
		if b != nil {
			// A report that fails is followed by the next one.
			_ = n.report(b)
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

func (n *node) report(b *emulator.Backend) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTime)
	defer cancel()
	return b.Report(ctx, n.links[HopReport].Address(), emulator.Base)
}

// arrivals returns the number of requests at the target's present start.
func (n *node) arrivals() (instance string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backend == nil {
		return "", 0
	}
	return n.backend.Instance(), len(n.backend.Arrivals())
}

// Load of the clients.
const (
	// thinkTime is the mean time between two requests of a client.
	thinkTime = 40 * time.Millisecond
	// clientPatience is a client's deadline, and giveUp when it drops the
	// connection.
	clientPatience = time.Second
	giveUp         = 10 * time.Second
	// largestBody is the size of the largest body, in bytes.
	largestBody = 60 << 10
)

// route is what clients ask for.
type route struct {
	prefix string
	once   bool
	// fresh means that daemons may not know it yet.
	fresh bool
	body  int
}

var routes = []route{
	{prefix: "/s/", body: 40},
	{prefix: "/u/", once: true, body: 40},
	{prefix: "/p/", once: true, body: largestBody},
}

// load sends requests to the daemon until ctx ends.
func (n *node) load(ctx context.Context, client string, random *rand.Rand) {
	c := emulator.NewClient(n.settings.Listen.Traffic)
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		r := routes[random.IntN(len(routes))]
		n.ask(c, r, fmt.Sprintf("%s-%s-%d", n.settings.Name, client, i), r.prefix, random)
		select {
		case <-time.After(time.Duration(random.ExpFloat64() * float64(thinkTime))):
		case <-ctx.Done():
		}
	}
}

// ask sends one request, notes it and returns its answer.
func (n *node) ask(c *emulator.Client, r route, id, path string, random *rand.Rand) Request {
	body := make([]byte, 1+random.IntN(r.body))
	for i := range body {
		body[i] = 'a' + byte(random.IntN(26))
	}
	req := Request{
		Call: emulator.Call{
			ID:   id,
			Path: path + id,
			Body: string(body),
			Left: clientPatience,
		},
		Once:   r.once,
		Fresh:  r.fresh,
		Caller: n.service,
		Sent:   time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	req.Reply, req.Err = c.Do(ctx, req.Call)
	req.Ended = time.Now()
	req.Excused = n.process.excuses(req.Sent, req.Ended, errors.Is(req.Err, syscall.ECONNREFUSED))
	req.Stopping = n.process.stopping()
	if req.Err != nil && !req.Excused {
		// The process may have been seen to end a moment later.
		time.Sleep(exitTime)
		req.Excused = n.process.excuses(req.Sent, req.Ended, errors.Is(req.Err, syscall.ECONNREFUSED))
	}
	n.ledger.Add(req)
	return req
}
