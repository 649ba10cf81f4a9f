package committer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// reportUsage reports the calls and bytes per operation of one role.
func reportUsage(b *testing.B, m *emulator.Meter, role string) {
	b.Helper()
	usage := m.Metered()
	b.ReportMetric(float64(usage.Calls)/float64(b.N), role+"-calls/op")
	b.ReportMetric(float64(usage.Bytes)/float64(b.N), role+"-bytes/op")
}

// serviceCount is the number of services that the log is designed for.
const serviceCount = 1800

// realisticService returns a service of about 300 bytes. Its random names
// compress no better than real names.
func realisticService(i int, version string) parser.Service {
	random := rand.New(rand.NewPCG(uint64(i), 7))
	randomName := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	svc := parser.Service{
		Name:     "service-" + randomName() + fmt.Sprint(i),
		Versions: []parser.Version{{Name: version, Share: 100}},
		Routes: []parser.Route{
			{Path: "/" + randomName() + "/" + randomName(), Methods: []string{"GET"}, Timeout: parser.Duration{Duration: 300 * time.Millisecond}},
			{Path: "/" + randomName() + "/payments", Methods: []string{"POST"}, NonIdempotent: true},
		},
		Objectives: parser.Objectives{MaxLatency: parser.Duration{Duration: 250 * time.Millisecond}, GoodShare: 0.999},
	}
	return svc
}

// platformWithServices returns a platform whose log contains serviceCount
// services, and the state of that log.
func platformWithServices(b *testing.B) (*emulator.Platform, *applier.State) {
	b.Helper()
	platform := newPlatform()
	l := newBenchLog(platform.Client())
	var services []parser.Service
	for i := range serviceCount {
		services = append(services, realisticService(i, "v1"))
	}
	if _, err := l.Publish(background, Publication{Services: services}); err != nil {
		b.Fatal(err)
	}
	state, err := l.Load(background, &applier.State{})
	if err != nil {
		b.Fatal(err)
	}
	return platform, state
}

// newBenchLog returns a log with the default ring size.
func newBenchLog(p storer.Platform) *Log {
	return &Log{
		Platform: p,
		Clock:    timekeeper.NewVirtual(start),
		Author:   "operator",
	}
}

// writeSnapshot writes a snapshot, with the same platform calls as an archiver,
// including those for the lease.
func writeSnapshot(b *testing.B, p storer.Platform, state *applier.State) {
	b.Helper()
	lease, err := p.Grant(background, time.Minute)
	if err == nil {
		_, err = p.PutIf(background, "lease/archiver", nil, 0, lease)
	}
	base, readErr := archiver.ReadBase(background, p)
	a := &archiver.Archiver{Platform: p}
	if err := errors.Join(err, readErr, a.Write(background, base, state), p.Revoke(background, lease)); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkChange measures one change to a log of serviceCount services: the
// command that publishes it, a daemon that follows the log, and the archiver.
func BenchmarkChange(b *testing.B) {
	for _, interval := range []uint64{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("log/interval=%d", interval), func(b *testing.B) {
			platform, followed := platformWithServices(b)
			var publisherMeter, followerMeter, archiverMeter emulator.Meter
			writeSnapshot(b, archiverMeter.Platform(platform.Client()), followed)
			archiverMeter.Reset()
			followerLog := newBenchLog(followerMeter.Platform(platform.Client()))
			for i := 0; b.Loop(); i++ {
				l := newBenchLog(publisherMeter.Platform(platform.Client()))
				p := Publication{Services: []parser.Service{realisticService(i%serviceCount, fmt.Sprintf("v%d", i+2))}}
				if _, err := l.Publish(background, p); err != nil {
					b.Fatal(err)
				}
				e, ok, err := followerLog.Wait(background, followed.Revision()+1, time.Second)
				if err != nil || !ok {
					b.Fatal(ok, err)
				}
				if followed, err = followed.Apply(e); err != nil {
					b.Fatal(err)
				}
				if followed.Revision()%interval == 0 {
					writeSnapshot(b, archiverMeter.Platform(platform.Client()), followed)
				}
			}
			reportUsage(b, &publisherMeter, "publisher")
			reportUsage(b, &followerMeter, "follower")
			reportUsage(b, &archiverMeter, "archiver")
		})
	}
	b.Run("one-value", func(b *testing.B) {
		platform, state := platformWithServices(b)
		var publisherMeter, followerMeter emulator.Meter
		publisher, follower := &singleKeyLog{publisherMeter.Platform(platform.Client())}, followerMeter.Platform(platform.Client())
		publisher.writeConfiguration(b, state)
		for i := 0; b.Loop(); i++ {
			if err := publisher.publish(realisticService(i%serviceCount, fmt.Sprintf("v%d", i+2))); err != nil {
				b.Fatal(err)
			}
			item, err := follower.Watch(background, singleKey, 0, time.Second)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := decodeConfiguration(item.Value); err != nil {
				b.Fatal(err)
			}
		}
		reportUsage(b, &publisherMeter, "publisher")
		reportUsage(b, &followerMeter, "follower")
	})
}

// singleKeyLog is the baseline of the benchmarks: the whole configuration,
// compressed, in one key that is updated by compare-and-swap.
type singleKeyLog struct {
	platform storer.Platform
}

// singleKey is the key of a singleKeyLog.
const singleKey = "configuration"

// writeConfiguration writes the configuration of a state.
func (l *singleKeyLog) writeConfiguration(b *testing.B, state *applier.State) {
	b.Helper()
	data, err := json.Marshal(state.Snapshot())
	if err != nil {
		b.Fatal(err)
	}
	item, err := l.platform.Get(background, singleKey)
	if err == nil {
		_, err = l.platform.PutIf(background, singleKey, applier.Compress(data), item.Version, "")
	}
	if err != nil {
		b.Fatal(err)
	}
}

// decodeConfiguration decodes the value of singleKey.
func decodeConfiguration(compressed []byte) (*applier.State, error) {
	plain, err := applier.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	var snap applier.Snapshot
	if err := json.Unmarshal(plain, &snap); err != nil {
		return nil, err
	}
	return applier.Restore(snap)
}

// publish replaces one service, retrying after a version conflict.
func (l *singleKeyLog) publish(svc parser.Service) error {
	for {
		item, err := l.platform.Get(background, singleKey)
		if err != nil {
			return err
		}
		state, err := decodeConfiguration(item.Value)
		if err != nil {
			return err
		}
		e, err := state.NewEntry("id", "operator", start, applier.Change{Services: []parser.Service{svc}})
		if err != nil {
			return err
		}
		if state, err = state.Apply(e); err != nil {
			return err
		}
		data, err := json.Marshal(state.Snapshot())
		if err != nil {
			return err
		}
		if _, err = l.platform.PutIf(background, singleKey, applier.Compress(data), item.Version, ""); !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
}

// BenchmarkCatchUp measures how a new reader loads the state when
// archiver.EntriesPerSnapshot/2 entries follow the last snapshot.
func BenchmarkCatchUp(b *testing.B) {
	platform, state := platformWithServices(b)
	writeSnapshot(b, platform.Client(), state)
	for i := range archiver.EntriesPerSnapshot / 2 {
		l := newBenchLog(platform.Client())
		if _, err := l.Publish(background, Publication{Services: []parser.Service{realisticService(i, "v2")}}); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("log", func(b *testing.B) {
		var m emulator.Meter
		for b.Loop() {
			if _, err := newBenchLog(m.Platform(platform.Client())).Load(background, &applier.State{}); err != nil {
				b.Fatal(err)
			}
		}
		reportUsage(b, &m, "reader")
	})
	b.Run("one-value", func(b *testing.B) {
		var m emulator.Meter
		p := m.Platform(platform.Client())
		(&singleKeyLog{platform.Client()}).writeConfiguration(b, state)
		for b.Loop() {
			item, err := p.Get(background, singleKey)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := decodeConfiguration(item.Value); err != nil {
				b.Fatal(err)
			}
		}
		reportUsage(b, &m, "reader")
	})
}

// BenchmarkSnapshot measures the time and memory of writing one snapshot.
func BenchmarkSnapshot(b *testing.B) {
	platform, state := platformWithServices(b)
	a := &archiver.Archiver{Platform: platform.Client()}
	b.ReportAllocs()
	for b.Loop() {
		if err := a.Write(background, archiver.Base{Version: baseVersion(b, platform)}, state); err != nil {
			b.Fatal(err)
		}
	}
}

// baseVersion returns the version of the archiver's base key.
func baseVersion(b *testing.B, platform *emulator.Platform) uint64 {
	b.Helper()
	base, err := archiver.ReadBase(background, platform.Client())
	if err != nil {
		b.Fatal(err)
	}
	return base.Version
}

// Load of a burst: 20 times the rate of 26,000 changes a day, with a platform
// latency of 3 ms for each call. burstRate is in changes per second.
const (
	burstRate     = 20 * 26000.0 / 86400
	burstDuration = 20 * time.Second
	callLatency   = 3 * time.Millisecond
)

// BenchmarkBurst publishes changes at the rate of a burst, each with a new client, as
// the command does, while an archiver runs. Run it with -benchtime 1x.
func BenchmarkBurst(b *testing.B) {
	b.Run("log", func(b *testing.B) {
		platform, state := platformWithServices(b)
		writeSnapshot(b, platform.Client(), state)
		platform.SetFaults(emulator.Faults{Slow: callLatency})
		var publisherMeter, archiverMeter emulator.Meter
		ctx, stop := context.WithCancel(background)
		var archiving sync.WaitGroup
		archiving.Go(func() { followAndArchive(ctx, archiverMeter.Platform(platform.Client()), state) })
		publishBurst(b, &publisherMeter, func(i int) error {
			l := newBenchLog(publisherMeter.Platform(platform.Client()))
			_, err := l.Publish(background, Publication{Services: []parser.Service{realisticService(i, "v2")}})
			return err
		})
		stop()
		archiving.Wait()
		reportUsage(b, &archiverMeter, "archiver")
	})
	b.Run("one-value", func(b *testing.B) {
		platform, state := platformWithServices(b)
		(&singleKeyLog{platform.Client()}).writeConfiguration(b, state)
		platform.SetFaults(emulator.Faults{Slow: callLatency})
		var publisherMeter emulator.Meter
		publishBurst(b, &publisherMeter, func(i int) error {
			return (&singleKeyLog{publisherMeter.Platform(platform.Client())}).publish(realisticService(i, "v2"))
		})
	})
}

// followAndArchive follows the log and writes snapshots until ctx ends, as a
// daemon does.
func followAndArchive(ctx context.Context, p storer.Platform, state *applier.State) {
	l, a := newBenchLog(p), &archiver.Archiver{Platform: p}
	for base := state.Revision(); ctx.Err() == nil; {
		if e, ok, err := l.Wait(ctx, state.Revision()+1, time.Second); err == nil && ok {
			if next, err := state.Apply(e); err == nil {
				state = next
			}
		}
		if state.Revision() >= base+archiver.EntriesPerSnapshot {
			base, _ = a.WriteIfDue(ctx, state)
		}
	}
}

// publishBurst calls publish at random times for burstDuration and reports the calls to
// the platform and the latencies.
func publishBurst(b *testing.B, m *emulator.Meter, publish func(i int) error) {
	b.Helper()
	random := rand.New(rand.NewPCG(20, 4))
	var mu sync.Mutex
	var latencies []time.Duration
	var publishers sync.WaitGroup
	for i, begin := 0, time.Now(); time.Since(begin) < burstDuration; i++ {
		publishers.Go(func() {
			started := time.Now()
			if err := publish(i); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(started))
		})
		time.Sleep(time.Duration(random.ExpFloat64() / burstRate * float64(time.Second)))
	}
	publishers.Wait()
	slices.Sort(latencies)
	changes, usage := float64(len(latencies)), m.Metered()
	b.ReportMetric(changes, "changes")
	b.ReportMetric(float64(usage.Calls)/changes, "publisher-calls/change")
	b.ReportMetric(float64(usage.Bytes)/changes, "publisher-bytes/change")
	b.ReportMetric(float64(usage.Conflicts)/changes, "races-lost/change")
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-ms")
}
