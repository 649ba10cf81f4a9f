// Package sidecar runs one daemon on its users' platform: it joins the cores to
// sockets, timers and the platform's store.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/shifter"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Class is the class of the errors of this package.
var Class = errs.Class("sidecar")

// Declared is what operators have declared.
type Declared struct {
	// Plan is nil while there is none.
	Plan *matcher.Plan
	// Orders holds the moves that are asked for, by service.
	Orders map[string]shifter.Order
	// Out holds the zones that are to get no requests.
	Out map[string]bool
}

// Announcement is what a target says of itself.
type Announcement struct {
	// Instance identifies the target's start, with Born where names are used
	// again.
	Instance string
	Born     time.Time
	Service  string
	Version  string
	Slots    int
	Draining bool
	// Gone means that it leaves, and nothing else is said.
	Gone bool
	// Cold is how long it stays cold.
	Cold time.Duration
	// Sequence rises with each announcement of one start.
	Sequence uint64
}

// Platform is what a daemon knows of the platform that it runs on.
type Platform struct {
	Store storer.Platform
	// OperatorPrefix leads the keys of what operators declare, OutcomePrefix
	// those of what became of their moves, and DaemonPrefix those of the
	// daemons' addresses.
	OperatorPrefix, OutcomePrefix, DaemonPrefix string
	// Operator and Outcomes read the items under those prefixes; items that
	// can't be read are left out and reported.
	Operator func(items []storer.Item) (Declared, []error)
	Outcomes func(items []storer.Item) (map[string]shifter.Outcome, []error)
	// Outcome returns the item that says what became of a move.
	Outcome func(o shifter.Outcome) (key string, value []byte, err error)
	// ReadyPath is where the platform asks whether the daemon is ready, and
	// ReportPath leads those of the target's announcements.
	ReadyPath, ReportPath string
	Report                func(r *http.Request) (Announcement, error)
	// Client reads what a request says of its client.
	Client func(h http.Header) (dispatcher.Client, error)
	Codec  deliverer.Codec
}

// Options are what a daemon is made of.
type Options struct {
	Settings loader.Settings
	Platform Platform
	Clock    timekeeper.Clock
	Log      *log.Logger
}

// Daemon is the process on one target's VM.
type Daemon struct {
	settings loader.Settings
	sidecar  loader.Sidecar
	platform Platform
	clock    timekeeper.Clock
	log      *log.Logger
	metrics  metrics.Registry

	operator, outcomes *follower.Follower
	members            *prober.Table
	prober             *prober.Prober
	client             *linker.Client
	control            *linker.Server
	chooser            *chooser.Chooser
	gate               *admitter.Gate
	receiver           *receiver.Server
	judge              shifter.Judge
	budget             *dispatcher.Budget
	// crashes finds the requests that crash targets.
	crashes *quarantiner.Quarantiner

	// view is what requests are handled by.
	view     atomic.Pointer[view]
	building sync.Mutex
	declared Declared
	settled  map[string]shifter.Outcome
	// heardOrder is when the order of a service, by its revision, was heard of.
	heardOrder map[uint64]time.Time
	// base holds the version that carries each service's requests, and spoilt
	// those that were found to be bad.
	base   map[string]string
	spoilt map[shifter.Order]bool

	announcing sync.Mutex
	announced  announced
	// ended holds the starts of targets that have said that they leave.
	ended map[start]bool
	// departed is when a target that had not announced itself said that it
	// leaves, by its instance.
	departed map[string]time.Time

	// known holds control addresses by the daemon's name, also of daemons that
	// are gone.
	knownMu sync.Mutex
	known   map[string]string

	// memberNews is sent to when members change.
	memberNews chan struct{}
	// joined is set once the other daemons were looked up.
	joined atomic.Bool
	// heardNews is when a relay that reaches the store was heard of last, and
	// changed is sent to when there is news to tell.
	heardNews atomic.Pointer[time.Time]
	changed   chan struct{}
	// returns counts how often the daemon has found the store back, and
	// heardReturns holds what relays tell of theirs. Returned is sent to when the
	// store is back.
	returns      atomic.Uint64
	heardReturns sync.Map
	returned     chan struct{}
	fetching     sync.Map
	// packed holds the copies that were last packed, by prefix.
	packing sync.Mutex
	packed  map[string]follower.Packed

	leaving atomic.Bool
	left    atomic.Bool
	reached sync.Map
	probing chan struct{}
	inbound *carrier.Server
}

// Connections and times of a daemon.
const (
	// peerConnections bounds the connections to one other daemon, and
	// targetConnections those to the target.
	peerConnections   = 64
	targetConnections = 48
	// peerDial and targetDial bound the making of a connection: it takes less
	// than 3 ms, or a second more when a packet is lost.
	peerDial   = 300 * time.Millisecond
	targetDial = 300 * time.Millisecond
	// peerIdle and targetIdle close connections that were not used. Targets
	// close theirs after ten seconds.
	peerIdle   = 20 * time.Second
	targetIdle = 7 * time.Second
	// controlTimeout bounds a call between daemons.
	controlTimeout = time.Second
	// memberCalls bounds the membership calls that are under way.
	memberCalls = 64
	// bodyMemory is the part of the memory that clients' bodies may take.
	bodyMemory = 0.25
)

// New returns a daemon that has not started.
func New(o Options) *Daemon {
	s := o.Settings
	d := &Daemon{
		settings: s,
		sidecar:  *s.Sidecar,
		platform: o.Platform,
		clock:    o.Clock,
		log:      o.Log.With("vm", s.Name, "dc", s.DC),
		metrics:  metrics.NewRegistry(),
		members: prober.NewTable(prober.Member{
			ID:          s.Name,
			DC:          s.DC,
			Admit:       s.AdmitAddress(),
			Control:     s.ControlAddress(),
			Incarnation: uint64(o.Clock.Now().UnixMilli()),
		}),
		client:     linker.NewClient(s.Key, controlTimeout),
		control:    linker.NewServer(s.Key),
		chooser:    chooser.New(o.Clock),
		heardOrder: map[uint64]time.Time{},
		base:       map[string]string{},
		spoilt:     map[shifter.Order]bool{},
		ended:      map[start]bool{},
		departed:   map[string]time.Time{},
		known:      map[string]string{},
		probing:    make(chan struct{}, memberCalls),
		changed:    make(chan struct{}, 1),
		returned:   make(chan struct{}, 1),
		memberNews: make(chan struct{}, 1),
		packed:     map[string]follower.Packed{},
	}
	d.members.Notify(d.memberNews)
	d.budget = &dispatcher.Budget{
		Daemons: func() int { return d.members.Counts().Live() },
	}
	d.budget.Set(s.Sidecar.RetryRatio, s.Sidecar.RetrySlack)
	d.crashes = quarantiner.New(o.Clock)
	d.gate = &admitter.Gate{
		Clock:  o.Clock,
		Closed: d.closed,
	}
	d.prober = prober.New(prober.Options{
		Table:  d.members,
		Facts:  spreader.NewStore(o.Clock),
		Clock:  o.Clock,
		Seeds:  d.seeds,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Learnt: func(spreader.Fact) {},
	})
	d.operator = d.follow(o.Platform.OperatorPrefix, d.putOperator)
	d.outcomes = d.follow(o.Platform.OutcomePrefix, d.putOutcomes)
	d.receiver = d.newReceiver()
	linker.Handle(d.control, memberMethod, d.answerMember)
	linker.Handle(d.control, joinMethod, d.answerJoin)
	linker.Handle(d.control, crashMethod, d.answerCrash)
	linker.Handle(d.control, newsMethod, d.answerNews)
	linker.Handle(d.control, withdrawMethod, d.answerWithdraw)
	linker.Handle(d.control, copyMethod, d.answerCopy)
	return d
}

// newReceiver returns the server of clients' connections.
func (d *Daemon) newReceiver() *receiver.Server {
	deliver := d.newDeliverer()
	peers := &carrier.Client{
		Key: d.settings.Key,
		Transport: forwarder.NewTransportWith(forwarder.TransportOptions{
			Connections: peerConnections,
			Dial:        peerDial,
			Idle:        peerIdle,
		}),
		Silent: d.silent,
		Keep:   d.leaving.Load,
	}
	dispatch := &dispatcher.Dispatcher{
		Daemon:  d.settings.Name,
		Caller:  d.sidecar.Service,
		Plan:    d.plan,
		Pool:    d.pool,
		Client:  d.platform.Client,
		Send:    peers.Send,
		Deliver: deliver.Deliver,
		Chooser: d.chooser,
		Budget:  d.budget,
		Clock:   d.clock,
		Observe: d.observeRequest,
	}
	return &receiver.Server{
		Handle:  dispatch.Handle,
		Limits:  d.limits,
		Refused: d.observeRefusal,
		MaxHeld: int64(bodyMemory * float64(d.sidecar.Memory<<20)),
	}
}

func (d *Daemon) newDeliverer() *deliverer.Deliverer {
	deliver := &deliverer.Deliverer{
		Target: d.sidecar.Target,
		Gate:   d.gate,
		Transport: forwarder.NewTransportWith(forwarder.TransportOptions{
			Connections: targetConnections,
			Dial:        targetDial,
			Idle:        targetIdle,
		}),
		Codec:   d.platform.Codec,
		Clock:   d.clock,
		Screen:  d.screen,
		Observe: d.observeOrder,
		Refused: d.observeRefused,
	}
	d.inbound = &carrier.Server{
		Key:     d.settings.Key,
		Deliver: deliver.Deliver,
		MaxBody: func() int64 { return d.limits().BodyBytes },
	}
	return deliver
}

// defaultLimits hold before a plan is known.
var defaultLimits = receiver.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// limits returns what clients may send.
func (d *Daemon) limits() receiver.Limits {
	p := d.plan()
	if p == nil {
		return defaultLimits
	}
	return receiver.Limits(p.Limits)
}

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	stopped, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	listeners := map[string]func(context.Context, net.Listener) error{
		d.settings.Listen.Traffic:  d.receiver.Serve,
		d.settings.Listen.Admit:    serveHTTP(d.inbound),
		d.settings.Listen.Control:  d.control.Serve,
		d.settings.Listen.Operator: serveHTTP(http.HandlerFunc(d.serveReport)),
		d.sidecar.Ready:            serveHTTP(http.HandlerFunc(d.serveReady)),
		d.sidecar.Metrics:          serveHTTP(http.HandlerFunc(d.serveMetrics)),
	}
	failed := make(chan error, len(listeners))
	for address, serve := range listeners {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return Class.New("listen on %s: %w", address, err)
		}
		running.Go(func() {
			if err := serve(stopped, ln); err != nil {
				failed <- Class.New("serve %s: %w", address, err)
			}
		})
	}
	for _, run := range []func(context.Context){d.operator.Run, d.outcomes.Run, d.relay, d.gossip, d.keepView, d.register, d.learnFromPeers, d.keepMoves, d.watchTarget} {
		running.Go(func() { run(stopped) })
	}
	d.log.Info("daemon started", "service", d.sidecar.Service, "traffic", d.settings.Listen.Traffic, "admit", d.settings.Listen.Admit)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	d.shutdown()
	d.log.Info("daemon stopped")
	return nil
}

// serveHTTP returns a function that serves a handler.
func serveHTTP(h http.Handler) func(context.Context, net.Listener) error {
	return func(ctx context.Context, ln net.Listener) error {
		srv := &http.Server{
			Handler:           h,
			ReadHeaderTimeout: 5 * time.Second,
			IdleTimeout:       time.Minute,
			ConnContext:       forwarder.WithConn,
		}
		context.AfterFunc(ctx, func() { _ = srv.Close() })
		if err := srv.Serve(ln); err != http.ErrServerClosed {
			return err
		}
		return nil
	}
}

// serveReady tells the platform whether clients may be sent here.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if strings.TrimSuffix(r.URL.Path, "/") != d.platform.ReadyPath || d.leaving.Load() || !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether requests can be handled: a plan is known, and so are the
// other daemons.
func (d *Daemon) ready() bool {
	return d.plan() != nil && (d.joined.Load() || d.members.Counts().Live() > 1)
}
