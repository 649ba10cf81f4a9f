package sidecar_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
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
