package sidecar_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/sidecar"
	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

// basePath is the path prefix of the platform's calls.
const basePath = emulator.Base

// waitTimeout bounds each wait for a condition. It is long enough for a busy machine.
const waitTimeout = 60 * time.Second

// heartbeat is the interval of targets' announcements.
const heartbeat = 200 * time.Millisecond

// contactTime is the time after its start from which a daemon has to know what others know.
const contactTime = 3 * time.Second

// configTime is the time after which a change is in force at all daemons.
const configTime = 2 * time.Second

// rejoinTime covers two attempts of a daemon to rejoin daemons that are gone.
const rejoinTime = 5 * time.Second

// mesh is a store with daemons and their targets, on loopback addresses.
type mesh struct {
	t       *testing.T
	records *emulator.Records
	store   string
	nodes   []*node
	logs    *lockedBuffer
	// clock and grace are those of the daemons that are added.
	clock timekeeper.Clock
	grace time.Duration
	// configure changes the settings of the daemons that are added; it may be nil.
	configure func(s *loader.Settings)
}

// node is a daemon with its target.
type node struct {
	mesh     *mesh
	settings loader.Settings
	backend  *emulator.Backend
	// stop starts the daemon's graceful shutdown, and ended is closed after it.
	stop  context.CancelFunc
	ended chan struct{}
	// stopHeartbeats stops the target's announcements.
	stopHeartbeats context.CancelFunc
}

// lockedBuffer collects the daemons' log. It is safe for concurrent use.
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
		clock:   timekeeper.System{},
		grace:   6 * time.Second,
	}
	server := httptest.NewServer(m.records.Handler(basePath))
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

// nextPort is the next port to try. It stays below the ports that the kernel
// assigns to outgoing connections, so that a restarted daemon finds its port free.
var nextPort atomic.Int32

// host is a loopback address that differs between test processes, so that no
// other process takes the port of a daemon that is stopped and restarted.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

func init() { nextPort.Store(15000 + rand.Int32N(12000)) }

// freeAddress returns a loopback address on which nothing listens.
func (m *mesh) freeAddress() string {
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

// addNode starts a target and its daemon.
func (m *mesh) addNode(dc, service, version string) *node {
	m.t.Helper()
	name := fmt.Sprintf("%s-%d", dc, len(m.nodes)+1)
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
	if err := n.backend.Start(m.freeAddress(), "i-"+name); err != nil {
		m.t.Fatal(err)
	}
	n.settings = loader.Settings{
		Name: name,
		DC:   dc,
		Listen: loader.Listen{
			Traffic:  m.freeAddress(),
			Admit:    m.freeAddress(),
			Control:  m.freeAddress(),
			Operator: m.freeAddress(),
		},
		Platform:        m.store,
		PlatformTimeout: parser.Duration{Duration: time.Second},
		Key:             "key-of-the-tests-mesh",
		Sidecar: &loader.Sidecar{
			Service:     service,
			Target:      n.backend.Address(),
			Ready:       m.freeAddress(),
			Metrics:     m.freeAddress(),
			Heartbeat:   parser.Duration{Duration: heartbeat},
			GracePeriod: parser.Duration{Duration: m.grace},
			RetryRatio:  0.2,
			RetrySlack:  60,
			MemoryMiB:   256,
		},
	}
	if m.configure != nil {
		m.configure(&n.settings)
	}
	if err := n.settings.Validate(); err != nil {
		m.t.Fatal(err)
	}
	n.start()
	n.startHeartbeats()
	m.t.Cleanup(func() {
		n.stopHeartbeats()
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
		Platform: platform.NewAdapter(n.settings.Platform, n.settings.PlatformTimeout.Duration),
		Clock:    n.mesh.clock,
		Log:      log.NewWithOptions(n.mesh.logs, log.Options{ReportTimestamp: true, Level: log.DebugLevel}),
	})
	go func() {
		defer close(ended)
		if err := daemon.Run(ctx); err != nil {
			n.mesh.t.Errorf("%s: %v", n.settings.Name, err)
		}
	}()
}

// startHeartbeats starts the target's periodic announcements.
func (n *node) startHeartbeats() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopHeartbeats = cancel
	go func() {
		for ctx.Err() == nil {
			_ = n.backend.Report(ctx, n.settings.Listen.Operator, basePath)
			select {
			case <-time.After(heartbeat):
			case <-ctx.Done():
			}
		}
	}()
}

// rule is one rule of a test's plan.
type rule = emulator.Route

// writePlan writes a plan to the store.
func (m *mesh) writePlan(version int, rules ...rule) {
	m.t.Helper()
	if _, err := m.records.Declare(version, rules...); err != nil {
		m.t.Fatal(err)
	}
}

// result is the outcome of a client's request.
type result struct {
	status     int
	body       string
	stamp      string
	retryAfter string
	err        error
}

// sendRequest sends one client request to the node's daemon.
func (n *node) sendRequest(method, path, id, body string) result {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Listen.Traffic+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("X-Caller", "forged")
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{
		status:     resp.StatusCode,
		body:       string(data),
		stamp:      resp.Header.Get("X-Server-Stamp"),
		retryAfter: resp.Header.Get("Retry-After"),
		err:        err,
	}
}

// waitFor waits until a condition holds, and fails the test after waitTimeout.
func (m *mesh) waitFor(what string, condition func() bool) {
	m.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	m.t.Fatalf("condition not met within %v: %s", waitTimeout, what)
}

// waitForMembers waits until each daemon has a plan and sees all other daemons and
// their targets.
func (m *mesh) waitForMembers() {
	m.t.Helper()
	for _, n := range m.nodes {
		m.waitFor("members at "+n.settings.Name, func() bool {
			return n.gauge("member.live") == len(m.nodes) && n.gauge("member.targets") == len(m.nodes) && n.gauge("plan.version") > 0
		})
	}
}

// gauge returns one of the daemon's metrics, or -1 if it cannot be read.
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

// servedOnlyBy reports whether a series of requests is answered by exactly the
// given instances, each at least once.
func (n *node) servedOnlyBy(path string, instances ...string) bool {
	seen := map[string]bool{}
	for i := range 60 {
		a := n.sendRequest("GET", path, fmt.Sprintf("probe-%d", i), "")
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

var safeRule = rule{Prefix: "/s/", Kind: "safe", Service: "renewal"}

func TestCallsAreServedFromAnyDaemon(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "documents", "v1")
	m.writePlan(1, safeRule, rule{Prefix: "/d/", Kind: "upload", Service: "documents"})
	for _, n := range m.nodes {
		m.waitFor("both services answer", func() bool {
			return n.sendRequest("GET", "/s/x?q=%2f", "id-1", "").status == 200 && n.sendRequest("POST", "/d/x", "id-2", "photo").status == 200
		})
	}
	got := b.sendRequest("GET", "/s/x?q=%2f", "id-3", "")
	if got.body != "i-zilina-1 /s/x?q=%2f " || got.stamp != "stamp-i-zilina-1" {
		t.Errorf("response %+v, want that of i-zilina-1", got)
	}
	big := strings.Repeat("p", 200<<10)
	if got := a.sendRequest("POST", "/d/x", "id-4", big); got.body != "i-martin-2 /d/x "+big {
		t.Errorf("large body changed: got %d bytes, status %d, error %v", len(got.body), got.status, got.err)
	}
	if got := a.sendRequest("GET", "/none/", "id-5", ""); got.status != 404 {
		t.Errorf("path without a rule: got %+v, want 404", got)
	}
	for _, arrival := range a.backend.Arrivals() {
		if arrival.ID == "id-3" && arrival.Caller != "documents" {
			t.Errorf("caller %q, want the service of the VM where the request entered", arrival.Caller)
		}
	}
}

func TestRequestWithoutPlanIsRefused(t *testing.T) {
	m := newMesh(t)
	n := m.addNode("zilina", "renewal", "v1")
	m.waitFor("a response", func() bool { return n.sendRequest("GET", "/s/", "id", "").err == nil })
	if got := n.sendRequest("GET", "/s/", "id", ""); got.status != 503 || got.retryAfter == "" {
		t.Errorf("got %+v, want 503 with Retry-After", got)
	}
}

// TestDrainingTargetGetsNoRequests checks that a target gets no requests once its
// daemon has acknowledged the announcement that it drains.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	c := m.addNode("martin", "documents", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	b.backend.SetDraining()
	if err := b.backend.Report(t.Context(), b.settings.Listen.Operator, basePath); err != nil {
		t.Fatal(err)
	}
	before := len(b.backend.Arrivals())
	for i := range 50 {
		if got := c.sendRequest("GET", "/s/", fmt.Sprint("id-", i), ""); got.status != 200 {
			t.Errorf("request while a target drains: got %+v, want status 200", got)
		}
	}
	if after := len(b.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the target after its leave report", after-before)
	}
	_ = a // a's target serves the requests while b's drains
}

// TestOddEntriesAreSkipped guards against entries and reports of other writers that end a daemon or
// keep it from following the records.
func TestOddEntriesAreSkipped(t *testing.T) {
	nested := strings.Repeat("[", 200_000)
	odd := []string{nested, "{\"a\":" + nested, "127.0.0.1:99999999", "127.0.0.1:-1", "1e400", "{\"slots\":1e400}", "\x00\xff", ""}
	m := newMesh(t)
	for i, value := range odd {
		m.records.Put(fmt.Sprintf("coltsfootlane/daemons/odd-%d", i), []byte(value))
		m.records.Put(fmt.Sprintf("status/rollout/odd-%d", i), []byte(value))
		m.records.Put(fmt.Sprintf("op/rollout/odd-%d", i), []byte(value))
	}
	a := m.addNode("zilina", "renewal", "v1")
	m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	for _, body := range odd {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+a.settings.Listen.Operator+basePath+"instances/odd", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("report %.20q: status %d, want 400", body, resp.StatusCode)
		}
	}
	m.writePlan(2, safeRule)
	for _, n := range m.nodes {
		m.waitFor("the next plan at "+n.settings.Name, func() bool { return n.gauge("plan.version") == 2 })
		if got := n.sendRequest("GET", "/s/", "id", ""); got.status != http.StatusOK {
			t.Errorf("%s: status %d, want 200", n.settings.Name, got.status)
		}
	}
}

// TestTargetThatSaysItLeavesGetsNoRequests guards against requests to a target that says in its
// responses that it leaves, but still announces itself as ready.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.waitFor("both targets serve", func() bool { return a.servedOnlyBy("/s/", a.backend.Instance(), b.backend.Instance()) })
	before := len(b.backend.Arrivals())
	b.backend.SetFaults(emulator.BackendFaults{SayLeaving: true})
	m.waitFor("a response that says that the target leaves", func() bool {
		a.sendRequest("GET", "/s/", "id", "")
		return len(b.backend.Arrivals()) > before
	})
	m.waitFor("the other target serves alone", func() bool { return a.servedOnlyBy("/s/", a.backend.Instance()) })
	time.Sleep(5 * heartbeat)
	if !a.servedOnlyBy("/s/", a.backend.Instance()) || !b.servedOnlyBy("/s/", a.backend.Instance()) {
		t.Error("the leaving target serves requests again after its announcements")
	}
	if n := len(b.backend.Arrivals()) - before; n != 1 {
		t.Errorf("%d requests reached the target since it says that it leaves, want 1", n)
	}
}

// TestLeaveReportBeforeFirstAnnouncement guards against requests to a target that is
// leaving. A restarted daemon receives the target's leave report before an announcement
// that was sent earlier. A new process of the same name must get requests again.
func TestLeaveReportBeforeFirstAnnouncement(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	b.stopHeartbeats()
	b.stop()
	<-b.ended
	b.start()
	m.waitFor("the leave report is accepted", func() bool {
		return b.backend.Deregister(t.Context(), b.settings.Listen.Operator, basePath) == nil
	})
	if err := b.backend.Report(t.Context(), b.settings.Listen.Operator, basePath); err != nil {
		t.Fatal(err)
	}
	m.waitFor("the daemon has a plan", func() bool { return b.gauge("plan.version") > 0 })
	before := len(b.backend.Arrivals())
	for i := range 40 {
		a.sendRequest("GET", "/s/", fmt.Sprint("a-", i), "")
		b.sendRequest("GET", "/s/", fmt.Sprint("b-", i), "")
	}
	if after := len(b.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the target after its leave report", after-before)
	}
	b.checkNewProcessIsUsed()
}

// TestLeftTargetStaysOutAfterRestart guards against a late announcement of a target that has
// sent its leave report to the daemon before that restarted.
func TestLeftTargetStaysOutAfterRestart(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	b.stopHeartbeats()
	if err := b.backend.Deregister(t.Context(), b.settings.Listen.Operator, basePath); err != nil {
		t.Fatal(err)
	}
	m.waitFor("the leave is known", func() bool { return a.gauge("member.targets") == 1 })
	b.stop()
	<-b.ended
	b.start()
	b.checkLateReport(a)
}

// TestLeftTargetStaysOutAfterRestartOfAll guards against a target in use again after its leave
// report was acknowledged and all daemons, which alone knew of it, were restarted.
func TestLeftTargetStaysOutAfterRestartOfAll(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	b.stopHeartbeats()
	if err := b.backend.Deregister(t.Context(), b.settings.Listen.Operator, basePath); err != nil {
		t.Fatal(err)
	}
	for _, n := range m.nodes {
		n.stop()
	}
	for _, n := range m.nodes {
		<-n.ended
	}
	for _, n := range m.nodes {
		n.start()
	}
	b.checkLateReport(a)
}

// checkLateReport sends a late report of the node's target, which has left, after the node's
// daemon has restarted. It checks that no request reaches the target, from either of the two
// daemons, and that a new process of it is used.
func (n *node) checkLateReport(other *node) {
	t := n.mesh.t
	t.Helper()
	n.mesh.waitFor("the daemons have joined", func() bool { return n.gauge("plan.version") > 0 && n.gauge("member.live") == 2 })
	if err := n.backend.Report(t.Context(), n.settings.Listen.Operator, basePath); err != nil {
		t.Fatal(err)
	}
	before := len(n.backend.Arrivals())
	for began := time.Now(); time.Since(began) < 3*heartbeat; {
		other.sendRequest("GET", "/s/", "a", "")
		n.sendRequest("GET", "/s/", "b", "")
	}
	if after := len(n.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the target after its leave report", after-before)
	}
	n.checkNewProcessIsUsed()
}

// checkNewProcessIsUsed restarts the node's target under its name and checks that the new
// process gets requests.
func (n *node) checkNewProcessIsUsed() {
	n.mesh.t.Helper()
	n.backend.Crash()
	if err := n.backend.Start(n.backend.Address(), n.backend.Instance()); err != nil {
		n.mesh.t.Fatal(err)
	}
	n.startHeartbeats()
	n.mesh.waitFor("the new process of the same name gets requests", func() bool {
		return strings.HasPrefix(n.sendRequest("GET", "/s/", "id", "").body, n.backend.Instance())
	})
}

// TestConfigurationChanges moves a rule to another service. A truncated record or
// one with an older version must not replace the plan.
func TestConfigurationChanges(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	m.addNode("martin", "documents", "v1")
	m.writePlan(1, safeRule)
	m.waitFor("the first plan is in force", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
	m.writePlan(3, rule{Prefix: "/s/", Kind: "safe", Service: "documents"}, rule{Prefix: "/new/", Kind: "safe", Service: "documents"})
	m.waitFor("the second plan is in force", func() bool { return a.sendRequest("GET", "/new/", "id", "").status == 200 })
	m.records.Put("op/config", []byte(`{"version":"r4","listeners":[{"host":`))
	m.writePlan(2, safeRule)
	time.Sleep(500 * time.Millisecond)
	if got := a.sendRequest("GET", "/s/", "id", ""); !strings.HasPrefix(got.body, "i-martin-2") {
		t.Errorf("an invalid or older record replaced the plan: %+v", got)
	}
}

func TestEvacuation(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.waitFor("each daemon uses its own target", func() bool { return a.servedOnlyBy("/s/", "i-zilina-1") && b.servedOnlyBy("/s/", "i-martin-2") })
	m.records.Evacuate("martin", true)
	m.waitFor("martin is evacuated", func() bool { return b.servedOnlyBy("/s/", "i-zilina-1") })
	before := len(b.backend.Arrivals())
	for i := range 40 {
		b.sendRequest("GET", "/s/", fmt.Sprint("id-", i), "")
	}
	if after := len(b.backend.Arrivals()); after != before {
		t.Errorf("%d requests reached the evacuated data centre, want 0", after-before)
	}
	m.records.Evacuate("martin", false)
	m.waitFor("martin gets requests again", func() bool { return strings.HasPrefix(b.sendRequest("GET", "/s/", "id", "").body, "i-martin-2") })
}

// startRollout declares a rollout that lasts period seconds.
func (m *mesh) startRollout(service, version string, period int) {
	if err := m.records.Order(service, version, period); err != nil {
		m.t.Fatal(err)
	}
}

// rolloutState returns the recorded state of a service's rollout.
func (m *mesh) rolloutState(service string) string {
	rolloutState, err := m.records.Outcome(service)
	if err != nil {
		m.t.Error(err)
	}
	return rolloutState
}

// startLoad sends requests from four goroutines until stop is called.
func (n *node) startLoad(path string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				n.sendRequest("GET", path, fmt.Sprintf("load-%d-%d", i, j), "")
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func TestRollouts(t *testing.T) {
	for name, test := range map[string]struct {
		faults    emulator.BackendFaults
		wantState string
	}{
		"good": {wantState: "completed"},
		"bad":  {faults: emulator.BackendFaults{FailureRate: 0.4}, wantState: "rolled_back"},
		"slow": {faults: emulator.BackendFaults{Slow: 400 * time.Millisecond}, wantState: "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			a := m.addNode("zilina", "renewal", "v1")
			m.writePlan(1, safeRule)
			m.waitFor("the baseline version answers", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
			stop := a.startLoad("/s/")
			defer stop()
			m.startRollout("renewal", "v2", 6)
			m.waitFor("the rollout runs", func() bool { return m.rolloutState("renewal") == "running" })
			b := m.addNode("martin", "renewal", "v2")
			b.backend.SetFaults(test.faults)
			m.waitFor(test.wantState, func() bool { return m.rolloutState("renewal") == test.wantState })
			version := map[string]string{"completed": "i-martin-2", "rolled_back": "i-zilina-1"}[test.wantState]
			m.waitFor("one version gets all requests", func() bool { return a.servedOnlyBy("/s/", version) })
			baselineCalls, canaryCalls := len(a.backend.Arrivals()), len(b.backend.Arrivals())
			if test.wantState == "rolled_back" && canaryCalls > 50+(baselineCalls+canaryCalls)/10 {
				t.Errorf("the bad version got %d of %d requests, want at most 50 and a tenth of all", canaryCalls, baselineCalls+canaryCalls)
			}
		})
	}
}

// TestSlowVersionOfInternalServiceIsRolledBack guards against judging durations at a daemon
// that sends no requests to the service itself.
func TestSlowVersionOfInternalServiceIsRolledBack(t *testing.T) {
	m := newMesh(t)
	caller := m.addNode("zilina", "portal", "v1")
	baseline := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule, rule{Prefix: "/p/", Kind: "safe", Service: "portal"})
	m.waitForMembers()
	defer caller.startLoad("/s/")()
	m.startRollout("renewal", "v2", 6)
	m.waitFor("the rollout runs", func() bool { return m.rolloutState("renewal") == "running" })
	canary := m.addNode("martin", "renewal", "v2")
	// Faster than 3.5 times the service time that the chooser assumes of an unknown rule.
	canary.backend.SetFaults(emulator.BackendFaults{Slow: 100 * time.Millisecond})
	m.waitFor("the rollout ends", func() bool { return m.rolloutState("renewal") != "running" })
	if state := m.rolloutState("renewal"); state != "rolled_back" {
		t.Errorf("rollout of a version that is 20 times as slow: %s, want rolled_back", state)
	}
	slow, all := len(canary.backend.Arrivals()), len(canary.backend.Arrivals())+len(baseline.backend.Arrivals())
	if slow > 50+all/10 {
		t.Errorf("the slow version got %d of %d requests, want at most 50 and a tenth of all", slow, all)
	}
}

// TestGoodVersionOfFailingInternalServiceIsCompleted guards against a version that is rolled back although it fails no
// more often than the old one, because its daemons send the old one nothing.
func TestGoodVersionOfFailingInternalServiceIsCompleted(t *testing.T) {
	m := newMesh(t)
	caller := m.addNode("zilina", "portal", "v1")
	baseline := m.addNode("zilina", "renewal", "v1")
	baseline.backend.SetFaults(emulator.BackendFaults{FailureRate: 0.1})
	m.writePlan(1, safeRule, rule{Prefix: "/p/", Kind: "safe", Service: "portal"})
	m.waitForMembers()
	defer caller.startLoad("/s/")()
	m.startRollout("renewal", "v2", 6)
	m.waitFor("the rollout runs", func() bool { return m.rolloutState("renewal") == "running" })
	canary := m.addNode("martin", "renewal", "v2")
	canary.backend.SetFaults(emulator.BackendFaults{FailureRate: 0.1})
	m.waitFor("the rollout ends", func() bool { return m.rolloutState("renewal") != "running" })
	if state := m.rolloutState("renewal"); state != "completed" {
		t.Errorf("rollout of a version that fails as often as the old one: %s, want completed", state)
	}
}

// TestStoreOutage checks that during a store outage a restarted daemon fetches the
// configuration from a peer, and that all daemons register again soon after it.
func TestStoreOutage(t *testing.T) {
	m := newMesh(t)
	m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	for range 3 {
		m.addNode("zilina", "renewal", "v1") // more daemons than relays in a data centre
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	keys := func() bool {
		for _, n := range m.nodes {
			if !m.records.Registered(n.settings.Name) {
				return false
			}
		}
		return true
	}
	m.waitFor("all daemons are registered", keys)
	m.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	m.records.Revoke()
	b.stop()
	<-b.ended
	b.start()
	m.waitFor("a daemon restarted during the outage gets the plan from a peer", func() bool {
		return b.sendRequest("GET", "/s/", "id", "").status == 200
	})
	m.records.SetFaults(emulator.RecordFaults{})
	restored := time.Now()
	m.waitFor("all daemons are registered again", keys)
	if took := time.Since(restored); took > 4*time.Second {
		t.Errorf("daemons registered again after %v, want about 2 s", took)
	}
}

// TestSilentStoreIsBypassed guards against a relay that waits for a watch which the store no
// longer answers, while another daemon has the records.
func TestSilentStoreIsBypassed(t *testing.T) {
	m := newMesh(t)
	store := m.store
	links := map[string]*soaker.Link{}
	for range 3 {
		link, err := soaker.NewLink(m.freeAddress(), store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		m.store = link.Address()
		links[m.addNode("zilina", "renewal", "v1").settings.Name] = link
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	for _, relay := range ranker.Top("relay", slices.Collect(maps.Keys(links)), 2) {
		links[relay].SetFault(soaker.Fault{
			StallToServer:   true,
			StallFromServer: true,
		})
	}
	m.writePlan(2, safeRule)
	start := time.Now()
	for _, n := range m.nodes {
		m.waitFor("plan 2 at "+n.settings.Name, func() bool { return n.gauge("plan.version") == 2 })
	}
	// A watch takes 25 s.
	if elapsed := time.Since(start); elapsed > 15*time.Second {
		t.Errorf("all daemons have the plan after %v, want at most 15s", elapsed)
	}
}

// TestSilentConnectionsAreReplaced guards against requests and changes that wait for open
// connections which have gone silent for good, while new ones work: those to the store, to
// other daemons and to the target.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	m := newMesh(t)
	store := m.store
	var links []*soaker.Link
	connect := func(server string) string {
		link, err := soaker.NewLink(m.freeAddress(), server)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		links = append(links, link)
		return link.Address()
	}
	m.configure = func(s *loader.Settings) {
		s.Platform = connect(store)
		s.Advertise = loader.Advertise{
			Admit:   connect(s.Listen.Admit),
			Control: connect(s.Listen.Control),
		}
		s.Sidecar.Target = connect(s.Sidecar.Target)
	}
	m.addNode("zilina", "renewal", "v1")
	m.addNode("zilina", "documents", "v1")
	m.addNode("martin", "documents", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	send := func(n *node, wantBound time.Duration) {
		start := time.Now()
		if got := n.sendRequest("GET", "/s/", "id", ""); got.status != 200 || time.Since(start) > wantBound {
			t.Errorf("%s: %+v after %v, want status 200 within %v", n.settings.Name, got, time.Since(start), wantBound)
		}
	}
	for range 20 {
		for _, n := range m.nodes {
			send(n, waitTimeout)
		}
	}
	for _, l := range links {
		l.Silence()
	}
	for range 5 {
		for _, n := range m.nodes {
			n.sendRequest("GET", "/s/", "id", "")
		}
	}
	time.Sleep(contactTime)
	m.writePlan(2, safeRule)
	time.Sleep(configTime)
	for _, n := range m.nodes {
		if got := n.gauge("plan.version"); got != 2 {
			t.Errorf("%s has plan %d after %v, want 2", n.settings.Name, got, configTime)
		}
		for range 10 {
			send(n, time.Second)
		}
	}
}

// TestLeaveReportOverSilentConnection guards against a leave report that is not acknowledged
// within a second because the open connections to the store have gone silent.
func TestLeaveReportOverSilentConnection(t *testing.T) {
	m := newMesh(t)
	link, err := soaker.NewLink(m.freeAddress(), m.store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	m.store = link.Address()
	a := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	a.stopHeartbeats()
	link.Silence()
	start := time.Now()
	if err := a.backend.Deregister(t.Context(), a.settings.Listen.Operator, basePath); err != nil || time.Since(start) > time.Second {
		t.Errorf("leave report: error %v after %v, want an acknowledgement within 1s", err, time.Since(start))
	}
}

// TestFewCallsDuringStoreOutage checks that only relays retry often during a store
// outage, so that the number of calls stays low.
func TestFewCallsDuringStoreOutage(t *testing.T) {
	const (
		outage = 6 * time.Second
		others = 6
		// perRelay and perOther are the maximum calls per second of a relay and of
		// another daemon: for two watches and one lease.
		perRelay, perOther = 9, 2
	)
	m := newMesh(t)
	for range 2 + others {
		m.addNode("zilina", "renewal", "v1")
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.waitFor("all daemons are registered", func() bool {
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
	time.Sleep(outage)
	maxCalls := int(outage/time.Second) * (2*perRelay + others*perOther)
	if n := calls() - before; n > maxCalls {
		t.Errorf("%d store calls during an outage of %v, want at most %d", n, outage, maxCalls)
	}
}

// TestReusedAddressIsForgotten checks that the peers of a daemon that is gone stop
// trying to rejoin through its address once another daemon uses that address.
func TestReusedAddressIsForgotten(t *testing.T) {
	m := newMesh(t)
	m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	time.Sleep(rejoinTime) // until the peers have stored the address of b
	b.stop()
	<-b.ended
	b.settings.Name = "martin-9"
	b.start()
	m.waitForMembers()
	const logMessage = "now belongs to another daemon"
	m.waitFor("the address is forgotten by a peer", func() bool { return strings.Contains(m.logs.String(), logMessage) })
	time.Sleep(2 * rejoinTime)
	if n := strings.Count(m.logs.String(), logMessage); n > len(m.nodes) {
		t.Errorf("%d daemons joined through the reused address %d times", len(m.nodes), n)
	}
	if strings.Contains(m.logs.String(), "gone daemon has rejoined") {
		t.Error("a daemon that is gone was logged as rejoined")
	}
}

// TestGracefulShutdown sends requests through a daemon during its graceful
// shutdown. Each must get status 200, or fail because its connection is refused,
// reset or closed. Once the daemon closes its clients' connections, it may also be
// rejected with status 503. No response may be cut off.
func TestGracefulShutdown(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitFor("both daemons serve requests", func() bool {
		return a.sendRequest("GET", "/s/", "id", "").status == 200 && b.sendRequest("GET", "/s/", "id", "").status == 200
	})
	// A request whose timeout ends after the shutdown is rejected, for that reason only.
	const serviceTime, timeout = 5600 * time.Millisecond, 2 * time.Second
	stopped := time.Now()
	b.stop()
	ready := func() bool {
		resp, err := http.Get("http://" + b.settings.Sidecar.Ready + basePath + "readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 200
	}
	m.waitFor("the daemon reports not ready", func() bool { return !ready() })
	for i := 0; ; i++ {
		select {
		case <-b.ended:
			return
		default:
		}
		id := fmt.Sprint("id-", i)
		got := b.sendRequest("GET", "/s/", id, "")
		sinceStop := time.Since(stopped)
		logs := m.logs.String()
		outlasts := sinceStop >= serviceTime-timeout && logged(logs, "request="+id+" ", "daemon stops before the request may end")
		rejected := got.status == 503 && got.retryAfter != "" && (outlasts || strings.Contains(logs, "closing client connections"))
		if got.err == nil && got.status != 200 && !rejected {
			t.Errorf("response during shutdown: got %+v, want status 200", got)
		}
		if got.err != nil && !strings.Contains(got.err.Error(), "refused") && !strings.Contains(got.err.Error(), "reset") && !strings.Contains(got.err.Error(), "EOF") {
			t.Errorf("error during shutdown: got %v, want a refused, reset or closed connection", got.err)
		}
	}
}

// logged reports whether the log has a line with both texts.
func logged(logs, a, b string) bool {
	for line := range strings.Lines(logs) {
		if strings.Contains(line, a) && strings.Contains(line, b) {
			return true
		}
	}
	return false
}

// stopWithConnection stops a daemon that has an idle connection of a client, and checks
// that it closes the connection before it ends.
func stopWithConnection(t *testing.T, m *mesh, stop func(a *node)) {
	t.Helper()
	a := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitFor("the daemon serves requests", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
	conn, err := net.Dial("tcp", a.settings.Listen.Traffic)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	stop(a)
	<-a.ended
	if !strings.Contains(m.logs.String(), "closing client connections vm=zilina-1 dc=zilina connections=1 busy=0 idle=1") {
		t.Error("the log does not have the connection that was open at the stop")
	}
	if !strings.Contains(m.logs.String(), "daemon stopped vm=zilina-1 dc=zilina connections=0 busy=0") {
		t.Error("connections were left when the daemon ended, want none")
	}
}

// TestShutdownWaitsForClientConnections guards against an exit before they are closed.
func TestShutdownWaitsForClientConnections(t *testing.T) {
	stopWithConnection(t, newMesh(t), func(a *node) { a.stop() })
}

// TestShutdownWithShortGrace guards against an exit without a stop of the receiver.
func TestShutdownWithShortGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			m := newMesh(t)
			m.grace = grace
			stopWithConnection(t, m, func(a *node) {
				began := time.Now()
				a.stop()
				<-a.ended
				if took := time.Since(began); took > grace {
					t.Errorf("the shutdown took %v, want at most %v", took, grace)
				}
			})
		})
	}
}

// skippingClock is the system clock, ahead by an offset.
type skippingClock struct {
	offset atomic.Int64
}

// Now returns the time of the clock.
func (c *skippingClock) Now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()))
}

// TestShutdownHeldUpPastGrace guards against an exit without a stop of the receiver.
func TestShutdownHeldUpPastGrace(t *testing.T) {
	m := newMesh(t)
	clock := &skippingClock{}
	m.clock = clock
	stopWithConnection(t, m, func(a *node) {
		a.stop()
		m.waitFor("the daemon stops", func() bool { return strings.Contains(m.logs.String(), "stopping") })
		clock.offset.Store(int64(m.grace))
	})
}

// TestShutdownWaitsForAttemptInPart guards against an exit while its header is read.
func TestShutdownWaitsForAttemptInPart(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitFor("the daemon serves requests", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
	conn, err := net.Dial("tcp", a.settings.Listen.Admit)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /s/ HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	a.stop()
	select {
	case <-a.ended:
		t.Error("the daemon ended while a header was read")
	case <-time.After(3500 * time.Millisecond):
	}
	if _, err := io.WriteString(conn, "Host: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503 for a wrong key", resp.StatusCode)
	}
	<-a.ended
}

// heldBody is a response body that is not read until release is closed.
type heldBody struct {
	io.ReadCloser
	release chan struct{}
}

func (b heldBody) Read(p []byte) (int, error) {
	<-b.release
	return b.ReadCloser.Read(p)
}

// heldTransport holds back the bodies of responses. It closes received when the header
// of one has arrived.
type heldTransport struct {
	received, release chan struct{}
}

func (h heldTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		resp.Body = heldBody{
			ReadCloser: resp.Body,
			release:    h.release,
		}
		close(h.received)
	}
	return resp, err
}

// TestShutdownWaitsForResponsesToDaemons guards against an exit that cuts a response off.
func TestShutdownWaitsForResponsesToDaemons(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitFor("the daemon serves requests", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
	transport := heldTransport{
		received: make(chan struct{}),
		release:  make(chan struct{}),
	}
	client := carrier.Client{
		Key:       a.settings.Key,
		Transport: transport,
		OnSilent:  func(string) {},
	}
	const size = 16 << 20
	a.backend.SetFaults(emulator.BackendFaults{Padding: size})
	type outcome struct {
		response *carrier.TargetResponse
		err      error
	}
	sent := make(chan outcome, 1)
	go func() {
		resp, err := client.Send(context.Background(), a.settings.Listen.Admit, &carrier.Attempt{
			ID:       "large",
			Service:  "renewal",
			Version:  "v1",
			Instance: a.backend.Instance(),
			Rule:     "a.example/s/",
			Kind:     matcher.Idempotent,
			Deadline: time.Now().Add(waitTimeout),
			MaxWait:  waitTimeout,
			Method:   "GET",
			URI:      "/s/",
			Host:     "a.example",
			Header:   http.Header{"X-Attempt-Id": {"large"}},
		})
		sent <- outcome{response: resp, err: err}
	}()
	select {
	case <-transport.received:
	case got := <-sent:
		t.Fatalf("error %v, want a response that is held back", got.err)
	}
	a.stop()
	select {
	case <-a.ended:
		t.Error("the daemon ended while a response was read")
	case <-time.After(4 * time.Second):
	}
	close(transport.release)
	if got := <-sent; got.err != nil || len(got.response.Body) < size {
		t.Errorf("error %v, want a whole response", got.err)
	}
	<-a.ended
}

// TestUnsafeRequestRunsAtMostOnce checks that a non-idempotent request runs at most
// once when its response is lost, invalid or a failure, or when the target sheds it.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.waitForMembers()
	m.waitFor("each daemon uses its own target", func() bool { return a.servedOnlyBy("/s/", "i-zilina-1") && b.servedOnlyBy("/s/", "i-martin-2") })
	for _, f := range []emulator.BackendFaults{{LoseAnswer: true}, {WrongAttemptID: true}, {FailureRate: 1}, {Shed: true}} {
		a.backend.SetFaults(f)
		b.backend.SetFaults(f)
		for i := range 10 {
			got := a.sendRequest("POST", "/u/", fmt.Sprintf("u-%+v-%d", f, i), "pay")
			if got.status < 500 || (got.status == 503) != f.Shed {
				t.Errorf("unsafe rule, faults %+v: got %+v, want status 500 or higher, and 503 only if shed", f, got)
			}
			got = a.sendRequest("GET", "/s/", fmt.Sprintf("s-%+v-%d", f, i), "")
			if got.status < 500 || (got.status == 503) != f.Shed {
				t.Errorf("safe rule, faults %+v: got %+v, want status 500 or higher, and 503 only if shed", f, got)
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
			t.Errorf("request %s ran %d times, want at most once", id, n)
		}
	}
	if len(runs) != 30 {
		t.Errorf("%d requests ran, want 30", len(runs))
	}
}

// peakHeap returns a function that returns the largest size of the heap since the
// call of peakHeap.
func peakHeap(t *testing.T) (peak func() uint64) {
	t.Helper()
	var most atomic.Uint64
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most.Store(max(most.Load(), stats.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return most.Load
}

// TestEndlessResponses sends requests to a target whose responses do not end. They
// must fail soon, within the daemon's memory, and leave no slot occupied.
func TestEndlessResponses(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "documents", "v1")
	m.writePlan(1, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.waitForMembers()
	memory := int64(a.settings.Sidecar.MemoryMiB) << 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory * 6 / 10))
	for _, part := range []emulator.Endless{emulator.EndlessHead, emulator.EndlessBody} {
		for _, entry := range []*node{a, b} {
			m.waitFor("the target responds", func() bool { return entry.sendRequest("POST", "/u/", "id", "pay").status == 200 })
			a.backend.SetFaults(emulator.BackendFaults{Endless: part})
			peak := peakHeap(t)
			var group sync.WaitGroup
			for i := range 2 * a.backend.Slots {
				group.Go(func() {
					start := time.Now()
					got := entry.sendRequest("POST", "/u/", fmt.Sprint(part, i), "pay")
					if (got.status != 502 && got.status != 503 && got.status != 504) || got.stamp != "" || got.body != "" {
						t.Errorf("endless %s: got status %d with %d bytes, error %v, want a failure without a body", part, got.status, len(got.body), got.err)
					}
					if took := time.Since(start); took > 2500*time.Millisecond {
						t.Errorf("endless %s: response after %v, want it within the client's 2s", part, took)
					}
				})
			}
			group.Wait()
			t.Logf("endless %s: heap of %d MiB", part, peak()>>20)
			if peak() > uint64(memory) {
				t.Errorf("endless %s: heap of %d MiB, want at most the %d MiB of memory", part, peak()>>20, memory>>20)
			}
			a.backend.SetFaults(emulator.BackendFaults{})
		}
	}
	m.waitFor("the target responds", func() bool { return a.sendRequest("POST", "/u/", "id", "pay").status == 200 })
	for _, want := range []string{"head of the answer too long", "answer of the target too long"} {
		if !strings.Contains(m.logs.String(), want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
}

// TestCrashingRequestIsQuarantined repeats a request that crashes each target that
// runs it. It must be refused after it has crashed two.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	m := newMesh(t)
	for range 4 {
		m.addNode("zilina", "renewal", "v1")
	}
	m.writePlan(1, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.waitForMembers()
	for _, n := range m.nodes {
		m.waitFor("the daemon serves requests", func() bool { return n.sendRequest("POST", "/u/", "w", "well").status == 200 })
		n.backend.CrashOn("poison")
	}
	entry := m.nodes[0]
	for i := range 12 {
		entry.sendRequest("POST", "/u/", fmt.Sprint("p-", i), "poison")
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
		t.Errorf("%d targets ran the crashing request, want 2", crashed)
	}
}

// TestQuarantineOutlivesRestart guards against a request that crashes a target again because
// the target's daemon has restarted and does not know that the request is quarantined.
func TestQuarantineOutlivesRestart(t *testing.T) {
	m := newMesh(t)
	for _, dc := range []string{"zilina", "zilina", "martin"} {
		m.addNode(dc, "renewal", "v1")
	}
	m.writePlan(1, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.waitForMembers()
	for _, n := range m.nodes {
		m.waitFor("the daemon serves requests", func() bool { return n.sendRequest("POST", "/u/", "w", "well").status == 200 })
		n.backend.CrashOn("poison")
	}
	entry, restarted := m.nodes[0], m.nodes[2]
	runs := func() (n int) {
		for _, node := range m.nodes {
			for _, a := range node.backend.Arrivals() {
				if a.Body == "poison" {
					n++
				}
			}
		}
		return n
	}
	m.waitFor("the request is quarantined", func() bool {
		entry.sendRequest("POST", "/u/", "p", "poison")
		return runs() == 2
	})
	for _, n := range m.nodes {
		n.backend.Crash()
		if err := n.backend.Start(n.backend.Address(), n.backend.Instance()); err != nil {
			t.Fatal(err)
		}
		n.backend.CrashOn("poison")
	}
	restarted.stop()
	<-restarted.ended
	restarted.start()
	m.waitForMembers()
	m.waitFor("the restarted daemon's target serves requests", func() bool {
		return strings.HasPrefix(restarted.sendRequest("POST", "/u/", "w", "well").body, restarted.backend.Instance())
	})
	time.Sleep(contactTime)
	for i := range 20 {
		restarted.sendRequest("POST", "/u/", fmt.Sprint("q-", i), "poison")
	}
	if n := runs(); n != 2 {
		t.Errorf("%d targets ran the crashing request, want 2", n)
	}
}

// TestStartWithUnresponsiveDaemons guards against a slow start. The store lists many
// daemons that are gone and whose addresses accept connections but never respond.
func TestStartWithUnresponsiveDaemons(t *testing.T) {
	m := newMesh(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	for i := range 9 {
		m.records.Put(fmt.Sprintf("coltsfootlane/daemons/gone-%d", i), []byte(unresponsive.Addr().String()))
	}
	m.writePlan(1, safeRule)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	started := time.Now()
	m.waitFor("both daemons serve requests", func() bool {
		return a.sendRequest("GET", "/s/", "id", "").status == 200 && b.sendRequest("GET", "/s/", "id", "").status == 200
	})
	m.waitForMembers()
	if took := time.Since(started); took > 15*time.Second {
		t.Errorf("all member lists were complete after %v, want at most 15 s", took)
	}
}
