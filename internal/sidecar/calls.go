package sidecar

import (
	"sync"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
)

// runningRequests holds the requests that the local target runs, by ID. It is safe for
// concurrent use. The zero value is empty.
type runningRequests struct {
	mu      sync.Mutex
	running map[string]runningRequest
}

type runningRequest struct {
	// runs counts the attempts of the request that run.
	runs    int
	patient bool
}

// started counts a run of a request.
func (r *runningRequests) started(id string, patient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = map[string]runningRequest{}
	}
	r.running[id] = runningRequest{
		runs:    r.running[id].runs + 1,
		patient: patient,
	}
}

// ended ends a run of a request.
func (r *runningRequests) ended(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.running[id]
	request.runs--
	if request.runs <= 0 {
		delete(r.running, id)
		return
	}
	r.running[id] = request
}

// find reports whether the local target runs a request, and whether that is patient.
func (r *runningRequests) find(id string) (running, patient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, running := r.running[id]
	return running, request.patient
}

// trackRunning counts a request that is forwarded to the local target as running. It has the
// results of checkQuarantine.
func (d *Daemon) trackRunning(a *carrier.Attempt) (connected func(), done func(r deliverer.Result, connectionLost bool), err error) {
	connected, ended, err := d.checkQuarantine(a)
	if err != nil {
		return nil, nil, err
	}
	d.running.started(a.ID, a.Patient)
	done = func(r deliverer.Result, connectionLost bool) {
		d.running.ended(a.ID)
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
