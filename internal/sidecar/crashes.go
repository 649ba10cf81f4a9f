package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
)

// crashCheckTimeout bounds the connection attempt that shows whether the target
// still listens. The target runs on the same VM.
const crashCheckTimeout = 100 * time.Millisecond

// fingerprintBytes is the length of a fingerprint before hex encoding.
const fingerprintBytes = 16

// fingerprint returns a hash of the parts of a request that a client sends again
// when it repeats the request: method, URI, caller and body.
func fingerprint(a *carrier.Attempt) string {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %q\n", a.Method, a.URI, a.Caller)
	_, _ = digest.Write(a.Body)
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// checkQuarantine rejects a request that is quarantined because it has crashed
// targets. A suspected request runs isolated: only while no other suspected request
// runs. The caller calls connected when the request has a connection to the target,
// and done after the attempt, with connectionLost set if the connection broke or was
// refused. One whose connection is refused cannot have crashed the target.
func (d *Daemon) checkQuarantine(a *carrier.Attempt) (connected func(), done func(r deliverer.Result, connectionLost bool), err error) {
	fp := fingerprint(a)
	isolated, err := d.quarantine.Admit(fp)
	if err != nil {
		d.incrementCounter("order.quarantined")
		d.log.Warn("quarantined request rejected", "request", a.ID, "rule", a.Rule, "print", fp, "err", err)
		return nil, nil, err
	}
	var started atomic.Bool
	connected = func() {
		started.Store(true)
		d.quarantine.RequestStarted(fp)
	}
	done = func(r deliverer.Result, connectionLost bool) {
		if connectionLost {
			d.checkCrash(a, fp)
		}
		switch {
		case !started.Load():
		case connectionLost:
			d.quarantine.RequestBroke(fp)
		default:
			d.quarantine.RequestEnded(fp, r.Err == nil)
		}
		if isolated {
			d.quarantine.EndIsolation()
		}
	}
	return connected, done, nil
}

// checkCrash checks whether the target has crashed, after the connection of a request
// broke or was refused. If so, it makes the gate treat the target as cold and sends the
// fingerprints of the requests that may have caused the crash to the other daemons.
func (d *Daemon) checkCrash(a *carrier.Attempt, fp string) {
	listening := isListening(d.sidecar.Target)
	d.log.Info("connection to the target lost", "request", a.ID, "print", fp, "listening", listening)
	if listening {
		return
	}
	d.gate.SuspectCold()
	fingerprints := d.quarantine.TargetDied()
	if len(fingerprints) == 0 {
		return
	}
	report := quarantiner.Report{
		Service:      a.Service,
		Death:        uuid.NewString(),
		Fingerprints: fingerprints,
	}
	d.incrementCounter("target.deaths")
	d.log.Warn("target died", "service", a.Service, "suspects", len(fingerprints))
	d.recordCrash(report)
	d.callMembers(crashMethod, report)
}

// recordCrash records the report of a target's crash.
func (d *Daemon) recordCrash(r quarantiner.Report) {
	for _, fp := range d.quarantine.AddReport(r) {
		d.log.Warn("request quarantined", "service", r.Service, "print", fp, "death", r.Death)
	}
}

// handleCrash handles another daemon's report of a target's crash.
func (d *Daemon) handleCrash(_ context.Context, r quarantiner.Report) (struct{}, error) {
	if len(r.Fingerprints) > quarantiner.MaxSuspectsPerDeath || len(r.Death) > quarantiner.MaxFingerprint {
		return struct{}{}, Class.New("report of a death out of bounds")
	}
	d.recordCrash(r)
	return struct{}{}, nil
}

// isListening reports whether the target may still be running. It returns false
// only if the connection is refused. A target that exits may still listen when its
// connections are closed.
func isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashCheckTimeout)
	if err == nil {
		_ = conn.Close()
		return true
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
