package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// controlBytesPerSecond is what a daemon may send for control, and changesPerSecond the
// rate of changes in a burst (docs/CAPACITY.md).
const (
	controlBytesPerSecond = 27_000
	changesPerSecond      = 6
)

// count returns one of the daemon's counters, or -1 if it cannot be read.
func (n *node) count(kind, name string) int {
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
	if _, after, ok := strings.Cut(string(text), kind+" "+name+"\n"); ok {
		_, _ = fmt.Sscanf(after, "  count: %d", &value)
	}
	return value
}

// largePlan returns rules of a large configuration. change varies one of them.
func largePlan(rules, change int) []rule {
	all := make([]rule, 0, rules)
	for i := range rules {
		r := rule{
			Prefix:  fmt.Sprintf("/%08x/", uint32(i)*2654435761),
			Kind:    "safe",
			Service: "renewal",
		}
		if i == change%rules {
			r.TimeoutMs = 1000 + change
		}
		all = append(all, r)
	}
	return all
}

// changeLargePlan writes a plan of that many rules and then changes it, each time
// when all daemons have the change before. It returns the packed bytes that each
// daemon sent to others for the changes.
func (m *mesh) changeLargePlan(rules, changes int) map[string]int {
	m.t.Helper()
	write := func(version int) {
		m.writePlan(version, largePlan(rules, version)...)
		for _, n := range m.nodes {
			m.waitFor("plan at "+n.settings.Name, func() bool { return n.gauge("plan.version") == version })
		}
	}
	write(1)
	m.waitForMembers()
	write(2)
	sent := map[string]int{}
	for _, n := range m.nodes {
		sent[n.settings.Name] = -max(0, n.count("counter", "copy.sentbytes"))
	}
	for i := range changes {
		write(3 + i)
	}
	for _, n := range m.nodes {
		sent[n.settings.Name] += max(0, n.count("counter", "copy.sentbytes"))
	}
	return sent
}

func TestCopiesAreCounted(t *testing.T) {
	m := newMesh(t)
	for range 4 {
		m.addNode("north", "renewal", "v1")
	}
	sent := m.changeLargePlan(100, 3)
	total := 0
	for _, bytes := range sent {
		total += bytes
	}
	if total == 0 {
		t.Error("no daemon counted bytes of copies that it sent")
	}
	counts := map[string]int{}
	for _, n := range m.nodes {
		counts["sent"] += max(0, n.count("counter", "copy.sent"))
		counts["sizes"] += max(0, n.count("histogram", "copy.bytes"))
		counts["fetched"] += max(0, n.count("timer", "copy.fetch"))
	}
	if counts["sent"] == 0 || counts["sizes"] != counts["sent"] || counts["fetched"] == 0 {
		t.Errorf("counts of copies = %v, want as many sizes as sent, and some fetched", counts)
	}
	for _, n := range m.nodes {
		if n.gauge("control.sent") <= 0 || n.gauge("control.received") <= 0 {
			t.Errorf("%s: control bytes sent %d, received %d, want some of both", n.settings.Name,
				n.gauge("control.sent"), n.gauge("control.received"))
		}
	}
	if log := m.logs.String(); !strings.Contains(log, "records packed for peers") {
		t.Error("no log line of the packed records")
	}
}

// TestChangesOfLargePlanStayInControlBudget guards against whole copies of a large
// configuration on the links of the daemons that pass its changes on.
func TestChangesOfLargePlanStayInControlBudget(t *testing.T) {
	const changes = 12
	m := newMesh(t)
	for range 6 {
		m.addNode("north", "renewal", "v1")
	}
	limit := controlBytesPerSecond * changes / changesPerSecond
	for name, bytes := range m.changeLargePlan(1400, changes) {
		if bytes > limit {
			t.Errorf("%s sent %d B of copies for %d changes, want at most %d", name, bytes, changes, limit)
		}
	}
}

// olderCopy is the response of daemons of the version before to a request for a copy.
type olderCopy struct {
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data,omitempty"`
}

func TestDaemonOfOlderVersionGetsWholeCopy(t *testing.T) {
	m := newMesh(t)
	n := m.addNode("north", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	client := linker.NewClient(n.settings.Key, time.Second)
	var c olderCopy
	if err := client.Call(context.Background(), n.settings.Listen.Control, "copy", map[string]any{"prefix": "op/", "revision": 0}, &c); err != nil {
		t.Fatal(err)
	}
	decoder, _ := zstd.NewReader(nil)
	defer decoder.Close()
	data, err := decoder.DecodeAll(c.Data, nil)
	if err != nil {
		t.Fatal(err)
	}
	var items []storer.Item
	if err := json.Unmarshal(data, &items); err != nil || len(items) != 1 || items[0].Key != "op/config" {
		t.Errorf("items = %v, %v; want the plan", items, err)
	}
}

// relay announces a revision to the node again and again, as a relay does, and serves
// copies of it. It returns the first requests that it gets.
func (n *node) relay(revision uint64, serve func(q map[string]any) any) <-chan map[string]any {
	n.mesh.t.Helper()
	requests := make(chan map[string]any, 16)
	s := linker.NewServer(n.settings.Key)
	linker.Handle(s, "copy", func(_ context.Context, q map[string]any) (any, error) {
		select {
		case requests <- q:
		default:
		}
		return serve(q), nil
	})
	ln, err := net.Listen("tcp", n.mesh.freeAddress())
	if err != nil {
		n.mesh.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	n.mesh.t.Cleanup(func() {
		cancel()
		<-ended
	})
	go func() { _ = s.Serve(ctx, ln) }()
	client := linker.NewClient(n.settings.Key, time.Second)
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			_ = client.Call(ctx, n.settings.Listen.Control, "news", map[string]any{
				"from":      "north-0",
				"control":   ln.Addr().String(),
				"revisions": map[string]uint64{"op/": revision},
			}, nil)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return requests
}

// packPlan returns a copy with one plan, as daemons of the version before pack it.
func packPlan(t *testing.T, revision uint64, version int) olderCopy {
	t.Helper()
	records := emulator.NewRecords(timekeeper.System{})
	if _, err := records.Declare(version, safeRule); err != nil {
		t.Fatal(err)
	}
	value, _ := records.Value("op/config")
	data, err := json.Marshal([]storer.Item{{Key: "op/config", Value: value, Version: revision}})
	if err != nil {
		t.Fatal(err)
	}
	encoder, _ := zstd.NewWriter(nil)
	return olderCopy{
		Revision: revision,
		Data:     encoder.EncodeAll(data, nil),
	}
}

func TestCopyOfDaemonOfOlderVersion(t *testing.T) {
	m := newMesh(t)
	n := m.addNode("north", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	older := packPlan(t, 1000, 2)
	n.relay(older.Revision, func(map[string]any) any { return older })
	m.waitFor("plan of the older daemon", func() bool { return n.gauge("plan.version") == 2 })
}

func TestWholeCopyIsFetchedAfterBadChanges(t *testing.T) {
	m := newMesh(t)
	n := m.addNode("north", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	older := packPlan(t, 1000, 2)
	requests := n.relay(older.Revision, func(q map[string]any) any {
		if base, ok := q["base"]; ok {
			return map[string]any{"revision": older.Revision, "encoding": 1, "base": base, "data": older.Data[:9]}
		}
		return older
	})
	m.waitFor("plan of the whole copy", func() bool { return n.gauge("plan.version") == 2 })
	if first := <-requests; first["base"] == nil {
		t.Errorf("first request is %v, want one with a base", first)
	}
	if !strings.Contains(m.logs.String(), "records of peer not decoded") {
		t.Error("no log line of the copy that was not decoded")
	}
}
