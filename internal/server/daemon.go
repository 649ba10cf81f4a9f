// Package server runs a daemon that follows coltsfootlane's own configuration log.
// Package sidecar runs one that follows the records of the users' platform. The
// daemon connects the protocol packages, which have no sockets or timers, to the
// network, the clock and the platform.
package server

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/endpoint"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/distributor"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/gater"
	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
	"github.com/coltsfootlane/coltsfootlane/internal/reporter"
	"github.com/coltsfootlane/coltsfootlane/internal/retrier"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/internal/tracker"
)

// Class is the error class of this package.
var Class = errs.Class("daemon")

// Options configure a daemon.
type Options struct {
	Settings loader.Settings
	Platform storer.Platform
	Clock    timekeeper.Clock
	Log      *log.Logger
	// ReportPeriod is how often counts are sent to other daemons; 0 means the
	// default.
	ReportPeriod time.Duration
}

// Daemon is the sidecar process of the target on its VM.
type Daemon struct {
	settings        loader.Settings
	clock           timekeeper.Clock
	log             *log.Logger
	metrics         metrics.Registry
	configLog       *committer.Log
	members         *prober.Table
	facts           *spreader.Store
	prober          *prober.Prober
	balancer        *balancer.Balancer
	client          *linker.Client
	control         *linker.Server
	peerTransport   *http.Transport
	targetTransport *http.Transport
	node            *distributor.Node

	// wake interrupts the wait of runDistribution because a call may be due.
	wake chan struct{}
	// activateMu serialises the activation of states.
	activateMu sync.Mutex

	// startNanos identifies this run of the daemon. It is the start time, in
	// nanoseconds of Unix time.
	startNanos   int64
	reportPeriod time.Duration
	counts       counts

	// loaded is set once a configuration is active.
	loaded atomic.Bool
	// viewMu is held while a view is built, and guards table and tableState. table
	// is the routing table of tableState as committed, including halted rollouts.
	viewMu     sync.Mutex
	table      *router.Table
	tableState *applier.State
	state      atomic.Pointer[applier.State]
	view       atomic.Pointer[forwarder.View]
	// targetMu is held while the target is announced or removed, so that what the
	// members know agrees with local.
	targetMu sync.Mutex
	local    atomic.Pointer[announcedTarget]
	// formerTarget is the target that was removed last. If the target returns,
	// its limiter is reused, so that requests still running there are counted.
	formerTarget atomic.Pointer[announcedTarget]
	gate         atomic.Pointer[gater.Gate]
	moves        moves
	claims       *claims
	// crashes identifies the requests that crash targets.
	crashes *quarantiner.Quarantiner
	// crashReportMu serialises crash reports. Each request that a crash interrupted
	// is answered only after the report has been sent or crashTimeout has passed.
	crashReportMu sync.Mutex
	// crashWait limits how long a broken request waits for the check whether the
	// target has crashed.
	crashWait time.Duration

	// probeSem and callSem contain a token for each membership call in flight. They
	// are separate so that calls to an unreachable data centre do not block probes.
	probeSem, callSem chan struct{}
	leaveOnce         sync.Once
	// platformSeeds holds the seeds that were read from the platform.
	platformSeeds atomic.Pointer[[]string]
	// rebuildPending is true while a rebuild of the view is scheduled but has not
	// started.
	rebuildPending atomic.Bool
}

// Limits of connections and control calls.
const (
	// peerConnections limits the connections to one other daemon.
	peerConnections = 64
	// controlTimeout limits one control call.
	controlTimeout = 2 * time.Second
)

// New returns a daemon that has not been started.
func New(o Options) *Daemon {
	s := o.Settings
	d := &Daemon{
		settings: s,
		clock:    o.Clock,
		log:      o.Log.With("vm", s.Name, "dc", s.DC),
		metrics:  metrics.NewRegistry(),
		configLog: &committer.Log{
			Platform: o.Platform,
			Clock:    o.Clock,
			Author:   s.Name,
		},
		members: prober.NewTable(prober.Member{
			ID:          s.Name,
			DC:          s.DC,
			Admit:       s.AdmitAddress(),
			Control:     s.ControlAddress(),
			Incarnation: uint64(o.Clock.Now().UnixMilli()),
		}),
		facts:           spreader.NewStore(o.Clock),
		balancer:        balancer.New(o.Clock),
		client:          linker.NewClient(s.Key, controlTimeout),
		control:         linker.NewServer(s.Key),
		peerTransport:   forwarder.NewTransport(peerConnections),
		targetTransport: forwarder.NewTransport(0), // its limiter bounds the requests
		callSem:         make(chan struct{}, maxMemberCalls),
		probeSem:        make(chan struct{}, maxMemberCalls),

		startNanos:   o.Clock.Now().UnixNano(),
		reportPeriod: cmp.Or(o.ReportPeriod, defaultReportPeriod),
		counts: counts{
			outboxes: map[destination]*reporter.Outbox{},
		},
	}
	d.wake = make(chan struct{}, 1)
	d.node = distributor.New(distributor.Options{
		Self:  d.members.Self(),
		Clock: o.Clock,
		Seed:  rand.Uint64(),
	})
	d.claims = d.newClaims()
	d.crashes = quarantiner.New(d.clock)
	d.crashWait = crashTimeout
	d.prober = d.newProber()
	d.balancer.Weight = d.dataCentreShare
	d.state.Store(&applier.State{})
	linker.Handle(d.control, distributeMethod, d.handleDistribute)
	linker.Handle(d.control, memberMethod, d.handleMembership)
	linker.Handle(d.control, collectMethod, d.handleCollect)
	linker.Handle(d.control, sumMethod, d.handleSum)
	linker.Handle(d.control, accountMethod, d.handleAccount)
	linker.Handle(d.control, historyMethod, d.handleHistory)
	linker.Handle(d.control, headMethod, d.handleHead)
	linker.Handle(d.control, tallyMethod, d.handleTally)
	linker.Handle(d.control, surveyMethod, d.handleSurvey)
	linker.Handle(d.control, claimMethod, d.handleClaim)
	linker.Handle(d.control, settleMethod, d.handleSettle)
	linker.Handle(d.control, crashMethod, d.handleCrash)
	return d
}

// listener is an address that the daemon listens on, with the function that
// serves it.
type listener struct {
	name    string
	address string
	serve   func(ctx context.Context, ln net.Listener) error
}

// Run serves until ctx ends or a component fails, and then shuts down gracefully: it
// announces that it leaves, then waits for requests in flight for at most the drain
// timeout.
func (d *Daemon) Run(ctx context.Context) error {
	listeners := []listener{
		{name: "traffic", address: d.settings.Listen.Traffic, serve: d.serveHTTP(d.entryHandler())},
		{name: "admit", address: d.settings.Listen.Admit, serve: d.serveHTTP(d.withRevisionObserver(d.admissionHandler()))},
		{name: "operator", address: d.settings.Listen.Operator, serve: d.serveHTTP(d.operatorHandler())},
		{name: "control", address: d.settings.Listen.Control, serve: d.control.Serve},
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return Class.New("listen.%s: %w", l.name, err)
		}
		group.Go(func() error { return l.serve(ctx, ln) })
	}
	group.Go(func() error { return d.runDistribution(ctx) })
	group.Go(func() error { return d.runRelay(ctx) })
	group.Go(func() error { return d.runArchiver(ctx) })
	group.Go(func() error { return d.runMembership(ctx) })
	group.Go(func() error { return d.runJoin(ctx) })
	group.Go(func() error { return d.watchTarget(ctx) })
	group.Go(func() error { return d.runZoneCommits(ctx) })
	group.Go(func() error { return d.runJudging(ctx) })
	group.Go(func() error { return d.runKeepers(ctx) })
	group.Go(func() error { return d.runReports(ctx) })
	d.log.Info("daemon started", "traffic", d.settings.Listen.Traffic, "operator", d.settings.Listen.Operator)
	err := group.Wait()
	d.log.Info("daemon stopped")
	return err
}

// serveHTTP returns a function that serves h over HTTP/1.1 and h2c. The
// function shuts the server down gracefully when its context ends.
func (d *Daemon) serveHTTP(h http.Handler) func(context.Context, net.Listener) error {
	return func(ctx context.Context, ln net.Listener) error {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		srv := &http.Server{
			Handler:           closeAfter(ctx, h),
			Protocols:         protocols,
			MaxHeaderBytes:    d.settings.Limits.MaxHeaderSize,
			ReadHeaderTimeout: 10 * time.Second,
			IdleTimeout:       2 * time.Minute,
			ErrorLog:          d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		var connections tracker.Tracker
		stopped := make(chan error, 1)
		context.AfterFunc(ctx, func() { stopped <- d.shutdown(srv, &connections) })
		if err := connections.Serve(srv, ln); err != nil && err != http.ErrServerClosed {
			return Class.Wrap(err)
		}
		return <-stopped
	}
}

// closeAfter returns a handler that closes its connections once ctx has ended.
func closeAfter(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ctx.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// shutdownPollInterval is the interval at which a shutdown looks for open connections, and a
// leave report for requests in flight.
const shutdownPollInterval = 10 * time.Millisecond

// shutdown announces that the daemon leaves, waits for leaveGrace, and then waits
// for requests in flight for at most the drain timeout. Shutdown of the server closes idle
// HTTP/1.1 connections even if a request has arrived, so they end before it.
func (d *Daemon) shutdown(srv *http.Server, connections *tracker.Tracker) error {
	d.leave()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.DrainTimeout.Duration)
	defer cancel()
	connections.Stop()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for !connections.Ended() && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return Class.Wrap(srv.Shutdown(ctx))
}

// entryHandler returns the handler of requests from callers.
func (d *Daemon) entryHandler() http.Handler {
	retries := &retrier.Retrier{
		Clock:   d.clock,
		OnRetry: func(string) { metrics.GetOrRegisterCounter("entry.retries", d.metrics).Inc(1) },
	}
	return &forwarder.Entry{
		Key:        d.settings.Key,
		DC:         d.settings.DC,
		View:       d.view.Load,
		Serving:    d.serving,
		Balancer:   d.balancer,
		Transport:  d.revisionTransport(),
		MaxBody:    d.settings.Limits.MaxBodyBytes,
		Middleware: endpoint.Chain(d.measureCalls, d.withClaim, retries.Middleware),
	}
}

// admissionHandler returns the handler of requests that other daemons forward
// to this daemon's target.
func (d *Daemon) admissionHandler() http.Handler {
	return d.withQuarantine(d.withSample(&forwarder.Admission{
		Key:       d.settings.Key,
		Local:     d.localTarget,
		Transport: d.crashTransport(sampleTransport{RoundTripper: d.targetTransport}),
		Clock:     d.clock,
		Revision:  func() uint64 { return d.state.Load().Revision() },
		OnOutcome: d.observeOutcome,
	}))
}

// activate makes s the active state and rebuilds the view from it.
func (d *Daemon) activate(s *applier.State) {
	d.state.Store(s)
	d.loaded.Store(true)
	d.rebuild()
	metrics.GetOrRegisterGauge("config.revision", d.metrics).Update(int64(s.Revision()))
	d.log.Info("configuration in force", "revision", s.Revision(), "digest", s.Digest())
}

// rebuild builds a new view from the active state and the current facts.
// Requests use one view from start to end.
func (d *Daemon) rebuild() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	s := d.state.Load()
	gate := d.buildGate()
	d.gate.Store(&gate)
	if !d.loaded.Load() {
		return
	}
	d.view.Store(&forwarder.View{
		Revision: s.Revision(),
		Table:    d.trafficTable(s),
	})
}
