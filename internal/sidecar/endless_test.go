package sidecar_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// TestEndlessReport sends calls without end to the addresses that targets and the
// platform call. The daemon must close each connection, and still accept reports.
func TestEndlessReport(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.waitFor("the target serves requests", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
	report := "PUT " + basePath + "instances/other HTTP/1.1\r\nHost: h\r\n"
	ready := "GET " + basePath + "readyz HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		address, start, block string
		pause                 time.Duration
	}{
		"report, head":            {a.settings.Listen.Operator, report, strings.Repeat("X: x\r\n", 200), 0},
		"report, trickled head":   {a.settings.Listen.Operator, report, "X: x\r\n", 50 * time.Millisecond},
		"report, body":            {a.settings.Listen.Operator, report + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1024), 0},
		"report, trickled body":   {a.settings.Listen.Operator, report + "Content-Length: 1000000000000\r\n\r\n", "x", 50 * time.Millisecond},
		"report, trickled chunks": {a.settings.Listen.Operator, report + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50 * time.Millisecond},
		"leave, trickled body":    {a.settings.Listen.Operator, strings.Replace(report, "PUT", "DELETE", 1) + "Content-Length: 1000000000000\r\n\r\n", "x", 50 * time.Millisecond},
		"readiness check, body":   {a.settings.Sidecar.Ready, ready + "Content-Length: 1000000000000\r\n\r\n", "x", 50 * time.Millisecond},
		"metrics, body":           {a.settings.Sidecar.Metrics, strings.Replace(ready, basePath+"readyz", "/metrics", 1) + "Content-Length: 1000000000000\r\n\r\n", "x", 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", test.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			start := time.Now()
			_ = conn.SetDeadline(start.Add(15 * time.Second))
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			_, err = io.WriteString(conn, test.start)
			for err == nil {
				_, err = io.WriteString(conn, test.block)
				time.Sleep(test.pause)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection was not closed within 15s")
			}
		})
	}
	t.Run("others", func(t *testing.T) {
		t.Parallel()
		for i := range 5 {
			if err := a.backend.Report(t.Context(), a.settings.Listen.Operator, basePath); err != nil {
				t.Errorf("report: error %v, want none", err)
			}
			if got := a.sendRequest("GET", "/s/", fmt.Sprint("id-", i), ""); got.status != 200 {
				t.Errorf("request: %+v, want status 200", got)
			}
		}
	})
}

// TestEndlessResponseIsRetried checks that idempotent requests succeed at another
// target if the responses of one do not end, and that non-idempotent ones do not run
// twice.
func TestEndlessResponseIsRetried(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("zilina", "renewal", "v1")
	entry := m.addNode("martin", "documents", "v1")
	m.writePlan(1, safeRule, rule{Prefix: "/u/", Kind: "unsafe", Service: "renewal"})
	m.waitForMembers()
	m.waitFor("both targets serve requests", func() bool { return entry.servedOnlyBy("/s/", a.backend.Instance(), b.backend.Instance()) })
	for _, part := range []emulator.Endless{emulator.EndlessHead, emulator.EndlessBody} {
		a.backend.SetFaults(emulator.BackendFaults{Endless: part})
		for _, kind := range []string{"s", "u"} {
			before := len(a.backend.Arrivals())
			i := 0
			m.waitFor("a request is sent to the target whose responses do not end", func() bool {
				i++
				got := entry.sendRequest("POST", "/"+kind+"/", fmt.Sprint(kind, "-", part, "-", i), "pay")
				fromOther := got.status == 200 && strings.HasPrefix(got.body, b.backend.Instance()+" ")
				failed := got.status == 502 || got.status == 504
				if !fromOther && (kind == "s" || !failed) {
					t.Errorf("endless %s, /%s/: got %+v, want a response of the other target, or status 502 or 504 if not idempotent", part, kind, got)
				}
				return len(a.backend.Arrivals()) > before
			})
		}
	}
	runs := map[string]int{}
	for _, n := range []*node{a, b} {
		for _, arrival := range n.backend.Arrivals() {
			if arrival.Ran {
				runs[arrival.ID]++
			}
		}
	}
	for id, n := range runs {
		if strings.HasPrefix(id, "u-") && n > 1 {
			t.Errorf("request %s ran %d times, want at most once", id, n)
		}
	}
}
