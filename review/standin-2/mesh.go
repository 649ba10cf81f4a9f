package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Parameters of the deployment.
const (
	grace     = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
	// startTimeout bounds the time until all daemons are ready.
	startTimeout = 20 * time.Second
)

// names holds the names of headers and keys on the wire.
type names struct {
	Attempt  string `json:"attempt"`
	Deadline string `json:"deadline"`
	Stamp    string `json:"stamp"`
	NotRun   string `json:"notrun"`
	Config   string `json:"config"`
	Ready    string `json:"ready"`
}

// nodeOptions describes a daemon and the target beside it.
type nodeOptions struct {
	name, zone, service string
	slots               int
	work                time.Duration
	memoryMiB           int
}

// node is a daemon with its target.
type node struct {
	options nodeOptions
	ip      string
	ports   int
	path    string
	backend *emulator.Backend

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (n *node) address(offset int) string { return fmt.Sprintf("%s:%d", n.ip, n.ports+offset) }

// Offsets of the ports of a node.
const (
	portReady = iota
	portTraffic
	portAdmit
	portAdmin
	portTarget
	portControl
	portMetrics
)

func (n *node) traffic() string { return n.address(portTraffic) }

// mesh is a small deployment on loopback addresses.
type mesh struct {
	names   names
	program string
	dir     string
	host    string
	ports   int
	store   *emulator.Records
	server  *http.Server
	nodes   []*node
	stop    context.CancelFunc
	ctx     context.Context
	record  *recorder
}

// newMesh starts the store. The caller must call close.
func newMesh(r *recorder) (*mesh, error) {
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/coltsfootd")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &mesh{
		program: program,
		dir:     dir,
		host:    fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		ports:   12000 + 16*rand.IntN(1000),
		store:   emulator.NewRecords(timekeeper.System{}),
		ctx:     ctx,
		stop:    stop,
		record:  r,
	}
	if err := readJSON("names.json", &m.names); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", m.storeAddress())
	if err != nil {
		return nil, err
	}
	m.server = &http.Server{Handler: m.store.Handler(emulator.Base)}
	go func() { _ = m.server.Serve(ln) }()
	return m, nil
}

func (m *mesh) storeAddress() string { return fmt.Sprintf("%s.1:%d", m.host, m.ports) }

// readJSON reads a file beside the sources.
func readJSON(name string, v any) error {
	data, err := os.ReadFile(filepath.Join("review", "standin-2", name))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// declare writes the operators' configuration that a file holds.
func (m *mesh) declare(file string) error {
	var config any
	if err := readJSON(file, &config); err != nil {
		return err
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	m.store.Put(m.names.Config, data)
	return nil
}

// add starts a target and its daemon.
func (m *mesh) add(o nodeOptions) (*node, error) {
	n := &node{
		options: o,
		ip:      fmt.Sprintf("%s.%d", m.host, 10+len(m.nodes)),
		ports:   m.ports,
		path:    filepath.Join(m.dir, o.name+".jsonc"),
	}
	m.nodes = append(m.nodes, n)
	settings := map[string]any{
		"name": o.name, "dc": o.zone,
		"listen": map[string]any{
			"traffic": n.traffic(), "admit": n.address(portAdmit), "control": n.address(portControl),
			"operator": n.address(portAdmin), "open": true,
		},
		"platform": m.storeAddress(), "patience": "700ms", "seeds": []string{},
		"key": "coltsfootlane-of-one-deployment",
		"log": map[string]any{"level": "info", "format": "json"},
		"sidecar": map[string]any{
			"service": o.service, "target": n.address(portTarget), "ready": n.address(portReady),
			"metrics": n.address(portMetrics), "heartbeat": heartbeat.String(), "grace": grace.String(),
			"retryratio": 0.2, "retryslack": 62, "memory": o.memoryMiB, "stay": 6, "files": 4100,
			"duties": map[string]any{},
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.path, data, 0o600); err != nil {
		return nil, err
	}
	n.backend = &emulator.Backend{
		Service: o.service,
		Version: "v1",
		Slots:   o.slots,
		Work:    o.work,
		Clock:   timekeeper.System{},
	}
	if err := n.backend.Start(n.address(portTarget), "i-"+o.name); err != nil {
		return nil, err
	}
	if err := m.start(n); err != nil {
		return nil, err
	}
	go m.heartbeats(n)
	return n, nil
}

// start starts the daemon of a node with the command of the deploy file.
func (m *mesh) start(n *node) error {
	logs, err := os.OpenFile(filepath.Join(m.dir, n.options.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	cmd := exec.Command(m.program, "--settings", n.path)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon of a node.
func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(s)
}

// ended returns the channel that is closed when the daemon has ended.
func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

func (m *mesh) heartbeats(n *node) {
	for m.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(m.ctx, time.Second)
		pause := heartbeat
		if n.backend.Report(ctx, n.address(portAdmin), emulator.Base) != nil {
			pause = 100 * time.Millisecond
		}
		cancel()
		select {
		case <-time.After(pause):
		case <-m.ctx.Done():
		}
	}
}

// awaitReady waits until all daemons are ready and have had the time to find each other.
func (m *mesh) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, n := range m.nodes {
		for !m.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.options.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

func (m *mesh) ready(n *node) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.address(portReady) + m.names.Ready)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// recordRuns records how many requests ran at each target.
func (m *mesh) recordRuns() {
	for _, n := range m.nodes {
		runs := 0
		for _, a := range n.backend.Arrivals() {
			if a.Ran {
				runs++
			}
		}
		m.record.printf("%d requests ran at the target beside %s", runs, n.options.name)
	}
}

// close ends all processes and servers. If keep is set, the logs stay.
func (m *mesh) close(keep bool) {
	m.stop()
	for _, n := range m.nodes {
		if n.cmd != nil {
			_ = n.signal(syscall.SIGCONT)
			_ = n.signal(syscall.SIGKILL)
			<-n.ended()
		}
		if n.backend != nil {
			n.backend.Crash()
		}
	}
	_ = m.server.Close()
	if !keep {
		_ = os.RemoveAll(m.dir)
	}
}
