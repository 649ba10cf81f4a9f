package prober_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Size of a full mesh.
const (
	meshDaemons     = 19_000
	meshDataCentres = 22
	meshServices    = 1_800
)

// meshMembers returns the members of a full mesh except one.
func meshMembers() []prober.Member {
	var members []prober.Member
	for i := 1; i < meshDaemons; i++ {
		address := fmt.Sprintf("10.%d.%d.%d", i%meshDataCentres, i/meshDataCentres/250, i/meshDataCentres%250)
		members = append(members, prober.Member{
			ID:          "vm-" + address,
			DC:          fmt.Sprintf("dc-%d", i%meshDataCentres),
			Admit:       address + ":7002",
			Control:     address + ":7001",
			Incarnation: uint64(epoch.UnixMilli()) + rand.New(rand.NewPCG(uint64(i), 0)).Uint64N(1<<32),
			Target: &prober.Target{
				Service: fmt.Sprintf("service-%d", i%meshServices),
				Version: "v1",
				Slots:   10,
			},
		})
	}
	return members
}

// fullTable returns a table of vm-self and the given members.
func fullTable(members []prober.Member) *prober.Table {
	table := prober.NewTable(servingMember("vm-self", "dc-0"))
	for _, m := range members {
		table.Merge(m)
	}
	return table
}

// BenchmarkMemory reports the heap memory of a table with a full mesh.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := fullTable(meshMembers())
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(table)
	}
}

// BenchmarkAll measures a list of all members without a change since the last one, and after
// the change of a member.
func BenchmarkAll(b *testing.B) {
	for _, members := range []int{10, 195, 1000} {
		table := fullTable(meshMembers()[:members])
		changed := meshMembers()[0]
		for name, change := range map[string]bool{"unchanged": false, "changed": true} {
			b.Run(fmt.Sprintf("%d/%s", members, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if change {
						changed.Incarnation++
						table.Merge(changed)
					}
					if len(table.All()) != members+1 {
						b.Fatal("a member is missing")
					}
				}
			})
		}
	}
}

func BenchmarkServing(b *testing.B) {
	table := fullTable(meshMembers())
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if len(table.Serving("service-17", "v1")) == 0 {
				b.Error("no member serves the version")
			}
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	members := meshMembers()
	table := fullTable(members)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m := members[i%len(members)]
		m.Incarnation += uint64(i + 1)
		table.Merge(m)
	}
}

// BenchmarkIdleSecond measures one second of an idle daemon in a full mesh: its
// ticks, the pings and digests that it answers, and the answers that it
// handles. Messages are encoded as frames.
func BenchmarkIdleSecond(b *testing.B) {
	clock := timekeeper.NewVirtual(epoch)
	table := fullTable(meshMembers())
	p := prober.New(prober.Options{
		Table:  table,
		Facts:  spreader.NewStore(clock),
		Clock:  clock,
		Seeds:  func() []string { return nil },
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	ping := prober.Message{
		Kind: prober.Ping,
		From: "vm-10.0.0.1",
		DC:   "dc-0",
	}
	b.ReportAllocs()
	for b.Loop() {
		for range int(time.Second / prober.TickPeriod) {
			clock.Advance(prober.TickPeriod)
			for _, c := range p.Tick() {
				_, _ = linker.EncodeFrame(c.Message)
				answer, _ := p.HandleMessage(ping)
				_, _ = linker.EncodeFrame(answer)
				answer.From = c.ID
				p.HandleAnswer(c, answer)
			}
		}
	}
}

// BenchmarkFullTableBaseline measures one message with the whole table, cut at
// 15,000 members, for comparison with gossip: without gossip, every daemon would
// send such a message twice a second.
func BenchmarkFullTableBaseline(b *testing.B) {
	for _, members := range []int{100, 1000, meshDaemons - 1} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			table := fullTable(meshMembers()[:members])
			for b.Loop() {
				frame, err := linker.EncodeFrame(prober.Message{Members: table.All()[:min(members, 15_000)]})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(frame)), "B/message")
			}
		})
	}
}

// BenchmarkJoin measures the first answer to a joining daemon: building it,
// encoding it as a frame, decoding and merging it. The answer holds as many data
// centres of 864 members as the byte budget allows.
func BenchmarkJoin(b *testing.B) {
	clock := timekeeper.NewVirtual(epoch)
	members := meshMembers()
	established := prober.New(prober.Options{
		Table:  fullTable(members),
		Facts:  spreader.NewStore(clock),
		Clock:  clock,
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	for b.Loop() {
		clock.Advance(time.Minute)
		p, _ := newProber(clock, servingMember("vm-new", "dc-1"))
		sync := prober.Message{
			Kind: prober.Sync,
			From: "vm-new",
			DC:   "dc-1",
		}
		answer, _ := established.HandleMessage(sync)
		frame, err := linker.EncodeFrame(answer)
		if err != nil {
			b.Fatal(err)
		}
		var received prober.Message
		if err := json.Unmarshal(mustMarshal(b, answer), &received); err != nil {
			b.Fatal(err)
		}
		p.HandleAnswer(prober.Call{Message: sync}, received)
		b.ReportMetric(float64(len(frame))/float64(len(answer.Members)), "B/member")
		b.ReportMetric(float64(len(answer.Members)), "members")
	}
}

func mustMarshal(b *testing.B, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return data
}
