package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// play lets the events happen, each at its time, and waits for their ends.
func (s *soak) play(ctx context.Context, events []Event) {
	began := time.Now()
	var under sync.WaitGroup
	defer under.Wait()
	for _, e := range events {
		select {
		case <-time.After(time.Until(began.Add(e.At))):
		case <-ctx.Done():
			return
		}
		under.Go(func() { s.happen(e) })
	}
}

// happen is one event, from its beginning to its end.
func (s *soak) happen(e Event) {
	n := s.nodes[e.Node]
	switch e.Kind {
	case Kill:
		n.process.kill()
		time.Sleep(e.Length)
		s.start(n)
	case Stop:
		n.process.stop()
		time.Sleep(e.Length)
		s.start(n)
	case Pause:
		n.process.pause(e.Length)
	case Reload:
		n.process.reload()
	case Delay:
		s.cut(n.links[e.Hop], Fault{Delay: linkDelay}, e.Length)
	case Silence:
		s.hold(n, e, Fault{Forth: true, Back: true})
	case CutForth:
		s.hold(n, e, Fault{Forth: true})
	case CutBack:
		s.hold(n, e, Fault{Back: true})
	case Reset:
		n.links[e.Hop].Reset()
	case StoreLapse:
		s.records.Revoke()
	case StoreForget:
		s.records.Compact()
	case StoreSilent, StoreRefuse, StoreSlow, StoreLose, StorePause:
		s.disturbStore(e.Kind, 1)
		time.Sleep(e.Length)
		s.disturbStore(e.Kind, -1)
	case Crash:
		version, bad := n.present()
		n.replaceTarget(e.Length, version, bad)
	case Drain:
		n.drainTarget(e.Length)
	case Slow, Fail, Lose, Shed:
		n.disturb(e.Kind, e.Length)
	case Declare:
		s.declare()
	case Evacuate:
		s.records.Evacuate(n.zone, true)
		time.Sleep(e.Length)
		s.records.Evacuate(n.zone, false)
	case Move:
		s.move(e.Bad)
	}
}

func (s *soak) start(n *node) {
	if err := n.process.start(); err != nil {
		s.ledger.Note("soak: %v", err)
	}
}

// cut lets a fault of a link last for a time. Of faults that overlap the last
// one counts, and the first that ends heals the link.
func (s *soak) cut(l *Link, f Fault, length time.Duration) {
	l.Set(f)
	time.Sleep(length)
	l.Set(Fault{})
}

// hold lets a link hold what is sent, and notes when that is the target's.
func (s *soak) hold(n *node, e Event, f Fault) {
	from := time.Now()
	s.cut(n.links[e.Hop], f, e.Length)
	if e.Hop == HopTarget {
		n.held(span{from: from, to: time.Now()})
	}
}

// disturbStore counts the store's faults of a kind and sets those in force.
func (s *soak) disturbStore(k Kind, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[k] += by
	f := emulator.RecordFaults{
		Silent:      s.faults[StoreSilent] > 0,
		PauseLeases: s.faults[StorePause] > 0,
	}
	if s.faults[StoreRefuse] > 0 {
		f.Refuse = 503
	}
	if s.faults[StoreSlow] > 0 {
		f.Slow = 200 * time.Millisecond
	}
	if s.faults[StoreLose] > 0 {
		f.LoseShare, f.Late = 0.5, 300*time.Millisecond
	}
	s.records.SetFaults(f)
}

// move starts targets of another version in place of every second one of the
// main service, and asks for the service to be moved there.
func (s *soak) move(bad bool) {
	s.mu.Lock()
	s.moved, s.movedBad = time.Now(), bad
	s.mu.Unlock()
	if err := s.records.Order(mainService, nextVersion, int(movePeriod/time.Second)); err != nil {
		s.ledger.Note("soak: %v", err)
	}
	var half []*node
	for i, n := range s.of(mainService) {
		if i%2 == 0 {
			half = append(half, n)
		}
	}
	for _, n := range half {
		n.replaceTarget(0, nextVersion, bad)
	}
}

func (s *soak) of(service string) []*node {
	var nodes []*node
	for _, n := range s.nodes {
		if n.service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// heal ends what still lasts of the events. Events that last wait for their own
// end before; what is left is zones and daemons.
func (s *soak) heal() {
	s.records.SetFaults(emulator.RecordFaults{})
	for _, zone := range zones {
		s.records.Evacuate(zone, false)
	}
	for _, n := range s.nodes {
		for _, l := range n.links {
			l.Set(Fault{})
		}
		s.start(n)
	}
	s.declare()
}

// recover waits until every daemon answers by the newest configuration, and
// notes those that don't in time.
func (s *soak) recover(when string, end time.Time) {
	var all sync.WaitGroup
	for _, n := range s.nodes {
		all.Go(func() {
			if last, ok := s.well(n, when, end); !ok {
				s.ledger.Note("recovery at the %s: %s answers %d to %s, err %v", when, n.settings.Name, last.Reply.Status, last.Call.Path, last.Err)
			}
		})
	}
	all.Wait()
}

// well asks a daemon until it has answered some requests of each route in a row.
func (s *soak) well(n *node, when string, end time.Time) (last Request, ok bool) {
	s.mu.Lock()
	newest := route{prefix: fmt.Sprintf("/n%d/", s.declared), fresh: true, body: 40}
	s.mu.Unlock()
	c := emulator.NewClient(n.settings.Listen.Traffic)
	defer c.Close()
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	asked := append([]route{newest}, routes...)
	row := 0
	for i := 0; time.Now().Before(end); i++ {
		r := asked[i%len(asked)]
		id := fmt.Sprintf("%s-%s-%d", n.settings.Name, when, i)
		last = n.ask(c, r, id, r.prefix, random)
		if last.Err != nil || last.Reply.Status != 200 {
			row = 0
			time.Sleep(pollTime)
			continue
		}
		if row++; row == wellInRow*len(asked) {
			return last, true
		}
	}
	return last, false
}
