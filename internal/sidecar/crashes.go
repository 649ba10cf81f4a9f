package sidecar

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
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
	_, _ = io.Copy(digest, a.Body.Reader())
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

// Parameters of reading the quarantine after the start.
const (
	// maxQuarantineSources is the number of daemons whose quarantine is read.
	maxQuarantineSources = 2
	// oldestDaemons is the number of daemons among which they are chosen at random, so that
	// the daemons of a large fleet that start together do not all call the same ones.
	oldestDaemons = 16
	// quarantinePollPeriod is the interval of looking for daemons to read it from, and
	// quarantineRetryPause the pause after a failed call.
	quarantinePollPeriod = 50 * time.Millisecond
	quarantineRetryPause = 500 * time.Millisecond
)

// readQuarantine reads the suspected and quarantined requests from other daemons after the
// start, from those that have run for longest. It ends when maxQuarantineSources of them have
// answered, or when what they knew at the start has expired.
func (d *Daemon) readQuarantine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quarantiner.QuarantineTTL)
	defer cancel()
	answered := map[string]bool{}
	for ctx.Err() == nil {
		pause := quarantinePollPeriod
		for _, m := range d.quarantineSources() {
			if answered[m.ID] {
				continue
			}
			if err := d.readQuarantineOf(ctx, m); err != nil {
				d.log.Debug("quarantine not read", "peer", m.ID, "err", err)
				pause = quarantineRetryPause
				continue
			}
			answered[m.ID] = true
			if len(answered) >= maxQuarantineSources {
				return
			}
		}
		sleep(ctx, pause)
	}
}

// quarantineSources returns the live daemons that have run for longest, in random order. The
// incarnation of a daemon begins with the time of its start.
func (d *Daemon) quarantineSources() []prober.Member {
	members := slices.DeleteFunc(slices.Clone(d.members.All()), func(m prober.Member) bool {
		return m.ID == d.settings.Name || m.Status > prober.Suspect
	})
	slices.SortFunc(members, func(a, b prober.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	members = members[:min(len(members), oldestDaemons)]
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// readQuarantineOf reads the suspected and quarantined requests of another daemon.
func (d *Daemon) readQuarantineOf(ctx context.Context, m prober.Member) error {
	var list []quarantiner.Suspicion
	if err := d.client.Call(ctx, m.Control, quarantineMethod, struct{}{}, &list); err != nil {
		return err
	}
	quarantined := d.quarantine.AddSuspicions(list)
	if len(list) > 0 {
		d.log.Info("quarantine read", "peer", m.ID, "suspects", len(list), "quarantined", len(quarantined))
	}
	return nil
}

// handleQuarantine returns the suspected and quarantined requests.
func (d *Daemon) handleQuarantine(context.Context, struct{}) ([]quarantiner.Suspicion, error) {
	return d.quarantine.Suspicions(), nil
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
