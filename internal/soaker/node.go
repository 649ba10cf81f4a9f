package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Parameters of the targets.
const (
	targetSlots = 4
	// targetServiceTime is the service time of a request, and targetSlowdown is
	// added to it during a Slow event.
	targetServiceTime = 15 * time.Millisecond
	targetSlowdown    = 300 * time.Millisecond
	// targetFailureRate is the fraction of requests that a failing target fails.
	targetFailureRate = 0.5
	// warmupTime is the warm-up of a restarted target.
	warmupTime = 2 * time.Second
	// drainPeriod limits the wait for the daemon to acknowledge a drain. The target
	// then runs for another drainPeriod.
	drainPeriod       = 2500 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	// reportTimeout is the timeout of a report to the daemon.
	reportTimeout = time.Second
)

// node is a daemon with its target and links.
type node struct {
	zone, service string
	settings      loader.Settings
	process       *process
	links         map[Hop]*Link
	targetAddress string
	ledger        *Ledger

	mu         sync.Mutex
	backend    *emulator.Backend
	currentRun Start
	version    string
	startCount int
	// activeFaults counts the target's active faults by kind. badVersion makes the
	// target fail requests as long as it runs.
	activeFaults map[Kind]int
	badVersion   bool
}

// startTarget starts the target under a new instance name unless one is already
// running. All targets but the first start with a warm-up.
func (n *node) startTarget(version string, badVersion bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backend != nil {
		return nil
	}
	n.startCount++
	n.version, n.badVersion = version, badVersion
	b := &emulator.Backend{
		Service: n.service,
		Version: version,
		Slots:   targetSlots,
		Work:    targetServiceTime,
		Clock:   timekeeper.System{},
	}
	instance := fmt.Sprintf("%s-%s-%d", n.settings.Name, version, n.startCount)
	if err := retryWhileInUse(func() error { return b.Start(n.targetAddress, instance) }); err != nil {
		return err
	}
	n.currentRun = Start{
		Service:  n.service,
		Version:  version,
		Instance: instance,
		Slots:    targetSlots,
		Began:    time.Now(),
	}
	if n.startCount > 1 {
		b.SetColdFor(warmupTime)
		n.currentRun.WarmAt = n.currentRun.Began.Add(warmupTime)
	}
	n.backend = b
	n.applyFaults()
	return nil
}

// crashTarget crashes the target and adds its run to the ledger.
func (n *node) crashTarget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backend == nil {
		return
	}
	n.backend.Crash()
	n.currentRun.Arrivals = n.backend.Arrivals()
	n.currentRun.MaxRunning = n.backend.MaxRunning()
	n.ledger.AddStart(n.currentRun)
	n.backend = nil
}

// replaceTarget crashes the target and starts another one after a delay.
func (n *node) replaceTarget(delay time.Duration, version string, badVersion bool) {
	n.crashTarget()
	time.Sleep(delay)
	if err := n.startTarget(version, badVersion); err != nil {
		n.ledger.AddViolation("soak: %v", err)
	}
}

// currentVersion returns the target's version and whether that version fails
// requests.
func (n *node) currentVersion() (version string, badVersion bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.badVersion
}

// drainTarget drains the target, records when the daemon acknowledged that, and
// then replaces the target after a delay.
func (n *node) drainTarget(delay time.Duration) {
	n.mu.Lock()
	b := n.backend
	if b != nil {
		b.SetDraining()
	}
	n.mu.Unlock()
	if b == nil {
		return
	}
	for end := time.Now().Add(drainPeriod); time.Now().Before(end); time.Sleep(pollInterval) {
		if n.report(b) == nil {
			n.mu.Lock()
			if n.backend == b {
				n.currentRun.DrainAcknowledged = time.Now()
			}
			n.mu.Unlock()
			break
		}
	}
	time.Sleep(drainPeriod)
	n.mu.Lock()
	unchanged := n.backend == b
	n.mu.Unlock()
	if unchanged {
		version, badVersion := n.currentVersion()
		n.replaceTarget(delay, version, badVersion)
	}
}

// addStall records a stall of the link to the target.
func (n *node) addStall(s span) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.currentRun.Stalls = append(n.currentRun.Stalls, s)
}

// injectFault applies a fault to the target for a time.
func (n *node) injectFault(k Kind, length time.Duration) {
	n.adjustFault(k, 1)
	time.Sleep(length)
	n.adjustFault(k, -1)
}

// adjustFault adds delta to the number of the target's active faults of a kind.
func (n *node) adjustFault(k Kind, delta int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeFaults[k] += delta
	n.applyFaults()
}

// applyFaults sets the target's faults from the active faults. The caller holds
// the lock.
func (n *node) applyFaults() {
	if n.backend == nil {
		return
	}
	var f emulator.BackendFaults
	if n.activeFaults[Slow] > 0 {
		f.Slow = targetSlowdown
	}
	if n.activeFaults[Fail] > 0 || n.badVersion {
		f.FailureRate = targetFailureRate
	}
	f.LoseAnswer = n.activeFaults[LoseResponses] > 0
	f.Shed = n.activeFaults[Shed] > 0
	switch {
	case n.activeFaults[EndlessHeads] > 0:
		f.Endless = emulator.EndlessHead
	case n.activeFaults[EndlessBodies] > 0:
		f.Endless = emulator.EndlessBody
	}
	n.backend.SetFaults(f)
}

// sendHeartbeats sends the target's reports to the daemon at each heartbeat
// until ctx is done.
func (n *node) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		b := n.backend
		n.mu.Unlock()
		if b != nil {
			// The next heartbeat follows a failed report; there is no retry.
			_ = n.report(b)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (n *node) report(b *emulator.Backend) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return b.Report(ctx, n.links[HopReport].Address(), emulator.Base)
}

// arrivalCount returns the instance name of the running target and the number of
// requests that have reached it, or "" and 0 if none is running.
func (n *node) arrivalCount() (instance string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backend == nil {
		return "", 0
	}
	return n.backend.Instance(), len(n.backend.Arrivals())
}

// Parameters of the clients.
const (
	// thinkTime is the mean time between a response and the client's next request.
	thinkTime = 40 * time.Millisecond
	// rareThinkTime is that of the rare clients, and rareClientStream their first
	// stream of random numbers.
	rareThinkTime    = 3 * time.Second
	rareClientStream = 1 << 16
	// clientTimeout is the timeout that a client sends with a request. The
	// client waits for the response for abortTimeout and then aborts the request.
	clientTimeout = time.Second
	abortTimeout  = 10 * time.Second
	// maxBodyBytes is the maximum size of a request body, in bytes.
	maxBodyBytes = 60 << 10
)

// route is a route to which clients send requests.
type route struct {
	prefix        string
	nonIdempotent bool
	// recent marks a route that daemons may not have received yet.
	recent bool
	// body is the maximum size of a request body, in bytes.
	body int
	// key is the key that clients present, or empty.
	key string
}

var routes = []route{
	{prefix: "/s/", body: 40},
	{prefix: "/u/", nonIdempotent: true, body: 40},
	{prefix: "/p/", nonIdempotent: true, body: maxBodyBytes},
}

// generateLoad sends requests of one client to the daemon until ctx is done. The
// mean time between a response and the next request is thinkTime.
func (n *node) generateLoad(ctx context.Context, client string, thinkTime time.Duration, random *rand.Rand) {
	c := emulator.NewClient(n.settings.Listen.Traffic)
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		r := routes[random.IntN(len(routes))]
		n.sendRequest(c, r, fmt.Sprintf("%s-%s-%d", n.settings.Name, client, i), r.prefix, random)
		select {
		case <-time.After(time.Duration(random.ExpFloat64() * float64(thinkTime))):
		case <-ctx.Done():
		}
	}
}

// sendRequest sends one request to the path prefix+id, adds it to the ledger and
// returns it with its outcome.
func (n *node) sendRequest(c *emulator.Client, r route, id, prefix string, random *rand.Rand) Request {
	body := make([]byte, 1+random.IntN(r.body))
	for i := range body {
		body[i] = 'a' + byte(random.IntN(26))
	}
	req := Request{
		Call: emulator.Call{
			ID:      id,
			Path:    prefix + id,
			Body:    string(body),
			Key:     r.key,
			Timeout: clientTimeout,
		},
		NonIdempotent: r.nonIdempotent,
		RecentRoute:   r.recent,
		Caller:        n.service,
		Sent:          time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	// The transport may still be writing when Do has returned.
	var connected, written, firstByte, idle atomic.Int64
	since := func(d *atomic.Int64) { d.Store(int64(time.Since(req.Sent))) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			since(&connected)
			idle.Store(int64(info.IdleTime))
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				since(&written)
			}
		},
		GotFirstResponseByte: func() { since(&firstByte) },
	})
	req.Reply, req.Err = c.Do(ctx, req.Call)
	req.Ended = time.Now()
	req.Written = written.Load() > 0
	req.SentAfterClose = errors.Is(req.Err, emulator.ErrClosedBefore)
	req.ConnectionIdle = time.Duration(idle.Load())
	req.Progress = Progress{
		Connected: time.Duration(connected.Load()),
		Written:   time.Duration(written.Load()),
		FirstByte: time.Duration(firstByte.Load()),
	}
	req.Excused = n.process.excusesFailure(req.Sent, req.Ended, errors.Is(req.Err, syscall.ECONNREFUSED))
	req.DaemonStopping = n.process.stopping()
	if req.Err != nil && !req.Excused {
		// The exit of the process may be recorded a little later than the failure
		// of the request.
		time.Sleep(exitSlack)
		req.Excused = n.process.excusesFailure(req.Sent, req.Ended, errors.Is(req.Err, syscall.ECONNREFUSED))
	}
	n.ledger.Add(req)
	return req
}
