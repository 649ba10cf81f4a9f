package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// hookedClock calls onNow once, at the first reading of the time after it was set.
type hookedClock struct {
	*timekeeper.Virtual
	onNow func()
}

func (c *hookedClock) Now() time.Time {
	if hook := c.onNow; hook != nil {
		c.onNow = nil
		hook()
	}
	return c.Virtual.Now()
}

func TestHeartbeatDuringRemovalIsNotLost(t *testing.T) {
	clock := &hookedClock{
		Virtual: timekeeper.NewVirtual(moveStart),
	}
	settings := loader.Settings{
		Name: "vm-0",
		DC:   "a",
		Key:  "a key for tests only",
	}
	d := New(Options{
		Settings: settings.WithDefaults(),
		Platform: emulator.NewPlatform(clock).Client(),
		Clock:    clock,
		Log:      NewLog(io.Discard, loader.Log{}),
	})
	heartbeat := Announcement{
		Service: "renewal",
		Version: "v1",
		Address: "127.0.0.1:1",
		Slots:   10,
	}
	d.recordHeartbeat(heartbeat)
	removed := make(chan struct{})
	clock.onNow = func() {
		go func() {
			d.removeTarget("no heartbeat")
			close(removed)
		}()
		select {
		case <-removed:
		case <-time.After(100 * time.Millisecond):
		}
	}
	d.recordHeartbeat(heartbeat)
	<-removed
	d.recordHeartbeat(heartbeat)
	if d.local.Load() == nil || d.members.Self().Target == nil {
		t.Errorf("local target %v, announced %v; want both after another heartbeat", d.local.Load(), d.members.Self().Target)
	}
}

// TestLeaveWaitsForRequestsAtTarget guards against a target that closes connections with a request unread.
func TestLeaveWaitsForRequestsAtTarget(t *testing.T) {
	settings := loader.Settings{
		Name: "vm-0",
		DC:   "a",
		Key:  "a key for tests only",
	}
	d := New(Options{
		Settings: settings.WithDefaults(),
		Platform: emulator.NewPlatform(timekeeper.System{}).Client(),
		Clock:    timekeeper.System{},
		Log:      NewLog(io.Discard, loader.Log{}),
	})
	// leave reports that the target leaves while it has a request, which may end after some
	// time, and returns the time until the response.
	leave := func(ends bool) time.Duration {
		d.recordHeartbeat(Announcement{
			Service: "renewal",
			Version: "v1",
			Address: "127.0.0.1:1",
			Slots:   10,
		})
		ticket, err := d.local.Load().local.Limiter.Acquire(context.Background(), "/")
		if err != nil {
			t.Fatal(err)
		}
		defer ticket.Done(limiter.Outcome{})
		startTime := time.Now()
		responded := make(chan time.Duration, 1)
		go func() {
			w := httptest.NewRecorder()
			d.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/target", nil))
			if w.Code != http.StatusOK {
				t.Errorf("status %d, want 200", w.Code)
			}
			responded <- time.Since(startTime)
		}()
		time.Sleep(100 * time.Millisecond)
		if d.local.Load() != nil {
			t.Error("target still in use after its leave report")
		}
		select {
		case took := <-responded:
			t.Errorf("responded after %s, with a request at the target", took)
			return took
		default:
		}
		if ends {
			ticket.Done(limiter.Outcome{})
		}
		return <-responded
	}
	leave(true)
	// Targets wait a second for the response.
	if took := leave(false); took >= time.Second {
		t.Errorf("responded after %s, want less than 1s", took)
	}
}
