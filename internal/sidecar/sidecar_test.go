package sidecar_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/sidecar"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

// base is the path that the platform uses.
const base = emulator.Base

// patience bounds what is waited for on a busy machine.
const patience = 60 * time.Second

// heartbeat is how often targets report.
const heartbeat = 200 * time.Millisecond

// recallTime covers two tries to find daemons that are gone.
const recallTime = 5 * time.Second

// mesh is a store with daemons and their targets, on the loopback.
type mesh struct {
	t       *testing.T
	records *emulator.Records
	store   string
	nodes   []*node
	logs    *lockedBuffer
}

// node is a daemon with its target.
type node struct {
	mesh     *mesh
	settings loader.Settings
	backend  *emulator.Backend
	// stop ends the daemon gracefully, and ended is closed once it has.
	stop  context.CancelFunc
	ended chan struct{}
	beats context.CancelFunc
}

// lockedBuffer keeps what daemons log.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newMesh(t *testing.T) *mesh {
	m := &mesh{
		t:       t,
		records: emulator.NewRecords(timekeeper.System{}),
		logs:    &lockedBuffer{},
	}
	server := httptest.NewServer(m.records.Handler(base))
	m.store = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	t.Cleanup(func() {
		if t.Failed() {
			path := t.Name() + ".log"
			_ = os.WriteFile(strings.ReplaceAll(path, "/", "_"), []byte(m.logs.String()), 0o600)
		}
	})
	return m
}

// nextPort is the port that is tried next. It stays below the ports that the
// kernel gives to outgoing connections, so that a daemon which is started again
// finds its port free.
var nextPort atomic.Int32

// host is an address of the loopback that no other test process uses, so that
// none takes the port of a daemon that is stopped and started again.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

func init() { nextPort.Store(15000 + rand.Int32N(12000)) }

// free returns an address of the loopback that nothing listens on.
func (m *mesh) free() string {
	for range 1000 {
		address := fmt.Sprintf("%s:%d", host, nextPort.Add(1))
		ln, err := net.Listen("tcp", address)
		if err == nil {
			_ = ln.Close()
			return address
		}
	}
	m.t.Fatal("no free port")
	return ""
}

// add starts a target and its daemon.
func (m *mesh) add(zone, service, version string) *node {
	m.t.Helper()
	name := fmt.Sprintf("%s-%d", zone, len(m.nodes)+1)
	n := &node{
		mesh: m,
		backend: &emulator.Backend{
			Service: service,
			Version: version,
			Slots:   4,
			Work:    5 * time.Millisecond,
			Clock:   timekeeper.System{},
		},
	}
	if err := n.backend.Start(m.free(), "i-"+name); err != nil {
		m.t.Fatal(err)
	}
	n.settings = loader.Settings{
		Name: name,
		DC:   zone,
		Listen: loader.Listen{
			Traffic:  m.free(),
			Admit:    m.free(),
			Control:  m.free(),
			Operator: m.free(),
		},
		Platform: m.store,
		Patience: parser.Duration{Duration: time.Second},
		Key:      "key-of-the-tests-mesh",
		Sidecar: &loader.Sidecar{
			Service:    service,
			Target:     n.backend.Address(),
			Ready:      m.free(),
			Metrics:    m.free(),
			Heartbeat:  parser.Duration{Duration: heartbeat},
			Grace:      parser.Duration{Duration: 6 * time.Second},
			RetryRatio: 0.2,
			RetrySlack: 60,
			Memory:     256,
		},
	}
	if err := n.settings.Check(); err != nil {
		m.t.Fatal(err)
	}
	n.start()
	n.startBeats()
	m.t.Cleanup(func() {
		n.beats()
		n.stop()
		n.backend.Crash()
	})
	m.nodes = append(m.nodes, n)
	return n
}

// start starts the node's daemon.
func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.ended = make(chan struct{})
	ended := n.ended
	daemon := sidecar.New(sidecar.Options{
		Settings: n.settings,
		Platform: platform.Adapter(n.settings.Platform, n.settings.Patience.Duration),
		Clock:    timekeeper.System{},
		Log:      log.NewWithOptions(n.mesh.logs, log.Options{ReportTimestamp: true, Level: log.DebugLevel}),
	})
	go func() {
		defer close(ended)
		if err := daemon.Run(ctx); err != nil {
			n.mesh.t.Errorf("%s: %v", n.settings.Name, err)
		}
	}()
}

// startBeats lets the target report.
func (n *node) startBeats() {
	ctx, cancel := context.WithCancel(context.Background())
	n.beats = cancel
	go func() {
		for ctx.Err() == nil {
			_ = n.backend.Report(ctx, n.settings.Listen.Operator, base)
			select {
			case <-time.After(heartbeat):
			case <-ctx.Done():
			}
		}
	}()
}

// rule is one rule of a plan that a test writes.
type rule = emulator.Route

// plan writes a configuration.
func (m *mesh) plan(version int, rules ...rule) {
	m.t.Helper()
	if _, err := m.records.Declare(version, rules...); err != nil {
		m.t.Fatal(err)
	}
}

// answer is what a client got.
type answer struct {
	status     int
	body       string
	stamp      string
	retryAfter string
	err        error
}

// call sends one request to the node as a client does.
func (n *node) call(method, path, id, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Listen.Traffic+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("X-Caller", "forged")
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status:     resp.StatusCode,
		body:       string(data),
		stamp:      resp.Header.Get("X-Server-Stamp"),
		retryAfter: resp.Header.Get("Retry-After"),
		err:        err,
	}
}

// await waits until a condition holds.
func (m *mesh) await(what string, condition func() bool) {
	m.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	m.t.Fatalf("not seen in %v: %s", patience, what)
}

// awaitMembers waits until every daemon knows the plan, the others and their
// targets.
func (m *mesh) awaitMembers() {
	m.t.Helper()
	for _, n := range m.nodes {
		m.await("members at "+n.settings.Name, func() bool {
			return n.gauge("member.live") == len(m.nodes) && n.gauge("member.targets") == len(m.nodes) && n.gauge("plan.version") > 0
		})
	}
}

// gauge reads one of the daemon's metrics; one that can't be read is -1.
func (n *node) gauge(name string) int {
	resp, err := http.Get("http://" + n.settings.Sidecar.Metrics + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1
	}
	value := -1
	if _, after, ok := strings.Cut(string(text), "gauge "+name+"\n"); ok {
		_, _ = fmt.Sscanf(after, "  value: %d", &value)
	}
	return value
}

// serves reports whether each of the instances answers one of some calls.
func (n *node) serves(path string, instances ...string) bool {
	seen := map[string]bool{}
	for i := range 60 {
		a := n.call("GET", path, fmt.Sprintf("probe-%d", i), "")
		if a.status != 200 {
			return false
		}
		seen[strings.Fields(a.body)[0]] = true
	}
	if len(seen) != len(instances) {
		return false
	}
	for _, i := range instances {
		if !seen[i] {
			return false
		}
	}
	return true
}

var safe = rule{Prefix: "/s/", Kind: "safe", Service: "renewal"}

func TestCallsAreServedFromAnyDaemon(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "documents", "v1")
	m.plan(1, safe, rule{Prefix: "/d/", Kind: "upload", Service: "documents"})
	for _, n := range m.nodes {
		m.await("both services", func() bool {
			return n.call("GET", "/s/x?q=%2f", "id-1", "").status == 200 && n.call("POST", "/d/x", "id-2", "photo").status == 200
		})
	}
	got := b.call("GET", "/s/x?q=%2f", "id-3", "")
	if got.body != "i-zilina-1 /s/x?q=%2f " || got.stamp != "stamp-i-zilina-1" {
		t.Errorf("answer %+v", got)
	}
	big := strings.Repeat("p", 200<<10)
	if got := a.call("POST", "/d/x", "id-4", big); got.body != "i-martin-2 /d/x "+big {
		t.Errorf("a large body came back changed: %d bytes, status %d, %v", len(got.body), got.status, got.err)
	}
	if got := a.call("GET", "/none/", "id-5", ""); got.status != 404 {
		t.Errorf("no rule: %+v", got)
	}
	for _, arrival := range a.backend.Arrivals() {
		if arrival.ID == "id-3" && arrival.Caller != "documents" {
			t.Errorf("caller %q, want the service of the VM where the call began", arrival.Caller)
		}
	}
}

func TestNoPlanIsNotRun(t *testing.T) {
	m := newMesh(t)
	n := m.add("zilina", "renewal", "v1")
	m.await("a refusal", func() bool { return n.call("GET", "/s/", "id", "").err == nil })
	if got := n.call("GET", "/s/", "id", ""); got.status != 503 || got.retryAfter == "" {
		t.Errorf("%+v, want 503 with Retry-After", got)
	}
}

// TestLeavingTarget counts what arrives after the report was acknowledged.
func TestLeavingTarget(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	c := m.add("martin", "documents", "v1")
	m.plan(1, safe)
	m.awaitMembers()
	b.backend.SetLeaving()
	if err := b.backend.Report(t.Context(), b.settings.Listen.Operator, base); err != nil {
		t.Fatal(err)
	}
	before := len(b.backend.Arrivals())
	for i := range 50 {
		if got := c.call("GET", "/s/", fmt.Sprint("id-", i), ""); got.status != 200 {
			t.Errorf("%+v", got)
		}
	}
	if after := len(b.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the target after it had said that it leaves", after-before)
	}
	_ = a
}

// TestLeaveBeforeAnyAnnouncement restarts a daemon that hears that its target
// leaves before a report that was sent earlier, and then of a new start.
func TestLeaveBeforeAnyAnnouncement(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	m.plan(1, safe)
	m.awaitMembers()
	b.beats()
	b.stop()
	<-b.ended
	b.start()
	m.await("the leave is taken", func() bool {
		return b.backend.Leave(t.Context(), b.settings.Listen.Operator, base) == nil
	})
	if err := b.backend.Report(t.Context(), b.settings.Listen.Operator, base); err != nil {
		t.Fatal(err)
	}
	m.await("a plan", func() bool { return b.gauge("plan.version") > 0 })
	before := len(b.backend.Arrivals())
	for i := range 40 {
		a.call("GET", "/s/", fmt.Sprint("a-", i), "")
		b.call("GET", "/s/", fmt.Sprint("b-", i), "")
	}
	if after := len(b.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the target after it had said that it leaves", after-before)
	}
	b.backend.Crash()
	if err := b.backend.Start(b.backend.Address(), b.backend.Instance()); err != nil {
		t.Fatal(err)
	}
	b.startBeats()
	m.await("the new start under the same name", func() bool { return strings.HasPrefix(b.call("GET", "/s/", "id", "").body, "i-martin-2") })
}

// TestConfigurationChanges moves a rule to another service.
func TestConfigurationChanges(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	m.add("martin", "documents", "v1")
	m.plan(1, safe)
	m.await("the first plan", func() bool { return a.call("GET", "/s/", "id", "").status == 200 })
	m.plan(3, rule{Prefix: "/s/", Kind: "safe", Service: "documents"}, rule{Prefix: "/new/", Kind: "safe", Service: "documents"})
	m.await("the second plan", func() bool { return a.call("GET", "/new/", "id", "").status == 200 })
	m.records.Put("op/config", []byte(`{"version":"r4","listeners":[{"host":`))
	m.plan(2, safe)
	time.Sleep(500 * time.Millisecond)
	if got := a.call("GET", "/s/", "id", ""); !strings.HasPrefix(got.body, "i-martin-2") {
		t.Errorf("an unreadable or older record undid the plan: %+v", got)
	}
}

func TestEvacuation(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	m.plan(1, safe)
	m.awaitMembers()
	m.await("own targets", func() bool { return a.serves("/s/", "i-zilina-1") && b.serves("/s/", "i-martin-2") })
	m.records.Evacuate("martin", true)
	m.await("martin empty", func() bool { return b.serves("/s/", "i-zilina-1") })
	before := len(b.backend.Arrivals())
	for i := range 40 {
		b.call("GET", "/s/", fmt.Sprint("id-", i), "")
	}
	if after := len(b.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the zone that is out", after-before)
	}
	m.records.Evacuate("martin", false)
	m.await("martin back", func() bool { return strings.HasPrefix(b.call("GET", "/s/", "id", "").body, "i-martin-2") })
}

// order asks for a move.
func (m *mesh) order(service, version string, period int) {
	if err := m.records.Order(service, version, period); err != nil {
		m.t.Fatal(err)
	}
}

// state returns what was written of a service's move.
func (m *mesh) state(service string) string {
	state, err := m.records.Outcome(service)
	if err != nil {
		m.t.Error(err)
	}
	return state
}

// load sends calls until it is stopped and returns how many were answered.
func (n *node) load(path string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				n.call("GET", path, fmt.Sprintf("load-%d-%d", i, j), "")
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func TestMoves(t *testing.T) {
	for name, test := range map[string]struct {
		faults emulator.BackendFaults
		want   string
	}{
		"good": {want: "completed"},
		"bad":  {faults: emulator.BackendFaults{FailShare: 0.4}, want: "rolled_back"},
		"slow": {faults: emulator.BackendFaults{Slow: 400 * time.Millisecond}, want: "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			a := m.add("zilina", "renewal", "v1")
			m.plan(1, safe)
			m.await("the former version", func() bool { return a.call("GET", "/s/", "id", "").status == 200 })
			stop := a.load("/s/")
			defer stop()
			m.order("renewal", "v2", 6)
			m.await("running", func() bool { return m.state("renewal") == "running" })
			b := m.add("martin", "renewal", "v2")
			b.backend.SetFaults(test.faults)
			m.await(test.want, func() bool { return m.state("renewal") == test.want })
			version := map[string]string{"completed": "i-martin-2", "rolled_back": "i-zilina-1"}[test.want]
			m.await("one version", func() bool { return a.serves("/s/", version) })
			all, bad := len(a.backend.Arrivals()), len(b.backend.Arrivals())
			if test.want == "rolled_back" && bad > 50+(all+bad)/10 {
				t.Errorf("the bad version got %d of %d requests", bad, all+bad)
			}
		})
	}
}

// TestStoreAway goes on serving, learns a change from a peer, and writes its
// key again when the store is back.
func TestStoreAway(t *testing.T) {
	m := newMesh(t)
	m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	for range 3 {
		m.add("zilina", "renewal", "v1") // more than there are relays in a zone
	}
	m.plan(1, safe)
	m.awaitMembers()
	keys := func() bool {
		for _, n := range m.nodes {
			if !m.records.Registered(n.settings.Name) {
				return false
			}
		}
		return true
	}
	m.await("keys", keys)
	m.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	m.records.Revoke()
	b.stop()
	<-b.ended
	b.start()
	m.await("a restarted daemon without a store learns from its peer", func() bool {
		return b.call("GET", "/s/", "id", "").status == 200
	})
	m.records.SetFaults(emulator.RecordFaults{})
	back := time.Now()
	m.await("keys again", keys)
	if took := time.Since(back); took > 4*time.Second {
		t.Errorf("keys came back after %v, want about 2 s", took)
	}
}

// TestFewCallsWhileStoreIsAway leaves a store that is away to the relays.
func TestFewCallsWhileStoreIsAway(t *testing.T) {
	const (
		away   = 6 * time.Second
		others = 6
		// perRelay and perOther are calls a second: two watches and a lease.
		perRelay, perOther = 9, 2
	)
	m := newMesh(t)
	for range 2 + others {
		m.add("zilina", "renewal", "v1")
	}
	m.plan(1, safe)
	m.awaitMembers()
	m.await("keys", func() bool {
		for _, n := range m.nodes {
			if !m.records.Registered(n.settings.Name) {
				return false
			}
		}
		return true
	})
	calls := func() int {
		return m.records.Calls("watch") + m.records.Calls("keep") + m.records.Calls("lease") + m.records.Calls("range")
	}
	m.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	before := calls()
	time.Sleep(away)
	most := int(away/time.Second) * (2*perRelay + others*perOther)
	if n := calls() - before; n > most {
		t.Errorf("%d calls in %v, want at most %d", n, away, most)
	}
}

// TestAddressIsUsedAgain puts another daemon at the addresses of one that is gone.
func TestAddressIsUsedAgain(t *testing.T) {
	m := newMesh(t)
	m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	m.plan(1, safe)
	m.awaitMembers()
	time.Sleep(recallTime) // until its address is known
	b.stop()
	<-b.ended
	b.settings.Name = "martin-9"
	b.start()
	m.awaitMembers()
	const told = "is another's by now"
	m.await("the address is forgotten", func() bool { return strings.Contains(m.logs.String(), told) })
	time.Sleep(2 * recallTime)
	if n := strings.Count(m.logs.String(), told); n > len(m.nodes) {
		t.Errorf("%d daemons joined through the address %d times", len(m.nodes), n)
	}
	if strings.Contains(m.logs.String(), "daemon is back") {
		t.Error("a daemon that is gone is said to be back")
	}
}

// TestPlannedStop sends calls through a daemon while it stops: none is cut.
func TestPlannedStop(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	m.plan(1, safe)
	m.await("serving", func() bool {
		return a.call("GET", "/s/", "id", "").status == 200 && b.call("GET", "/s/", "id", "").status == 200
	})
	b.stop()
	ready := func() bool {
		resp, err := http.Get("http://" + b.settings.Sidecar.Ready + base + "readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 200
	}
	m.await("not ready", func() bool { return !ready() })
	for i := 0; ; i++ {
		select {
		case <-b.ended:
			return
		default:
		}
		got := b.call("GET", "/s/", fmt.Sprint("id-", i), "")
		if got.err == nil && got.status != 200 {
			t.Errorf("while stopping: %+v", got)
		}
		if got.err != nil && !strings.Contains(got.err.Error(), "refused") && !strings.Contains(got.err.Error(), "reset") && !strings.Contains(got.err.Error(), "EOF") {
			t.Errorf("while stopping: %v", got.err)
		}
	}
}

// TestUnsafeRunsOnce loses answers of requests that may not be repeated.
func TestUnsafeRunsOnce(t *testing.T) {
	m := newMesh(t)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	m.plan(1, safe, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.awaitMembers()
	m.await("own targets", func() bool { return a.serves("/s/", "i-zilina-1") && b.serves("/s/", "i-martin-2") })
	for _, f := range []emulator.BackendFaults{{LoseAnswer: true}, {Spoil: true}, {FailShare: 1}, {Shed: true}} {
		a.backend.SetFaults(f)
		b.backend.SetFaults(f)
		for i := range 10 {
			got := a.call("POST", "/u/", fmt.Sprintf("u-%+v-%d", f, i), "pay")
			if got.status < 500 || (got.status == 503) != f.Shed {
				t.Errorf("%+v: %+v", f, got)
			}
			got = a.call("GET", "/s/", fmt.Sprintf("s-%+v-%d", f, i), "")
			if got.status < 500 || (got.status == 503) != f.Shed {
				t.Errorf("safe, %+v: %+v", f, got)
			}
		}
	}
	runs := map[string]int{}
	for _, n := range m.nodes {
		for _, arrival := range n.backend.Arrivals() {
			if arrival.Ran && strings.HasPrefix(arrival.ID, "u-") {
				runs[arrival.ID]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if len(runs) != 30 {
		t.Errorf("%d requests ran, want 30", len(runs))
	}
}

// TestCrashingRequest sends a request again that ends each target which runs it:
// it is refused once it has ended two.
func TestCrashingRequest(t *testing.T) {
	m := newMesh(t)
	for range 4 {
		m.add("zilina", "renewal", "v1")
	}
	m.plan(1, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.awaitMembers()
	for _, n := range m.nodes {
		m.await("own target", func() bool { return n.call("POST", "/u/", "w", "well").status == 200 })
		n.backend.CrashOn("poison")
	}
	entry := m.nodes[0]
	for i := range 12 {
		entry.call("POST", "/u/", fmt.Sprint("p-", i), "poison")
		time.Sleep(200 * time.Millisecond)
	}
	crashed := 0
	for _, n := range m.nodes {
		for _, a := range n.backend.Arrivals() {
			if a.Body == "poison" {
				crashed++
			}
		}
	}
	if crashed != 2 {
		t.Errorf("%d targets have run the request that ends them, want 2", crashed)
	}
}

// TestManyFoundDaemonsAreDead starts a daemon whose list of others holds many
// that are gone and answer nothing.
func TestManyFoundDaemonsAreDead(t *testing.T) {
	m := newMesh(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for i := range 9 {
		m.records.Put(fmt.Sprintf("coltsfootlane/daemons/gone-%d", i), []byte(silent.Addr().String()))
	}
	m.plan(1, safe)
	a := m.add("zilina", "renewal", "v1")
	b := m.add("martin", "renewal", "v1")
	started := time.Now()
	m.await("serving", func() bool {
		return a.call("GET", "/s/", "id", "").status == 200 && b.call("GET", "/s/", "id", "").status == 200
	})
	m.awaitMembers()
	if took := time.Since(started); took > 15*time.Second {
		t.Errorf("members known after %v", took)
	}
}
