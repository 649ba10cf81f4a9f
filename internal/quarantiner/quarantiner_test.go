package quarantiner_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func TestSuspectsRunAlone(t *testing.T) {
	clock := timekeeper.NewVirtual(start)
	q := quarantiner.New(clock)
	q.RequestStarted("hot")
	q.RequestEnded("hot", true)
	for _, fingerprint := range []string{"hot", "crash", "harmless"} {
		q.RequestStarted(fingerprint)
	}
	suspects := q.TargetDied()
	slices.Sort(suspects)
	if !slices.Equal(suspects, []string{"crash", "harmless"}) {
		t.Errorf("TargetDied() = %v, want [crash harmless]", suspects)
	}
	if repeated := q.TargetDied(); repeated != nil {
		t.Errorf("second call for the same crash: TargetDied() = %v, want nil", repeated)
	}
	first := quarantiner.Report{
		Death:        "1",
		Fingerprints: suspects,
	}
	if got := append(q.AddReport(first), q.AddReport(first)...); got != nil {
		t.Errorf("AddReport() = %v after one crash, want nil", got)
	}
	if isolated, err := q.Admit("crash"); err != nil || !isolated {
		t.Errorf("Admit() of the first suspect: error %v, want admission in isolation", err)
	}
	if _, err := q.Admit("harmless"); !errors.Is(err, quarantiner.ErrSuspected) {
		t.Errorf("second suspect beside the first: error %v, want ErrSuspected", err)
	}
	q.EndIsolation()
	if _, err := q.Admit("harmless"); err != nil {
		t.Errorf("second suspect after the first has ended: error %v, want none", err)
	}
	second := quarantiner.Report{
		Death:        "2",
		Fingerprints: []string{"crash"},
	}
	if got := q.AddReport(second); !slices.Equal(got, second.Fingerprints) {
		t.Errorf("AddReport() = %v after two crashes, want [crash]", got)
	}
	if _, err := q.Admit("crash"); !errors.Is(err, quarantiner.ErrQuarantined) {
		t.Errorf("after two crashes: error %v, want ErrQuarantined", err)
	}
	clock.Advance(quarantiner.QuarantineTTL)
	if _, err := q.Admit("crash"); err != nil {
		t.Errorf("after the quarantine has expired: error %v, want none", err)
	}
}

// TestSuspicionsKeepTheirExpiry guards against a quarantine that never ends because daemons
// that restart pass it on.
func TestSuspicionsKeepTheirExpiry(t *testing.T) {
	clock := timekeeper.NewVirtual(start)
	before := quarantiner.New(clock)
	for _, death := range []string{"1", "2"} {
		before.AddReport(quarantiner.Report{
			Death:        death,
			Fingerprints: []string{"crash"},
		})
	}
	clock.Advance(quarantiner.QuarantineTTL / 2)
	after := quarantiner.New(clock)
	if got := after.AddSuspicions(before.Suspicions()); !slices.Equal(got, []string{"crash"}) {
		t.Errorf("AddSuspicions() = %v, want [crash]", got)
	}
	if _, err := after.Admit("crash"); !errors.Is(err, quarantiner.ErrQuarantined) {
		t.Errorf("after a restart: error %v, want ErrQuarantined", err)
	}
	clock.Advance(quarantiner.QuarantineTTL / 2)
	if _, err := after.Admit("crash"); err != nil {
		t.Errorf("after the quarantine has expired: error %v, want nil", err)
	}
}

// TestSuspicionsAreBounded checks the bounds of what another daemon sends, and that the
// quarantined requests come first.
func TestSuspicionsAreBounded(t *testing.T) {
	q := quarantiner.New(timekeeper.NewVirtual(start))
	for i := range 5000 {
		q.AddReport(quarantiner.Report{
			Death:        fmt.Sprint(i),
			Fingerprints: []string{fmt.Sprint("once-", i)},
		})
		q.AddReport(quarantiner.Report{
			Death:        fmt.Sprint("twice-", i),
			Fingerprints: []string{"twice"},
		})
	}
	list := q.Suspicions()
	if len(list) != 1024 || list[0].Fingerprint != "twice" || len(list[0].Crashes) != 2 {
		t.Errorf("%d suspicions, first %v; want 1024, and first the quarantined request", len(list), list[0])
	}
	long := strings.Repeat("x", quarantiner.MaxFingerprint+1)
	other := quarantiner.New(timekeeper.NewVirtual(start))
	other.AddSuspicions([]quarantiner.Suspicion{
		{Fingerprint: long, Crashes: []string{"1", "2"}, TTL: 1000},
		{Fingerprint: "long crash", Crashes: []string{long}, TTL: 1000},
		{Fingerprint: "expired", Crashes: []string{"1", "2"}, TTL: -1},
		{Fingerprint: "overflow", Crashes: []string{"1"}, TTL: 1 << 62},
	})
	for _, s := range other.Suspicions() {
		if s.Fingerprint == long || s.Fingerprint == "expired" || slices.Contains(s.Crashes, long) || s.TTL > quarantiner.QuarantineTTL.Milliseconds() {
			t.Errorf("suspicion %v was taken", s)
		}
	}
}

func TestRefusedRequestsDoNotHideCrashAfterRestart(t *testing.T) {
	clock := timekeeper.NewVirtual(start)
	q := quarantiner.New(clock)
	if suspects := q.TargetDied(); suspects != nil {
		t.Errorf("with none in flight: TargetDied() = %v, want nil", suspects)
	}
	clock.Advance(100 * time.Millisecond)
	q.RequestStarted("crash")
	if suspects := q.TargetDied(); !slices.Equal(suspects, []string{"crash"}) {
		t.Errorf("after a restart: TargetDied() = %v, want [crash]", suspects)
	}
}

// TestBrokenRequestIsSuspect breaks the connection of a request some time before the
// target is seen to have crashed.
func TestBrokenRequestIsSuspect(t *testing.T) {
	for _, c := range []struct {
		before time.Duration
		want   []string
	}{
		{before: 100 * time.Millisecond, want: []string{"crash"}},
		{before: time.Minute},
	} {
		clock := timekeeper.NewVirtual(start)
		q := quarantiner.New(clock)
		q.RequestStarted("crash")
		q.RequestBroke("crash")
		clock.Advance(c.before)
		if suspects := q.TargetDied(); !slices.Equal(suspects, c.want) {
			t.Errorf("%v after the connection broke: TargetDied() = %v, want %v", c.before, suspects, c.want)
		}
	}
}

func TestConnectionsBrokenInOneCrashCountOnce(t *testing.T) {
	clock := timekeeper.NewVirtual(start)
	q := quarantiner.New(clock)
	q.RequestStarted("crash")
	q.RequestStarted("harmless")
	q.RequestBroke("crash")
	if suspects := q.TargetDied(); len(suspects) != 2 {
		t.Errorf("TargetDied() = %v, want both requests", suspects)
	}
	clock.Advance(500 * time.Millisecond)
	q.RequestBroke("harmless")
	clock.Advance(600 * time.Millisecond)
	if suspects := q.TargetDied(); suspects != nil {
		t.Errorf("at the next refused request: TargetDied() = %v, want nil", suspects)
	}
}

// TestHotRequestIsNeverSuspect checks that a frequent request that succeeds
// never becomes a suspect, even when so many others succeed in between that old
// fingerprints are removed.
func TestHotRequestIsNeverSuspect(t *testing.T) {
	clock := timekeeper.NewVirtual(start)
	q := quarantiner.New(clock)
	for i := range 50_000 {
		other := fmt.Sprint("unique ", i)
		q.RequestStarted(other)
		q.RequestEnded(other, true)
		if i%1000 > 0 {
			continue
		}
		clock.Advance(stepTime)
		q.RequestStarted("hot")
		if suspects := q.TargetDied(); i > 0 && len(suspects) > 0 {
			t.Fatalf("after %d other requests: TargetDied() = %v, want none", i, suspects)
		}
		q.RequestEnded("hot", true)
	}
}

// target is one simulated target.
type target struct {
	q        *quarantiner.Quarantiner
	inFlight []string
	isolated bool
	dead     bool
}

// simulation sends a crash request and harmless ones to several targets.
// Callers retry the requests that were in flight at a crash.
type simulation struct {
	clock   *timekeeper.Virtual
	random  *rand.Rand
	targets []*target
	retries []string
	sent    int
	crashes int
	// crashRequestCrashes counts the crashes with the crash request in flight.
	crashRequestCrashes int
	// unrelatedPercent is the share of steps, in percent, in which a target
	// crashes for another reason. The target restarts at once.
	unrelatedPercent int
	// crashQuarantined and falsePositives count how often the crash request and
	// how many harmless fingerprints were quarantined.
	crashQuarantined, falsePositives int
}

// crash is the fingerprint of the crash request.
const crash = "crash"

// send sends a request to a random target. A request to a dead target is
// retried in the next step.
func (r *simulation) send(fingerprint string, quarantine bool) {
	x := r.targets[r.random.IntN(len(r.targets))]
	if x.dead {
		r.retries = append(r.retries, fingerprint)
		return
	}
	if quarantine {
		isolated, err := x.q.Admit(fingerprint)
		switch {
		case errors.Is(err, quarantiner.ErrQuarantined):
			return
		case err != nil:
			r.retries = append(r.retries, fingerprint)
			return
		}
		x.isolated = x.isolated || isolated
	}
	x.q.RequestStarted(fingerprint)
	x.inFlight = append(x.inFlight, fingerprint)
}

// kill crashes a target. The requests in flight are retried.
func (r *simulation) kill(x *target) {
	r.crashes++
	if slices.Contains(x.inFlight, crash) {
		r.crashRequestCrashes++
	}
	report := quarantiner.Report{
		Death:        fmt.Sprint(r.crashes),
		Fingerprints: x.q.TargetDied(),
	}
	for _, y := range r.targets {
		quarantined := y.q.AddReport(report)
		if y != x {
			continue
		}
		for _, fingerprint := range quarantined {
			if fingerprint == crash {
				r.crashQuarantined++
			} else {
				r.falsePositives++
			}
		}
	}
	r.retries = append(r.retries, x.inFlight...)
	x.finish(false)
	x.dead = true
}

func (x *target) finish(succeeded bool) {
	for _, fingerprint := range x.inFlight {
		x.q.RequestEnded(fingerprint, succeeded)
	}
	if x.isolated {
		x.q.EndIsolation()
	}
	x.inFlight, x.isolated = nil, false
}

// step sends new requests and retries to the targets and runs them.
func (r *simulation) step(quarantine bool) {
	retries := r.retries
	r.retries = nil
	for _, fingerprint := range retries {
		r.send(fingerprint, quarantine)
	}
	for range 8 {
		r.sent++
		r.send(fmt.Sprint("unique ", r.sent), quarantine)
		r.send(fmt.Sprint("hot ", r.random.IntN(3)), quarantine)
	}
	for _, x := range r.targets {
		if r.random.IntN(100*len(r.targets)) < r.unrelatedPercent {
			r.kill(x)
			x.dead = false
			continue
		}
		if slices.Contains(x.inFlight, crash) {
			r.kill(x)
			continue
		}
		x.finish(true)
	}
	r.clock.Advance(stepTime)
}

// stepTime is the time between two steps. It exceeds the window in which broken
// connections count as one crash.
const stepTime = 2 * time.Second

// simulate runs a simulation of 43 steps and sends the crash request after the
// first three.
func simulate(seed uint64, quarantine bool, unrelatedPercent int) *simulation {
	r := &simulation{
		unrelatedPercent: unrelatedPercent,
		clock:            timekeeper.NewVirtual(start),
		random:           rand.New(rand.NewPCG(seed, 1)),
	}
	for range 6 {
		r.targets = append(r.targets, &target{q: quarantiner.New(r.clock)})
	}
	for range 3 {
		r.step(quarantine)
	}
	r.retries = append(r.retries, crash)
	for range 40 {
		r.step(quarantine)
	}
	return r
}

// TestCrashRequest sends a crash request repeatedly, along with harmless
// requests and the retries after each crash. The crash request must crash at
// most two targets, and no harmless request may be quarantined.
func TestCrashRequest(t *testing.T) {
	const seeds = 1000
	crashes, crashesWithoutQuarantine, falsePositives := 0, 0, 0
	for seed := range uint64(seeds) {
		r := simulate(seed, true, 0)
		if r.crashes > 2 || r.crashQuarantined != 1 {
			t.Errorf("seed %d: %d targets crashed (want at most 2), crash request quarantined %d times (want 1)", seed, r.crashes, r.crashQuarantined)
		}
		crashes = max(crashes, r.crashes)
		falsePositives += r.falsePositives
		crashesWithoutQuarantine += simulate(seed, false, 0).crashes
	}
	t.Logf("%d seeds: at most %d targets of 6 crashed, %d false positives; %.2f crashed on average without quarantine",
		seeds, crashes, falsePositives, float64(crashesWithoutQuarantine)/seeds)
	if falsePositives > 0 {
		t.Errorf("%d false positives, want none", falsePositives)
	}
}

// TestUnrelatedCrashes makes a target crash for another reason in about one step
// of a hundred. The crash request must still crash at most two targets. The test
// logs the false positives: harmless requests that were in flight at two crashes by
// chance, which cannot be distinguished from a crash request.
func TestUnrelatedCrashes(t *testing.T) {
	const seeds = 500
	falsePositives, sent, unrelated := 0, 0, 0
	for seed := range uint64(seeds) {
		r := simulate(seed, true, 1)
		if r.crashRequestCrashes > 2 || r.crashQuarantined != 1 {
			t.Errorf("seed %d: %d targets crashed (want at most 2), crash request quarantined %d times (want 1)", seed, r.crashRequestCrashes, r.crashQuarantined)
		}
		falsePositives += r.falsePositives
		sent += r.sent
		unrelated += r.crashes - r.crashRequestCrashes
	}
	t.Logf("%d unrelated crashes, false positives: %d of %d requests", unrelated, falsePositives, sent)
}
