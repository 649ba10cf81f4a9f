package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Settings of a small deployment.
const (
	heartbeat   = 1500 * time.Millisecond
	grace       = 6 * time.Second
	contactTime = 3 * time.Second
	memoryMiB   = 284
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 100 * time.Millisecond
)

// daemon is a process of the project's daemon.
type daemon struct {
	world    *world
	settings loader.Settings
	path     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// addDaemon prepares a daemon beside a target.
func (w *world) addDaemon(name, zone, service, target string) (*daemon, error) {
	d := &daemon{world: w}
	d.settings = loader.Settings{
		Name: name,
		DC:   zone,
		Listen: loader.Listen{
			Traffic:             w.freeAddress(),
			Admit:               w.freeAddress(),
			Control:             w.freeAddress(),
			Operator:            w.freeAddress(),
			AllowRemoteOperator: true,
		},
		Platform:        w.storeAddress,
		PlatformTimeout: parser.Duration{Duration: 700 * time.Millisecond},
		Key:             "coltsfootlane-of-one-deployment",
		Log:             loader.Log{Level: "info", Format: "json"},
		Sidecar: &loader.Sidecar{
			Service:     service,
			Target:      target,
			Ready:       w.freeAddress(),
			Metrics:     w.freeAddress(),
			Heartbeat:   parser.Duration{Duration: heartbeat},
			GracePeriod: parser.Duration{Duration: grace},
			RetryRatio:  0.2,
			RetrySlack:  58,
			MemoryMiB:   memoryMiB,
		},
	}
	data, err := json.Marshal(d.settings)
	if err != nil {
		return nil, err
	}
	d.path = filepath.Join(w.dir, name+".json")
	w.daemons = append(w.daemons, d)
	return d, os.WriteFile(d.path, data, 0o600)
}

// start starts the process.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(strings.TrimSuffix(d.path, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(d.world.program, "--settings", d.path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited, d.started = cmd, make(chan struct{}), time.Now()
	exited := d.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	d.world.record.add("daemon %s started", d.settings.Name)
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
	d.world.record.add("daemon %s ended by SIGKILL", d.settings.Name)
}

// startedAt returns the time of the last start.
func (d *daemon) startedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// memory returns the anonymous memory of the process in bytes, or 0.
func (d *daemon) memory() int64 {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// ready reports whether the daemon answers the platform's check with 200.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.settings.Sidecar.Ready + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddress returns an address on which nothing listens. Its port is below the
// kernel's range of ephemeral ports, so that no outgoing connection takes it.
func (w *world) freeAddress() string {
	for {
		w.port++
		address := fmt.Sprintf("127.0.0.1:%d", w.port)
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}
