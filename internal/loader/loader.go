// Package loader reads the settings file of a daemon, which is JSON with comments.
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

// Class is the error class of this package.
var Class = errs.Class("settings")

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 64 << 10

// Settings are the settings of a daemon.
type Settings struct {
	// Name is the VM's name, unique among all VMs.
	Name string `json:"name"`
	// DC is the name of the data centre of the VM.
	DC string `json:"dc"`
	// Listen contains the addresses that the daemon listens on.
	Listen Listen `json:"listen"`
	// Advertise contains the addresses under which other daemons reach this one.
	Advertise Advertise `json:"advertise,omitzero"`
	// Platform is the base URL of the platform's key-value service.
	Platform string `json:"platform"`
	// PlatformTimeout is the timeout of a call to the platform.
	PlatformTimeout parser.Duration `json:"patience,omitzero"`
	// Seeds are control addresses of daemons to join through, in addition to those
	// found on the platform.
	Seeds []string `json:"seeds,omitempty"`
	// Key is the key that all daemons share. A daemon rejects peers that do not
	// present it.
	Key string `json:"key"`
	// Log contains the settings of the log.
	Log Log `json:"log,omitzero"`
	// Limits bound requests, the queue and the shutdown of the daemon. They are not
	// used if Sidecar is set; the limits then come from the operators' plan.
	Limits Limits `json:"limits,omitzero"`
	// Sidecar, if set, makes the daemon follow the records of the users' platform
	// instead of coltsfootlane's own configuration log.
	Sidecar *Sidecar `json:"sidecar,omitempty"`
}

// Sidecar contains the settings of a daemon that runs on the users' platform. With
// them Settings.Platform is the address of the platform's store, as IP:port.
type Sidecar struct {
	// Service is the service of the target on the VM, and Target is the target's
	// address as IP:port.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Ready is the address of the readiness check, and Metrics the address where
	// metrics are served, both as IP:port.
	Ready   string `json:"ready"`
	Metrics string `json:"metrics"`
	// Heartbeat is the interval of the target's heartbeats.
	Heartbeat parser.Duration `json:"heartbeat"`
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod parser.Duration `json:"grace"`
	// RetryRatio is the number of retries allowed per request. RetrySlack is
	// the number of retries beyond that ratio that all daemons together may make of a
	// service's requests, however long the period. The token buckets of the retry
	// budget use 60% of it. The rest is reserved for the calls that targets repeat
	// while they run a retried request, and for daemons that are not in the member
	// list yet.
	RetryRatio float64 `json:"retryratio"`
	RetrySlack float64 `json:"retryslack"`
	// StayTargets is the number of targets of a service in the daemon's data centre from
	// which on its requests leave that only if they would miss their objective there. 0
	// means that targets elsewhere are only treated as slower by a fixed time.
	StayTargets int `json:"stay,omitempty"`
	// RevokeWithin is the time after which a key that the operators have removed must be
	// refused everywhere, also by daemons that have lost touch with the store. They refuse
	// all keys when that time has passed since the plan was last known to be the newest. 0
	// means that they accept the keys of the last plan that they know.
	RevokeWithin parser.Duration `json:"revoke,omitzero"`
	// MemoryMiB is the memory limit of the process in MiB.
	MemoryMiB int `json:"memory"`
	// Duties are the calls to the platform that one daemon at a time makes, by the platform's
	// names of them.
	Duties map[string]Duty `json:"duties,omitempty"`
	// Files is the limit of the process's open files; 0 means that of the kernel, which
	// applies also if it is lower.
	Files int `json:"files,omitempty"`
	// Pause is the longest time in which some of a body must arrive from a client.
	Pause parser.Duration `json:"pause,omitzero"`
}

// minRevokeWithin is the lowest RevokeWithin. Daemons learn of the state of the store with a
// delay of up to two seconds.
const minRevokeWithin = 3 * time.Second

// check adds an error to group for each invalid setting.
func (s *Sidecar) check(group *errs.Group) {
	checkAddress("sidecar.target", s.Target, group)
	checkAddress("sidecar.ready", s.Ready, group)
	checkAddress("sidecar.metrics", s.Metrics, group)
	if s.Service == "" {
		group.Add(fmt.Errorf("sidecar.service: want a name"))
	}
	if r := s.RevokeWithin.Duration; r != 0 && r < minRevokeWithin {
		group.Add(fmt.Errorf("sidecar.revoke %v: want at least %v", s.RevokeWithin, minRevokeWithin))
	}
	if s.Heartbeat.Duration <= 0 || s.GracePeriod.Duration <= 0 {
		group.Add(fmt.Errorf("sidecar: want a positive heartbeat and grace"))
	}
	if s.Files < 0 || s.Pause.Duration < 0 {
		group.Add(fmt.Errorf("sidecar: want files and pause of at least 0"))
	}
	if s.StayTargets < 0 {
		group.Add(fmt.Errorf("sidecar.stay: want at least 0"))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.MemoryMiB <= 0 {
		group.Add(fmt.Errorf("sidecar: want retry ratio and slack of at least 0, and positive memory"))
	}
	for name, d := range s.Duties {
		d.check("sidecar.duties."+name, group)
	}
}

// Listen contains the addresses that a daemon listens on, as IP:port.
type Listen struct {
	// Traffic accepts callers' requests.
	Traffic string `json:"traffic"`
	// Admit accepts requests that other daemons forward to the VM's target.
	Admit string `json:"admit"`
	// Control accepts other daemons' control connections.
	Control string `json:"control"`
	// Operator accepts operators' requests and the target's announcements. It
	// must be a loopback address unless AllowRemoteOperator is set.
	Operator string `json:"operator"`
	// AllowRemoteOperator allows an operator address that other machines can reach.
	AllowRemoteOperator bool `json:"open,omitempty"`
}

// Advertise contains the addresses under which other daemons reach a daemon, as
// IP:port. An empty address means the one in Listen.
type Advertise struct {
	Admit   string `json:"admit,omitempty"`
	Control string `json:"control,omitempty"`
}

// AdmitAddress returns the address to which other daemons forward requests.
func (s Settings) AdmitAddress() string { return cmp.Or(s.Advertise.Admit, s.Listen.Admit) }

// ControlAddress returns the address for other daemons' control connections.
func (s Settings) ControlAddress() string { return cmp.Or(s.Advertise.Control, s.Listen.Control) }

// Log contains the settings of the log.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
	// Format is text or json; empty means text.
	Format string `json:"format,omitempty"`
}

// Limits bound requests, the queue and the shutdown of a daemon without Sidecar
// settings. A zero field means the default.
type Limits struct {
	// MaxHeaderSize is the maximum size of a request header in bytes.
	MaxHeaderSize int `json:"header,omitempty"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `json:"body,omitempty"`
	// MaxQueued is the maximum number of requests that wait for the target.
	MaxQueued int `json:"queue,omitempty"`
	// DrainTimeout is the timeout of a graceful shutdown.
	DrainTimeout parser.Duration `json:"drain,omitzero"`
	// IdempotencyWindow is how long an Idempotency-Key is stored. It must be the same
	// on all daemons.
	IdempotencyWindow parser.Duration `json:"window,omitzero"`
}

// Load reads the settings in a file, checks them and sets defaults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Class.Wrap(err)
	}
	return Parse(path, data)
}

// Parse decodes settings, checks them and sets defaults. The name appears only in
// errors. If settings are invalid, the error lists all of them.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	if err := parser.Decode(name, data, maxFileBytes, &s); err != nil {
		return Settings{}, Class.Wrap(err)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, Class.New("%s: %w", name, err)
	}
	return s.WithDefaults(), nil
}

// namePattern matches names of VMs and data centres.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// minKeyBytes is the minimum length of the shared key in bytes.
const minKeyBytes = 16

// Validate returns an error that reports all invalid settings.
func (s Settings) Validate() error {
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
	if err != nil || l.AllowRemoteOperator {
		return
	}
	if ip, err := netip.ParseAddr(host); err == nil && !ip.IsLoopback() {
		group.Add(fmt.Errorf("listen.operator %q is not a loopback address and listen.open is not set", l.Operator))
	}
}

// checkAddress adds an error to group if the address is not IP:port.
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

// maxIdempotencyWindow is the maximum time for which an Idempotency-Key is stored.
// The home data centres store the keys. The window must not exceed
// applier.MinHomesInterval, the minimum time between two changes of these data
// centres. All claims in the previous ones have then expired before the next change.
const maxIdempotencyWindow = time.Hour

func (l Limits) check(group *errs.Group) {
	if l.MaxHeaderSize < 0 || l.MaxBodyBytes < 0 || l.MaxQueued < 0 || l.DrainTimeout.Duration < 0 {
		group.Add(fmt.Errorf("limits: want no negative value"))
	}
	if l.IdempotencyWindow.Duration < 0 || l.IdempotencyWindow.Duration > maxIdempotencyWindow {
		group.Add(fmt.Errorf("limits.window %v: want 0s to %v", l.IdempotencyWindow, maxIdempotencyWindow))
	}
}
