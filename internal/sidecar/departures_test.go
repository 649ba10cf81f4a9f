package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// departureMesh is a store and a virtual clock for daemons that are not run: tests call
// their methods.
type departureMesh struct {
	clock *timekeeper.Virtual
	store *emulator.Platform
}

func newDepartureMesh() *departureMesh {
	clock := timekeeper.NewVirtual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC))
	return &departureMesh{
		clock: clock,
		store: emulator.NewPlatform(clock),
	}
}

// start returns the daemon zilina-1 as after a start.
func (m *departureMesh) start() *Daemon {
	return New(Options{
		Settings: loader.Settings{
			Name: "zilina-1",
			DC:   "zilina",
			Sidecar: &loader.Sidecar{
				Service:   "renewal",
				Heartbeat: parser.Duration{Duration: time.Second},
			},
		},
		Platform: Platform{
			DeparturePrefix: "departures/",
			Store:           m.store.Client(),
			ReportPath:      "/report/",
			DecodeReport: func(r *http.Request) (Announcement, error) {
				return Announcement{
					Instance: strings.TrimPrefix(r.URL.Path, "/report/"),
					Leaving:  r.Method == http.MethodDelete,
				}, nil
			},
		},
		Clock: m.clock,
		Log:   log.New(io.Discard),
	})
}

// announce passes an announcement of the process i-1 that started at the given second.
func (m *departureMesh) announce(d *Daemon, start int64, sequence uint64) {
	d.handleAnnouncement(Announcement{
		Instance:  "i-1",
		StartTime: time.Unix(start, 0),
		Service:   "renewal",
		Version:   "v1",
		Slots:     4,
		Sequence:  sequence,
	})
}

// syncStore synchronizes a daemon's departures with the store and expects an error or none.
func syncStore(t *testing.T, d *Daemon, wantError bool) {
	t.Helper()
	err := d.syncDepartures(t.Context())
	if err != nil {
		d.setDeparturesUnreadable()
	}
	if (err != nil) != wantError {
		t.Fatalf("syncDepartures: %v, want an error: %v", err, wantError)
	}
}

// isUsed reports whether the daemon's target gets requests.
func isUsed(d *Daemon) bool {
	t, ok := d.gate.Target()
	return ok && !t.ShuttingDown
}

// checkUsed checks whether the daemon's target gets requests.
func checkUsed(t *testing.T, d *Daemon, want bool, when string) {
	t.Helper()
	if got := isUsed(d); got != want {
		t.Errorf("the target gets requests %s: %v, want %v", when, got, want)
	}
}

// TestDepartureOutlivesDaemon guards against a target that is in use again after its
// departure, when its daemon and all others have restarted.
func TestDepartureOutlivesDaemon(t *testing.T) {
	for name, leave := range map[string]func(d *Daemon){
		"leave report": func(d *Daemon) {
			d.handleAnnouncement(Announcement{Instance: "i-1", Leaving: true})
		},
		"draining": func(d *Daemon) {
			d.handleAnnouncement(Announcement{
				Instance:  "i-1",
				StartTime: time.Unix(100, 0),
				Draining:  true,
				Sequence:  2,
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newDepartureMesh()
			d := m.start()
			syncStore(t, d, false)
			m.announce(d, 100, 1)
			checkUsed(t, d, true, "before its departure")
			leave(d)
			checkUsed(t, d, false, "after its departure")
			syncStore(t, d, false)

			d = m.start()
			m.announce(d, 100, 1)
			checkUsed(t, d, false, "before departures are known")
			syncStore(t, d, false)
			checkUsed(t, d, false, "by a late announcement before departures were known")
			m.announce(d, 100, 3)
			checkUsed(t, d, false, "by a late announcement")
			m.announce(d, 101, 1)
			checkUsed(t, d, true, "once it has started again")
		})
	}
}

// TestLeaveReportIsNotAcknowledgedUntilStored guards against a departure that is acknowledged
// and forgotten. The first write takes effect and its response is lost.
func TestLeaveReportIsNotAcknowledgedUntilStored(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	syncStore(t, d, false)
	m.announce(d, 100, 1)
	report := func() int {
		w := httptest.NewRecorder()
		d.serveReport(w, httptest.NewRequest(http.MethodDelete, "/report/i-1", nil))
		return w.Code
	}
	m.store.SetFaults(emulator.Faults{Outage: true})
	if status := report(); status != http.StatusServiceUnavailable {
		t.Errorf("a report during an outage of the store got %d, want 503", status)
	}
	checkUsed(t, d, false, "after a report that is not acknowledged")
	syncStore(t, d, true)
	m.store.SetFaults(emulator.Faults{LoseAnswers: 1})
	syncStore(t, d, true)
	syncStore(t, d, false)
	if status := report(); status != http.StatusOK {
		t.Errorf("a report after the outage got %d, want 200", status)
	}
	if writes := m.store.Counts().Writes; writes != 2 {
		t.Errorf("%d calls to write, want 2: the departure was stored by the call without a response", writes)
	}
}

// TestTargetIsUsedIfDeparturesCannotBeRead guards against a target that gets no requests
// because its daemon has restarted during an outage of the store.
func TestTargetIsUsedIfDeparturesCannotBeRead(t *testing.T) {
	m := newDepartureMesh()
	m.store.SetFaults(emulator.Faults{Outage: true})
	d := m.start()
	m.announce(d, 100, 7)
	syncStore(t, d, true)
	m.announce(d, 100, 7)
	m.announce(d, 100, 6)
	m.announce(d, 99, 8)
	checkUsed(t, d, false, "by announcements that may all be late")
	m.announce(d, 100, 8)
	m.announce(d, 100, 9)
	checkUsed(t, d, true, "once its process has announced itself again")
}

// TestDepartureIsAppliedAfterOutage guards against a target that stays in use although the
// store, once it can be read again, has its departure.
func TestDepartureIsAppliedAfterOutage(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	syncStore(t, d, false)
	m.announce(d, 100, 1)
	d.handleAnnouncement(Announcement{Instance: "i-1", Leaving: true})
	syncStore(t, d, false)

	m.store.SetFaults(emulator.Faults{Outage: true})
	d = m.start()
	syncStore(t, d, true)
	m.announce(d, 100, 2)
	m.announce(d, 100, 3)
	checkUsed(t, d, true, "by two late announcements during the outage")
	m.store.SetFaults(emulator.Faults{})
	syncStore(t, d, false)
	checkUsed(t, d, false, "after the outage")
}

// TestHeldAnnouncementExpires guards against the use of a target by an announcement that is
// older than the time after which a silent target is removed.
func TestHeldAnnouncementExpires(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	m.announce(d, 100, 1)
	m.clock.Advance(maxMissedHeartbeats*time.Second + time.Millisecond)
	syncStore(t, d, false)
	checkUsed(t, d, false, "by an old announcement")
}

// TestDeparturesAreBounded guards against records that grow with each process of a target.
func TestDeparturesAreBounded(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	for i := range 10 {
		d.handleAnnouncement(Announcement{Instance: fmt.Sprint("i-", i), Leaving: true})
		m.clock.Advance(time.Second)
	}
	syncStore(t, d, false)
	item, err := m.store.Client().Get(t.Context(), d.departureKey())
	if err != nil {
		t.Fatal(err)
	}
	entries := d.decodeDepartures(item)
	if len(entries) != maxDepartures || entries[len(entries)-1].Instance != "i-9" {
		t.Errorf("stored departures %v, want the last %d", entries, maxDepartures)
	}
	d = m.start()
	d.handleAnnouncement(Announcement{Instance: "i-10", Leaving: true})
	syncStore(t, d, false)
	if entries, _ := d.departures.pending(); entries != nil {
		t.Errorf("departures %v are not stored", entries)
	}
	if entries := d.departures.entries; len(entries) != maxDepartures || entries[len(entries)-1].Instance != "i-10" {
		t.Errorf("departures %v after a restart, want the last %d", entries, maxDepartures)
	}
}

// TestOldDeparturesAreRemoved guards against keys of VMs that are gone for good.
func TestOldDeparturesAreRemoved(t *testing.T) {
	m := newDepartureMesh()
	d := m.start()
	d.handleAnnouncement(Announcement{Instance: "i-1", Leaving: true})
	syncStore(t, d, false)
	d.platform.Store.Range = func(ctx context.Context, _ string) (storer.RangeResult, error) {
		item, err := d.platform.Store.Get(ctx, d.departureKey())
		return storer.RangeResult{Changes: []storer.Change{{Item: item}}}, err
	}
	version := func() uint64 {
		item, err := m.store.Client().Get(t.Context(), d.departureKey())
		if err != nil {
			t.Fatal(err)
		}
		return item.Version
	}
	seen := d.removeOldDepartures(t.Context(), nil)
	if version() == 0 {
		t.Error("a departure was removed by the first call")
	}
	d.handleAnnouncement(Announcement{Instance: "i-1", Leaving: true})
	m.clock.Advance(time.Second)
	d.handleAnnouncement(Announcement{Instance: "i-1", Leaving: true})
	syncStore(t, d, false)
	seen = d.removeOldDepartures(t.Context(), seen)
	if version() == 0 {
		t.Error("a departure was removed that had been written since the last call")
	}
	d.removeOldDepartures(t.Context(), seen)
	if version() != 0 {
		t.Error("an old departure was not removed")
	}
	d.handleAnnouncement(Announcement{Instance: "i-2", Leaving: true})
	syncStore(t, d, true)
	syncStore(t, d, false)
	if version() == 0 {
		t.Error("no departure was stored after the removal of the key")
	}
}
