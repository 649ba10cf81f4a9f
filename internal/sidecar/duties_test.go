package sidecar_test

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Settings of the duty in tests.
const (
	usageWindow = time.Second
	usageLate   = 8 * time.Second
	usageLease  = 1500 * time.Millisecond
	usageThaw   = 200 * time.Millisecond
)

// usageCall is a usage report that the platform has received.
type usageCall struct {
	holder string
	fence  uint64
	window int64
	body   string
	counts map[string]int
	at     time.Time
	status int
}

// usageAPI is a fake of the platform's API.
type usageAPI struct {
	address string

	mu     sync.Mutex
	status int
	calls  []usageCall
}

// newUsageAPI starts the API, and makes the nodes that are added later report usage there. At
// the end of the test it checks what holds of all reports.
func newUsageAPI(m *mesh) *usageAPI {
	a := &usageAPI{status: http.StatusOK}
	server := httptest.NewServer(a)
	a.address = server.Listener.Addr().String()
	m.t.Cleanup(server.Close)
	m.t.Cleanup(func() { a.check(m.t) })
	m.configure = func(s *loader.Settings) {
		s.Sidecar.Duties = map[string]loader.Duty{"usage_report": {
			Address: a.address,
			Window:  parser.Duration{Duration: usageWindow},
			Late:    parser.Duration{Duration: usageLate},
			Lease:   parser.Duration{Duration: usageLease},
			Thaw:    parser.Duration{Duration: usageThaw},
			Pace:    50,
		}}
	}
	return a
}

func (a *usageAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var record struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	err := json.Unmarshal(body, &record)
	fence, fenceErr := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.status
	if err != nil || fenceErr != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" {
		status = http.StatusBadRequest
	}
	a.calls = append(a.calls, usageCall{
		holder: r.Header.Get("X-Duty-Holder"),
		fence:  fence,
		window: record.Window,
		body:   string(body),
		counts: record.Counts,
		at:     time.Now(),
		status: status,
	})
	w.WriteHeader(status)
}

// setStatus sets the status of the responses.
func (a *usageAPI) setStatus(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
}

// received returns the calls so far.
func (a *usageAPI) received() []usageCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]usageCall(nil), a.calls...)
}

// accepted returns the bodies of the accepted reports by window.
func (a *usageAPI) accepted() map[int64]usageCall {
	accepted := map[int64]usageCall{}
	for _, c := range a.received() {
		if c.status == http.StatusOK {
			accepted[c.window] = c
		}
	}
	return accepted
}

// total returns the sum of the accepted reports.
func (a *usageAPI) total() map[string]int {
	total := map[string]int{}
	for _, c := range a.accepted() {
		for customer, n := range c.counts {
			total[customer] += n
		}
	}
	return total
}

// check checks that each window has one report, that reports come in the order of windows, that
// fences never fall or have two holders, and that no holder returns within the lease.
func (a *usageAPI) check(t *testing.T) {
	bodies, holders := map[int64]string{}, map[uint64]string{}
	var last usageCall
	lastOf := map[string]time.Time{}
	for i, c := range a.received() {
		if c.status == http.StatusBadRequest {
			t.Errorf("report %q can't be read", c.body)
		}
		if body, ok := bodies[c.window]; ok && body != c.body {
			t.Errorf("reports %s and %s of one window", body, c.body)
		}
		bodies[c.window] = c.body
		if holder, ok := holders[c.fence]; ok && holder != c.holder {
			t.Errorf("holders %s and %s with fence %d", holder, c.holder, c.fence)
		}
		holders[c.fence] = c.holder
		if c.fence < last.fence || c.window < last.window {
			t.Errorf("window %d with fence %d after window %d with fence %d", c.window, c.fence, last.window, last.fence)
		}
		if before, ok := lastOf[c.holder]; ok && i > 0 && last.holder != c.holder && c.at.Sub(before) < usageLease {
			t.Errorf("holder %s returns after %v", c.holder, c.at.Sub(before))
		}
		last, lastOf[c.holder] = c, c.at
	}
	for window := range bodies {
		if _, ok := bodies[window-1]; !ok && hasEarlier(bodies, window) {
			t.Errorf("no report of window %d, but of one before and one after", window-1)
		}
	}
}

// hasEarlier reports whether there is a window before another one.
func hasEarlier(bodies map[int64]string, window int64) bool {
	for w := range bodies {
		if w < window {
			return true
		}
	}
	return false
}

// sendAttempt sends an attempt of a customer's request to the node's daemon, as another daemon
// does. It has no ID, so that the target's refusal needs none.
func (n *node) sendAttempt(customer string) error {
	return n.sendAttemptWithin(customer, waitTimeout)
}

// sendAttemptWithin is like sendAttempt for a client that waits for a time.
func (n *node) sendAttemptWithin(customer string, timeLeft time.Duration) error {
	client := carrier.Client{
		Key:       n.settings.Key,
		Transport: http.DefaultTransport,
		Memory:    &carrier.Memory{Limit: 1 << 20},
		OnSilent:  func(string) {},
	}
	_, err := client.Send(context.Background(), n.settings.Listen.Admit, &carrier.Attempt{
		Service:  n.backend.Service,
		Version:  n.backend.Version,
		Instance: n.backend.Instance(),
		Rule:     "a.example/s/",
		Kind:     matcher.Idempotent,
		Identity: authenticator.Identity{Customer: customer},
		Deadline: time.Now().Add(timeLeft),
		MaxWait:  timeLeft,
		Method:   "GET",
		URI:      "/s/",
		Host:     "a.example",
		Header:   http.Header{},
	})
	return err
}

// usageMesh is a mesh of daemons that report usage.
func usageMesh(t *testing.T, dcs ...string) (*mesh, *usageAPI) {
	m := newMesh(t)
	api := newUsageAPI(m)
	for _, dc := range dcs {
		m.addNode(dc, "renewal", "v1")
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	return m, api
}

// sendAll sends a number of attempts of each customer to each node, and adds them to want.
func (m *mesh) sendAll(rounds int, want map[string]int, customers ...string) {
	m.t.Helper()
	for range rounds {
		for _, n := range m.nodes {
			for _, customer := range customers {
				if err := n.sendAttempt(customer); err != nil {
					m.t.Fatal(err)
				}
				if customer != "" {
					want[customer]++
				}
			}
		}
	}
}

// waitForTotal waits until the accepted reports have the wanted counts.
func (m *mesh) waitForTotal(a *usageAPI, want map[string]int) {
	m.t.Helper()
	m.waitFor("reports have all counts", func() bool { return maps.Equal(a.total(), want) })
}

// holder returns the node that has sent the last report.
func (m *mesh) holder(a *usageAPI) *node {
	m.t.Helper()
	var holder *node
	m.waitFor("a report", func() bool {
		calls := a.received()
		for _, n := range m.nodes {
			if len(calls) > 0 && n.settings.Name == calls[len(calls)-1].holder {
				holder = n
			}
		}
		return holder != nil
	})
	return holder
}

func TestUsageIsReported(t *testing.T) {
	m, api := usageMesh(t, "zilina", "martin", "zilina")
	want := map[string]int{}
	m.sendAll(20, want, "huka", "puhu", "")
	m.nodes[0].backend.SetFaults(emulator.BackendFaults{Shed: true})
	if err := m.nodes[0].sendAttempt("huka"); err == nil {
		t.Error("a target that refuses requests has answered one")
	}
	m.nodes[0].backend.SetFaults(emulator.BackendFaults{LoseAnswer: true})
	if err := m.nodes[0].sendAttempt("huka"); err == nil {
		t.Error("a target that loses its answers has answered one")
	}
	want["huka"]++ // it has begun to run
	m.nodes[0].backend.SetFaults(emulator.BackendFaults{})
	m.waitForTotal(api, want)
	holder := m.holder(api)
	if holder.gauge("duty.holding") != 1 || holder.gauge("duty.fence") != 1 || holder.gauge("duty.delivered") <= 0 {
		t.Error("the holder's metrics don't show it")
	}
	for _, c := range api.received() {
		if late := c.at.Sub(time.UnixMilli((c.window + 1) * usageWindow.Milliseconds())); late > usageLate || late < 0 {
			t.Errorf("window %d was reported %v after its end", c.window, late)
		}
	}
}

// TestStoppedHolderHandsOver checks that the counts of a daemon that leaves are reported, and
// that its successor repeats what it had fixed and could not deliver.
func TestStoppedHolderHandsOver(t *testing.T) {
	m, api := usageMesh(t, "zilina", "martin", "zilina")
	want := map[string]int{}
	m.sendAll(10, want, "huka")
	holder := m.holder(api)
	api.setStatus(http.StatusServiceUnavailable)
	m.sendAll(10, want, "huka")
	calls := len(api.received())
	m.waitFor("a report that is not accepted", func() bool { return len(api.received()) > calls })
	holder.stop()
	<-holder.ended
	api.setStatus(http.StatusOK)
	m.waitForTotal(api, want)
	if m.holder(api) == holder {
		t.Error("the daemon that has stopped still holds the duty")
	}
}

// TestLeavingDaemonTellsItsLastCounts checks that a daemon that stops is asked once more for the
// counts of what its target has begun since the last time.
func TestLeavingDaemonTellsItsLastCounts(t *testing.T) {
	m, api := usageMesh(t, "zilina", "martin", "zilina")
	want := map[string]int{}
	m.sendAll(2, want, "huka")
	holder := m.holder(api)
	for _, n := range m.nodes {
		if n == holder {
			continue
		}
		n.stop()
		var err error
		for err == nil {
			if err = n.sendAttemptWithin("puhu", 2*time.Second); err == nil {
				want["puhu"]++
			}
		}
		t.Logf("%d attempts until it stopped: %v", want["puhu"], err)
		<-n.ended
		break
	}
	if want["puhu"] == 0 {
		t.Fatal("the daemon that stops serves nothing")
	}
	m.waitForTotal(api, want)
}

// TestHolderWithoutStoreIsReplaced checks that a holder which the store does not answer stops
// before its successor begins.
func TestHolderWithoutStoreIsReplaced(t *testing.T) {
	m := newMesh(t)
	api := newUsageAPI(m)
	store := m.store
	links := map[*node]*soaker.Link{}
	for range 3 {
		link, err := soaker.NewLink(m.freeAddress(), store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		m.store = link.Address()
		links[m.addNode("zilina", "renewal", "v1")] = link
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	want := map[string]int{}
	m.sendAll(5, want, "huka")
	for range 2 {
		holder := m.holder(api)
		links[holder].SetFault(soaker.Fault{
			StallToServer:   true,
			StallFromServer: true,
		})
		m.sendAll(5, want, "huka")
		m.waitFor("another holder", func() bool { return m.holder(api) != holder })
		links[holder].SetFault(soaker.Fault{})
	}
	m.waitForTotal(api, want)
}

// TestUsageOutlivesOutages checks that nothing is lost while the platform refuses calls, and while
// the store is away over three windows.
func TestUsageOutlivesOutages(t *testing.T) {
	m, api := usageMesh(t, "zilina", "martin", "zilina")
	want := map[string]int{}
	m.sendAll(5, want, "huka")
	m.holder(api)
	api.setStatus(http.StatusTooManyRequests)
	m.sendAll(5, want, "huka")
	time.Sleep(3 * usageWindow)
	refused := 0
	for _, c := range api.received() {
		if c.status == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused == 0 || refused > 10 {
		t.Errorf("%d calls were refused, want a few", refused)
	}
	api.setStatus(http.StatusOK)
	m.waitForTotal(api, want)
	m.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	m.sendAll(5, want, "huka")
	time.Sleep(3 * usageWindow)
	m.sendAll(5, want, "puhu")
	m.records.SetFaults(emulator.RecordFaults{})
	m.waitForTotal(api, want)
}

// steppedClock is a system clock that is wrong by an offset.
type steppedClock struct {
	offset atomic.Int64
}

func (c *steppedClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// TestUsageWithWrongClocks checks that requests are counted in the windows in which they began
// although the clock of one daemon was wrong at its start, and that of another one is stepped.
func TestUsageWithWrongClocks(t *testing.T) {
	m := newMesh(t)
	api := newUsageAPI(m)
	wrong, stepped := &steppedClock{}, &steppedClock{}
	wrong.offset.Store(int64(3 * time.Second))
	for _, clock := range []timekeeper.Clock{wrong, stepped, timekeeper.System{}, timekeeper.System{}, timekeeper.System{}} {
		m.clock = clock
		m.addNode("zilina", "renewal", "v1")
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.waitFor("the wrong clock is corrected", func() bool { return m.nodes[0].count("counter", "duty.clock") > 0 })
	want := map[string]int{}
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second, 0} {
		stepped.offset.Store(int64(step))
		time.Sleep(2 * time.Second) // the machines look at their clocks
		first := time.Now().UnixMilli() / usageWindow.Milliseconds()
		before := api.total()["huka"]
		m.sendAll(5, want, "huka")
		last := time.Now().UnixMilli() / usageWindow.Milliseconds()
		m.waitForTotal(api, want)
		sum := 0
		for window, c := range api.accepted() {
			if window >= first && window <= last {
				sum += c.counts["huka"]
			}
		}
		if sum != want["huka"]-before {
			t.Errorf("clock stepped by %v: windows %d to %d have %d requests, want %d", step, first, last, sum, want["huka"]-before)
		}
	}
}

// TestNoDutyWithoutSettings checks that a daemon whose settings have no duty neither campaigns
// nor logs anything of one, and answers no collecting call.
func TestNoDutyWithoutSettings(t *testing.T) {
	m := newMesh(t)
	for _, dc := range []string{"zilina", "martin"} {
		m.addNode(dc, "renewal", "v1")
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.sendAll(5, map[string]int{}, "huka")
	time.Sleep(2 * time.Second)
	resp, err := http.Get("http://" + m.store + basePath + "kv-range?prefix=coltsfootlane/duties/")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if page, err := io.ReadAll(resp.Body); err != nil || strings.Contains(string(page), `"key"`) {
		t.Errorf("the store has %s, error %v, want no keys", page, err)
	}
	if strings.Contains(m.logs.String(), "duty") || strings.Contains(m.logs.String(), "usage report") {
		t.Error("the log tells of a duty")
	}
	a := m.nodes[0].settings
	if err := linker.NewClient(a.Key, waitTimeout).Call(t.Context(), a.Listen.Control, "counts", struct{}{}, nil); err == nil || !strings.Contains(err.Error(), "no method") {
		t.Errorf("error %v of a collecting call, want that there is no such method", err)
	}
	if m.nodes[0].gauge("duty.fence") != -1 {
		t.Error("the metrics have those of a duty")
	}
}
