package sidecar

import (
	"sync"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
)

// runningRequests holds the IDs of the patient requests that the local target runs. It is safe
// for concurrent use. The zero value is empty.
type runningRequests struct {
	mu     sync.Mutex
	counts map[string]int
}

// add adds delta to the number of runs of a request.
func (r *runningRequests) add(id string, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[id] += delta
	if r.counts[id] <= 0 {
		delete(r.counts, id)
	}
}

// has reports whether the local target runs a patient request.
func (r *runningRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id] > 0
}

// beforeForward is called before an attempt is forwarded to the local target. It has the
// results of checkQuarantine, and counts a patient request as running.
func (d *Daemon) beforeForward(a *carrier.Attempt) (connected func(), done func(r deliverer.Result, connectionLost bool), err error) {
	connected, ended, err := d.checkQuarantine(a)
	if err != nil {
		return nil, nil, err
	}
	if !a.Patient {
		return connected, ended, nil
	}
	d.running.add(a.ID, 1)
	done = func(r deliverer.Result, connectionLost bool) {
		d.running.add(a.ID, -1)
		ended(r, connectionLost)
	}
	return connected, done, nil
}

// countRejection counts a request that was rejected for lack of a free slot, by cause.
func (d *Daemon) countRejection(r dispatcher.Result) {
	switch {
	case r.Throttled:
		d.incrementCounter("request.throttled")
	case r.Rejections > 0 && r.Nested:
		d.incrementCounter("request.busynested")
	case r.Rejections > 0 && r.Late:
		d.incrementCounter("request.busylate")
	case r.Rejections > 0:
		d.incrementCounter("request.busy")
	}
}
