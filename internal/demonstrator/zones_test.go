package demonstrator_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/demonstrator"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// waitTimeout is the timeout of a wait. A passing test needs far less.
const waitTimeout = 60 * time.Second

var lookups = parser.Service{
	Name:     "lookups",
	Versions: []parser.Version{{Name: "v1", Share: 100}},
	Routes:   []parser.Route{{Path: "/routes"}},
}

// twoDataCentres starts a mesh with one target in each of two data centres.
func twoDataCentres(t *testing.T) (m *demonstrator.Mesh, north, south *demonstrator.VM) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m = demonstrator.NewMesh(io.Discard)
	t.Cleanup(func() {
		cancel()
		m.Wait()
	})
	vms := make([]*demonstrator.VM, 0, 2)
	for _, dc := range []string{"north", "south"} {
		v, err := m.AddVM(ctx, dc+"-1", dc)
		if err != nil {
			t.Fatal(err)
		}
		if err := m.StartTarget(ctx, v, "lookups", "v1", 4, emulator.Behaviour{}); err != nil {
			t.Fatal(err)
		}
		vms = append(vms, v)
	}
	if err := m.Publish(ctx, lookups); err != nil {
		t.Fatal(err)
	}
	await(t, "calls through both data centres reach both targets", func() bool {
		return callSucceeds(t, vms[0]) && callSucceeds(t, vms[1]) && vms[0].Target.Served() > 0 && vms[1].Target.Served() > 0
	})
	return m, vms[0], vms[1]
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if err := demonstrator.Await(t.Context(), waitTimeout, ok); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func callSucceeds(t *testing.T, v *demonstrator.VM) bool {
	t.Helper()
	r, err := v.Call(t.Context(), "GET", "/routes/1")
	return err == nil && r.Status == 200
}

// TestEvacuateDuringPlatformOutage evacuates a data centre during a platform
// outage. The data centre's target must get no more requests and its callers must
// be served elsewhere. After the outage the setting must be committed, and the
// data centre must get requests again once it is brought back.
func TestEvacuateDuringPlatformOutage(t *testing.T) {
	m, north, south := twoDataCentres(t)
	m.Platform.SetFaults(emulator.Faults{Outage: true})
	if err := south.OperatorRequest(t.Context(), "PUT", "/v1/zones/north", server.ZoneSetting{Evacuated: true, By: "operator-1"}, nil); err != nil {
		t.Fatal(err)
	}
	await(t, "no daemon sends requests to the north", func() bool {
		before := north.Target.Served()
		for range 20 {
			if !callSucceeds(t, north) || !callSucceeds(t, south) {
				return false
			}
		}
		return north.Target.Served() == before
	})
	m.Platform.SetFaults(emulator.Faults{})
	await(t, "the evacuation of the north is committed", func() bool { return evacuationCommitted(t, m, "north") })
	if err := north.OperatorRequest(t.Context(), "PUT", "/v1/zones/north", server.ZoneSetting{}, nil); err != nil {
		t.Fatal(err)
	}
	before := north.Target.Served()
	await(t, "the north gets requests again", func() bool {
		return callSucceeds(t, north) && north.Target.Served() > before && !evacuationCommitted(t, m, "north")
	})
}

func evacuationCommitted(t *testing.T, m *demonstrator.Mesh, dc string) bool {
	t.Helper()
	z, ok := m.State(t.Context()).Zone(dc)
	return ok && z.Evacuated
}

func TestInvalidZoneRequests(t *testing.T) {
	_, north, _ := twoDataCentres(t)
	for path, body := range map[string]json.RawMessage{
		"/v1/zones/nowhere": json.RawMessage(`{"out":true}`),
		"/v1/zones/north":   json.RawMessage(`{"outt":true}`),
	} {
		if err := north.OperatorRequest(t.Context(), "PUT", path, body, nil); err == nil {
			t.Errorf("PUT %s accepted the body %s", path, body)
		}
	}
}
