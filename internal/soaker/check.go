package soaker

import (
	"sync"
	"time"
)

// checkKeys notes the daemons whose key the store lacks some time after its
// return.
func (s *soak) checkKeys() {
	missing := ""
	for end := time.Now().Add(returnTime); time.Now().Before(end); time.Sleep(pollTime) {
		missing = ""
		for _, n := range s.nodes {
			if !s.records.Registered(n.settings.Name) {
				missing = n.settings.Name
			}
		}
		if missing == "" {
			return
		}
	}
	s.ledger.Note("keys: the store lacks that of %s %v after the last fault", missing, returnTime)
}

// checkEvacuation takes a zone out and looks at what its targets get then.
func (s *soak) checkEvacuation() {
	zone := zones[s.options.Seed%uint64(len(zones))]
	s.records.Evacuate(zone, true)
	time.Sleep(evacuateTime)
	before := map[string]int{}
	for _, n := range s.nodes {
		instance, count := n.arrivals()
		before[instance] = count
	}
	time.Sleep(quietCheck)
	for _, n := range s.nodes {
		if instance, count := n.arrivals(); n.zone == zone && count > before[instance] {
			s.ledger.Note("evacuation: %s got %d requests later than %v after its zone was taken out", instance, count-before[instance], evacuateTime)
		}
	}
	s.records.Evacuate(zone, false)
}

// stopAll asks all daemons to stop, at about the same time.
func (s *soak) stopAll() {
	var all sync.WaitGroup
	for _, n := range s.nodes {
		all.Go(n.process.stop)
	}
	all.Wait()
}

// checkMove looks at what a move that was asked for has come to.
func (s *soak) checkMove() {
	if s.moved.IsZero() {
		return
	}
	state, err := s.records.Outcome(mainService)
	if err != nil {
		s.ledger.Note("soak: %v", err)
	}
	all, next := s.ledger.since(s.moved, mainService, nextVersion)
	limit := exposureShare*float64(all) + exposureSlack
	switch {
	case state != "completed" && state != "rolled_back":
		s.ledger.Note("move: its outcome is %q long after its period", state)
	case s.movedBad && state == "completed":
		s.ledger.Note("move: completed to a version that fails every second request")
	case s.movedBad && float64(next) > limit:
		s.ledger.Note("exposure: the bad version got %d of %d requests, at most %.0f", next, all, limit)
	}
}

// since counts the requests at the main service's targets from a moment on, and
// those of them that reached a version.
func (l *Ledger) since(from time.Time, service, version string) (all, reached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, start := range l.starts {
		if start.Service != service {
			continue
		}
		for _, a := range start.Arrivals {
			if a.At.Before(from) {
				continue
			}
			all++
			if start.Version == version {
				reached++
			}
		}
	}
	return all, reached
}
