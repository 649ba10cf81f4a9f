package server

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Size of the users' mesh.
const (
	meshServices    = 1800
	meshTargets     = 19000
	meshDataCentres = 22
)

// newMeshService returns service i of the mesh, with the given share for v1.
func newMeshService(i, share int) parser.Service {
	name := fmt.Sprintf("service-%04d", i)
	return parser.Service{
		Name:     name,
		Versions: []parser.Version{{Name: "v1", Share: share}, {Name: "v2", Share: 100 - share}},
		Routes: []parser.Route{
			{Path: "/" + name, Methods: []string{"GET"}, Timeout: parser.Duration{Duration: time.Second}},
			{Path: "/" + name + "/payments", Methods: []string{"POST"}, NonIdempotent: true, Timeout: parser.Duration{Duration: 3 * time.Second}},
		},
		Dependencies: []string{fmt.Sprintf("service-%04d", (i+1)%meshServices)},
		Objectives:   parser.Objectives{MaxLatency: parser.Duration{Duration: 300 * time.Millisecond}, GoodShare: 0.99},
	}
}

// newMeshDaemon returns a daemon with the configuration and all members of the
// mesh.
func newMeshDaemon(tb testing.TB) *Daemon {
	tb.Helper()
	settings := loader.Settings{Name: "vm-0", DC: "dc-00", Key: "a key for tests only"}
	d := New(Options{
		Settings: settings.WithDefaults(),
		Platform: emulator.NewPlatform(timekeeper.System{}).Client(),
		Clock:    timekeeper.System{},
		Log:      NewLog(io.Discard, loader.Log{}),
	})
	services := make([]parser.Service, 0, meshServices)
	for i := range meshServices {
		services = append(services, newMeshService(i, 100))
	}
	d.activate(applyServices(tb, new(applier.State), services...))
	for i := range meshTargets {
		d.members.Merge(prober.Member{
			ID:          fmt.Sprintf("vm-%05d", i+1),
			DC:          fmt.Sprintf("dc-%02d", i%meshDataCentres),
			Admit:       fmt.Sprintf("10.%d.%d.1:7102", i/250, i%250),
			Control:     fmt.Sprintf("10.%d.%d.1:7103", i/250, i%250),
			Incarnation: 1,
			Target: &prober.Target{
				Service: fmt.Sprintf("service-%04d", i%meshServices),
				Version: "v1",
				Slots:   10,
			},
		})
	}
	return d
}

func applyServices(tb testing.TB, s *applier.State, services ...parser.Service) *applier.State {
	tb.Helper()
	e, err := s.NewEntry("id", "test", time.Time{}, applier.Change{Services: services})
	if err != nil {
		tb.Fatal(err)
	}
	next, err := s.Apply(e)
	if err != nil {
		tb.Fatal(err)
	}
	return next
}

// BenchmarkChangeAtSize activates a change of one service at a daemon with the
// full mesh. It also reports the memory in use afterwards.
func BenchmarkChangeAtSize(b *testing.B) {
	d := newMeshDaemon(b)
	state := d.state.Load()
	for i := 0; b.Loop(); i++ {
		state = applyServices(b, state, newMeshService(i%meshServices, 1+i%98))
		d.activate(state)
	}
	b.StopTimer()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "live-MB")
	b.ReportMetric(float64(m.Sys)/(1<<20), "sys-MB")
	runtime.KeepAlive(d)
}

// BenchmarkServingAtSize lists the targets of a version, which happens for each
// call.
func BenchmarkServingAtSize(b *testing.B) {
	d := newMeshDaemon(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if len(d.serving(fmt.Sprintf("service-%04d", i%meshServices), "v1")) == 0 {
			b.Fatal("no targets")
		}
	}
}
