package sidecar

import (
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
)

// copySamples is the number of sizes of sent copies that are kept for the histogram.
const copySamples = 256

// setLevel sets the minimum level of log messages. An invalid level means info.
func (d *Daemon) setLevel(s loader.Log) {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	d.log.SetLevel(level)
}

// incrementCounter increments a counter metric.
func (d *Daemon) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}

// time records a duration in a timer metric.
func (d *Daemon) time(name string, t time.Duration) {
	metrics.GetOrRegisterTimer(name, d.metrics).Update(t)
}

// countCopy counts a copy of records that is sent to another daemon.
func (d *Daemon) countCopy(p follower.PackedCopy) {
	d.incrementCounter("copy.sent")
	if p.Base == "" {
		d.incrementCounter("copy.sentwhole")
	}
	metrics.GetOrRegisterCounter("copy.sentbytes", d.metrics).Inc(p.Size())
	metrics.GetOrRegisterHistogram("copy.bytes", d.metrics, metrics.NewUniformSample(copySamples)).Update(p.Size())
}

// observeRequest counts and logs the result of a client's request.
func (d *Daemon) observeRequest(r dispatcher.Result) {
	d.time("request", r.Duration)
	if r.Attempts > 1 {
		d.incrementCounter("request.sentagain")
	}
	if r.Err == nil {
		d.log.Info("request answered", withCustomer(r.Customer, "request", r.ID, "rule", r.Rule, "plan", r.Plan, "status", r.Status,
			"target", r.Instance, "daemon", r.Daemon, "sends", r.Attempts, "took", r.Duration)...)
		return
	}
	d.incrementCounter("request.unanswered")
	d.countKeyRefusal(r.Err)
	d.countRejection(r)
	d.log.Warn("request not answered by a target", withCustomer(r.Customer, "request", r.ID, "rule", r.Rule, "plan", r.Plan, "status", r.Status,
		"target", r.Instance, "daemon", r.Daemon, "sends", r.Attempts, "busy", r.Rejections, "nested", r.Nested, "late", r.Late,
		"again", r.RetryAfter, "took", r.Duration, "err", r.Err)...)
}

// errMalformed replaces errors whose text contains a part of a request.
var errMalformed = Class.New("malformed header")

// observeRejectedRequest counts and logs a request that could not be read, or that was
// rejected because the daemon stops. r is nil if it could not be read.
func (d *Daemon) observeRejectedRequest(r *receiver.Request, status int, err error) {
	if r != nil {
		d.incrementCounter("request.stopped")
		client, _ := d.platform.Client(r.Header)
		d.log.Info("request rejected", "request", client.ID, "status", status, "err", err)
		return
	}
	d.incrementCounter("request.unread")
	if status == http.StatusBadRequest && !receiver.Class.Has(err) {
		err = errMalformed // the text of the parser's errors may contain a key
	}
	d.log.Warn("request not read", "status", status, "err", err)
}

// observePanic counts and logs a panic in the handling of a request.
func (d *Daemon) observePanic(r *receiver.Request, value any) {
	d.incrementCounter("request.panics")
	client, _ := d.platform.Client(r.Header)
	d.log.Error("panic while handling a request", "request", client.ID, "panic", value, "stack", string(debug.Stack()))
}

// observeUnanswered counts and logs a connection that ended without a response. A
// client that leaves is usual; every other reason is a fault or a stop.
func (d *Daemon) observeUnanswered(e receiver.Ending) {
	d.incrementCounter("connection.unanswered")
	level := log.WarnLevel
	if e.ClientGone() {
		d.incrementCounter("connection.left")
		level = log.InfoLevel
	}
	var ids []string
	for _, r := range e.Requests {
		client, _ := d.platform.Client(r.Header)
		ids = append(ids, client.ID)
	}
	d.log.Log(level, "connection ended without a response", "reason", e.Reason, "client", e.Client, "requests", ids, "pending", e.Pending, "reading", e.Reading,
		"discarded", e.Discarded, "sinceread", e.SinceRead, "sincestop", e.SinceDrain, "err", e.Err)
}

// observeAttempt counts and logs the result of an attempt at the local target.
func (d *Daemon) observeAttempt(a *carrier.Attempt, r deliverer.Result) {
	d.time("order", r.Duration)
	d.judgeAttempt(a, r)
	if forwarder.IsTooLong(r.Err) {
		d.incrementCounter("order.overlong")
	}
	if r.TargetFailed() {
		d.incrementCounter("order.failed")
		d.log.Warn("target failed a request", "request", a.ID, "rule", a.Rule, "target", a.Instance, "version", a.Version,
			"status", r.Status, "took", r.Duration, "err", r.Err)
		return
	}
	d.log.Info("target ran a request", "request", a.ID, "rule", a.Rule, "target", a.Instance, "version", a.Version,
		"status", r.Status, "took", r.Duration, "cut", r.Aborted, "timedout", r.TimedOut, "err", r.Err)
}

// observeLimit counts and logs a change of the local target's rate limit.
func (d *Daemon) observeLimit(a *carrier.Attempt, perSecond float64) {
	d.incrementCounter("target.limits")
	d.log.Info("target names another limit", "instance", a.Instance, "persecond", perSecond, "request", a.ID)
}

// observeRejectedAttempt counts and logs an attempt that was rejected here before
// it reached the target.
func (d *Daemon) observeRejectedAttempt(a *carrier.Attempt, f *carrier.Failure) {
	d.incrementCounter("order.refused")
	d.log.Info("order refused", "request", a.ID, "rule", a.Rule, "target", a.Instance, "left", time.Until(a.Deadline), "patience", a.MaxWait, "rank", a.Priority,
		"running", f.Load.Running, "queued", f.Load.Queued, "slots", f.Load.Slots, "work", f.Load.ServiceTime, "cold", f.Load.ReopenAfter, "reason", f.Reason)
}

// setDependency records whether a dependency is reachable, logs a change, and
// reports whether the state has changed. A change triggers a relay update. When a
// dependency is reachable again, it wakes the registration loop.
func (d *Daemon) setDependency(name string, ok bool, err error) (changed bool) {
	value, known := d.dependencies.LoadOrStore(name, &atomic.Bool{})
	wasReached := value.(*atomic.Bool).Swap(ok)
	switch {
	case ok && !wasReached:
		d.log.Info("dependency reached", "dependency", name)
		if known {
			d.storeRecoveries.Add(1)
			d.signalStoreRecovery()
			d.triggerRelayUpdate()
		}
	case !ok && wasReached:
		d.log.Warn("dependency lost", "dependency", name, "err", err)
		d.triggerRelayUpdate()
	}
	return ok != wasReached
}

// dependencyReached reports whether a dependency was reachable at its last use.
func (d *Daemon) dependencyReached(name string) bool {
	value, ok := d.dependencies.Load(name)
	return ok && value.(*atomic.Bool).Load()
}

// serveMetrics writes the metrics as text.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	counts := d.members.Counts()
	if d.provesKeys() {
		age, _ := d.attester.Age()
		metrics.GetOrRegisterGauge("keys.proofage", d.metrics).Update(age.Milliseconds())
	}
	metrics.GetOrRegisterGauge("store.era", d.metrics).Update(int64(d.era()))
	metrics.GetOrRegisterGauge("member.live", d.metrics).Update(int64(counts.Live()))
	metrics.GetOrRegisterGauge("control.sent", d.metrics).Update(d.client.SentBytes.Load() + d.control.SentBytes.Load())
	metrics.GetOrRegisterGauge("control.received", d.metrics).Update(d.client.ReceivedBytes.Load() + d.control.ReceivedBytes.Load())
	metrics.GetOrRegisterGauge("zone.orderbytes", d.metrics).Update(d.zones.attemptBytes.Load())
	metrics.GetOrRegisterGauge("zone.controlbytes", d.metrics).Update(d.zones.controlBytes.Load())
	if t, ok := d.gate.Target(); ok {
		metrics.GetOrRegisterGauge("order.slots", d.metrics).Update(int64(t.Slots))
	}
	metrics.GetOrRegisterGauge("order.running", d.metrics).Update(int64(d.gate.Running()))
	metrics.GetOrRegisterGauge("order.queued", d.metrics).Update(int64(d.gate.Queued()))
	metrics.GetOrRegisterGauge("order.bodies", d.metrics).Update(int64(d.attemptServer.AwaitingTurn()))
	if v := d.view.Load(); v != nil {
		metrics.GetOrRegisterGauge("member.targets", d.metrics).Update(int64(v.targets))
		metrics.GetOrRegisterGauge("plan.version", d.metrics).Update(int64(v.plan.Version))
	}
	d.usage.observe()
	d.observeMemory()
	w.Header().Set("Content-Type", "text/plain")
	metrics.WriteOnce(d.metrics, w)
}
