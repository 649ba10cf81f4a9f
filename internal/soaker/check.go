package soaker

import (
	"slices"
	"sync"
	"time"
)

// checkRegistrations waits until all daemons are registered in the store. It records
// a violation if one is not registered after registrationTimeout.
func (s *soak) checkRegistrations() {
	missing := ""
	for end := time.Now().Add(registrationTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		missing = ""
		for _, n := range s.nodes {
			if !s.store.Registered(n.settings.Name) {
				missing = n.settings.Name
			}
		}
		if missing == "" {
			return
		}
	}
	s.ledger.AddViolation("keys: %s is not registered in the store %v after recovery", missing, registrationTimeout)
}

// checkEvacuation evacuates a zone and records a violation if its targets still
// receive requests after evacuationTimeout.
func (s *soak) checkEvacuation() {
	zone := zones[s.options.Seed%uint64(len(zones))]
	s.store.Evacuate(zone, true)
	time.Sleep(evacuationTimeout)
	before := map[string]int{}
	for _, n := range s.nodes {
		instance, count := n.arrivalCount()
		before[instance] = count
	}
	time.Sleep(evacuationCheckTime)
	for _, n := range s.nodes {
		if instance, count := n.arrivalCount(); n.zone == zone && count > before[instance] {
			s.ledger.AddViolation("evacuation: %s received %d requests more than %v after its zone was evacuated", instance, count-before[instance], evacuationTimeout)
		}
	}
	s.store.Evacuate(zone, false)
}

// checkRestore brings the store back from an older copy while nothing else disturbs the daemons.
// It records a violation if a daemon does not handle requests by a configuration that is
// declared after that, or if an evacuation that the store has lost does not stay in force.
func (s *soak) checkRestore() {
	zone := s.drillZone()
	backup := s.store.Backup()
	for i := range lostWrites {
		s.store.Put("other/key", []byte{byte(i)})
	}
	s.store.Evacuate(zone, true)
	s.declareConfig()
	time.Sleep(evacuationTimeout)
	before := s.arrivalsIn(zone)
	s.bringBack(backup)
	time.Sleep(rewriteDelay)
	s.store.WriteAgain()
	s.declareConfig()
	s.checkRecovery("return", time.Now().Add(contactTime+configTimeout))
	if n := s.arrivalsIn(zone) - before; n > 0 {
		s.ledger.AddViolation("evacuation: %d requests reached targets in %s, whose evacuation the store had lost", n, zone)
	}
	s.store.Evacuate(zone, false)
}

// drillZone returns the zone that is evacuated while the store comes back: that of the seed, unless
// it has all targets that may take the main service's requests. A completed version leaves out
// the targets of the one before, which may be all that the other zone has.
func (s *soak) drillZone() string {
	version := firstVersion
	if state, err := s.store.Outcome(mainService); err == nil && state == "completed" {
		version = nextVersion
	}
	serving := map[string]bool{}
	for _, n := range s.nodesOf(mainService) {
		if v, _ := n.currentVersion(); v == version {
			serving[n.zone] = true
		}
	}
	zone := zones[s.options.Seed%uint64(len(zones))]
	if len(serving) > 1 || !serving[zone] {
		return zone
	}
	other := slices.IndexFunc(zones, func(z string) bool { return z != zone })
	return zones[other]
}

// arrivalsIn returns the number of requests that have reached the running targets of a zone.
func (s *soak) arrivalsIn(zone string) int {
	total := 0
	for _, n := range s.nodes {
		if n.zone == zone {
			_, count := n.arrivalCount()
			total += count
		}
	}
	return total
}

// stopAll stops all daemons at the same time and waits until they have ended.
func (s *soak) stopAll() {
	var stops sync.WaitGroup
	for _, n := range s.nodes {
		stops.Go(func() { n.process.stop() })
	}
	stops.Wait()
}

// checkMove checks the outcome of the requested move, if any, and the number of
// requests that a bad version received.
func (s *soak) checkMove() {
	if s.moveRequested.IsZero() {
		return
	}
	state, err := s.store.Outcome(mainService)
	if err != nil {
		s.ledger.AddViolation("soak: %v", err)
	}
	total, toNext := s.ledger.countArrivals(s.moveRequested, mainService, nextVersion)
	limit := maxExposureRatio*float64(total) + exposureSlack
	switch {
	case state != "completed" && state != "rolled_back":
		s.ledger.AddViolation("move: state is %q long after its period, want completed or rolled_back", state)
	case s.moveToBad && state == "completed":
		s.ledger.AddViolation("move: completed to a version that fails every second request")
	case s.moveToBad && float64(toNext) > limit:
		s.ledger.AddViolation("exposure: the bad version received %d of %d requests, at most %.0f allowed", toNext, total, limit)
	}
}

// countArrivals counts the requests that reached targets of a service since a
// time, and those of them that reached targets of a version.
func (l *Ledger) countArrivals(from time.Time, service, version string) (total, matched int) {
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
			total++
			if start.Version == version {
				matched++
			}
		}
	}
	return total, matched
}
