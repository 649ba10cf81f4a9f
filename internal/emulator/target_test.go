package emulator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// status serves one request and returns the response status, or 0 if the handler
// aborted the response.
func status(t *emulator.Target, r *http.Request) (code int) {
	defer func() {
		if recover() != nil {
			code = 0
		}
	}()
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w.Code
}

func TestTargetFaults(t *testing.T) {
	crashed := false
	target := &emulator.Target{
		Slots: 1,
		Crash: func() { crashed = true },
	}
	get := func(path string) *http.Request { return httptest.NewRequest("GET", path, nil) }
	if code := status(target, get("/a")); code != http.StatusOK {
		t.Errorf("without faults: got status %d, want 200", code)
	}
	target.SetBehaviour(emulator.Behaviour{FailPercent: 100, FailPath: "/bad"})
	if a, b := status(target, get("/a")), status(target, get("/bad/1")); a != 200 || b != 500 {
		t.Errorf("failures on one path: got status %d on another path and %d on it, want 200 and 500", a, b)
	}
	target.SetBehaviour(emulator.Behaviour{FailPercent: 100, FailAbove: 1})
	if code := status(target, get("/a")); code != 200 {
		t.Errorf("failures above 1 request, with 1 request: got status %d, want 200", code)
	}
	target.SetBehaviour(emulator.Behaviour{CrashMark: "x"})
	r := get("/a")
	r.Header.Set(emulator.CrashHeader, "x")
	if code := status(target, r); code != 0 || !crashed {
		t.Errorf("crash request: got status %d, crashed %t; want an aborted response and a crash", code, crashed)
	}
	target.SetBehaviour(emulator.Behaviour{Work: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if code := status(target, get("/a").WithContext(ctx)); code != 0 || target.Cancelled() != 1 {
		t.Errorf("cancelled request: got status %d, count %d; want an aborted response and count 1", code, target.Cancelled())
	}
	target.SetBehaviour(emulator.Behaviour{Health: "ok"})
	target.Drain()
	if a, h := status(target, get("/a")), status(target, get("/-/health")); a != 503 || h != 200 {
		t.Errorf("draining with health ok: got status %d, health status %d; want 503 and 200", a, h)
	}
}

func TestTargetWarmsUp(t *testing.T) {
	clock := timekeeper.NewVirtual(time.Unix(0, 0))
	target := &emulator.Target{Slots: 1, Clock: clock}
	const work = 5 * time.Millisecond
	target.SetBehaviour(emulator.Behaviour{Work: work, Warmup: time.Minute})
	took := func() time.Duration {
		start := time.Now()
		status(target, httptest.NewRequest("GET", "/a", nil))
		return time.Since(start)
	}
	if d := took(); d < work*emulator.ColdFactor {
		t.Errorf("during warm-up: request took %v, want at least ColdFactor times the service time", d)
	}
	clock.Advance(time.Hour)
	target.RestartWarmup()
	if d := took(); d < work*emulator.ColdFactor {
		t.Errorf("after RestartWarmup: request took %v, want at least ColdFactor times the service time", d)
	}
}
