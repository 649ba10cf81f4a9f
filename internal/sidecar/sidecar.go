// Package sidecar runs the daemon beside a target on the users' platform. It
// connects the protocol packages to sockets, timers and the platform's store. Unlike
// package server, which follows coltsfootlane's own configuration log, it follows the
// operators' records in that store.
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
	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/attester"
	"github.com/coltsfootlane/coltsfootlane/internal/broadcaster"
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
	"github.com/coltsfootlane/coltsfootlane/internal/throttler"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/internal/tracker"
)

// Class is the class of the errors of this package.
var Class = errs.Class("sidecar")

// Declaration is the configuration that operators have declared.
type Declaration struct {
	// Plan is nil if no plan was declared. PlanUnreadable means that one was declared that
	// can't be read.
	Plan           *matcher.Plan
	PlanUnreadable bool
	// Rollouts holds the requested rollouts, by service.
	Rollouts map[string]shifter.Rollout
	// Evacuated holds the data centres that are evacuated. Their targets get no requests.
	Evacuated map[string]bool
}

// Announcement is a target's report to its daemon. A target sends one with each
// heartbeat, and a leave report when it leaves.
type Announcement struct {
	// Instance is the name of the target's process. StartTime is the time at which it
	// started, and distinguishes processes that use the same name.
	Instance  string
	StartTime time.Time
	Service   string
	Version   string
	Slots     int
	Draining  bool
	// Leaving marks a leave report. All other fields except Instance are empty.
	Leaving bool
	// WarmupLeft is the remaining warm-up time.
	WarmupLeft time.Duration
	// Sequence increases with each announcement of one process.
	Sequence uint64
}

// Platform describes the platform on which the daemon runs.
type Platform struct {
	Store storer.Platform
	// OperatorPrefix is the key prefix of the operators' records, OutcomePrefix
	// that of the outcomes of rollouts, DaemonPrefix that of the daemons'
	// addresses, and DeparturePrefix that of the departures of their targets.
	OperatorPrefix, OutcomePrefix, DaemonPrefix, DeparturePrefix string
	// DecodeOperator and DecodeOutcomes decode the items under those prefixes. They
	// skip items that cannot be decoded and return an error for each.
	DecodeOperator func(items []storer.Item) (Declaration, []error)
	DecodeOutcomes func(items []storer.Item) (map[string]shifter.Outcome, []error)
	// Outcome encodes the record of a rollout's outcome.
	Outcome func(o shifter.Outcome) (key string, value []byte, err error)
	// ReadyPath is the path of the platform's readiness checks. ReportPath is the
	// path prefix of the target's announcements, which DecodeReport decodes.
	ReadyPath, ReportPath string
	DecodeReport          func(r *http.Request) (Announcement, error)
	// Client reads the ID and the time limit of a client's request from its
	// headers.
	Client func(h http.Header) (dispatcher.Client, error)
	// WithoutCredentials returns a copy of a client's headers without its key and the
	// customer that it claims.
	WithoutCredentials func(h http.Header) http.Header
	// Codec sets the headers of requests to the target and checks its responses.
	Codec deliverer.Codec
	// DutyPrefix is the key prefix of the elections of the holders of duties. UsageDuty is the
	// platform's name of the duty to report usage, and NewUsageReport returns the call.
	DutyPrefix, UsageDuty string
	NewUsageReport        func(ctx context.Context, u UsageReport) (*http.Request, error)
}

// Options holds the parameters of New.
type Options struct {
	Settings loader.Settings
	Platform Platform
	Clock    timekeeper.Clock
	Log      *log.Logger
}

// Daemon is the process that runs beside a target on its VM.
type Daemon struct {
	settings loader.Settings
	sidecar  loader.Sidecar
	platform Platform
	clock    timekeeper.Clock
	log      *log.Logger
	metrics  metrics.Registry

	operatorFollower, outcomeFollower *follower.Follower
	members                           *prober.Table
	// startIncarnation is the first incarnation of the daemon's own entry.
	startIncarnation uint64
	prober           *prober.Prober
	client           *linker.Client
	control          *linker.Server
	broadcaster      *broadcaster.Broadcaster
	chooser          *chooser.Chooser
	gate             *admitter.Gate
	// account accounts for the memory that the process holds for others.
	account     *allocator.Account
	receiver    *receiver.Server
	dispatcher  *dispatcher.Dispatcher
	judge       shifter.Judge
	retryBudget *dispatcher.RetryBudget
	// throttler rejects requests for which there is no room, and running holds those
	// that the local target runs.
	throttler *throttler.Throttler
	running   runningRequests
	// quarantine identifies the requests that crash targets.
	quarantine *quarantiner.Quarantiner
	// usage is the daemon's part in the duty to report usage, or nil.
	usage *usageDuty
	// zones observes what is sent to other data centres.
	zones zoneObserver

	// view is the state by which requests are routed.
	view atomic.Pointer[view]
	// stateMu guards the fields down to badRollouts.
	stateMu  sync.Mutex
	declared Declaration
	// settled holds the recorded outcomes of rollouts, by service. It is nil until they are
	// known.
	settled map[string]shifter.Outcome
	// outcomes is the copy of the store that holds them.
	outcomes follower.Copy
	// ended holds the final states of the rollouts that are declared. They hold also if
	// the store has lost their outcomes.
	ended map[shifter.Rollout]shifter.State
	// countsPublished is the Unix time at which the target's counts were last
	// published, in nanoseconds.
	countsPublished atomic.Int64
	// trials holds the trials of rollouts, by the position of their records.
	trials map[storer.Position]shifter.Trial
	// results holds the results of the rollouts that are declared, by position.
	results map[storer.Position]*shifter.Results
	// baseline holds the version that serves each service's requests outside a
	// rollout. badRollouts holds the rollouts whose version was found bad.
	baseline    map[string]string
	badRollouts map[shifter.Rollout]bool

	// announcementMu guards the fields down to departuresUnreadable.
	announcementMu   sync.Mutex
	lastAnnouncement lastAnnouncement
	// endedProcesses holds the processes that have sent a leave report.
	endedProcesses map[targetProcess]bool
	// leaves holds, by instance, the latest start of processes that have left without an
	// announcement that this daemon knows.
	leaves map[string]time.Time
	// heldAnnouncement is the last announcement of a running target that arrived before
	// the departures in the store were known. departuresUnreadable means that reading them
	// has failed.
	heldAnnouncement                      lastAnnouncement
	departuresKnown, departuresUnreadable bool

	// departures holds the local target's departures.
	departures departureLog

	// leaving holds the members whose targets were leaving.
	leaving leavingMembers

	// peerAddresses holds control addresses by daemon name, including those of
	// daemons that are gone. peerAddressesMu guards it.
	peerAddressesMu sync.Mutex
	peerAddresses   map[string]string

	// membersChanged receives a value when members change.
	membersChanged chan struct{}
	// joined is set after the first successful lookup of the other daemons, also if
	// it found none.
	joined atomic.Bool
	// relayUpdates holds, by relay, the time of its last update if that said that the
	// relay can reach the store. relayUpdatesMu guards it. relayUpdateDue receives a value when a
	// relay has to send an update.
	relayUpdatesMu sync.Mutex
	relayUpdates   map[string]time.Time
	relayUpdateDue chan struct{}
	// storeRecoveries counts how often the store became reachable again after an
	// outage, and relayRecoveries holds the counts that relays report.
	// storeRecovered receives a value when the store is reachable again.
	storeRecoveries atomic.Uint64
	relayRecoveries sync.Map
	storeRecovered  chan struct{}
	// attester holds the proof that the operators' records were the newest not long ago.
	// It is nil if the age of a proof does not matter.
	attester *attester.Attester
	// unproven is set while no proof counts.
	unproven atomic.Bool
	// planUnreadable is set while the declared plan can't be read. It may have removed keys.
	planUnreadable atomic.Bool
	// eras holds the store's eras that the daemon has seen.
	eras eraLog
	// fetching holds the key prefixes for which a fetch after a relay update is in
	// progress.
	fetching sync.Map
	// packed caches the encodings of the last copy of each prefix.
	packedMu sync.Mutex
	packed   map[packedKey]follower.PackedCopy

	// stopping is set when the shutdown begins, and left once the daemon has left
	// the membership.
	stopping atomic.Bool
	left     atomic.Bool
	// serviceEnd is the time at which a shutdown ends at the latest, or nil before it
	// begins.
	serviceEnd atomic.Pointer[time.Time]
	// dependencies holds an *atomic.Bool by dependency name, which is true while
	// the dependency is reachable.
	dependencies sync.Map
	// memberCallSem limits the membership calls in progress.
	memberCallSem chan struct{}
	// attemptServer handles attempts that other daemons forward to the target, and
	// attempts tracks the connections on which it does.
	attemptServer *carrier.Server
	attempts      tracker.Tracker
}

// Limits of connections, calls and memory.
const (
	// peerConnections bounds the connections to one other daemon. Those to the target are
	// bounded by the gate, so that no request that it has admitted waits for one.
	peerConnections = 64
	// peerDialTimeout and targetDialTimeout bound the time to connect. Connecting
	// normally takes less than 3 ms. If the SYN is lost, it is retransmitted only
	// after a second, so the dial times out.
	peerDialTimeout   = 300 * time.Millisecond
	targetDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout and targetIdleTimeout close unused connections. Targets
	// close theirs after ten seconds.
	peerIdleTimeout   = 20 * time.Second
	targetIdleTimeout = 7 * time.Second
	// maxTargetHead bounds the head of a target's response, in bytes.
	maxTargetHead = 64 << 10
	// controlTimeout bounds a remote call between daemons.
	controlTimeout = time.Second
	// callReadTimeout bounds the time to read a report of the target or a call of the
	// platform.
	callReadTimeout = 5 * time.Second
	// maxMemberCalls bounds the membership calls in progress.
	maxMemberCalls = 64
	// responseMemoryShare is the share of the memory limit that the bodies of the target's
	// responses may use, and peerResponseMemoryShare that of responses from other daemons.
	responseMemoryShare     = 0.125
	peerResponseMemoryShare = 0.25
)

// New returns a daemon that has not been started.
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
		client:         linker.NewClient(s.Key, controlTimeout),
		control:        linker.NewServer(s.Key),
		chooser:        chooser.New(o.Clock),
		trials:         map[storer.Position]shifter.Trial{},
		results:        map[storer.Position]*shifter.Results{},
		ended:          map[shifter.Rollout]shifter.State{},
		baseline:       map[string]string{},
		badRollouts:    map[shifter.Rollout]bool{},
		endedProcesses: map[targetProcess]bool{},
		leaves:         map[string]time.Time{},
		departures:     departureLog{due: make(chan struct{}, 1)},
		peerAddresses:  map[string]string{},
		memberCallSem:  make(chan struct{}, maxMemberCalls),
		relayUpdates:   map[string]time.Time{},
		relayUpdateDue: make(chan struct{}, 1),
		storeRecovered: make(chan struct{}, 1),
		membersChanged: make(chan struct{}, 1),
		packed:         map[packedKey]follower.PackedCopy{},
	}
	d.startIncarnation = d.members.Self().Incarnation
	d.members.Notify(d.membersChanged)
	d.retryBudget = &dispatcher.RetryBudget{
		Daemons: func() int { return d.members.Counts().Live() },
	}
	d.retryBudget.SetLimits(s.Sidecar.RetryRatio, s.Sidecar.RetrySlack)
	d.quarantine = quarantiner.New(o.Clock)
	if maxAge := s.Sidecar.RevokeWithin.Duration; maxAge > 0 {
		d.attester = &attester.Attester{
			Clock:  timekeeper.System{},
			MaxAge: maxAge,
			Token:  rand.Uint64(),
		}
	}
	d.throttler = &throttler.Throttler{Clock: o.Clock}
	d.observeZones()
	d.gate = &admitter.Gate{
		Clock:       o.Clock,
		Closed:      d.admissionClosed,
		ServesUntil: d.servesUntil,
		Since:       o.Clock.Now(),
	}
	d.prober = prober.New(prober.Options{
		Table:     d.members,
		Facts:     spreader.NewStore(o.Clock),
		Clock:     o.Clock,
		Seeds:     d.seeds,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnNewFact: func(spreader.Fact) {},
	})
	d.account = newAccount(s.Sidecar.MemoryMiB, o.Clock)
	d.operatorFollower = d.newFollower(o.Platform.OperatorPrefix, d.applyOperator)
	d.proveByReads(d.operatorFollower)
	d.outcomeFollower = d.newFollower(o.Platform.OutcomePrefix, d.applyOutcomes)
	d.usage = newUsageDuty(d)
	d.receiver = d.newReceiver()
	linker.Handle(d.control, memberMethod, d.handleMember)
	linker.Handle(d.control, joinMethod, d.handleJoin)
	linker.Handle(d.control, crashMethod, d.handleCrash)
	linker.Handle(d.control, quarantineMethod, d.handleQuarantine)
	linker.Handle(d.control, relayUpdateMethod, d.handleRelayUpdate)
	linker.Handle(d.control, withdrawMethod, d.handleWithdraw)
	linker.Handle(d.control, copyMethod, d.handleCopy)
	linker.Handle(d.control, recallMethod, d.handleRecall)
	if d.usage != nil {
		linker.Handle(d.control, countsMethod, d.usage.handleCounts)
	}
	d.broadcaster = &broadcaster.Broadcaster{
		Call:   d.callMember,
		Handle: d.handleEvent,
	}
	linker.Handle(d.control, broadcaster.RelayMethod, func(_ context.Context, r broadcaster.Relay) (struct{}, error) {
		return struct{}{}, d.broadcaster.HandleRelay(r)
	})
	return d
}

// newReceiver returns the server of client connections.
func (d *Daemon) newReceiver() *receiver.Server {
	deliver := d.newDeliverer()
	peers := &carrier.Client{
		Key: d.settings.Key,
		Transport: forwarder.NewTransportWith(forwarder.TransportOptions{
			MaxConnections: peerConnections,
			Dial:           peerDialTimeout,
			Idle:           peerIdleTimeout,
			Traffic:        d.attemptTraffic,
		}),
		Memory:      d.newMemory(peerResponseMemoryShare),
		OnSilent:    d.markUnreachable,
		KeepWaiting: d.stopping.Load,
	}
	d.dispatcher = &dispatcher.Dispatcher{
		Daemon:             d.settings.Name,
		Caller:             d.sidecar.Service,
		Plan:               d.plan,
		Pool:               d.pool,
		Client:             d.platform.Client,
		Authenticator:      d.newAuthenticator(),
		WithoutCredentials: d.platform.WithoutCredentials,
		Send:               peers.Send,
		Deliver:            deliver.Deliver,
		Chooser:            d.chooser,
		RetryBudget:        d.retryBudget,
		Throttler:          d.throttler,
		IsRunning:          d.running.find,
		Clock:              d.clock,
		ServesUntil:        d.servesUntil,
		OnResult:           d.observeRequest,
	}
	return &receiver.Server{
		Handle:         d.dispatcher.Handle,
		Limits:         d.limits,
		OnRejected:     d.observeRejectedRequest,
		OnPanic:        d.observePanic,
		OnUnanswered:   d.observeUnanswered,
		Account:        d.account,
		Pause:          d.sidecar.Pause.Duration,
		MaxConnections: d.maxConnections(),
	}
}

// newDeliverer returns the deliverer of requests to the local target. It also sets
// the handler of attempts from other daemons.
func (d *Daemon) newDeliverer() *deliverer.Deliverer {
	deliver := &deliverer.Deliverer{
		Target: d.sidecar.Target,
		Gate:   d.gate,
		Transport: forwarder.NewTransportWith(forwarder.TransportOptions{
			Dial:            targetDialTimeout,
			Idle:            targetIdleTimeout,
			MaxResponseHead: maxTargetHead,
		}),
		Memory:        d.newMemory(responseMemoryShare),
		Codec:         d.platform.Codec,
		Clock:         d.clock,
		BeforeForward: d.beforeForward,
		BeforeSend:    d.recheckKey,
		OnResult:      d.observeAttempt,
		OnRejected:    d.observeRejectedAttempt,
		OnLimit:       d.observeLimit,
		OnLeaving:     d.handleLeavingResponse,
	}
	d.attemptServer = &carrier.Server{
		Key:     d.settings.Key,
		Deliver: deliver.Deliver,
		MaxBody: func() int64 { return d.limits().BodyBytes },
		Account: d.account,
	}
	return deliver
}

// defaultLimits apply while no plan is known.
var defaultLimits = receiver.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// limits returns the limits of clients' requests.
func (d *Daemon) limits() receiver.Limits {
	p := d.plan()
	if p == nil {
		return defaultLimits
	}
	return receiver.Limits(p.Limits)
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if
// an address cannot be listened on or a server fails.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	listeners := map[string]func(context.Context, net.Listener) error{
		d.settings.Listen.Traffic: d.receiver.Serve,
		d.settings.Listen.Admit: serveHTTP(&http.Server{
			Handler: d.attemptServer,
		}, d.attempts.Serve),
		d.settings.Listen.Control:  d.control.Serve,
		d.settings.Listen.Operator: serveCalls(d.serveReport),
		d.sidecar.Ready:            serveCalls(d.serveReady),
		d.sidecar.Metrics:          serveCalls(d.serveMetrics),
	}
	failed := make(chan error, len(listeners))
	for address, serve := range listeners {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return Class.New("listen on %s: %w", address, err)
		}
		group.Go(func() {
			if err := serve(runCtx, ln); err != nil {
				failed <- Class.New("serve %s: %w", address, err)
			}
		})
	}
	for _, run := range []func(context.Context){d.operatorFollower.Run, d.outcomeFollower.Run, d.runRelay, d.gossip, d.runRefresh, d.register, d.pollPeers, d.writeOutcomes, d.watchTarget, d.writeDepartures, d.expireDepartures, d.readQuarantine, d.runUsage} {
		group.Go(func() { run(runCtx) })
	}
	d.log.Info("daemon started", "service", d.sidecar.Service, "traffic", d.settings.Listen.Traffic, "admit", d.settings.Listen.Admit)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	d.shutdown()
	d.usage.handOver()
	open, busy := d.receiver.Connections()
	d.log.Info("daemon stopped", "connections", open, "busy", busy, "running", d.gate.Running(), "peers", d.attempts.Busy())
	return nil
}

// serveCalls returns a function that serves the target's or the platform's calls with
// a handler until its context ends.
func serveCalls(h http.HandlerFunc) func(context.Context, net.Listener) error {
	return serveHTTP(&http.Server{
		Handler:     h,
		ReadTimeout: callReadTimeout,
	}, (*http.Server).Serve)
}

// serveHTTP returns a function that runs an HTTP server by serve until its context ends.
func serveHTTP(srv *http.Server, serve func(*http.Server, net.Listener) error) func(context.Context, net.Listener) error {
	srv.ReadHeaderTimeout = 5 * time.Second
	srv.IdleTimeout = time.Minute
	srv.ConnContext = forwarder.WithConn
	return func(ctx context.Context, ln net.Listener) error {
		context.AfterFunc(ctx, func() { _ = srv.Close() })
		if err := serve(srv, ln); err != http.ErrServerClosed {
			return err
		}
		return nil
	}
}

// serveReady answers the platform's readiness checks: with 200 if the daemon is
// ready for client requests and with 503 otherwise.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if strings.TrimSuffix(r.URL.Path, "/") != d.platform.ReadyPath || d.stopping.Load() || !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the daemon can handle requests: it has a plan, and has
// looked up the other daemons or received a member.
func (d *Daemon) ready() bool {
	return d.plan() != nil && (d.joined.Load() || d.members.Counts().Live() > 1)
}
