// Package demonstrator runs a small mesh in one process, for the demonstration and
// for tests: real daemons on loopback with an emulated platform and emulated
// targets.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/requester"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Class is the error class of this package.
var Class = errs.Class("demonstrator")

// Mesh is a small mesh in one process.
type Mesh struct {
	Platform *emulator.Platform
	VMs      []*VM
	// ReportPeriod is the interval at which daemons send their counts.
	ReportPeriod time.Duration

	log     *log.Logger
	daemons sync.WaitGroup
	targets sync.WaitGroup
}

// VM is a VM with its daemon and an optional target.
type VM struct {
	Settings loader.Settings
	Daemon   *server.Daemon
	Target   *emulator.Target

	stopDaemon context.CancelFunc
	stopTarget context.CancelFunc
}

// meshKey is the shared key of the daemons in a mesh.
const meshKey = "a key for one process only"

// NewMesh returns a mesh without VMs. Daemons log to w.
func NewMesh(w io.Writer) *Mesh {
	return &Mesh{
		Platform:     emulator.NewPlatform(timekeeper.System{}),
		ReportPeriod: time.Second,
		log:          server.NewLog(w, loader.Log{Level: "debug"}),
	}
}

// Log returns the configuration log of the mesh, for publishing.
func (m *Mesh) Log() *committer.Log {
	return &committer.Log{
		Platform: m.Platform.Client(),
		Clock:    timekeeper.System{},
		Author:   "demonstrator",
	}
}

// Listening ports are below the ephemeral ports of outgoing connections. An
// outgoing connection could otherwise occupy a port between the check and its use.
const (
	lowestPort  = 20_000
	highestPort = 30_000
	// maxPortChecks is the maximum number of checks for each free port.
	maxPortChecks = 100
)

// portOffset is the offset of the last port handed out. It starts at a random offset
// and only increases, so that no port is handed out twice before it wraps around.
var portOffset atomic.Int64

func init() { portOffset.Store(rand.Int64N(highestPort - lowestPort)) }

// freeAddresses returns n loopback addresses that are not in use.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for checks := 0; len(addresses) < n; checks++ {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+portOffset.Add(1)%(highestPort-lowestPort))
		ln, err := net.Listen("tcp", address)
		if err != nil && checks < n*maxPortChecks {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// maxSeeds is the maximum number of existing VMs whose addresses a new daemon
// gets as seeds.
const maxSeeds = 3

// AddVM adds a VM and starts its daemon, which joins through existing VMs.
func (m *Mesh) AddVM(ctx context.Context, name, dc string) (*VM, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	settings := loader.Settings{
		Name: name,
		DC:   dc,
		Listen: loader.Listen{
			Traffic:  addresses[0],
			Admit:    addresses[1],
			Control:  addresses[2],
			Operator: addresses[3],
		},
		Platform: "in this process",
		Key:      meshKey,
	}
	for _, v := range m.VMs[:min(len(m.VMs), maxSeeds)] {
		settings.Seeds = append(settings.Seeds, v.Settings.Listen.Control)
	}
	v := &VM{Settings: settings.WithDefaults()}
	m.StartDaemon(ctx, v)
	m.VMs = append(m.VMs, v)
	return v, nil
}

// StartDaemon starts the VM's daemon. It can be called again after StopDaemon.
func (m *Mesh) StartDaemon(ctx context.Context, v *VM) {
	ctx, v.stopDaemon = context.WithCancel(ctx)
	v.Daemon = server.New(server.Options{
		Settings: v.Settings,
		Platform: m.Platform.Client(),
		Clock:    timekeeper.System{},
		Log:      m.log,

		ReportPeriod: m.ReportPeriod,
	})
	daemon := v.Daemon
	m.daemons.Go(func() {
		if err := daemon.Run(ctx); err != nil {
			m.log.Error("daemon failed", "vm", v.Settings.Name, "err", err)
		}
	})
}

// StopDaemon starts a graceful shutdown of the VM's daemon and returns at once.
func (v *VM) StopDaemon() { v.stopDaemon() }

// StopTarget starts a graceful shutdown of the VM's target and returns at once.
func (v *VM) StopTarget() { v.stopTarget() }

// StartTarget starts a target on the VM, which registers with the VM's daemon.
func (m *Mesh) StartTarget(ctx context.Context, v *VM, service, version string, slots int, b emulator.Behaviour) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Class.Wrap(err)
	}
	target := &emulator.Target{
		Service: service,
		Version: version,
		Address: ln.Addr().String(),
		Slots:   slots,
		Warn:    func(err error) { m.log.Warn(err, "vm", v.Settings.Name) },
	}
	target.SetBehaviour(b)
	ctx, v.stopTarget = context.WithCancel(ctx)
	v.Target = target
	m.targets.Go(func() { target.Announce(ctx, v.Settings.Listen.Operator, server.HeartbeatPeriod) })
	m.targets.Go(func() { serveTarget(ctx, ln, target) })
	return nil
}

// targetShutdownTimeout is the timeout of a target's graceful shutdown, and of
// reading request headers.
const targetShutdownTimeout = 5 * time.Second

func serveTarget(ctx context.Context, ln net.Listener, h http.Handler) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: targetShutdownTimeout,
	}
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), targetShutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(shutdownCtx)
	})
	if err := srv.Serve(ln); errors.Is(err, http.ErrServerClosed) {
		<-stopped
	}
}

// Wait waits until all daemons and targets have stopped.
func (m *Mesh) Wait() {
	m.targets.Wait()
	m.daemons.Wait()
}

// StopTargets shuts all targets down gracefully and waits until they have
// deregistered from their daemons and stopped.
func (m *Mesh) StopTargets() {
	for _, v := range m.VMs {
		if v.stopTarget != nil {
			v.stopTarget()
		}
	}
	m.targets.Wait()
}

// Response is the response to one call.
type Response struct {
	Status int
	Body   string
	// Verdict is the verdict of a rejected call, or empty.
	Verdict string
}

// Version returns the version of the target that ran the call, or "" if the
// call failed.
func (r Response) Version() string {
	fields := strings.Fields(r.Body)
	if r.Status != http.StatusOK || len(fields) < 2 {
		return ""
	}
	return fields[1]
}

// Call makes one call through the VM's daemon.
func (v *VM) Call(ctx context.Context, method, path string) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.Settings.Listen.Traffic+path, nil)
	if err != nil {
		return Response{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Response{
		Status:  resp.StatusCode,
		Body:    string(body),
		Verdict: resp.Header.Get("Coltsfoot-Verdict"),
	}, err
}

// OperatorRequest sends a request to the operator address of the VM's daemon and decodes
// the response into response, unless that is nil.
func (v *VM) OperatorRequest(ctx context.Context, method, path string, body, response any) error {
	return requester.Do(ctx, method, "http://"+v.Settings.Listen.Operator+path, body, response)
}

// Await polls until ok returns true. It returns an error after the timeout or
// if ctx is done.
func Await(ctx context.Context, timeout time.Duration, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Class.New("condition not met within %v", timeout)
		}
	}
	return nil
}

// Publish commits services to the mesh's log.
func (m *Mesh) Publish(ctx context.Context, services ...parser.Service) error {
	return publish(ctx, m.Log(), services)
}
