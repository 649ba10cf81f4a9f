package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// BackendFaults are what goes wrong at a target of the users. The zero value is
// a healthy one.
type BackendFaults struct {
	// FailShare is the part of the requests that fail, in a fixed rhythm.
	FailShare float64
	// Slow is added to the time of each run.
	Slow time.Duration
	// Shed turns requests away before they run.
	Shed bool
	// LoseAnswer closes the connection after the run.
	LoseAnswer bool
	// Spoil answers with another request's name.
	Spoil bool
	// Unframed answers without a length.
	Unframed bool
}

// Arrival is a request that reached the target.
type Arrival struct {
	ID     string
	Path   string
	Body   string
	Caller string
	Left   string
	At     time.Time
	// Ran is set unless it was turned away.
	Ran bool
}

// Backend is the stand-in for a target on the users' platform.
type Backend struct {
	Service string
	Version string
	Slots   int
	// Work is the time of one run.
	Work  time.Duration
	Clock timekeeper.Clock

	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	instance string
	born     time.Time
	sequence int
	warm     time.Time
	leaving  bool
	deadly   string
	faults   BackendFaults
	failures float64
	arrivals []Arrival
	running  int
	most     int
}

// Start listens on an address of the loopback and serves under an instance.
func (b *Backend) Start(address, instance string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = ln
	b.instance = instance
	b.born = b.Clock.Now()
	b.sequence = 0
	b.leaving = false
	b.warm = time.Time{}
	b.running = 0
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	server := b.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Crash ends the target without a word.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.server.Close()
}

// CrashOn makes the target crash when it gets a request with a body.
func (b *Backend) CrashOn(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadly = body
}

// Address returns where the target listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetFaults replaces the faults in force.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// SetCold makes the target report that it warms up for a time.
func (b *Backend) SetCold(left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warm = b.Clock.Now().Add(left)
}

// Instance returns the name of the target's present start.
func (b *Backend) Instance() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance
}

// SetLeaving makes the target report that it drains.
func (b *Backend) SetLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// Arrivals returns the requests that have reached the target.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Most returns the largest number of requests that ran at once.
func (b *Backend) Most() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
}

// Report sends one report to the daemon at an address, under the path that the
// platform uses.
func (b *Backend) Report(ctx context.Context, daemon, base string) error {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service":        b.Service,
		"address":        b.Address(),
		"zone":           "any",
		"version":        b.Version,
		"slots":          b.Slots,
		"state":          state,
		"warmup_left_ms": max(0, b.warm.Sub(b.Clock.Now()).Milliseconds()),
		"seq":            b.sequence,
		"born":           b.born.UnixMilli(),
	})
	instance := b.instance
	b.mu.Unlock()
	if err != nil {
		return err
	}
	return tell(ctx, http.MethodPut, daemon, base, instance, data)
}

// Leave tells the daemon at an address that the target leaves.
func (b *Backend) Leave(ctx context.Context, daemon, base string) error {
	return tell(ctx, http.MethodDelete, daemon, base, b.Instance(), nil)
}

// tell makes a call about an instance to the daemon at an address.
func tell(ctx context.Context, method, daemon, base, instance string, data []byte) error {
	url := fmt.Sprintf("http://%s%sinstances/%s", daemon, base, instance)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s refused: %s", method, resp.Status)
	}
	return nil
}

// serve takes one request.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, ran, fails := b.arrive(r, string(body))
	h := w.Header()
	h.Set("X-Instance-Id", b.instance)
	if !ran {
		status := http.StatusServiceUnavailable
		if r.Header.Get("X-Expect-Instance") != b.instance {
			status = http.StatusMisdirectedRequest
		}
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer b.done()
	if b.isDeadly(string(body)) {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.Work + f.Slow):
	case <-r.Context().Done():
		return
	}
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if f.Spoil {
		h.Set("X-Attempt-Id", "another")
	}
	h.Set("X-Server-Stamp", "stamp-"+b.instance)
	if f.Unframed {
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity")
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", b.instance, r.RequestURI, body)
}

// arrive notes a request and says what becomes of it.
func (b *Backend) arrive(r *http.Request, body string) (f BackendFaults, ran, fails bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ran = !b.faults.Shed && r.Header.Get("X-Expect-Instance") == b.instance
	b.arrivals = append(b.arrivals, Arrival{
		ID:     r.Header.Get("X-Attempt-Id"),
		Path:   r.RequestURI,
		Body:   body,
		Caller: r.Header.Get("X-Caller"),
		Left:   r.Header.Get("X-Deadline-Ms"),
		At:     b.Clock.Now(),
		Ran:    ran,
	})
	if !ran {
		return b.faults, false, false
	}
	b.running++
	b.most = max(b.most, b.running)
	b.failures += b.faults.FailShare
	if b.failures >= 1 {
		b.failures--
		fails = true
	}
	return b.faults, true, fails
}

func (b *Backend) isDeadly(body string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deadly != "" && b.deadly == body
}

func (b *Backend) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
