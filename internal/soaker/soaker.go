// Package soaker runs long fault-injection tests. It starts daemons as separate
// processes, injects faults into processes, links, targets and the store, and
// checks the guarantees against what clients and targets observe.
package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Class is the error class of this package.
var Class = errs.Class("soaker")

// Options configures a soak.
type Options struct {
	// Program is the path of the daemon's executable.
	Program string
	// Dir is the directory for settings files and logs.
	Dir  string
	Seed uint64
	// Nodes is the number of daemons.
	Nodes int
	// Length is how long faults are injected.
	Length time.Duration
	// Keys makes each configuration remove a key of the one before, which must then be
	// refused everywhere.
	Keys bool
	// Events replaces the events generated from Seed, unless it is nil.
	Events []Event
}

// Result is the result of a soak. Violations has one message for each violation of a
// guarantee.
type Result struct {
	Seed       uint64
	Events     []Event
	Counts     Counts
	Violations []string
}

// Services and versions of a soak.
const (
	mainService = "desk"
	sideService = "papers"
	// Every sideServiceInterval-th node serves sideService.
	sideServiceInterval       = 3
	firstVersion, nextVersion = "v1", "v2"
)

var zones = []string{"north", "south"}

// Limits of the checks at the end of a soak, from the users' platform specification,
// and parameters of the faults and the load.
const (
	// recoveryTimeout is the time after the last fault within which all requests
	// must be answered again.
	recoveryTimeout = 15 * time.Second
	// registrationTimeout is the time after recovery within which all daemons must be
	// registered in the store again. The specification says about two seconds
	// after the store is available again.
	registrationTimeout = 4 * time.Second
	// evacuationTimeout is the time after which an evacuated zone must not receive
	// requests.
	evacuationTimeout = 5 * time.Second
	// evacuationCheckTime is how long an evacuated zone is checked for requests.
	evacuationCheckTime = time.Second
	// configTimeout is the time after which a declared configuration is in force, and
	// contactTime that after a disturbance from which the limits hold.
	configTimeout = 2 * time.Second
	contactTime   = 3 * time.Second
	// lostWrites is the number of writes by others that a restored store has lost.
	lostWrites = 200
	// recoveryResponses is the number of consecutive successful responses on each
	// route that show a daemon's recovery.
	recoveryResponses = 10
	// linkDelay is the delay that a Delay event adds to a link.
	linkDelay = 60 * time.Millisecond
	// clientsPerNode is the number of busy clients of each daemon, and
	// rareClientsPerNode of clients that keep their connections idle for longer than
	// a graceful shutdown takes.
	clientsPerNode     = 2
	rareClientsPerNode = 12
	// In a move to a bad version, the targets of that version may receive
	// maxExposureRatio of the service's requests since the move was requested, plus
	// exposureSlack.
	maxExposureRatio = 0.1
	exposureSlack    = 50
)

// soak is the state of one run.
type soak struct {
	options       Options
	ledger        *Ledger
	store         *emulator.Records
	storeListener net.Listener
	storeServer   *http.Server
	nodes         []*node
	host          string
	port          int

	removedKeys removedKeys

	mu sync.Mutex
	// configVersion is the number of declared configurations. It is also the version
	// of the newest one.
	configVersion int
	// routeTimeout is the timeout of the routes, or 0 for the default.
	routeTimeout time.Duration
	// activeFaults counts the store's active faults by kind.
	activeFaults map[Kind]int
	// moveRequested is when the move was requested, zero for none.
	moveRequested time.Time
	moveToBad     bool
}

// soakCount counts the soaks of this process. Each one uses a loopback address of
// its own.
var soakCount atomic.Int32

// Run runs a soak and returns its result. It returns an error if the soak could
// not be set up or ctx was cancelled; violations are part of the result.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &soak{
		options:      o,
		ledger:       NewLedger(),
		store:        emulator.NewRecords(timekeeper.System{}),
		host:         fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), os.Getpid()&0xff, 1+soakCount.Add(1)&0x7f),
		port:         15000 + rand.IntN(10000),
		activeFaults: map[Kind]int{},
	}
	events := o.Events
	if events == nil {
		events = GenerateEvents(o.Seed, o.Nodes, o.Length)
	}
	began := time.Now()
	if err := s.run(ctx, events); err != nil {
		return Result{}, err
	}
	return Result{
		Seed:       o.Seed,
		Events:     events,
		Counts:     s.ledger.Counts(),
		Violations: s.ledger.Violations(time.Since(began)),
	}, nil
}

// run starts the store, the daemons, targets and clients, runs the events, checks
// recovery and stops everything.
func (s *soak) run(ctx context.Context, events []Event) error {
	defer s.close()
	if err := s.startStore(); err != nil {
		return err
	}
	for i := range s.options.Nodes {
		if err := s.addNode(i); err != nil {
			return err
		}
	}
	s.declareConfig()
	for _, n := range s.nodes {
		if err := n.startTarget(firstVersion, false); err != nil {
			return err
		}
		if err := n.process.start(); err != nil {
			return err
		}
	}
	loadCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	for _, n := range s.nodes {
		background.Go(func() { n.sendHeartbeats(loadCtx) })
	}
	s.checkRecovery("start", time.Now().Add(startTimeout))
	for i, n := range s.nodes {
		for c := range clientsPerNode {
			random := rand.New(rand.NewPCG(s.options.Seed, uint64(1+i*clientsPerNode+c)))
			background.Go(func() { n.generateLoad(loadCtx, fmt.Sprint(c), thinkTime, random) })
		}
		for c := range rareClientsPerNode {
			random := rand.New(rand.NewPCG(s.options.Seed, uint64(rareClientStream+i*rareClientsPerNode+c)))
			background.Go(func() { n.generateLoad(loadCtx, fmt.Sprint("rare-", c), rareThinkTime, random) })
		}
	}
	if s.options.Keys {
		for _, n := range s.nodes {
			background.Go(func() { s.sendRemovedKeys(loadCtx, n) })
		}
	}
	s.runEvents(ctx, events)
	if ctx.Err() != nil {
		return Class.Wrap(ctx.Err())
	}
	s.clearFaults()
	s.checkRecovery("end", time.Now().Add(recoveryTimeout))
	s.checkRegistrations()
	if s.options.Keys {
		s.cutOff()
	}
	s.checkRestore()
	s.checkEvacuation()
	s.stopAll()
	stop()
	background.Wait()
	for _, n := range s.nodes {
		n.crashTarget()
	}
	s.checkMove()
	s.checkRemovedKeys()
	return nil
}

func (s *soak) startStore() error {
	ln, err := listen(s.freeAddress())
	if err != nil {
		return err
	}
	s.storeListener = ln
	s.storeServer = &http.Server{
		Handler:           s.store.Handler(emulator.Base),
		ReadHeaderTimeout: startTimeout,
	}
	go func() {
		if err := s.storeServer.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.ledger.AddViolation("soak: store server failed: %v", err)
		}
	}()
	return nil
}

// freeAddress returns an address on which nothing listens. Its port is below the
// kernel's range of ephemeral ports, so no outgoing connection takes it.
func (s *soak) freeAddress() string {
	for {
		s.port++
		freeAddress := fmt.Sprintf("%s:%d", s.host, s.port)
		if ln, err := net.Listen("tcp", freeAddress); err == nil {
			_ = ln.Close()
			return freeAddress
		}
	}
}

// addNode creates a node with its settings file and links.
func (s *soak) addNode(i int) error {
	n := &node{
		zone:          zones[i/2%len(zones)],
		service:       mainService,
		targetAddress: s.freeAddress(),
		links:         map[Hop]*Link{},
		activeFaults:  map[Kind]int{},
		ledger:        s.ledger,
	}
	if i%sideServiceInterval == 0 {
		n.service = sideService
	}
	listen := loader.Listen{
		Traffic:  s.freeAddress(),
		Admit:    s.freeAddress(),
		Control:  s.freeAddress(),
		Operator: s.freeAddress(),
	}
	for hop, server := range map[Hop]string{
		HopAdmit:   listen.Admit,
		HopControl: listen.Control,
		HopStore:   s.storeListener.Addr().String(),
		HopTarget:  n.targetAddress,
		HopReport:  listen.Operator,
	} {
		link, err := NewLink(s.freeAddress(), server)
		if err != nil {
			return err
		}
		n.links[hop] = link
	}
	n.settings = loader.Settings{
		Name:   fmt.Sprintf("%s-%d", n.zone, i),
		DC:     n.zone,
		Listen: listen,
		Advertise: loader.Advertise{
			Admit:   n.links[HopAdmit].Address(),
			Control: n.links[HopControl].Address(),
		},
		Platform:        n.links[HopStore].Address(),
		PlatformTimeout: parser.Duration{Duration: 700 * time.Millisecond},
		Key:             "key-of-one-soak-only",
		Log:             loader.Log{Level: "debug", Format: "json"},
		Sidecar: &loader.Sidecar{
			Service:     n.service,
			Target:      n.links[HopTarget].Address(),
			Ready:       s.freeAddress(),
			Metrics:     s.freeAddress(),
			Heartbeat:   parser.Duration{Duration: heartbeatInterval},
			GracePeriod: parser.Duration{Duration: 6 * time.Second},
			RetryRatio:  retryRatio,
			RetrySlack:  retrySlack,
			MemoryMiB:   256,
		},
	}
	if s.options.Keys {
		n.settings.Sidecar.RevokeWithin = parser.Duration{Duration: revokeWithin}
	}
	data, err := json.Marshal(n.settings)
	if err != nil {
		return Class.Wrap(err)
	}
	path := filepath.Join(s.options.Dir, n.settings.Name)
	if err := os.WriteFile(path+".json", data, 0o600); err != nil {
		return Class.Wrap(err)
	}
	n.process = &process{
		program:        s.options.Program,
		settings:       path + ".json",
		logPath:        path + ".log",
		trafficAddress: listen.Traffic,
		grace:          n.settings.Sidecar.GracePeriod.Duration,
		ledger:         s.ledger,
		name:           n.settings.Name,
		downSince:      time.Now(),
	}
	s.nodes = append(s.nodes, n)
	return nil
}

// declareConfig declares the next configuration. Each one has a route with a
// prefix that no earlier configuration has.
func (s *soak) declareConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	routes := []emulator.Route{
		{Prefix: "/s/", Kind: "safe", Service: mainService},
		{Prefix: "/u/", Kind: "unsafe", Service: mainService},
		{Prefix: "/p/", Kind: "upload", Service: sideService},
		{Prefix: fmt.Sprintf("/n%d/", s.configVersion), Kind: "safe", Service: mainService},
	}
	for i := range routes {
		routes[i].TimeoutMs = int(s.routeTimeout.Milliseconds())
	}
	var customers []emulator.Customer
	if s.options.Keys {
		customers, routes = withKeys(s.configVersion, routes)
	}
	if _, err := s.store.DeclareFor(customers, s.configVersion, routes...); err != nil {
		s.ledger.AddViolation("soak: %v", err)
	}
	s.removedKeys.add(keyOf(s.configVersion - 1))
}

// close stops all processes, targets, links and the store.
func (s *soak) close() {
	for _, n := range s.nodes {
		if n.process != nil {
			n.process.kill()
		}
		n.crashTarget()
		for _, l := range n.links {
			l.Close()
		}
	}
	if s.storeServer != nil {
		_ = s.storeServer.Close()
	}
}
