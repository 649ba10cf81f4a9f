package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// outage is how long the store is away before it comes back from a backup.
const outage = 600 * time.Millisecond

// rewriteTime is the time after the store's return within which the daemons write again what
// it has lost.
const rewriteTime = 2 * time.Second

// restoreStore takes the store away and brings it back from a backup.
func (m *mesh) restoreStore(b emulator.Backup) {
	m.records.SetFaults(emulator.RecordFaults{Refuse: 503})
	time.Sleep(outage)
	m.records.Restore(b)
	m.records.SetFaults(emulator.RecordFaults{})
}

// advanceRevision makes other users of the store write n times.
func (m *mesh) advanceRevision(n int) {
	for i := range n {
		m.records.Put("other/key", []byte(fmt.Sprint(i)))
	}
}

// waitForPlan waits until each daemon has the plan of a version in force, and fails if one
// has an older plan than oldest meanwhile.
func (m *mesh) waitForPlan(version, oldest int, timeout time.Duration) {
	m.t.Helper()
	end := time.Now().Add(timeout)
	for {
		newest := true
		for _, n := range m.nodes {
			got := n.gauge("plan.version")
			newest = newest && got == version
			if got >= 0 && got < oldest {
				m.t.Fatalf("%s has plan %d in force after plan %d", n.settings.Name, got, oldest)
			}
			if got != version && time.Now().After(end) {
				m.t.Fatalf("%s has plan %d in force after %v, want %d", n.settings.Name, got, timeout, version)
			}
		}
		if newest {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newMeshOfThree returns a mesh of three daemons in two data centres with plan 1.
func newMeshOfThree(t *testing.T) *mesh {
	t.Helper()
	m := newMesh(t)
	m.addNode("zilina", "renewal", "v1")
	m.addNode("martin", "renewal", "v1")
	m.addNode("zilina", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	return m
}

// TestPlanWrittenAfterRestoreIsInForce guards against a plan that is ignored because the
// restored store has given it a lower revision than an earlier plan.
func TestPlanWrittenAfterRestoreIsInForce(t *testing.T) {
	for name, test := range map[string]struct{ before, after int }{
		"higher revision before":           {before: 200},
		"higher revision after the return": {before: 10, after: 200},
		"same revisions":                   {},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMeshOfThree(t)
			backup := m.records.Backup()
			m.advanceRevision(test.before)
			m.writePlan(3, safeRule)
			m.waitForPlan(3, 1, waitTimeout)
			m.restoreStore(backup)
			m.advanceRevision(test.after)
			m.records.WriteAgain()
			m.writePlan(5, safeRule)
			m.waitForPlan(5, 3, configTime)
			m.writePlan(7, safeRule)
			m.waitForPlan(7, 5, configTime)
		})
	}
}

// TestPlanOutlivesRestore guards against an older plan in force at a daemon that starts
// before the operators have written the newest one again.
func TestPlanOutlivesRestore(t *testing.T) {
	m := newMeshOfThree(t)
	backup := m.records.Backup()
	m.advanceRevision(20)
	m.writePlan(3, safeRule)
	m.waitForPlan(3, 1, waitTimeout)
	m.nodes[1].stop()
	<-m.nodes[1].ended
	m.restoreStore(backup)
	m.nodes[1].start()
	time.Sleep(contactTime)
	m.waitForPlan(3, 3, 0)
	m.records.WriteAgain()
	m.writePlan(5, safeRule)
	m.waitForPlan(5, 3, configTime)
}

// TestDepartureOutlivesRestore guards against a target that is in use again after its
// acknowledged leave, because the store has lost it and all daemons have restarted.
func TestDepartureOutlivesRestore(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	backup := m.records.Backup()
	b.stopHeartbeats()
	if err := b.backend.Deregister(t.Context(), b.settings.Listen.Operator, basePath); err != nil {
		t.Fatal(err)
	}
	m.advanceRevision(20)
	m.restoreStore(backup)
	time.Sleep(rewriteTime)
	for _, n := range m.nodes {
		n.stop()
	}
	for _, n := range m.nodes {
		<-n.ended
	}
	for _, n := range m.nodes {
		n.start()
	}
	b.checkLateReport(a)
}

// TestOutcomeOutlivesRestore guards against a rollout that runs again after its outcome,
// which the store has lost, because the operators write its order again.
func TestOutcomeOutlivesRestore(t *testing.T) {
	for state, faults := range map[string]emulator.BackendFaults{
		"completed":   {},
		"rolled_back": {FailureRate: 0.4},
	} {
		t.Run(state, func(t *testing.T) {
			m := newMesh(t)
			a := m.addNode("zilina", "renewal", "v1")
			m.writePlan(1, safeRule)
			m.waitFor("the baseline version answers", func() bool { return a.sendRequest("GET", "/s/", "id", "").status == 200 })
			stop := a.startLoad("/s/")
			defer stop()
			backup := m.records.Backup()
			m.startRollout("renewal", "v2", 6)
			m.waitFor("the rollout runs", func() bool { return m.rolloutState("renewal") == "running" })
			b := m.addNode("martin", "renewal", "v2")
			b.backend.SetFaults(faults)
			m.waitFor(state, func() bool { return m.rolloutState("renewal") == state })
			out := map[string]*node{"completed": a, "rolled_back": b}[state]
			in := map[string]string{"completed": "i-martin-2", "rolled_back": "i-zilina-1"}[state]
			m.waitFor("one version gets all requests", func() bool { return a.servedOnlyBy("/s/", in) })
			arrived := len(out.backend.Arrivals())
			m.advanceRevision(20)
			m.restoreStore(backup)
			returned := time.Now()
			time.Sleep(rewriteTime / 2)
			m.records.WriteAgain()
			for time.Since(returned) < 2*rewriteTime {
				got := m.rolloutState("renewal")
				if late := time.Since(returned) > rewriteTime; got != state && (got != "" || late) {
					t.Fatalf("status %q %v after the return, want %q", got, time.Since(returned), state)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := len(out.backend.Arrivals()) - arrived; n > 0 {
				t.Errorf("%d requests reached the version that is out", n)
			}
			for _, n := range m.nodes {
				n.stop()
				<-n.ended
				n.start()
			}
			m.waitForMembers()
			if got := m.rolloutState("renewal"); got != state || !a.servedOnlyBy("/s/", in) {
				t.Errorf("status %q after a restart of the daemons, want %q and requests served by %s only", got, state, in)
			}
		})
	}
}

// TestEvacuationOutlivesRestore guards against requests to an evacuated data centre before
// the operators have written its evacuation again, which the store has lost.
func TestEvacuationOutlivesRestore(t *testing.T) {
	m := newMesh(t)
	a := m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	backup := m.records.Backup()
	m.advanceRevision(20)
	m.records.Evacuate("martin", true)
	m.waitFor("martin is evacuated", func() bool { return b.servedOnlyBy("/s/", "i-zilina-1") && a.servedOnlyBy("/s/", "i-zilina-1") })
	arrived := len(b.backend.Arrivals())
	m.restoreStore(backup)
	for began := time.Now(); time.Since(began) < rewriteTime; {
		a.sendRequest("GET", "/s/", "a", "")
		b.sendRequest("GET", "/s/", "b", "")
	}
	if n := len(b.backend.Arrivals()) - arrived; n > 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
	m.records.WriteAgain()
	time.Sleep(configTime)
	m.records.Evacuate("martin", false)
	m.waitFor("martin gets requests again", func() bool { return b.servedOnlyBy("/s/", "i-martin-2") })
}

// TestWithdrawnEvacuationOutlivesRestore guards against a data centre that is evacuated again
// because the store has lost the end of its evacuation.
func TestWithdrawnEvacuationOutlivesRestore(t *testing.T) {
	m := newMesh(t)
	m.addNode("zilina", "renewal", "v1")
	b := m.addNode("martin", "renewal", "v1")
	m.writePlan(1, safeRule)
	m.waitForMembers()
	m.records.Evacuate("martin", true)
	m.waitFor("martin is evacuated", func() bool { return b.servedOnlyBy("/s/", "i-zilina-1") })
	backup := m.records.Backup()
	m.advanceRevision(20)
	m.records.Evacuate("martin", false)
	m.waitFor("martin gets requests again", func() bool { return b.servedOnlyBy("/s/", "i-martin-2") })
	m.restoreStore(backup)
	for began := time.Now(); time.Since(began) < rewriteTime; {
		before := len(b.backend.Arrivals())
		for i := range 60 {
			b.sendRequest("GET", "/s/", fmt.Sprint("id-", i), "")
		}
		if len(b.backend.Arrivals()) == before {
			t.Fatalf("martin is evacuated again %v after the return", time.Since(began))
		}
	}
	m.records.WriteAgain()
	m.records.Evacuate("martin", true)
	m.waitFor("martin is evacuated", func() bool { return b.servedOnlyBy("/s/", "i-zilina-1") })
}

// TestDaemonsAreRegisteredAfterRestore guards against daemons that renew leases which the
// store has lost, or has given to others since.
func TestDaemonsAreRegisteredAfterRestore(t *testing.T) {
	m := newMesh(t)
	backup := m.records.Backup()
	for range 6 {
		m.addNode("zilina", "renewal", "v1")
	}
	m.writePlan(1, safeRule)
	m.waitForMembers()
	registered := func() bool {
		for _, n := range m.nodes {
			if !m.records.Registered(n.settings.Name) {
				return false
			}
		}
		return true
	}
	m.waitFor("all daemons are registered", registered)
	m.restoreStore(backup)
	returned := time.Now()
	m.records.WriteAgain()
	m.waitFor("all daemons are registered again", registered)
	if took := time.Since(returned); took > rewriteTime {
		t.Errorf("daemons registered again after %v, want at most %v", took, rewriteTime)
	}
}
