package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// BackendFaults are the faults that a Backend injects. The zero value injects
// none.
type BackendFaults struct {
	// FailureRate is the fraction of requests that get status 500. They are evenly
	// spaced: with 0.5, every second request fails.
	FailureRate float64
	// Slow is added to the service time of each request.
	Slow time.Duration
	// Hold makes requests run until it is closed, if it isn't nil.
	Hold <-chan struct{}
	// Shed rejects requests with status 503 before they run.
	Shed bool
	// LoseAnswer closes the connection in place of a response after the run.
	LoseAnswer bool
	// SayLeaving says in each response that the target leaves. Its reports do not.
	SayLeaving bool
	// WrongAttemptID sets a wrong attempt ID in the response.
	WrongAttemptID bool
	// OmitLength sends the response without a Content-Length header.
	OmitLength bool
	// Endless sends a response whose head or body doesn't end before the daemon
	// closes the connection.
	Endless Endless
	// Padding is the number of bytes that are added to each response.
	Padding int
	// Discard discards the bodies of requests as they arrive.
	Discard bool
}

// Endless is the part of a response that does not end.
type Endless string

// Parts of a response.
const (
	EndlessHead Endless = "head"
	EndlessBody Endless = "body"
)

// Arrival is a request that reached a Backend.
type Arrival struct {
	ID     string
	Path   string
	Body   string
	Caller string
	// Customer is the X-Tenant header, and Key the Api-Key header.
	Customer, Key string
	// Timeout is the X-Deadline-Ms header: the time left until the deadline, in
	// milliseconds.
	Timeout string
	At      time.Time
	// Ran means that the request ran, that is, it was not rejected.
	Ran bool
}

// Backend is a fake of a target on the users' platform. It serves requests and
// reports its state to a daemon.
type Backend struct {
	Service string
	Version string
	Slots   int
	// Work is the service time of a request.
	Work  time.Duration
	Clock timekeeper.Clock

	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	instance  string
	startedAt time.Time
	// sequence numbers the reports of the instance.
	sequence int
	// warmAt is when the warm-up ends.
	warmAt   time.Time
	draining bool
	// crashBody is the request body that crashes the target, "" for none.
	crashBody string
	faults    BackendFaults
	// failureCredit grows by FailureRate with each request. A request fails when
	// the credit reaches 1.
	failureCredit float64
	arrivals      []Arrival
	// running is the number of requests in flight, and maxRunning its maximum.
	running    int
	maxRunning int
}

// Start listens on an address, IP:port, and serves requests under an instance
// name.
func (b *Backend) Start(address, instance string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = ln
	b.instance = instance
	b.startedAt = b.Clock.Now()
	b.sequence = 0
	b.draining = false
	b.warmAt = time.Time{}
	b.running = 0
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	server := b.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Crash closes the listener and all connections. The daemon is not notified.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.server.Close()
}

// CrashOn makes the target crash when it receives a request with the given body.
func (b *Backend) CrashOn(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashBody = body
}

// Address returns the IP:port on which the target listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// SetSlots replaces the slots that the target reports.
func (b *Backend) SetSlots(slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Slots = slots
}

// SetColdFor makes the target report that it warms up for the given duration.
func (b *Backend) SetColdFor(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmAt = b.Clock.Now().Add(duration)
}

// Instance returns the instance name of the last Start.
func (b *Backend) Instance() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance
}

// SetDraining makes the target report that it drains.
func (b *Backend) SetDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Arrivals returns the requests that have reached the target.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// MaxRunning returns the maximum number of requests that ran at once.
func (b *Backend) MaxRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRunning
}

// Report sends a report of the target's state to the daemon at an address.
// BasePath is the prefix of the URL path. Report returns an error unless the
// daemon responds with status 200.
func (b *Backend) Report(ctx context.Context, daemon, basePath string) error {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service":        b.Service,
		"address":        b.Address(),
		"zone":           "any",
		"version":        b.Version,
		"slots":          b.Slots,
		"state":          state,
		"warmup_left_ms": max(0, b.warmAt.Sub(b.Clock.Now()).Milliseconds()),
		"seq":            b.sequence,
		"born":           b.startedAt.UnixMilli(),
	})
	instance := b.instance
	b.mu.Unlock()
	if err != nil {
		return err
	}
	return callDaemon(ctx, http.MethodPut, daemon, basePath, instance, data)
}

// Deregister removes the target's registration from the daemon at an address.
func (b *Backend) Deregister(ctx context.Context, daemon, basePath string) error {
	return callDaemon(ctx, http.MethodDelete, daemon, basePath, b.Instance(), nil)
}

// callDaemon sends a request about an instance to the daemon at an address. It
// returns an error unless the daemon responds with status 200.
func callDaemon(ctx context.Context, method, daemon, basePath, instance string, data []byte) error {
	url := fmt.Sprintf("http://%s%sinstances/%s", daemon, basePath, instance)
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
		return fmt.Errorf("%s rejected by the daemon: %s", method, resp.Status)
	}
	return nil
}

// serve handles one request.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(b.bodyReader(r))
	if err != nil {
		return
	}
	f, runs, fails := b.recordArrival(r, string(body))
	h := w.Header()
	h.Set("X-Instance-Id", b.instance)
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if !runs {
		status := http.StatusServiceUnavailable
		if r.Header.Get("X-Expect-Instance") != b.instance {
			status = http.StatusMisdirectedRequest
		}
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	end := sync.OnceFunc(b.endRequest)
	defer end()
	if b.crashesOn(string(body)) {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.Work + f.Slow):
	case <-r.Context().Done():
		return
	}
	if f.Hold != nil {
		select {
		case <-f.Hold:
		case <-r.Context().Done():
			return
		}
	}
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.WrongAttemptID {
		h.Set("X-Attempt-Id", "another")
	}
	h.Set("X-Server-Stamp", "stamp-"+b.instance)
	if f.SayLeaving {
		h.Set("Server-Leaving", "1")
	}
	if f.Endless != "" {
		end() // as for other responses, the slot is free once the request has run
		b.sendEndless(w, r, f.Endless)
		return
	}
	if f.OmitLength {
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity")
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s%s", b.instance, r.RequestURI, body, strings.Repeat(" ", f.Padding))
}

// bodyReader returns the body of a request as it is kept.
func (b *Backend) bodyReader(r *http.Request) io.Reader {
	b.mu.Lock()
	discard := b.faults.Discard
	b.mu.Unlock()
	if !discard {
		return r.Body
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return http.NoBody
}

// sendEndless sends a response until the daemon closes the connection.
func (b *Backend) sendEndless(w http.ResponseWriter, r *http.Request, part Endless) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Server-Stamp: stamp\r\nX-Filler: "
	if part == EndlessBody {
		head += "none\r\nConnection: close\r\n\r\n"
	}
	_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(head), fillReader{}))
}

// recordArrival records a request. It returns the current faults, whether the
// request runs, and whether it fails then.
func (b *Backend) recordArrival(r *http.Request, body string) (f BackendFaults, runs, fails bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs = !b.faults.Shed && r.Header.Get("X-Expect-Instance") == b.instance
	b.arrivals = append(b.arrivals, Arrival{
		ID:       r.Header.Get("X-Attempt-Id"),
		Path:     r.RequestURI,
		Body:     body,
		Caller:   r.Header.Get("X-Caller"),
		Customer: strings.Join(r.Header.Values("X-Tenant"), ","),
		Key:      strings.Join(r.Header.Values("Api-Key"), ","),
		Timeout:  r.Header.Get("X-Deadline-Ms"),
		At:       b.Clock.Now(),
		Ran:      runs,
	})
	if !runs {
		return b.faults, false, false
	}
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	b.failureCredit += b.faults.FailureRate
	if b.failureCredit >= 1 {
		b.failureCredit--
		fails = true
	}
	return b.faults, true, fails
}

// crashesOn reports whether a request with the given body crashes the target.
func (b *Backend) crashesOn(body string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashBody != "" && b.crashBody == body
}

// endRequest records the end of a request that ran.
func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
