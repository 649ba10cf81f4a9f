package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// revokeWithin is the time after which a removed key must be refused.
const revokeWithin = 4 * time.Second

// Keys of the customers of the tests.
const (
	removedKey = "key-that-is-removed"
	keptKey    = "key-that-is-kept"
)

// keyRules are a rule that needs a key and a public one, with a long timeout.
var keyRules = []rule{
	{Prefix: "/k/", Kind: "safe", Service: "renewal", TimeoutMs: 20000},
	{Prefix: "/open/", Kind: "safe", Service: "renewal", TimeoutMs: 20000, Public: true},
}

// keyMesh is a mesh whose plan has two customers.
type keyMesh struct {
	*mesh
	// links holds, by daemon, the links to the store, and peers those between daemons.
	links map[string]*soaker.Link
	peers []*soaker.Link
}

func newKeyMesh(t *testing.T, daemons int) *keyMesh {
	m := &keyMesh{
		mesh:  newMesh(t),
		links: map[string]*soaker.Link{},
	}
	connect := func(server string) *soaker.Link {
		link, err := soaker.NewLink(m.freeAddress(), server)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		return link
	}
	store := m.store
	m.configure = func(s *loader.Settings) {
		m.links[s.Name] = connect(store)
		control := connect(s.Listen.Control)
		m.peers = append(m.peers, control)
		s.Platform = m.links[s.Name].Address()
		s.Advertise.Control = control.Address()
		s.Sidecar.RevokeWithin = parser.Duration{Duration: revokeWithin}
	}
	for range daemons {
		m.addNode("zilina", "renewal", "v1")
	}
	m.declare(1, removedKey)
	m.waitForMembers()
	return m
}

// declare writes a plan with the customers north and south. The keys are those of north.
func (m *keyMesh) declare(version int, keys ...string) {
	m.t.Helper()
	customers := []emulator.Customer{{Name: "north", Keys: keys}, {Name: "south", Keys: []string{keptKey}, Priority: 1}}
	if _, err := m.records.DeclareFor(customers, version, keyRules...); err != nil {
		m.t.Fatal(err)
	}
}

// sendWithKey sends a request with a key and a forged customer.
func (n *node) sendWithKey(path, id, key string) result {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Listen.Traffic+path, nil)
	if err != nil {
		return result{err: err}
	}
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Tenant", "forged")
	if key != "" {
		r.Header.Set("Api-Key", key)
	}
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return result{
		status:     resp.StatusCode,
		retryAfter: resp.Header.Get("Retry-After"),
	}
}

// arrivals returns the requests with an ID prefix that reached targets.
func (m *mesh) arrivals(prefix string) (found []emulator.Arrival) {
	for _, n := range m.nodes {
		for _, a := range n.backend.Arrivals() {
			if strings.HasPrefix(a.ID, prefix) {
				found = append(found, a)
			}
		}
	}
	return found
}

func TestKeysTowardsTargets(t *testing.T) {
	m := newKeyMesh(t, 2)
	n := m.nodes[0]
	m.waitFor("a request with a key is served", func() bool { return n.sendWithKey("/k/", "first", keptKey).status == 200 })
	for i, test := range []struct {
		path, key, customer string
		status              int
	}{
		{path: "/k/", key: keptKey, customer: "south", status: 200},
		{path: "/k/", key: removedKey, customer: "north", status: 200},
		{path: "/k/", status: 401},
		{path: "/k/", key: "unknown", status: 401},
		{path: "/open/", status: 200},
		{path: "/open/", key: "unknown", status: 200},
		{path: "/none/", key: keptKey, status: 404},
	} {
		for round := range 4 { // some at the target of the other daemon
			id := fmt.Sprintf("id-%d-%d", i, round)
			if got := n.sendWithKey(test.path, id, test.key); got.status != test.status {
				t.Errorf("%s with key %q: %+v, want status %d", test.path, test.key, got, test.status)
			}
			arrivals := m.arrivals(id)
			if ran := len(arrivals) > 0; ran != (test.status == 200) {
				t.Errorf("%s with key %q reached targets: %v", test.path, test.key, ran)
			}
			for _, a := range arrivals {
				if a.Customer != test.customer || a.Key != "" {
					t.Errorf("%s with key %q: the target got customer %q and key %q, want %q and no key", test.path, test.key, a.Customer, a.Key, test.customer)
				}
			}
		}
	}
	for _, key := range []string{removedKey, keptKey} {
		if strings.Contains(m.logs.String(), key) {
			t.Errorf("the log contains the key %q", key)
		}
	}
}

// TestRemovedKeyWhileCutOff removes a key while no daemon hears from another and one doesn't
// reach the store. That one must refuse the key in time, also on a connection that is open
// already, and say when to come back; the others know that it was removed.
func TestRemovedKeyWhileCutOff(t *testing.T) {
	m := newKeyMesh(t, 3)
	cut := m.nodes[2]
	for _, n := range m.nodes {
		m.waitFor("the key is known at "+n.settings.Name, func() bool { return n.sendWithKey("/k/", "before", removedKey).status == 200 })
	}
	conn, err := net.Dial("tcp", cut.settings.Listen.Traffic)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	responses := bufio.NewReader(conn)
	// pipeline sends two requests on the open connection and returns their statuses.
	pipeline := func(id string) (statuses []int) {
		for i := range 2 {
			_, _ = fmt.Fprintf(conn, "GET /k/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s-%d\r\nApi-Key: %s\r\n\r\n", id, i, removedKey)
		}
		for range 2 {
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = resp.Body.Read(make([]byte, 4096))
			_ = resp.Body.Close()
			statuses = append(statuses, resp.StatusCode)
		}
		return statuses
	}
	if got := pipeline("before"); got[0] != 200 || got[1] != 200 {
		t.Fatalf("before the removal: statuses %v", got)
	}
	stall := soaker.Fault{StallToServer: true, StallFromServer: true}
	m.links[cut.settings.Name].SetFault(stall)
	for _, l := range m.peers {
		l.SetFault(stall)
	}
	m.declare(2)
	removed := time.Now()
	for _, n := range m.nodes[:2] {
		m.waitFor("the removal at "+n.settings.Name, func() bool { return n.sendWithKey("/k/", "others", removedKey).status == 401 })
		if got := n.sendWithKey("/k/", "kept", keptKey); got.status != 200 {
			t.Errorf("%s: the kept key: %+v, want status 200", n.settings.Name, got)
		}
	}
	time.Sleep(time.Until(removed.Add(revokeWithin)))
	for i := range 5 {
		if got := pipeline(fmt.Sprint("late-", i)); got[0] != 503 || got[1] != 503 {
			t.Errorf("on the open connection: statuses %v, want 503", got)
		}
		if got := cut.sendWithKey("/k/", "late", removedKey); got.status != 503 || got.retryAfter == "" {
			t.Errorf("on a new connection: %+v, want status 503 with Retry-After", got)
		}
		if got := cut.sendWithKey("/k/", "unknown", "unknown"); got.status != 503 {
			t.Errorf("an unknown key: %+v, want status 503", got)
		}
	}
	if got := cut.sendWithKey("/open/", "open", ""); got.status != 200 {
		t.Errorf("a public request: %+v, want status 200", got)
	}
	if late := m.arrivals("late"); len(late) > 0 {
		t.Errorf("requests with the removed key reached targets: %+v", late)
	}
	m.links[cut.settings.Name].SetFault(soaker.Fault{})
	for _, l := range m.peers {
		l.SetFault(soaker.Fault{})
	}
	m.waitFor("the kept key is served after the cut", func() bool { return cut.sendWithKey("/k/", "healed", keptKey).status == 200 })
	if got := cut.sendWithKey("/k/", "late", removedKey); got.status != 401 {
		t.Errorf("the removed key after the cut: %+v, want status 401", got)
	}
}

// TestProofsPassThroughDaemons checks that a daemon that doesn't reach the store serves keys, and
// learns of a removal, through the others.
func TestProofsPassThroughDaemons(t *testing.T) {
	m := newKeyMesh(t, 4)
	cut := m.nodes[3]
	m.waitFor("the key is known", func() bool { return cut.sendWithKey("/k/", "before", removedKey).status == 200 })
	m.links[cut.settings.Name].SetFault(soaker.Fault{StallToServer: true, StallFromServer: true})
	time.Sleep(revokeWithin + time.Second)
	m.waitFor("keys are relied on without the store", func() bool { return cut.sendWithKey("/k/", "cut", removedKey).status == 200 })
	m.declare(2)
	m.waitFor("the removal", func() bool { return cut.sendWithKey("/k/", "removed", removedKey).status == 401 })
	if got := cut.sendWithKey("/k/", "kept", keptKey); got.status != 200 {
		t.Errorf("the kept key: %+v, want status 200", got)
	}
}

// TestRemovedKeyInQueue removes a key while its request waits for a slot of the target.
func TestRemovedKeyInQueue(t *testing.T) {
	m := newKeyMesh(t, 1)
	n := m.nodes[0]
	m.waitFor("the key is known", func() bool { return n.sendWithKey("/k/", "before", removedKey).status == 200 })
	n.backend.SetFaults(emulator.BackendFaults{Slow: 6 * time.Second})
	running := make(chan result, n.backend.Slots)
	for i := range n.backend.Slots {
		go func() { running <- n.sendWithKey("/open/", fmt.Sprint("running-", i), "") }()
	}
	m.waitFor("all slots are taken", func() bool { return len(m.arrivals("running")) == n.backend.Slots })
	waiting := make(chan result, 1)
	go func() { waiting <- n.sendWithKey("/k/", "waiting", removedKey) }()
	time.Sleep(200 * time.Millisecond)
	m.declare(2)
	m.waitFor("the removal is known", func() bool { return n.gauge("plan.version") == 2 })
	if len(running) > 0 {
		t.Fatal("a slot became free before the removal was known")
	}
	if got := <-waiting; got.status != 401 {
		t.Errorf("the waiting request: %+v, want status 401", got)
	}
	if got := m.arrivals("waiting"); len(got) > 0 {
		t.Errorf("the waiting request reached the target: %+v", got)
	}
}
