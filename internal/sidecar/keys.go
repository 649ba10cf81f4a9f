package sidecar

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/attester"
	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Proofs that the operators' records are the newest.
const (
	// proofPeriod is the longest time for which a watch without a change stays open while
	// keys depend on its proofs.
	proofPeriod = time.Second
	// urgentWatch replaces proofPeriod when a proof is overdue, since a watch proves the
	// instant before it, but only once it has ended.
	urgentWatch = 100 * time.Millisecond
	// overdueShare is the share of the time for which a proof counts after which another is
	// overdue. Relays' proofs are up to 2.1 s old, and a daemon needs a few hundred
	// milliseconds to get one of its own.
	overdueShare = 0.7
)

// updateReceipt is the response to a relay update. It is empty unless proofs matter.
type updateReceipt struct {
	Stamp *attester.Stamp `json:"stamp,omitempty"`
}

// provesKeys reports whether requests depend on proofs that the plan is the newest.
func (d *Daemon) provesKeys() bool {
	if d.attester == nil {
		return false
	}
	p := d.plan()
	return p != nil && p.Keys != nil
}

// newAuthenticator returns the authenticator of clients' requests.
func (d *Daemon) newAuthenticator() *authenticator.Authenticator {
	if d.attester == nil {
		return &authenticator.Authenticator{}
	}
	return &authenticator.Authenticator{Left: d.proofLeft}
}

// proveByReads makes the follower of the operators' records prove them by its calls.
func (d *Daemon) proveByReads(f *follower.Follower) {
	if d.attester == nil {
		return
	}
	f.StartCall = func() func() {
		start := d.attester.Clock.Read()
		return func() { d.attester.Confirm(start) }
	}
	f.WatchTimeout = d.watchTimeout
}

// watchTimeout returns how long the next watch of the operators' records may stay open. A
// daemon that gets proofs from a relay watches only for changes.
func (d *Daemon) watchTimeout() time.Duration {
	if !d.provesKeys() {
		return follower.WatchTimeout
	}
	age, ok := d.attester.Age()
	switch {
	case !ok || age >= d.overdueAge():
		return urgentWatch
	case d.isRelay():
		return proofPeriod
	default:
		return d.overdueAge() - age
	}
}

// overdueAge returns the age of a proof at which another is overdue.
func (d *Daemon) overdueAge() time.Duration {
	return time.Duration(overdueShare * float64(d.attester.MaxAge))
}

// proofOverdue reports whether the daemon has to prove the operators' records itself, because
// the relays' proofs are late.
func (d *Daemon) proofOverdue() bool {
	if !d.provesKeys() {
		return false
	}
	age, ok := d.attester.Age()
	return !ok || age >= d.overdueAge()
}

// proofLeft returns for how long keys can be relied on, and logs when they no longer can or
// can again.
func (d *Daemon) proofLeft() time.Duration {
	left := d.attester.Left()
	if d.planUnreadable.Load() {
		left = 0
	}
	if proven := left > 0; d.unproven.Swap(!proven) == proven {
		age, _ := d.attester.Age()
		d.log.Warn("reliance on keys changed", "proven", proven, "age", age, "max", d.attester.MaxAge)
	}
	return left
}

// withProof returns an update with the proof for its receiver. The update must not be older
// than the proof, so the copies are read after it.
func (d *Daemon) withProof(u relayUpdate, receiver string) relayUpdate {
	if !d.provesKeys() {
		return u
	}
	proof := d.attester.Prove(receiver)
	if proof == nil {
		return u
	}
	u = d.relayUpdate()
	u.Proof = proof
	return u
}

// newReceipt returns the response to a relay update.
func (d *Daemon) newReceipt() updateReceipt {
	if !d.provesKeys() {
		return updateReceipt{}
	}
	s := d.attester.Stamp()
	return updateReceipt{Stamp: &s}
}

// retainStamps forgets the stamps of all daemons but some.
func (d *Daemon) retainStamps(members []prober.Member) {
	if d.attester == nil {
		return
	}
	current := map[string]bool{}
	for _, m := range members {
		current[m.ID] = true
	}
	d.attester.Retain(func(daemon string) bool { return current[daemon] })
}

// recordReceipt records the stamp in another daemon's response to an update.
func (d *Daemon) recordReceipt(daemon string, r updateReceipt) {
	if d.attester != nil && r.Stamp != nil {
		d.attester.RecordStamp(daemon, *r.Stamp)
	}
}

// acceptProof accepts the proof in an update if the daemon's copy contains the sender's.
func (d *Daemon) acceptProof(f *follower.Follower, u relayUpdate) {
	if d.attester == nil || u.Proof == nil || f != d.operatorFollower {
		return
	}
	m := u.mark(f.Prefix)
	if c, ok := f.Copy(); ok && c.Era == m.Era && c.Revision >= m.Revision && !f.Lacks(m) {
		d.attester.Accept(*u.Proof)
	}
}

// recheckKey rejects an attempt whose key no longer counts when it is about to be sent to the
// target.
func (d *Daemon) recheckKey(a *carrier.Attempt) error {
	if a.Identity.Customer == "" {
		return nil
	}
	err := a.Identity.Recheck(d.plan(), timekeeper.System{}.Read().Since(a.Identified))
	if err != nil {
		d.incrementCounter("order.keyrefused")
		d.log.Info("order refused", "request", a.ID, "rule", a.Rule, "target", a.Instance, "customer", a.Identity.Customer, "reason", err)
	}
	return err
}

// countKeyRefusal counts a request that was refused because of its key.
func (d *Daemon) countKeyRefusal(err error) {
	switch err {
	case authenticator.ErrNoKey:
		d.incrementCounter("request.nokey")
	case authenticator.ErrUnknownKey:
		d.incrementCounter("request.unknownkey")
	case authenticator.ErrUnproven:
		d.incrementCounter("request.unproven")
	}
}

// withCustomer returns log fields with that of a customer added unless its name is empty.
func withCustomer(name string, fields ...any) []any {
	if name == "" {
		return fields
	}
	return append(fields, "customer", name)
}
