package dispatcher_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/throttler"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// The mesh of TestOverload: clients' requests look up a claim, during which the target
// calls the registry, or cancel at the registry.
const (
	meshEntries  = 80
	meshClaims   = 35
	meshRegistry = 21
	meshSlots    = 9
	meshLoad     = 3 * time.Second
	meshPatience = 3 * time.Second
)

// meshKind is a kind of request at the load at which all slots of the claims are busy.
type meshKind struct {
	rule      string
	perSecond float64
	work      time.Duration
}

var meshKinds = []meshKind{
	{rule: "claim", perSecond: 1250, work: 170 * time.Millisecond},
	{rule: "cancel", perSecond: 400, work: 200 * time.Millisecond},
}

const (
	callWork = 41 * time.Millisecond
	// attemptCost is the time that a daemon with a sixth of a core needs for an attempt.
	attemptCost = 1500 * time.Microsecond
)

// meshResult is what the clients of a kind got.
type meshResult struct{ asked, inTime, late, refused, failed, attempts int }

type meshTarget struct {
	admitter.Gate
	chooser.Target
	speed float64
	entry *dispatcher.Dispatcher
	// processor is held while the target's daemon works on an attempt.
	processor chan struct{}
}

// spend holds a daemon's processor for the cost of an attempt.
func spend(processor chan struct{}) {
	processor <- struct{}{}
	time.Sleep(attemptCost)
	<-processor
}

// overloadMesh is a mesh of dispatchers and gates without a network.
type overloadMesh struct {
	plan    *matcher.Plan
	patient bool
	entries []*dispatcher.Dispatcher
	targets map[string]*meshTarget
	pools   map[string]dispatcher.Pool

	mu      sync.Mutex
	results map[string]meshResult
	// running holds the IDs of requests that make calls.
	running map[string]bool
}

// newOverloadMesh returns a mesh with some targets of the registry. The timeouts of its
// rules are a multiple of their objectives.
func newOverloadMesh(timeoutFactor float64, registry int) *overloadMesh {
	newRule := func(name, service string, kind matcher.Kind, priority int, objective time.Duration) matcher.Rule {
		return matcher.Rule{
			Name:        name,
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Splits:      []matcher.WeightedService{{Service: service, Weight: 1}},
			Timeout:     time.Duration(timeoutFactor * float64(objective)),
			Objective:   objective,
			MaxAttempts: 2,
			Priority:    priority,
		}
	}
	m := &overloadMesh{
		plan: matcher.New(1, matcher.Limits{}, nil, map[string][]matcher.Rule{"a.example": {
			newRule("claim", "claims", matcher.Idempotent, 2, 500*time.Millisecond),
			newRule("cancel", "registry", matcher.NonIdempotent, 1, 600*time.Millisecond),
			newRule("lookup", "registry", matcher.Idempotent, 1, 160*time.Millisecond),
		}}),
		patient: timeoutFactor == 3,
		targets: map[string]*meshTarget{},
		pools:   map[string]dispatcher.Pool{},
		results: map[string]meshResult{},
		running: map[string]bool{},
	}
	for i := range meshEntries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	for i := range meshClaims + registry {
		service := "claims"
		if i >= meshClaims {
			service = "registry"
		}
		t := &meshTarget{
			Target: chooser.Target{
				Daemon:   fmt.Sprint("vm-", i),
				Address:  fmt.Sprint("i-", i),
				Instance: fmt.Sprint("i-", i),
				Slots:    meshSlots,
			},
			speed:     []float64{0.55, 1.2, 1.2, 1.2}[i%4],
			entry:     m.entries[i],
			processor: make(chan struct{}, 1),
		}
		t.Clock, t.Closed = timekeeper.System{}, func(admitter.Target) bool { return false }
		t.ServesUntil = func() time.Time { return time.Time{} }
		t.SetTarget(admitter.Target{Instance: t.Instance, Service: service, Slots: meshSlots})
		m.targets[t.Instance] = t
		pool := m.pools[service]
		pool.Targets = append(pool.Targets, t.Target)
		m.pools[service] = pool
	}
	return m
}

func (m *overloadMesh) newEntry(zone int) *dispatcher.Dispatcher {
	budget := &dispatcher.RetryBudget{Daemons: func() int { return meshEntries }}
	budget.SetLimits(0.2, 200)
	processor := make(chan struct{}, 1)
	return &dispatcher.Dispatcher{
		Daemon: "vm-self",
		Plan:   func() *matcher.Plan { return m.plan },
		Pool: func(service string) dispatcher.Pool {
			pool := dispatcher.Pool{}
			for i, t := range m.pools[service].Targets {
				t.SameZone = i%4 == zone%4
				pool.Targets = append(pool.Targets, t)
			}
			return pool
		},
		Client: func(h http.Header) (dispatcher.Client, error) {
			left, err := time.ParseDuration(h.Get("Left"))
			return dispatcher.Client{ID: h.Get("Id"), Parent: h.Get("Parent"), TimeLeft: left}, err
		},
		Send: func(ctx context.Context, address string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
			spend(processor)
			return m.send(ctx, address, a)
		},
		Chooser:     chooser.New(timekeeper.System{}),
		RetryBudget: budget,
		Throttler:   &throttler.Throttler{Clock: timekeeper.System{}},
		IsRunning: func(id string) (running, patient bool) {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.running[id], m.patient
		},
		Clock:       timekeeper.System{},
		ServesUntil: func() time.Time { return time.Time{} },
		OnResult: func(r dispatcher.Result) {
			m.count(r.Rule, meshResult{attempts: r.Attempts})
		},
	}
}

// count adds a result to those of a rule.
func (m *overloadMesh) count(rule string, r meshResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.results[rule]
	sum.asked += r.asked
	sum.inTime += r.inTime
	sum.late += r.late
	sum.refused += r.refused
	sum.failed += r.failed
	sum.attempts += r.attempts
	m.results[rule] = sum
}

// send runs an attempt at a target.
func (m *overloadMesh) send(ctx context.Context, address string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
	t := m.targets[address]
	spend(t.processor)
	err := t.Acquire(ctx, admitter.Request{
		Instance:  a.Instance,
		Rule:      a.Rule,
		Priority:  a.Priority,
		Nested:    a.Nested,
		Patient:   a.Patient,
		Late:      a.Late,
		Deadline:  a.Deadline,
		Objective: a.Objective,
		MaxWait:   a.MaxWait,
	})
	if err != nil {
		f := carrier.NewFailure(err)
		f.Reported, f.Load, f.RetryAfter = true, t.Load(a.Rule), t.RetryAfter(a.Rule)
		return nil, f
	}
	start := time.Now()
	status := m.work(ctx, t, a)
	t.Release(a.Rule, admitter.Outcome{Duration: time.Since(start), Failed: status >= 500, Aborted: ctx.Err() != nil})
	if ctx.Err() != nil {
		return nil, &carrier.Failure{Failure: classifier.NewFailure(classifier.MayHaveRun, "no answer in time", nil), Arrived: true, Reported: true}
	}
	return &carrier.TargetResponse{Status: status, Header: http.Header{}, Load: t.Load(a.Rule)}, nil
}

// work runs a request at a target and returns the status of the response.
func (m *overloadMesh) work(ctx context.Context, t *meshTarget, a *carrier.Attempt) int {
	mean := callWork
	for _, k := range meshKinds {
		if k.rule == a.Rule {
			mean = k.work
		}
	}
	work := time.NewTimer(time.Duration(float64(mean) / t.speed * math.Exp(0.4*rand.NormFloat64()-0.08)))
	defer work.Stop()
	select {
	case <-work.C:
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	}
	if a.Rule != "claim" || rand.Float64() > 0.7 {
		return http.StatusOK
	}
	m.mu.Lock()
	m.running[a.ID] = true
	m.mu.Unlock()
	left := min(500*time.Millisecond, time.Until(a.Deadline))
	if got := m.request(ctx, t.entry, "lookup", a.ID, left); got.Status != http.StatusOK {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

func (m *overloadMesh) request(ctx context.Context, d *dispatcher.Dispatcher, rule, parent string, left time.Duration) *receiver.Response {
	path := "/" + rule + "/"
	return d.Handle(ctx, &receiver.Request{
		Request: &http.Request{
			Method:     "GET",
			RequestURI: path,
			Host:       "a.example",
			Header:     http.Header{"Id": {strconv.FormatUint(rand.Uint64(), 16)}, "Left": {left.String()}, "Parent": {parent}},
		},
		Began: time.Now(),
	})
}

// client sends a request and comes back twice after a rejection.
func (m *overloadMesh) client(k meshKind) {
	start := time.Now()
	rule, _ := m.plan.Match("a.example", "/"+k.rule+"/")
	result := meshResult{asked: 1}
	defer func() { m.count(k.rule, result) }()
	for try := 0; ; try++ {
		left := meshPatience - time.Since(start)
		got := m.request(context.Background(), m.entries[rand.IntN(meshEntries)], k.rule, "", left)
		switch {
		case got.Status == http.StatusOK && time.Since(start) <= rule.Objective:
			result.inTime = 1
			return
		case got.Status == http.StatusOK:
			result.late = 1
			return
		case got.Status != http.StatusServiceUnavailable:
			result.failed = 1
			return
		case try == 2:
			result.refused = 1
			return
		}
		wait, _ := time.ParseDuration(got.Header.Get("Retry-After") + "s")
		time.Sleep(min(wait, (meshPatience-time.Since(start))/3))
	}
}

// play sends a multiple of the requests of meshKinds for meshLoad and returns the results.
func (m *overloadMesh) play(load float64) map[string]meshResult {
	var group sync.WaitGroup
	for _, k := range meshKinds {
		group.Go(func() {
			for end := time.Now().Add(meshLoad); time.Now().Before(end); {
				group.Go(func() { m.client(k) })
				time.Sleep(time.Duration(rand.ExpFloat64() / (load * k.perSecond) * float64(time.Second)))
			}
		})
	}
	group.Wait()
	return m.results
}

// TestOverload plays clients that ask for up to twice what the targets of a service can run.
// Their targets differ in speed by two and call another service, which is nearly busy. It
// checks that more load does not lower the number of requests that are answered by their
// objective, and compares a plan whose clients have no time to come back.
func TestOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("plays thousands of requests")
	}
	const (
		goodput     = 0.95 // of the best, since the load is random
		fewer       = 0.9  // of those with twice the attempts, in a short slight overload
		maxAttempts = 3    // per request
	)
	var best, atTwice int
	for _, load := range []float64{0.7, 1, 1.4, 2} {
		results := map[float64]map[string]meshResult{}
		for _, factor := range []float64{3, 2.7} {
			synctest.Test(t, func(*testing.T) { results[factor] = newOverloadMesh(factor, meshRegistry).play(load) })
			for rule, r := range results[factor] {
				t.Logf("load %.1f timeout %.1f %-6s %+v", load, factor, rule, r)
			}
		}
		served := func(factor float64) (n int) {
			for _, k := range meshKinds {
				n += results[factor][k.rule].inTime
			}
			return n
		}
		want := fewer * float64(served(2.7))
		if load >= 2 {
			want = float64(served(2.7))
		}
		if float64(served(3)) < want {
			t.Errorf("load %.1f: %d requests by their objective, and %d without time to come back", load, served(3), served(2.7))
		}
		if c := results[3]["claim"]; c.attempts > maxAttempts*c.asked {
			t.Errorf("load %.1f: %d attempts for %d requests, want at most %d for each", load, c.attempts, c.asked, maxAttempts)
		}
		best, atTwice = max(best, served(3)), served(3)
	}
	if float64(atTwice) < goodput*float64(best) {
		t.Errorf("%d requests by their objective at twice the load, want %.2f of %d", atTwice, goodput, best)
	}
}

// TestOverloadedCallee plays a service that the targets of another one call and that has lost
// half of its targets. It checks that few requests fail since a call of their target has
// failed: work that is done in vain.
func TestOverloadedCallee(t *testing.T) {
	if testing.Short() {
		t.Skip("plays thousands of requests")
	}
	var results map[string]meshResult
	synctest.Test(t, func(*testing.T) { results = newOverloadMesh(3, meshRegistry/2).play(1) })
	t.Logf("%+v", results)
	if c := results["claim"]; c.failed > c.asked/20 {
		t.Errorf("%d of %d failed, want a twentieth at most", c.failed, c.asked)
	}
}
