// Package loader reads a daemon's settings: one file in JSON with comments.
package loader

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Class is the class of the errors of this package.
var Class = errs.Class("settings")

// maxFileBytes is the size of the largest settings file that is read.
const maxFileBytes = 64 << 10

// Settings are what a daemon is told when it starts.
type Settings struct {
	// Name is the VM's name, unique among all VMs.
	Name string `json:"name"`
	// DC is the data centre that the VM stands in.
	DC string `json:"dc"`
	// Listen holds the daemon's own addresses.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses that other daemons call.
	Advertise Advertise `json:"advertise,omitzero"`
	// Platform is the base URL of the platform's key-value service.
	Platform string `json:"platform"`
	// Patience bounds one call to the platform.
	Patience parser.Duration `json:"patience,omitzero"`
	// Seeds are control addresses of daemons to join by when the platform
	// cannot be reached.
	Seeds []string `json:"seeds,omitempty"`
	// Key is shared by all daemons; a peer without it is turned away.
	Key string `json:"key"`
	// Log says what is logged, and how.
	Log Log `json:"log,omitzero"`
	// Limits bound what the daemon takes in.
	Limits Limits `json:"limits,omitzero"`
	// Sidecar makes the daemon follow the records of its users' platform in
	// place of coltsfootlane's own log; nil means the log.
	Sidecar *Sidecar `json:"sidecar,omitempty"`
}

// Sidecar is what a daemon is told that runs on its users' platform. Platform is
// then the address of the platform's store, as IP:port.
type Sidecar struct {
	// Service is the one that the target on the VM belongs to, and Target the
	// target's address.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Ready is where the platform asks whether the daemon takes requests, and
	// Metrics where counters are served.
	Ready   string `json:"ready"`
	Metrics string `json:"metrics"`
	// Heartbeat is how often the target reports.
	Heartbeat parser.Duration `json:"heartbeat"`
	// Grace is the time between the order to stop and the kill.
	Grace parser.Duration `json:"grace"`
	// RetryRatio is the number of repeats a request pays for, and RetrySlack
	// what the whole system may send beyond that in its window.
	RetryRatio float64 `json:"retryratio"`
	RetrySlack float64 `json:"retryslack"`
	// Memory is what the process may use, in megabytes.
	Memory int `json:"memory"`
}

// check reports everything that is wrong with the sidecar's settings.
func (s *Sidecar) check(group *errs.Group) {
	checkAddress("sidecar.target", s.Target, group)
	checkAddress("sidecar.ready", s.Ready, group)
	checkAddress("sidecar.metrics", s.Metrics, group)
	if s.Service == "" {
		group.Add(fmt.Errorf("sidecar.service: want a name"))
	}
	if s.Heartbeat.Duration <= 0 || s.Grace.Duration <= 0 {
		group.Add(fmt.Errorf("sidecar: want a positive heartbeat and grace"))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.Memory <= 0 {
		group.Add(fmt.Errorf("sidecar: want no negative retry ratio or slack, and some memory"))
	}
}

// Listen holds addresses as IP:port.
type Listen struct {
	// Traffic takes callers' requests.
	Traffic string `json:"traffic"`
	// Admit takes requests that other daemons forward.
	Admit string `json:"admit"`
	// Control takes other daemons' control connections.
	Control string `json:"control"`
	// Operator takes operators' requests and the target's announcements. It
	// is to be a loopback address unless Open is set.
	Operator string `json:"operator"`
	// Open allows the operator address to be one that others can reach.
	Open bool `json:"open,omitempty"`
}

// Advertise holds addresses as IP:port; empty ones are those that the daemon
// listens on.
type Advertise struct {
	Admit   string `json:"admit,omitempty"`
	Control string `json:"control,omitempty"`
}

// AdmitAddress returns where other daemons send requests.
func (s Settings) AdmitAddress() string { return cmp.Or(s.Advertise.Admit, s.Listen.Admit) }

// ControlAddress returns where other daemons make control connections.
func (s Settings) ControlAddress() string { return cmp.Or(s.Advertise.Control, s.Listen.Control) }

// Log says what is logged, and how.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
	// Format is text or json; empty means text.
	Format string `json:"format,omitempty"`
}

// Limits bound what a daemon takes in; zero fields mean the defaults.
type Limits struct {
	// Header is the largest request header, in bytes.
	Header int `json:"header,omitempty"`
	// Body is the largest request body, in bytes.
	Body int64 `json:"body,omitempty"`
	// Queue is the number of requests that may wait for the target.
	Queue int `json:"queue,omitempty"`
	// Drain bounds a graceful shutdown.
	Drain parser.Duration `json:"drain,omitzero"`
	// Window is how long an Idempotency-Key is remembered; it has to be the
	// same at all daemons.
	Window parser.Duration `json:"window,omitzero"`
}

// Load reads, checks and completes the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Class.Wrap(err)
	}
	return Parse(path, data)
}

// Parse reads, checks and completes settings; the name is used in errors only.
// All errors are reported together.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	if err := parser.Decode(name, data, maxFileBytes, &s); err != nil {
		return Settings{}, Class.Wrap(err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, Class.New("%s: %w", name, err)
	}
	return s.WithDefaults(), nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// minKeyBytes is the length of the shortest key that is accepted.
const minKeyBytes = 16

// Check reports everything that is wrong with the settings.
func (s Settings) Check() error {
	var group errs.Group
	if !namePattern.MatchString(s.Name) {
		group.Add(fmt.Errorf("name %q: want 1 to 63 of a-z, 0-9, '-' and '.'", s.Name))
	}
	if !namePattern.MatchString(s.DC) {
		group.Add(fmt.Errorf("dc %q: want 1 to 63 of a-z, 0-9, '-' and '.'", s.DC))
	}
	if s.Platform == "" {
		group.Add(fmt.Errorf("platform: want a base URL"))
	}
	if len(s.Key) < minKeyBytes {
		group.Add(fmt.Errorf("key: want at least %d bytes", minKeyBytes))
	}
	s.Listen.check(&group)
	if s.Advertise != (Advertise{}) {
		checkAddress("advertise.admit", s.AdmitAddress(), &group)
		checkAddress("advertise.control", s.ControlAddress(), &group)
	}
	for _, seed := range s.Seeds {
		checkAddress("seeds", seed, &group)
	}
	s.Log.check(&group)
	s.Limits.check(&group)
	if s.Sidecar != nil {
		s.Sidecar.check(&group)
	}
	return group.Err()
}

func (l Listen) check(group *errs.Group) {
	checkAddress("listen.traffic", l.Traffic, group)
	checkAddress("listen.admit", l.Admit, group)
	checkAddress("listen.control", l.Control, group)
	checkAddress("listen.operator", l.Operator, group)
	host, _, err := net.SplitHostPort(l.Operator)
	if err != nil || l.Open {
		return
	}
	if ip, err := netip.ParseAddr(host); err == nil && !ip.IsLoopback() {
		group.Add(fmt.Errorf("listen.operator %q is not a loopback address and listen.open is not set", l.Operator))
	}
}

func checkAddress(key, address string, group *errs.Group) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		group.Add(fmt.Errorf("%s %q: want IP:port", key, address))
	}
}

func (l Log) check(group *errs.Group) {
	switch l.Level {
	case "", "debug", "info", "warn", "error":
	default:
		group.Add(fmt.Errorf("log.level %q: want debug, info, warn or error", l.Level))
	}
	switch l.Format {
	case "", "text", "json":
	default:
		group.Add(fmt.Errorf("log.format %q: want text or json", l.Format))
	}
}

// maxWindow is the longest time for which keys are remembered: home data
// centres are not changed more often.
const maxWindow = time.Hour

func (l Limits) check(group *errs.Group) {
	if l.Header < 0 || l.Body < 0 || l.Queue < 0 || l.Drain.Duration < 0 {
		group.Add(fmt.Errorf("limits: want no negative value"))
	}
	if l.Window.Duration < 0 || l.Window.Duration > maxWindow {
		group.Add(fmt.Errorf("limits.window %v: want 0s to %v", l.Window, maxWindow))
	}
}
