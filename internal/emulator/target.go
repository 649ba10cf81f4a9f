package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// Behaviour configures how a Target serves requests. It may be replaced while the
// target runs. With the zero value, all requests succeed at once.
type Behaviour struct {
	// Work is the service time of a request, in nanoseconds.
	Work time.Duration `json:"work,omitempty"`
	// FailPercent is the percentage of requests that fail with status 500.
	FailPercent int `json:"fail,omitempty"`
	// FailPath limits failures to paths with this prefix.
	FailPath string `json:"path,omitempty"`
	// FailAbove limits failures to times at which more requests than this run
	// at once; 0 means no limit.
	FailAbove int `json:"above,omitempty"`
	// Warmup is the length of a warm-up, in nanoseconds. A warm-up starts with the
	// first request and at each RestartWarmup. During it, requests take ColdFactor
	// times as long.
	Warmup time.Duration `json:"warmup,omitempty"`
	// Shed rejects requests over the slots with status 503. Without it, such
	// requests run, but each takes longer in proportion to the excess at its start.
	Shed bool `json:"shed,omitempty"`
	// CrashMark is the value of CrashHeader that crashes the target.
	CrashMark string `json:"crash,omitempty"`
	// Health is the response of the health endpoint. If it is empty, the response
	// is the actual state, ok or draining.
	Health string `json:"health,omitempty"`
	// Lag is the interval at which the load endpoint's value is updated, in
	// nanoseconds.
	Lag time.Duration `json:"lag,omitempty"`
}

// CrashHeader is the header of a request that crashes targets. See
// Behaviour.CrashMark.
const CrashHeader = "Crash-Mark"

// ColdFactor is the factor by which the service time is longer during a warm-up.
const ColdFactor = 8

// Target is a fake target that a daemon's operator API accepts. It serves HTTP
// requests and sends announcements to the daemon.
type Target struct {
	// Service, Version, Address and Slots are sent in the announcements.
	Service string
	Version string
	Address string
	Slots   int
	// Clock is the system clock if it is nil.
	Clock timekeeper.Clock
	// Crash is called when a request crashes the target. If it is nil, requests
	// cannot crash the target.
	Crash func()
	// BeforeRun is called with the X-Request-Id of each accepted request before it
	// runs. It may be nil.
	BeforeRun func(id string)
	// Warn is called with the error of a failed announcement. It may be nil.
	Warn func(err error)

	behaviour atomic.Pointer[Behaviour]
	served    atomic.Uint64
	cancelled atomic.Uint64
	draining  atomic.Bool

	mu sync.Mutex
	// running is the number of requests in flight, and maxRunning its maximum.
	running    int
	maxRunning int
	// warmupStart is when the last warm-up started.
	warmupStart time.Time
	// reportedLoad is the value of the load endpoint, and loadUpdatedAt when it was
	// last updated.
	reportedLoad  int
	loadUpdatedAt time.Time
	// requestCounts counts the arrivals by request ID.
	requestCounts map[string]int
}

// SetBehaviour replaces the target's behaviour.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// RestartWarmup starts a new warm-up. The daemon is not notified.
func (t *Target) RestartWarmup() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmupStart = t.now()
}

// Drain makes the target reject new requests with status 503. Its announcements
// and, unless Behaviour.Health is set, its health endpoint report the drain.
func (t *Target) Drain() { t.draining.Store(true) }

// Served returns the number of requests that the target has accepted.
func (t *Target) Served() uint64 { return t.served.Load() }

// Cancelled returns the number of accepted requests that the caller cancelled.
func (t *Target) Cancelled() uint64 { return t.cancelled.Load() }

// MaxRunning returns the maximum number of requests that ran at once.
func (t *Target) MaxRunning() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxRunning
}

// Arrivals returns how often a request with the given ID has arrived, including
// rejected ones. Counting stops when maxCountedIDs IDs have been seen.
func (t *Target) Arrivals(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestCounts[id]
}

func (t *Target) now() time.Time {
	if t.Clock == nil {
		return time.Now()
	}
	return t.Clock.Now()
}

// ServeHTTP serves the health and load endpoints. It responds to any other
// request with the service, the version, the path and the size of the request
// body.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := t.currentBehaviour()
	switch r.URL.Path {
	case "/-/health":
		t.serveHealth(w, b)
	case "/-/load":
		_, _ = fmt.Fprintln(w, t.laggingLoad(b))
	default:
		t.serveWork(w, r, b)
	}
}

func (t *Target) currentBehaviour() Behaviour {
	if p := t.behaviour.Load(); p != nil {
		return *p
	}
	return Behaviour{}
}

func (t *Target) serveHealth(w http.ResponseWriter, b Behaviour) {
	health := b.Health
	if health == "" {
		health = "ok"
		if t.draining.Load() {
			health = "draining"
		}
	}
	_, _ = fmt.Fprintln(w, health)
}

// laggingLoad returns the number of requests in flight. The value is updated at most
// once per Lag.
func (t *Target) laggingLoad(b Behaviour) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.now(); now.Sub(t.loadUpdatedAt) >= b.Lag {
		t.reportedLoad, t.loadUpdatedAt = t.running, now
	}
	return t.reportedLoad
}

// serveWork serves a request that is not for the health or load endpoint.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request, b Behaviour) {
	if b.CrashMark != "" && r.Header.Get(CrashHeader) == b.CrashMark && t.Crash != nil {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	running := t.beginRequest(r.Header.Get("X-Request-Id"))
	defer t.endRequest()
	if t.draining.Load() || (b.Shed && running > t.Slots) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "target busy", http.StatusServiceUnavailable)
		return
	}
	n := t.served.Add(1)
	if t.BeforeRun != nil {
		t.BeforeRun(r.Header.Get("X-Request-Id"))
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil || sleep(r.Context(), t.serviceTime(b, running)) != nil {
		t.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if b.fails(n, r.URL.Path, running) {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	t.writeResponse(w, r, size)
}

// bytesParam is the query parameter for the number of bytes to append to the
// response.
const bytesParam = "bytes"

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, size int64) {
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", t.Service, t.Version, r.URL.Path, size)
	extra, err := strconv.ParseInt(r.URL.Query().Get(bytesParam), 10, 64)
	if err != nil {
		return
	}
	_, _ = io.CopyN(w, fillReader{}, extra)
}

// fillReader is an endless reader of the letter x.
type fillReader struct{}

// Read fills p and never fails.
func (fillReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// serviceTime returns the service time of a request. It is longer during a warm-up
// and, in proportion to the excess, if more requests than slots run at its start.
func (t *Target) serviceTime(b Behaviour, running int) time.Duration {
	work := b.Work
	if excess := running - t.Slots; excess > 0 && t.Slots > 0 {
		work += work * time.Duration(excess) / time.Duration(t.Slots)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Warmup > 0 && t.now().Sub(t.warmupStart) < b.Warmup {
		work *= ColdFactor
	}
	return work
}

// maxCountedIDs limits the number of request ids whose arrivals are counted.
const maxCountedIDs = 100_000

// beginRequest records the start of a request and returns the number of
// requests in flight.
func (t *Target) beginRequest(id string) (running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.warmupStart.IsZero() {
		t.warmupStart = t.now()
	}
	if t.requestCounts == nil {
		t.requestCounts = map[string]int{}
	}
	if id != "" && len(t.requestCounts) < maxCountedIDs {
		t.requestCounts[id]++
	}
	t.running++
	t.maxRunning = max(t.maxRunning, t.running)
	return t.running
}

func (t *Target) endRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// fails reports whether the n-th request fails: it does if n modulo 100 is less than
// FailPercent and neither FailPath nor FailAbove excludes the request.
func (b Behaviour) fails(n uint64, path string, running int) bool {
	if !strings.HasPrefix(path, b.FailPath) || running <= b.FailAbove {
		return false
	}
	return int(n%100) < b.FailPercent
}
