package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// runEvents runs each event at its time and waits until all have ended.
func (s *soak) runEvents(ctx context.Context, events []Event) {
	began := time.Now()
	var active sync.WaitGroup
	defer active.Wait()
	for _, e := range events {
		select {
		case <-time.After(time.Until(began.Add(e.At))):
		case <-ctx.Done():
			return
		}
		active.Go(func() { s.runEvent(e) })
	}
}

// runEvent runs one event and returns when it has ended.
func (s *soak) runEvent(e Event) {
	n := s.nodes[e.Node]
	switch e.Kind {
	case Kill:
		n.process.kill()
		time.Sleep(e.Length)
		s.start(n)
	case Stop:
		n.process.stop(e.Pauses...)
		time.Sleep(e.Length)
		s.start(n)
	case Pause:
		n.process.pause(e.Length)
	case Reload:
		n.process.reload()
	case Delay:
		s.applyLinkFault(n.links[e.Hop], Fault{Delay: linkDelay}, e.Length)
	case StallBoth:
		s.stallLink(n, e, Fault{StallToServer: true, StallFromServer: true})
	case StallRequests:
		s.stallLink(n, e, Fault{StallToServer: true})
	case StallResponses:
		s.stallLink(n, e, Fault{StallFromServer: true})
	case Reset:
		n.links[e.Hop].Reset()
	case StoreRevokeLeases:
		s.store.Revoke()
	case StoreCompact:
		s.store.Compact()
	case StoreRestore:
		s.restoreStore(e.Length)
	case StoreUnresponsive, StoreRefuse, StoreSlow, StoreLoseResponses, StorePauseLeases:
		s.adjustStoreFault(e.Kind, 1)
		time.Sleep(e.Length)
		s.adjustStoreFault(e.Kind, -1)
	case Crash:
		version, badVersion := n.currentVersion()
		n.replaceTarget(e.Length, version, badVersion)
	case Drain:
		n.drainTarget(e.Length)
	case Slow, Fail, LoseResponses, Shed, EndlessHeads, EndlessBodies:
		n.injectFault(e.Kind, e.Length)
	case Declare:
		s.declareConfig()
	case Evacuate:
		s.store.Evacuate(n.zone, true)
		time.Sleep(e.Length)
		s.store.Evacuate(n.zone, false)
	case Move:
		s.startMove(e.Bad)
	}
}

// start starts a node's daemon unless it is already running.
func (s *soak) start(n *node) {
	if err := n.process.start(); err != nil {
		s.ledger.AddViolation("soak: %v", err)
	}
}

// applyLinkFault applies a fault to a link for a time. If faults of a link
// overlap, a new one replaces the previous one, and the first to end clears the
// link's fault.
func (s *soak) applyLinkFault(l *Link, f Fault, length time.Duration) {
	l.SetFault(f)
	time.Sleep(length)
	l.SetFault(Fault{})
}

// stallLink stalls a link for the length of the event. It records the stall if the
// link leads to the target.
func (s *soak) stallLink(n *node, e Event, f Fault) {
	from := time.Now()
	s.applyLinkFault(n.links[e.Hop], f, e.Length)
	if e.Hop == HopTarget {
		n.addStall(span{from: from, to: time.Now()})
	}
}

// adjustStoreFault adds delta to the number of the store's active faults of a
// kind and applies all active faults to the store.
func (s *soak) adjustStoreFault(k Kind, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFaults[k] += delta
	f := emulator.RecordFaults{
		Silent:      s.activeFaults[StoreUnresponsive] > 0,
		PauseLeases: s.activeFaults[StorePauseLeases] > 0,
	}
	if s.activeFaults[StoreRefuse] > 0 {
		f.Refuse = 503
	}
	if s.activeFaults[StoreSlow] > 0 {
		f.Slow = 200 * time.Millisecond
	}
	if s.activeFaults[StoreLoseResponses] > 0 {
		f.LoseShare, f.Late = 0.5, 300*time.Millisecond
	}
	s.store.SetFaults(f)
}

// Times of a StoreRestore event. The store is away for restoreOutage, and the operators write
// again what it has lost after rewriteDelay.
const (
	restoreOutage = 500 * time.Millisecond
	rewriteDelay  = time.Second
)

// restoreStore brings the store back from a copy of the given age.
func (s *soak) restoreStore(age time.Duration) {
	backup := s.store.Backup()
	time.Sleep(age)
	s.bringBack(backup)
	time.Sleep(rewriteDelay)
	s.store.WriteAgain()
}

// bringBack takes the store away and brings it back from a backup.
func (s *soak) bringBack(b emulator.Backup) {
	s.adjustStoreFault(StoreRefuse, 1)
	defer s.adjustStoreFault(StoreRefuse, -1)
	time.Sleep(restoreOutage)
	s.store.Restore(b)
	s.removedKeys.forget()
}

// startMove requests a move of the main service to the next version and
// replaces every second target of the service by one of that version.
func (s *soak) startMove(badVersion bool) {
	s.mu.Lock()
	s.moveRequested, s.moveToBad = time.Now(), badVersion
	s.mu.Unlock()
	if err := s.store.Order(mainService, nextVersion, int(movePeriod/time.Second)); err != nil {
		s.ledger.AddViolation("soak: %v", err)
	}
	var replaced []*node
	for i, n := range s.nodesOf(mainService) {
		if i%2 == 0 {
			replaced = append(replaced, n)
		}
	}
	for _, n := range replaced {
		n.replaceTarget(0, nextVersion, badVersion)
	}
}

// nodesOf returns the nodes whose target is of a service.
func (s *soak) nodesOf(service string) []*node {
	var nodes []*node
	for _, n := range s.nodes {
		if n.service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// clearFaults restores the system after the events: it clears the faults of the
// store and the links, ends the evacuation of all zones, starts the daemons that are
// down and declares a new configuration. The faults of targets end with their
// events.
func (s *soak) clearFaults() {
	s.store.SetFaults(emulator.RecordFaults{})
	for _, zone := range zones {
		s.store.Evacuate(zone, false)
	}
	for _, n := range s.nodes {
		for _, l := range n.links {
			l.SetFault(Fault{})
		}
		s.start(n)
	}
	s.declareConfig()
}

// checkRecovery waits until every daemon serves the newest configuration. It
// records a violation for each daemon that does not before the deadline.
func (s *soak) checkRecovery(phase string, deadline time.Time) {
	var checks sync.WaitGroup
	for _, n := range s.nodes {
		checks.Go(func() {
			if last, ok := s.waitRecovered(n, phase, deadline); !ok {
				s.ledger.AddViolation("recovery at the %s: %s still responds with status %d to %s, err %v", phase, n.settings.Name, last.Reply.Status, last.Call.Path, last.Err)
			}
		})
	}
	checks.Wait()
}

// waitRecovered sends requests to a daemon until it has answered
// recoveryResponses consecutive requests on each route with status 200. It
// returns the last request, and false if the deadline passed first.
func (s *soak) waitRecovered(n *node, phase string, deadline time.Time) (last Request, ok bool) {
	s.mu.Lock()
	newestRoute := route{prefix: fmt.Sprintf("/n%d/", s.configVersion), recent: true, body: 40}
	s.mu.Unlock()
	c := emulator.NewClient(n.settings.Listen.Traffic)
	defer c.Close()
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	checkedRoutes := append([]route{newestRoute}, routes...)
	if s.options.Keys {
		checkedRoutes = append(checkedRoutes, keptRoute)
	}
	consecutive := 0
	for i := 0; time.Now().Before(deadline); i++ {
		r := checkedRoutes[i%len(checkedRoutes)]
		id := fmt.Sprintf("%s-%s-%d", n.settings.Name, phase, i)
		last = n.sendRequest(c, r, id, r.prefix, random)
		if last.Err != nil || last.Reply.Status != 200 {
			consecutive = 0
			time.Sleep(pollInterval)
			continue
		}
		if consecutive++; consecutive == recoveryResponses*len(checkedRoutes) {
			return last, true
		}
	}
	return last, false
}
