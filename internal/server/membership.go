package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

const (
	memberMethod = "member"
	// maxMemberCalls limits the membership calls in flight, separately for
	// probes and for other calls. Calls beyond the limit are dropped; the
	// protocol tolerates lost messages.
	maxMemberCalls = 128
	// leaveGrace is the time between the announcement that the daemon leaves
	// and the closing of its listeners. The other daemons receive the
	// announcement in this time.
	leaveGrace = time.Second
)

// newProber returns the daemon's instance of the membership protocol.
func (d *Daemon) newProber() *prober.Prober {
	return prober.New(prober.Options{
		Table:     d.members,
		Facts:     d.facts,
		Clock:     d.clock,
		Seeds:     d.seeds,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnNewFact: d.onNewFact,
	})
}

// handleMembership answers a message of the membership protocol and sends the calls
// that result from it.
func (d *Daemon) handleMembership(_ context.Context, m prober.Message) (prober.Message, error) {
	answer, calls := d.prober.HandleMessage(m)
	d.sendMemberCalls(calls)
	return answer, nil
}

// runMembership runs the membership protocol until ctx ends.
func (d *Daemon) runMembership(ctx context.Context) error {
	ticker := time.NewTicker(prober.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.sendMemberCalls(d.prober.Tick())
			d.updateMemberMetrics()
		case <-ctx.Done():
			return nil
		}
	}
}

// updateMemberMetrics copies the membership's counts into the metrics.
func (d *Daemon) updateMemberMetrics() {
	c := d.members.Counts()
	for name, count := range map[string]int64{
		"member.alive":       int64(c.Alive),
		"member.suspect":     int64(c.Suspect),
		"member.gone":        int64(c.Gone),
		"member.unreachable": int64(c.Unreachable),
		"control.sent":       d.client.SentBytes.Load() + d.control.SentBytes.Load(),
		"control.received":   d.client.ReceivedBytes.Load() + d.control.ReceivedBytes.Load(),
	} {
		metrics.GetOrRegisterGauge(name, d.metrics).Update(count)
	}
}

// sendMemberCalls sends membership calls, and the calls that result from the
// responses, without waiting for them.
func (d *Daemon) sendMemberCalls(calls []prober.Call) {
	for _, c := range calls {
		sem := d.callSem
		if c.Message.Kind.IsProbe() {
			sem = d.probeSem
		}
		select {
		case sem <- struct{}{}:
			go func() {
				defer func() { <-sem }()
				d.sendMemberCall(c)
			}()
		default:
			metrics.GetOrRegisterCounter("member.dropped", d.metrics).Inc(1)
		}
	}
}

func (d *Daemon) sendMemberCall(c prober.Call) {
	var answer prober.Message
	err := d.client.Call(context.Background(), c.To, memberMethod, c.Message, &answer)
	if err != nil {
		metrics.GetOrRegisterCounter("member.failed", d.metrics).Inc(1)
		d.log.Debug("call to peer failed", "peer", c.To, "kind", c.Message.Kind, "err", err)
		return
	}
	d.sendMemberCalls(d.prober.HandleAnswer(c, answer))
}

// leave marks this daemon as leaving and announces that to peers. It then waits for
// leaveGrace, so that the peers can forward the announcement.
func (d *Daemon) leave() {
	d.leaveOnce.Do(func() {
		d.members.UpdateSelf(func(m prober.Member) prober.Member { return m.WithStatus(prober.Left) })
		var group sync.WaitGroup
		calls := d.prober.Leave()
		for _, c := range calls {
			group.Go(func() { d.sendMemberCall(c) })
		}
		group.Wait()
		if len(calls) > 0 {
			time.Sleep(leaveGrace)
		}
	})
}
