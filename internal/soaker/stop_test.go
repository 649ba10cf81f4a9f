package soaker

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Sizes of the stop tests.
const (
	// stopNodes is the number of daemons. The first stoppedNodes are stopped.
	stopNodes, stoppedNodes = 6, 4
	// connsPerNode is the number of kept connections of the first daemon. Each further
	// one has twice as many as the one before.
	connsPerNode = 15
	// maxBodyDelay is the longest time between the header and the body of a request.
	maxBodyDelay = 300 * time.Millisecond
)

// keptConn is a connection on which a client sends requests until it ends.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	node   *node
	random *rand.Rand
	name   string
	sent   []*sentRequest
	// timeout is the timeout of the requests.
	timeout time.Duration
	// usedAfterStop means that the connection was open when its client sent the first
	// request after SIGTERM.
	usedAfterStop bool
}

// sentRequest is a request on a kept connection. A pipelined one was sent behind
// another.
type sentRequest struct {
	Request
	pipelined bool
}

func (c *keptConn) newRequest(pipelined bool) *sentRequest {
	id := fmt.Sprintf("%s-%d", c.name, len(c.sent))
	r := &sentRequest{
		Request: Request{
			Call: emulator.Call{
				ID:      id,
				Path:    []string{"/s/", "/u/"}[c.random.IntN(2)] + id,
				Body:    "body",
				Timeout: c.timeout,
			},
			Sent: time.Now(),
		},
		pipelined: pipelined,
	}
	c.sent = append(c.sent, r)
	return r
}

// header returns the header of a request.
func (r *sentRequest) header() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.Call.Path, emulator.Host, r.Call.ID, r.Call.Timeout.Milliseconds(), len(r.Call.Body))
}

// send sends one request, a slow one or two pipelined ones, and waits for the
// responses. It reports whether the connection remains open.
func (c *keptConn) send() bool {
	_ = c.SetDeadline(time.Now().Add(abortTimeout))
	requests := []*sentRequest{c.newRequest(false)}
	data := requests[0].header() + requests[0].Call.Body
	switch c.random.IntN(4) {
	case 0:
		half := c.random.IntN(len(data))
		_, _ = io.WriteString(c, data[:half]) // the response shows a failure
		time.Sleep(time.Duration(c.random.Float64() * float64(maxBodyDelay)))
		data = data[half:]
	case 1:
		requests = append(requests, c.newRequest(true))
		data += requests[1].header() + requests[1].Call.Body
	}
	_, err := io.WriteString(c, data)
	bodySent := time.Now()
	open := true
	for _, r := range requests {
		r.BodySent, r.Written = bodySent, err == nil
		var resp *http.Response
		if resp, r.Err = http.ReadResponse(c.reader, nil); r.Err == nil {
			_, r.Err = io.Copy(io.Discard, resp.Body)
			r.Reply.Status = resp.StatusCode
			open = open && !resp.Close
		}
		r.Ended = time.Now()
		open = open && r.Err == nil
	}
	return open
}

// keepSending sends requests from a time on, one after the other, until the
// connection ends.
func (c *keptConn) keepSending(from time.Time) {
	defer c.Close()
	_ = c.SetReadDeadline(from)
	if _, err := c.reader.Peek(1); !os.IsTimeout(err) {
		return
	}
	c.usedAfterStop = true
	for c.send() {
	}
}

// startStopTest starts the daemons and their targets. Routes have the timeout, or the
// default if it is 0. startStopTest keeps settings and logs if the test fails.
func startStopTest(t *testing.T, routeTimeout time.Duration) *soak {
	dir, err := os.MkdirTemp("", "stop-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs are in %s", dir)
		} else if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	s := &soak{
		options: Options{
			Program: BuildDaemon(t),
			Dir:     dir,
			Nodes:   stopNodes,
		},
		ledger:       NewLedger(),
		store:        emulator.NewRecords(timekeeper.System{}),
		host:         fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), os.Getpid()&0xff, 1+soakCount.Add(1)&0x7f),
		port:         15000 + rand.IntN(10000),
		routeTimeout: routeTimeout,
	}
	t.Cleanup(s.close)
	if err := s.startStore(); err != nil {
		t.Fatal(err)
	}
	for i := range stopNodes {
		if err := s.addNode(i); err != nil {
			t.Fatal(err)
		}
	}
	s.declareConfig()
	var heartbeats sync.WaitGroup
	t.Cleanup(heartbeats.Wait)
	for _, n := range s.nodes {
		if err := n.startTarget(firstVersion, false); err != nil {
			t.Fatal(err)
		}
		if err := n.process.start(); err != nil {
			t.Fatal(err)
		}
		heartbeats.Go(func() { n.sendHeartbeats(t.Context()) })
	}
	s.checkRecovery("start", time.Now().Add(startTimeout))
	return s
}

// connect opens kept connections to the daemons that will be stopped and gets a
// response on each.
func connect(t *testing.T, s *soak) []*keptConn {
	var conns []*keptConn
	for i, n := range s.nodes[:stoppedNodes] {
		for j := range connsPerNode << i {
			conns = append(conns, newKeptConn(t, n, i, j, clientTimeout))
		}
	}
	return conns
}

// newKeptConn opens a connection to a daemon and gets a response on it.
func newKeptConn(t *testing.T, n *node, seed, number int, timeout time.Duration) *keptConn {
	conn, err := net.Dial("tcp", n.settings.Listen.Traffic)
	if err != nil {
		t.Fatal(err)
	}
	c := &keptConn{
		Conn:    conn,
		reader:  bufio.NewReader(conn),
		node:    n,
		timeout: timeout,
		random:  rand.New(rand.NewPCG(uint64(seed), uint64(number))),
		name:    fmt.Sprintf("%s-%d", n.settings.Name, number),
	}
	if !c.send() {
		t.Fatalf("%s: connection closed before the shutdown: %v", c.name, c.sent[0].Err)
	}
	return c
}

// starve returns pauses that leave a process the given time to run between two of
// them.
func starve(run time.Duration) []ShutdownPause {
	p := ShutdownPause{After: run, Length: 400 * time.Millisecond}
	return slices.Repeat([]ShutdownPause{p}, int(shutdownPausePeriod/(p.After+p.Length)))
}

// TestStopLosesRequestsOnKeptConnections stops daemons while requests arrive on kept
// connections, at any time until the exit.
func TestStopLosesRequestsOnKeptConnections(t *testing.T) {
	for name, paused := range map[string]bool{"running": false, "paused": true} {
		t.Run(name, func(t *testing.T) {
			s := startStopTest(t, 0)
			conns := connect(t, s)
			stopped := time.Now()
			var running sync.WaitGroup
			for i, n := range s.nodes[:stoppedNodes] {
				var pauses []ShutdownPause
				if paused {
					pauses = starve(time.Duration(1+i) * 50 * time.Millisecond)
				}
				running.Go(func() { n.process.stop(pauses...) })
			}
			for _, c := range conns {
				grace := c.node.process.grace
				running.Go(func() { c.keepSending(stopped.Add(time.Duration(c.random.Float64() * float64(grace)))) })
			}
			running.Wait()
			for _, n := range s.nodes {
				n.crashTarget()
			}
			checkNotLost(t, s.ledger, conns)
		})
	}
}

// TestStopWithLongRequests stops one daemon while requests that need most of their timeout
// arrive on kept connections, at any time until the exit. Requests that would not end before
// it must be rejected.
func TestStopWithLongRequests(t *testing.T) {
	const (
		conns                = 40
		timeout, serviceTime = 5 * time.Second, 4 * time.Second
	)
	s := startStopTest(t, timeout)
	stopped := s.nodes[1] // a node of the main service
	kept := make([]*keptConn, conns)
	for i := range kept {
		kept[i] = newKeptConn(t, stopped, 1, i, timeout)
	}
	for _, n := range s.nodes {
		n.backend.SetFaults(emulator.BackendFaults{Slow: serviceTime})
	}
	start := time.Now()
	var running sync.WaitGroup
	running.Go(func() { stopped.process.stop() })
	for _, c := range kept {
		running.Go(func() { c.keepSending(start.Add(time.Duration(c.random.Float64() * float64(stopped.process.grace)))) })
	}
	running.Wait()
	for _, n := range s.nodes {
		n.crashTarget()
	}
	checkNotLost(t, s.ledger, kept)
}

// checkNotLost checks that each request on the connections got a response, or was
// neither forwarded nor unanswered for longer than shutdownLossSlack. A request that was
// rejected must not have run. A quarter of the connections must have been used after
// SIGTERM.
func checkNotLost(t *testing.T, l *Ledger, conns []*keptConn) {
	instances := map[string]map[string]bool{}
	ran := map[string]bool{}
	for _, start := range l.starts {
		for _, a := range start.Arrivals {
			if instances[a.ID] == nil {
				instances[a.ID] = map[string]bool{}
			}
			instances[a.ID][start.Instance] = true
			ran[a.ID] = ran[a.ID] || a.Ran
		}
	}
	requests, unanswered, rejected, used := 0, 0, 0, 0
	for _, c := range conns {
		if c.usedAfterStop {
			used++
		}
		for _, r := range c.sent {
			requests++
			if r.Err == nil && r.Reply.Status == http.StatusServiceUnavailable {
				rejected++
				if ran[r.Call.ID] {
					t.Errorf("%s: rejected, and has run", r.Call.ID)
				}
			}
			if r.Err == nil {
				continue
			}
			unanswered++
			r.DaemonStopping = true
			if r.pipelined && len(instances[r.Call.ID]) == 0 {
				continue
			}
			for _, v := range r.violations(0, instances[r.Call.ID]) {
				t.Error(v)
			}
		}
	}
	for _, v := range l.reported {
		t.Error(v)
	}
	if used < len(conns)/4 {
		t.Errorf("%d of %d connections were used after SIGTERM, want a quarter", used, len(conns))
	}
	t.Logf("%d requests, %d without a response, %d rejected, %d connections used after SIGTERM", requests, unanswered, rejected, used)
}
