package emulator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

func init() {
	// The seed is fixed for repeatable runs. The flag -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "4")
}

// registerCall is a call of the register model. Version is the expected version
// of the compare-and-swap.
type registerCall struct {
	key     string
	kind    string
	value   string
	version uint64
}

// unknownVersion is the version of a value whose write got no response.
const unknownVersion = math.MaxUint64

// registerState is the state of a key, or the result of a call.
type registerState struct {
	value    string
	version  uint64
	conflict bool
	unknown  bool
}

// registerModel models each key as a register with compare-and-swap.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		opsByKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerCall).key
			opsByKey[key] = append(opsByKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range opsByKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(registerState), input.(registerCall), output.(registerState)
		if in.kind == "get" {
			same := s.value == out.value && (s.version == out.version || s.version == unknownVersion && out.version > 0)
			return same, registerState{value: out.value, version: out.version}
		}
		if s.version != in.version {
			return out.conflict || out.unknown, s
		}
		next := registerState{value: in.value, version: out.version}
		if in.kind == "delete" {
			next = registerState{}
		} else if out.unknown {
			next.version = unknownVersion
		}
		return !out.conflict, next
	},
}

// TestPlatformLinearizable checks that the fake platform is linearizable per
// key, both with direct calls and over HTTP, and that failed writes return
// correct verdicts.
func TestPlatformLinearizable(t *testing.T) {
	unknown := 0
	for _, overHTTP := range []bool{false, true} {
		for seed := range uint64(8) {
			p := NewPlatform(timekeeper.System{})
			client := p.Client()
			if overHTTP {
				srv := httptest.NewServer(p.Handler())
				client = storer.NewHTTP(srv.URL, time.Second)
				defer srv.Close()
			}
			history := runClients(p, client, seed)
			for _, op := range history {
				if op.Output.(registerState).unknown {
					unknown++
				}
			}
			if got := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); got != porcupine.Ok {
				t.Errorf("over HTTP %t, seed %d: %s: %v", overHTTP, seed, got, history)
			}
		}
	}
	t.Logf("%d writes with an unknown outcome", unknown)
}

// runClients runs four clients on three keys and returns the history of their
// calls. At random, the platform loses responses or has an outage.
func runClients(p *Platform, client storer.Platform, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	started := time.Now()
	for id := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(id)))
			seen := map[string]uint64{}
			for i := range 30 {
				switch random.IntN(60) {
				case 0:
					p.SetFaults(Faults{Outage: true})
				case 1, 2, 3:
					p.SetFaults(Faults{LoseAnswers: 1})
				default:
					p.SetFaults(Faults{})
				}
				in := registerCall{
					key:   fmt.Sprintf("k%d", random.IntN(3)),
					kind:  []string{"get", "put", "delete"}[random.IntN(3)],
					value: fmt.Sprintf("%d-%d", id, i),
				}
				in.version = seen[in.key]
				call := time.Since(started).Nanoseconds()
				out, recorded := in.run(client)
				end := time.Since(started).Nanoseconds()
				if !recorded {
					continue
				}
				if out.unknown {
					end = math.MaxInt64
				}
				seen[in.key] = out.version
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return history
}

// run makes the call. The second result is false if the call must be left out of
// the history: it is a failed read or a write with the verdict NotRun.
func (in registerCall) run(client storer.Platform) (out registerState, recorded bool) {
	var err error
	switch in.kind {
	case "get":
		var item storer.Item
		item, err = client.Get(context.Background(), in.key)
		return registerState{value: string(item.Value), version: item.Version}, err == nil
	case "put":
		out.version, err = client.PutIf(context.Background(), in.key, []byte(in.value), in.version, "")
	default:
		err = client.DeleteIf(context.Background(), in.key, in.version)
	}
	out.conflict = errors.Is(err, storer.ErrConflict)
	out.unknown = err != nil && !out.conflict
	return out, !out.unknown || classifier.VerdictOf(err) != classifier.NotRun
}

// TestLeases compares leases and their keys with a simple model under random
// calls.
func TestLeases(t *testing.T) {
	const ttl = 10 * time.Second
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		clock := timekeeper.NewVirtual(time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC))
		client := NewPlatform(clock).Client()
		expires := map[storer.LeaseID]time.Time{}
		owner, versions := map[string]storer.LeaseID{}, map[string]uint64{}
		ids := []storer.LeaseID{""}
		isLive := func(id storer.LeaseID) bool { return id == "" || !clock.Now().After(expires[id]) }
		exists := func(key string) bool { return versions[key] > 0 && isLive(owner[key]) }
		for range 30 {
			id, key := rapid.SampledFrom(ids).Draw(t, "lease"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				granted, err := client.Grant(ctx, ttl)
				if err != nil {
					t.Fatal(err)
				}
				ids, expires[granted] = append(ids, granted), clock.Now().Add(ttl)
			case 1:
				clock.Advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
			case 2:
				alive := id != "" && isLive(id)
				if err := client.KeepAlive(ctx, id); (err == nil) != alive {
					t.Fatalf("keep-alive of lease %q: got error %v, want one only if the lease is not live", id, err)
				}
				if alive {
					expires[id] = clock.Now().Add(ttl)
				}
			default:
				expected := versions[key]
				if !exists(key) {
					expected = 0
				}
				version, err := client.PutIf(ctx, key, nil, expected, id)
				if (err == nil) != isLive(id) {
					t.Fatalf("put with lease %q: got error %v, want one only if the lease is not live", id, err)
				}
				if err == nil {
					owner[key], versions[key] = id, version
				}
			}
			if item, err := client.Get(ctx, key); err != nil || (item.Version > 0) != exists(key) {
				t.Fatalf("get %s with lease %q: got version %d, error %v; want version 0 only if the lease is not live or the key was not written", key, owner[key], item.Version, err)
			}
		}
	})
}

// TestVerdictsOverHTTP checks the verdict or error of each kind of failure.
func TestVerdictsOverHTTP(t *testing.T) {
	const callTimeout = 200 * time.Millisecond
	p := NewPlatform(timekeeper.System{})
	srv := httptest.NewServer(p.Handler())
	client := storer.NewHTTP(srv.URL, callTimeout)
	put := func(version uint64, id storer.LeaseID, size int) error {
		_, err := client.PutIf(context.Background(), "k", make([]byte, size), version, id)
		return err
	}
	checkVerdict := func(name string, faults Faults, want classifier.Verdict) {
		t.Helper()
		p.SetFaults(faults)
		defer p.SetFaults(Faults{})
		if err := put(0, "", 1); err == nil || classifier.VerdictOf(err) != want {
			t.Errorf("%s: got error %v, want verdict %v", name, err, want)
		}
	}
	checkVerdict("outage", Faults{Outage: true}, classifier.MayHaveRun)
	checkVerdict("slow", Faults{Slow: time.Minute}, classifier.MayHaveRun)
	checkVerdict("lost response", Faults{LoseAnswers: 1}, classifier.MayHaveRun)
	if err := put(0, "", 1); !errors.Is(err, storer.ErrConflict) {
		t.Errorf("write after one whose response was lost: got error %v, want a conflict", err)
	}
	if err := put(1, "gone", 1); !errors.Is(err, storer.ErrLeaseExpired) {
		t.Errorf("put with an unknown lease: got error %v, want ErrLeaseExpired", err)
	}
	if err := put(1, "", storer.MaxValueBytes+1); classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("value over the limit: got error %v, want verdict not-run", err)
	}
	if err := put(1, "", storer.MaxValueBytes); err != nil {
		t.Errorf("value at the limit: got error %v, want none", err)
	}
	srv.Close()
	client = storer.NewHTTP(srv.URL, callTimeout)
	if err := put(2, "", 1); classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("server closed: got error %v, want verdict not-run", err)
	}
}
