// Package soaker runs daemons as processes of their own, injects faults from
// outside them, and checks what clients and targets see.
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

// Class is the class of the errors of this package.
var Class = errs.Class("soaker")

// Options say what is run.
type Options struct {
	// Program is the path of the daemon.
	Program string
	// Dir is where settings and logs are written.
	Dir   string
	Seed  uint64
	Nodes int
	// Length is how long faults are injected.
	Length time.Duration
	// Events replaces the events of the seed if it is set.
	Events []Event
}

// Result is what a soak has shown.
type Result struct {
	Seed   uint64
	Events []Event
	Counts Counts
	Broken []string
}

// Services and zones of a soak.
const (
	mainService = "desk"
	sideService = "papers"
	// sideShare is the nodes of which one is of the side service.
	sideShare                 = 3
	firstVersion, nextVersion = "v1", "v2"
)

var zones = []string{"north", "south"}

// Bounds of a soak's end, from the pages of the users' platform.
const (
	// recoveryTime is when all requests are answered again after the last fault.
	recoveryTime = 15 * time.Second
	// returnTime is when the store holds the daemons' keys again, once all
	// requests are answered. The pages say about two seconds of its return.
	returnTime = 4 * time.Second
	// evacuateTime is when a zone that is out gets nothing any more.
	evacuateTime = 5 * time.Second
	// quietCheck is how long nothing may arrive there then.
	quietCheck = time.Second
	// wellInRow is the number of requests in a row that show recovery.
	wellInRow = 10
	// linkDelay is what a delayed link adds.
	linkDelay = 60 * time.Millisecond
	// clientsPerNode is the number of clients of each daemon.
	clientsPerNode = 2
	// exposureShare and exposureSlack bound the requests at a bad version.
	exposureShare = 0.1
	exposureSlack = 50
)

// soak is one run.
type soak struct {
	options     Options
	ledger      *Ledger
	records     *emulator.Records
	store       net.Listener
	storeServer *http.Server
	nodes       []*node
	host        string
	port        int

	mu       sync.Mutex
	declared int
	faults   map[Kind]int
	moved    time.Time
	movedBad bool
}

// hosts numbers the soaks of the process, so that each has a loopback address.
var hosts atomic.Int32

// Run runs a soak.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &soak{
		options: o,
		ledger:  NewLedger(),
		records: emulator.NewRecords(timekeeper.System{}),
		host:    fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), os.Getpid()&0xff, 1+hosts.Add(1)&0x7f),
		port:    15000 + rand.IntN(10000),
		faults:  map[Kind]int{},
	}
	events := o.Events
	if events == nil {
		events = Script(o.Seed, o.Nodes, o.Length)
	}
	began := time.Now()
	if err := s.run(ctx, events); err != nil {
		return Result{}, err
	}
	return Result{
		Seed:   o.Seed,
		Events: events,
		Counts: s.ledger.Counts(),
		Broken: s.ledger.Broken(time.Since(began)),
	}, nil
}

// run sets everything up, plays the events and ends it all.
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
	s.declare()
	for _, n := range s.nodes {
		if err := n.startTarget(firstVersion, false); err != nil {
			return err
		}
		if err := n.process.start(); err != nil {
			return err
		}
	}
	running, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	for _, n := range s.nodes {
		background.Go(func() { n.beat(running) })
	}
	s.recover("start", time.Now().Add(startTime))
	for i, n := range s.nodes {
		for c := range clientsPerNode {
			random := rand.New(rand.NewPCG(s.options.Seed, uint64(1+i*clientsPerNode+c)))
			background.Go(func() { n.load(running, fmt.Sprint(c), random) })
		}
	}
	s.play(ctx, events)
	if ctx.Err() != nil {
		return Class.Wrap(ctx.Err())
	}
	s.heal()
	s.recover("end", time.Now().Add(recoveryTime))
	s.checkKeys()
	s.checkEvacuation()
	s.stopAll()
	stop()
	background.Wait()
	for _, n := range s.nodes {
		n.endTarget()
	}
	s.checkMove()
	return nil
}

func (s *soak) startStore() error {
	ln, err := listen(s.address())
	if err != nil {
		return err
	}
	s.store = ln
	s.storeServer = &http.Server{
		Handler:           s.records.Handler(emulator.Base),
		ReadHeaderTimeout: startTime,
	}
	go func() {
		if err := s.storeServer.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.ledger.Note("soak: the store's server ended: %v", err)
		}
	}()
	return nil
}

// address returns an address that nothing listens on. Its port is below those
// that the kernel gives to outgoing connections.
func (s *soak) address() string {
	for {
		s.port++
		address := fmt.Sprintf("%s:%d", s.host, s.port)
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}

// addNode makes a node, its settings file and its links.
func (s *soak) addNode(i int) error {
	n := &node{
		zone:    zones[i/2%len(zones)],
		service: mainService,
		target:  s.address(),
		links:   map[Hop]*Link{},
		faults:  map[Kind]int{},
		ledger:  s.ledger,
	}
	if i%sideShare == 0 {
		n.service = sideService
	}
	listen := loader.Listen{
		Traffic:  s.address(),
		Admit:    s.address(),
		Control:  s.address(),
		Operator: s.address(),
	}
	for hop, server := range map[Hop]string{
		HopAdmit:   listen.Admit,
		HopControl: listen.Control,
		HopStore:   s.store.Addr().String(),
		HopTarget:  n.target,
		HopReport:  listen.Operator,
	} {
		link, err := NewLink(s.address(), server)
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
		Platform: n.links[HopStore].Address(),
		Patience: parser.Duration{Duration: 700 * time.Millisecond},
		Key:      "key-of-one-soak-only",
		Log:      loader.Log{Level: "debug", Format: "json"},
		Sidecar: &loader.Sidecar{
			Service:    n.service,
			Target:     n.links[HopTarget].Address(),
			Ready:      s.address(),
			Metrics:    s.address(),
			Heartbeat:  parser.Duration{Duration: heartbeat},
			Grace:      parser.Duration{Duration: 6 * time.Second},
			RetryRatio: retryRatio,
			RetrySlack: retrySlack,
			Memory:     256,
		},
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
		program:  s.options.Program,
		settings: path + ".json",
		log:      path + ".log",
		traffic:  listen.Traffic,
		grace:    n.settings.Sidecar.Grace.Duration,
		ledger:   s.ledger,
		name:     n.settings.Name,
		gone:     time.Now(),
	}
	s.nodes = append(s.nodes, n)
	return nil
}

// declare declares the next configuration. Each has a route that the ones before
// it lack.
func (s *soak) declare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared++
	_, err := s.records.Declare(s.declared,
		emulator.Route{Prefix: "/s/", Kind: "safe", Service: mainService},
		emulator.Route{Prefix: "/u/", Kind: "unsafe", Service: mainService},
		emulator.Route{Prefix: "/p/", Kind: "upload", Service: sideService},
		emulator.Route{Prefix: fmt.Sprintf("/n%d/", s.declared), Kind: "safe", Service: mainService},
	)
	if err != nil {
		s.ledger.Note("soak: %v", err)
	}
}

// close ends what still runs.
func (s *soak) close() {
	for _, n := range s.nodes {
		if n.process != nil {
			n.process.kill()
		}
		n.endTarget()
		for _, l := range n.links {
			l.Close()
		}
	}
	if s.storeServer != nil {
		_ = s.storeServer.Close()
	}
}
