package server

import (
	"io"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
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
