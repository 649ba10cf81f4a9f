// Package server runs one daemon: it joins the cores to sockets, timers and
// the platform.
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
)

// Class is the class of the errors of this package.
var Class = errs.Class("daemon")

// Options are what a daemon is made of.
type Options struct {
	Settings loader.Settings
	Platform storer.Platform
	Clock    timekeeper.Clock
	Log      *log.Logger
	// ReportPeriod is how often counts are sent on; 0 means the default.
	ReportPeriod time.Duration
}

// Daemon is the process of the system on one target's VM.
type Daemon struct {
	settings loader.Settings
	clock    timekeeper.Clock
	log      *log.Logger
	metrics  metrics.Registry
	history  *committer.Log
	members  *prober.Table
	facts    *spreader.Store
	prober   *prober.Prober
	balancer *balancer.Balancer
	client   *linker.Client
	control  *linker.Server
	between  *http.Transport
	toTarget *http.Transport
	node     *distributor.Node

	// due is sent to when the node may have something due.
	due chan struct{}
	// forcing is held while a state is brought into force.
	forcing sync.Mutex

	// started tells the daemon's lives apart, in nanoseconds of Unix time.
	started      int64
	reportPeriod time.Duration
	counts       counts

	// loaded is set once the daemon has a configuration.
	loaded atomic.Bool
	// building is held while a view is made. The table is that of the state
	// tableOf, before moves are cut.
	building sync.Mutex
	table    *router.Table
	tableOf  *applier.State
	state    atomic.Pointer[applier.State]
	view     atomic.Pointer[forwarder.View]
	local    atomic.Pointer[announced]
	// former is the target that was last withdrawn: should it come back, what it
	// still runs is counted.
	former atomic.Pointer[announced]
	gate   atomic.Pointer[gater.Gate]
	moves  moves
	claims *claims
	// crashes finds the requests that crash targets.
	crashes *quarantiner.Quarantiner
	// reporting is held while a death is reported, so that each request it
	// broke is answered only afterwards.
	reporting sync.Mutex

	// probing and calling hold a token for each membership call under way;
	// those that wait for a data centre that is cut off hold up no probe.
	probing, calling chan struct{}
	leaving          sync.Once
	// found holds the seeds that were found on the platform.
	found atomic.Pointer[[]string]
	// rebuilding is set while a view is about to be made.
	rebuilding atomic.Bool
}

// Connections of one daemon, and times of its own.
const (
	// peerConnections bounds the connections to one other daemon.
	peerConnections = 64
	// targetConnections bounds the connections to the target.
	targetConnections = 256
	// controlTimeout bounds one control call.
	controlTimeout = 2 * time.Second
)

// New returns a daemon that has not started.
func New(o Options) *Daemon {
	s := o.Settings
	d := &Daemon{
		settings: s,
		clock:    o.Clock,
		log:      o.Log.With("vm", s.Name, "dc", s.DC),
		metrics:  metrics.NewRegistry(),
		history: &committer.Log{
			Platform: o.Platform,
			Clock:    o.Clock,
			By:       s.Name,
		},
		members: prober.NewTable(prober.Member{
			ID:          s.Name,
			DC:          s.DC,
			Admit:       s.AdmitAddress(),
			Control:     s.ControlAddress(),
			Incarnation: uint64(o.Clock.Now().UnixMilli()),
		}),
		facts:    spreader.NewStore(o.Clock),
		balancer: balancer.New(o.Clock),
		client:   linker.NewClient(s.Key, controlTimeout),
		control:  linker.NewServer(s.Key),
		between:  forwarder.NewTransport(peerConnections),
		toTarget: forwarder.NewTransport(targetConnections),
		calling:  make(chan struct{}, memberCalls),
		probing:  make(chan struct{}, memberCalls),

		started:      o.Clock.Now().UnixNano(),
		reportPeriod: cmp.Or(o.ReportPeriod, defaultReportPeriod),
		counts: counts{
			outbox: map[receiver]*reporter.Outbox{},
		},
	}
	d.due = make(chan struct{}, 1)
	d.node = distributor.New(distributor.Options{
		Self:  d.members.Self(),
		Clock: o.Clock,
		Seed:  rand.Uint64(),
	})
	d.claims = d.newClaims()
	d.crashes = quarantiner.New(d.clock)
	d.prober = d.newProber()
	d.balancer.Weight = d.share
	d.state.Store(&applier.State{})
	linker.Handle(d.control, distributeMethod, d.answerDistribute)
	linker.Handle(d.control, memberMethod, d.answerMember)
	linker.Handle(d.control, collectMethod, d.answerCollect)
	linker.Handle(d.control, sumMethod, d.answerSum)
	linker.Handle(d.control, accountMethod, d.answerAccount)
	linker.Handle(d.control, pastMethod, d.answerPast)
	linker.Handle(d.control, headMethod, d.answerHead)
	linker.Handle(d.control, tallyMethod, d.answerTally)
	linker.Handle(d.control, surveyMethod, d.answerSurvey)
	linker.Handle(d.control, claimMethod, d.answerClaim)
	linker.Handle(d.control, settleMethod, d.answerSettle)
	linker.Handle(d.control, crashMethod, d.answerCrash)
	return d
}

// listener is an address that the daemon listens on, and what serves it.
type listener struct {
	name    string
	address string
	serve   func(ctx context.Context, ln net.Listener) error
}

// Run serves until ctx ends and then shuts down gracefully: it leaves first,
// then lets admitted requests end.
func (d *Daemon) Run(ctx context.Context) error {
	listeners := []listener{
		{name: "traffic", address: d.settings.Listen.Traffic, serve: d.serveHTTP(d.entry())},
		{name: "admit", address: d.settings.Listen.Admit, serve: d.serveHTTP(d.heard(d.admission()))},
		{name: "operator", address: d.settings.Listen.Operator, serve: d.serveHTTP(d.operator())},
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
	group.Go(func() error { return d.distribute(ctx) })
	group.Go(func() error { return d.relay(ctx) })
	group.Go(func() error { return d.archive(ctx) })
	group.Go(func() error { return d.gossip(ctx) })
	group.Go(func() error { return d.join(ctx) })
	group.Go(func() error { return d.watchTarget(ctx) })
	group.Go(func() error { return d.commitZones(ctx) })
	group.Go(func() error { return d.judgeMoves(ctx) })
	group.Go(func() error { return d.keepMoves(ctx) })
	group.Go(func() error { return d.report(ctx) })
	d.log.Info("daemon started", "traffic", d.settings.Listen.Traffic, "operator", d.settings.Listen.Operator)
	err := group.Wait()
	d.log.Info("daemon stopped")
	return err
}

// serveHTTP returns a function that serves a handler over HTTP/1.1 and h2c,
// and that shuts down gracefully when its context ends.
func (d *Daemon) serveHTTP(h http.Handler) func(context.Context, net.Listener) error {
	return func(ctx context.Context, ln net.Listener) error {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		srv := &http.Server{
			Handler:           h,
			Protocols:         protocols,
			MaxHeaderBytes:    d.settings.Limits.Header,
			ReadHeaderTimeout: 10 * time.Second,
			IdleTimeout:       2 * time.Minute,
			ErrorLog:          d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		stopped := make(chan error, 1)
		context.AfterFunc(ctx, func() { stopped <- d.shutdown(srv) })
		if err := srv.Serve(ln); err != http.ErrServerClosed {
			return Class.Wrap(err)
		}
		return <-stopped
	}
}

// shutdown announces the leave, waits for that to spread, and lets requests
// under way end.
func (d *Daemon) shutdown(srv *http.Server) error {
	d.leave()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.Drain.Duration)
	defer cancel()
	return Class.Wrap(srv.Shutdown(ctx))
}

// entry returns the handler of callers' requests.
func (d *Daemon) entry() http.Handler {
	retries := &retrier.Retrier{
		Clock:   d.clock,
		Observe: func(string) { metrics.GetOrRegisterCounter("entry.retries", d.metrics).Inc(1) },
	}
	return &forwarder.Entry{
		Key:        d.settings.Key,
		DC:         d.settings.DC,
		View:       d.view.Load,
		Serving:    d.serving,
		Balancer:   d.balancer,
		Transport:  d.hearing(),
		MaxBody:    d.settings.Limits.Body,
		Middleware: endpoint.Chain(d.measure, d.claimed, retries.Middleware),
	}
}

// admission returns the handler of requests that other daemons forward.
func (d *Daemon) admission() http.Handler {
	return d.guarded(d.tried(&forwarder.Admission{
		Key:       d.settings.Key,
		Local:     d.localTarget,
		Transport: d.watching(trying{RoundTripper: d.toTarget}),
		Clock:     d.clock,
		Revision:  func() uint64 { return d.state.Load().Revision() },
		Observe:   d.observe,
	}))
}

// put brings a state into force.
func (d *Daemon) put(s *applier.State) {
	d.state.Store(s)
	d.loaded.Store(true)
	d.rebuild()
	metrics.GetOrRegisterGauge("config.revision", d.metrics).Update(int64(s.Revision()))
	d.log.Info("configuration in force", "revision", s.Revision(), "digest", s.Digest())
}

// rebuild makes the view that requests are pinned to, from the state and the
// facts in force.
func (d *Daemon) rebuild() {
	d.building.Lock()
	defer d.building.Unlock()
	s := d.state.Load()
	gate := d.buildGate()
	d.gate.Store(&gate)
	if !d.loaded.Load() {
		return
	}
	d.view.Store(&forwarder.View{
		Revision: s.Revision(),
		Table:    d.cutTable(s),
	})
}
