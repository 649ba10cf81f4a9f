package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// host is the host of all routes.
const host = "ficu95.example"

// world is a small deployment: the platform's store, daemons, backends and consumers.
type world struct {
	record       *record
	program      string
	trouble      bool
	dir          string
	port         int
	store        *emulator.Records
	storeAddress string
	storeServer  *http.Server
	daemons      []*daemon
	backends     []*backend

	mu   sync.Mutex
	sent []*sent
}

func newWorld(r *record, program string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		record:  r,
		program: program,
		trouble: trouble,
		dir:     dir,
		port:    12000 + os.Getpid()%256*64,
		store:   emulator.NewRecords(timekeeper.System{}),
	}
	w.storeAddress = w.freeAddress()
	ln, err := net.Listen("tcp", w.storeAddress)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	w.storeServer = &http.Server{Handler: w.store.Handler(names.BasePath)}
	go func() { _ = w.storeServer.Serve(ln) }()
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, b := range w.backends {
		b.stop()
	}
	_ = w.storeServer.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
}

// declare writes the configuration to the store, as the operator does.
func (w *world) declare(version int, routes ...route) error {
	var rules []map[string]any
	services := map[string]bool{}
	for i, r := range routes {
		services[r.service] = true
		rules = append(rules, map[string]any{
			"name":              fmt.Sprintf("r-%d", i),
			"kind":              r.kind,
			"target_latency_ms": 300,
			"priority":          1,
			"match":             map[string]any{"prefix": r.prefix},
			"action":            map[string]any{"service": r.service, "timeout_ms": r.timeout.Milliseconds(), "attempts": 2},
		})
	}
	var clusters []map[string]any
	for service := range services {
		clusters = append(clusters, map[string]any{
			"name":         service,
			"health_path":  "/healthz",
			"max_conns":    130,
			"protocol":     "h1",
			"tls":          false,
			"warmup_s":     warmup.Seconds(),
			"warmup_per_s": warmupPerSecond,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    maxBodyBytes,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		return err
	}
	revision := w.store.Put(names.ConfigKey, value)
	w.record.add("operator wrote configuration r%d at revision %d: %s", version, revision, value)
	return nil
}

// Figures of the site files and of the example of the configuration.
const (
	warmup          = 3 * time.Second
	warmupPerSecond = 21
	maxBodyBytes    = 67108864
)

// startAll starts all daemons and backends, and waits until each daemon is ready and
// has been in touch.
func (w *world) startAll() error {
	for _, b := range w.backends {
		if err := b.start(0); err != nil {
			return err
		}
	}
	for i, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
		if i < len(w.backends) {
			w.backends[i].beat(d)
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s not ready", d.settings.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime + time.Second)
	return nil
}

func (w *world) keepSent(x *sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, x)
}

// sentByID returns the consumers' requests by their IDs.
func (w *world) sentByID() map[string]*sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	byID := map[string]*sent{}
	for _, x := range w.sent {
		byID[x.id] = x
	}
	return byID
}
