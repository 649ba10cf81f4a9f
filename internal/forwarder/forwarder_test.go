package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/retrier"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

const (
	testKey = "a key for tests only"
	maxBody = 64 << 20
	// maxWait bounds every wait. A passing test does not reach it.
	maxWait = 30 * time.Second
)

// path is a forwarding path: an Entry, and an Admission server in front of each
// target.
type path struct {
	entry    *forwarder.Entry
	url      string
	outcomes chan limiter.Outcome
	members  []prober.Member
}

// newTestPath starts an Entry server and, for each handler, a target with an
// Admission server in front of it.
func newTestPath(t *testing.T, targets ...http.Handler) *path {
	t.Helper()
	p := &path{outcomes: make(chan limiter.Outcome, 1000)}
	for _, h := range targets {
		target := httptest.NewServer(h)
		t.Cleanup(target.Close)
		p.addTarget(t, target.Listener.Addr().String())
	}
	p.serveEntry(t)
	return p
}

// addTarget starts an Admission server in front of the target at address and adds
// it as a member.
func (p *path) addTarget(t *testing.T, address string) {
	t.Helper()
	local := &forwarder.Local{
		Service: "renewal",
		Version: "v1",
		Address: address,
		Limiter: limiter.New(limiter.Options{
			Slots:     10,
			MaxQueued: 16,
			Clock:     timekeeper.System{},
		}),
	}
	srv := httptest.NewServer(&forwarder.Admission{
		Key:       testKey,
		Local:     func() *forwarder.Local { return local },
		Transport: transport(t),
		Clock:     timekeeper.System{},
		Revision:  func() uint64 { return 1 },
		OnOutcome: func(_ *forwarder.Local, _ *http.Request, o limiter.Outcome) { p.outcomes <- o },
	})
	t.Cleanup(srv.Close)
	p.addMember(srv.Listener.Addr().String())
}

// addMember adds a member whose daemon accepts forwarded requests at address.
func (p *path) addMember(address string) {
	p.members = append(p.members, prober.Member{
		ID:    fmt.Sprintf("vm-%d", len(p.members)),
		DC:    "a",
		Admit: address,
		Target: &prober.Target{
			Service: "renewal",
			Version: "v1",
			Slots:   10,
		},
	})
}

// serveEntry starts the Entry server.
func (p *path) serveEntry(t *testing.T) {
	t.Helper()
	view := testView(t)
	retries := &retrier.Retrier{Clock: timekeeper.System{}}
	p.entry = &forwarder.Entry{
		Key:        testKey,
		DC:         "a",
		View:       func() *forwarder.View { return view },
		Serving:    func(string, string) []prober.Member { return p.members },
		Balancer:   balancer.New(timekeeper.System{}),
		Transport:  transport(t),
		MaxBody:    maxBody,
		Middleware: retries.Middleware,
	}
	srv := httptest.NewServer(p.entry)
	t.Cleanup(srv.Close)
	p.url = srv.URL
}

func transport(t *testing.T) *http.Transport {
	t.Helper()
	tr := forwarder.NewTransport(64)
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// testView returns a view with the idempotent routes /look and /hurry and the
// non-idempotent route /pay.
func testView(t *testing.T) *forwarder.View {
	t.Helper()
	base := &applier.State{}
	entry, err := base.NewEntry("id", "test", time.Now(), applier.Change{Services: []parser.Service{{
		Name: "renewal",
		Versions: []parser.Version{{
			Name:  "v1",
			Share: 100,
		}},
		Routes: []parser.Route{
			{Path: "/look"},
			{Path: "/hurry", Timeout: parser.Duration{Duration: 200 * time.Millisecond}},
			{Path: "/pay", NonIdempotent: true, Timeout: parser.Duration{Duration: maxWait}},
		},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	state, err := base.Apply(entry)
	if err != nil {
		t.Fatal(err)
	}
	return &forwarder.View{
		Revision: state.Revision(),
		Table:    router.NewTable(state),
	}
}

// call sends one request and returns the status, verdict and body of the
// response.
func (p *path) call(t *testing.T, method, path string, body io.Reader) (status int, verdict, text string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, p.url+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(forwarder.VerdictHeader), string(data), err
}

var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %d", r.Method, n)
})

func TestResponsesAreRelayed(t *testing.T) {
	p := newTestPath(t, echo)
	for _, tt := range []struct{ method, body, want string }{
		{"GET", "", "GET 0"},
		{"HEAD", "", ""},
		{"POST", "", "POST 0"},
		{"POST", "12 euro", "POST 7"},
		{"PUT", strings.Repeat("x", 1<<20), "PUT 1048576"},
	} {
		status, _, text, err := p.call(t, tt.method, "/pay", strings.NewReader(tt.body))
		if status != 200 || text != tt.want || err != nil {
			t.Errorf("%s of %d bytes: status %d, body %q, error %v; want status 200 and the target's body", tt.method, len(tt.body), status, text, err)
		}
	}
}

func TestTargetCannotSetVerdict(t *testing.T) {
	p := newTestPath(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(forwarder.VerdictHeader, classifier.NotRun.String())
		_, _ = io.WriteString(w, "ran")
	}))
	status, verdict, text, err := p.call(t, "POST", "/pay", nil)
	if status != 200 || verdict != "" || text != "ran" || err != nil {
		t.Errorf("status %d, verdict %q, body %q, error %v; want status 200, no verdict and body \"ran\"", status, verdict, text, err)
	}
}

// closingServer is a server that responds to the given number of requests on
// each connection. It closes the connection after it has read the next request.
type closingServer struct {
	responses int
	reads     atomic.Int64
}

func (s *closingServer) listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	return ln.Addr().String()
}

func (s *closingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.reads.Add(1)
		if n >= s.responses {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for responses := range 2 {
			t.Run(fmt.Sprint(method, " on a connection after ", responses, " requests"), func(t *testing.T) {
				p := &path{outcomes: make(chan limiter.Outcome, 10)}
				server := &closingServer{responses: responses}
				for range 3 {
					p.addMember(server.listen(t))
				}
				p.members = p.members[:1]
				p.serveEntry(t)
				for range responses {
					if status, _, _, err := p.call(t, method, "/pay", nil); status != 200 {
						t.Fatal(status, err)
					}
				}
				p.members = p.members[:3]
				before := server.reads.Load()
				for server.reads.Load() == before {
					status, verdict, _, err := p.call(t, method, "/pay", nil)
					if status == 200 {
						before = server.reads.Load()
						continue
					}
					if verdict != classifier.MayHaveRun.String() {
						t.Errorf("verdict %q, error %v; want may-have-run", verdict, err)
					}
				}
				if n := server.reads.Load() - before; n != 1 {
					t.Errorf("a non-idempotent request was read %d times, want once", n)
				}
			})
		}
	}
}

func TestNonIdempotentRequestIsNotResentToTarget(t *testing.T) {
	server := &closingServer{responses: 1}
	p := &path{outcomes: make(chan limiter.Outcome, 10)}
	p.addTarget(t, server.listen(t))
	p.serveEntry(t)
	if status, _, _, err := p.call(t, "PUT", "/pay", nil); status != 200 {
		t.Fatal(status, err)
	}
	_, verdict, _, _ := p.call(t, "PUT", "/pay", nil)
	if server.reads.Load() != 2 || verdict != classifier.MayHaveRun.String() {
		t.Errorf("the target read %d requests and the verdict is %q, want 2 and may-have-run", server.reads.Load(), verdict)
	}
}

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	p := newTestPath(t, echo)
	server := &closingServer{}
	p.addMember(server.listen(t))
	for range 30 {
		if status, verdict, _, err := p.call(t, "GET", "/look", nil); status != 200 {
			t.Fatalf("status %d, verdict %q, error %v; want status 200", status, verdict, err)
		}
	}
	if server.reads.Load() == 0 {
		t.Error("no request reached the failing target, want some")
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	p := newTestPath(t)
	p.addMember(ln.Addr().String())
	status, verdict, _, err := p.call(t, "POST", "/pay", strings.NewReader("x"))
	if status != 503 || verdict != classifier.NotRun.String() {
		t.Errorf("status %d, verdict %q, error %v; want 503 and not-run", status, verdict, err)
	}
	other := newTestPath(t, echo)
	p.members = append(p.members, other.members...)
	p.members[1].ID = "vm-1"
	for range 20 {
		status, verdict, _, err = p.call(t, "POST", "/pay", strings.NewReader("x"))
		if status != 200 {
			t.Fatalf("with another target: status %d, verdict %q, error %v; want status 200", status, verdict, err)
		}
	}
}

func TestTruncatedResponseIsDetected(t *testing.T) {
	for name, length := range map[string]string{"with a length": "1000000", "in chunks": ""} {
		t.Run(name, func(t *testing.T) {
			p := newTestPath(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, strings.Repeat("half", 50_000))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			truncated := 0
			for range 50 {
				status, verdict, text, err := p.call(t, "GET", "/look", nil)
				if err == nil && (status == 200 || verdict != classifier.MayHaveRun.String()) {
					t.Fatalf("a truncated response looks complete: status %d, body %q; want an error or verdict may-have-run", status, text)
				}
				if err != nil {
					truncated++
				}
			}
			if truncated == 0 {
				t.Error("no response was truncated after its headers, want some")
			}
		})
	}
}

func TestHTTP10IsRefused(t *testing.T) {
	p := newTestPath(t, echo)
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /look HTTP/1.0\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 505 || resp.Header.Get(forwarder.VerdictHeader) != classifier.NotRun.String() {
		t.Errorf("status %d, headers %v; want 505 and verdict not-run", resp.StatusCode, resp.Header)
	}
}

// countingBody is a body of zero bytes that counts the bytes read.
type countingBody struct {
	length int64
	read   atomic.Int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	n := min(int64(len(p)), b.length-b.read.Load())
	if n == 0 {
		return 0, io.EOF
	}
	clear(p[:n])
	b.read.Add(n)
	return int(n), nil
}

// upload sends a request with Expect: 100-continue and returns the status and
// body of the response.
func (p *path) upload(t *testing.T, b *countingBody) (int, string, error) {
	t.Helper()
	tr := &http.Transport{ExpectContinueTimeout: maxWait}
	defer tr.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", p.url+"/pay", b)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = b.length
	req.Header.Set("Expect", "100-continue")
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func TestRefusedUploadIsNotRead(t *testing.T) {
	p := newTestPath(t)
	refusing := httptest.NewServer(&forwarder.Admission{
		Key:      testKey,
		Local:    func() *forwarder.Local { return nil },
		Revision: func() uint64 { return 1 },
	})
	defer refusing.Close()
	p.addMember(refusing.Listener.Addr().String())
	b := &countingBody{length: 10 << 20}
	status, text, err := p.upload(t, b)
	if status != 503 || !strings.Contains(text, `"not-run"`) || b.read.Load() != 0 {
		t.Errorf("status %d, body %q, error %v, %d bytes read; want 503, not-run and 0 bytes", status, text, err, b.read.Load())
	}
	other := newTestPath(t, echo)
	p.members = append(p.members, other.members...)
	p.members[1].ID = "vm-1"
	for range 10 {
		status, text, err = p.upload(t, &countingBody{length: 1 << 20})
		if status != 200 || text != "POST 1048576" {
			t.Fatalf("with another target: status %d, body %q, error %v; want 200 and POST 1048576", status, text, err)
		}
	}
}

func TestBodyOverLimit(t *testing.T) {
	var complete atomic.Bool
	p := newTestPath(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			complete.Store(true)
		}
	}))
	p.entry.MaxBody = 1 << 20
	status, verdict, _, err := p.call(t, "POST", "/pay", strings.NewReader(strings.Repeat("x", 1<<20+1)))
	if status != 413 || verdict != classifier.NotRun.String() {
		t.Errorf("with Content-Length: status %d, verdict %q, error %v; want 413 and not-run", status, verdict, err)
	}
	status, verdict, _, err = p.call(t, "POST", "/pay", io.MultiReader(&countingBody{length: 1<<20 + 1}))
	if err == nil && (status != 413 || verdict != classifier.MayHaveRun.String()) {
		t.Errorf("chunked: status %d, verdict %q; want 413 and may-have-run", status, verdict)
	}
	if complete.Load() {
		t.Error("a body over the limit reached the target as complete, want a broken one")
	}
}

func TestDeadlineReachesTarget(t *testing.T) {
	timeouts := make(chan string, 1)
	ended := make(chan error, 1)
	p := newTestPath(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get(forwarder.TimeoutHeader)
		<-r.Context().Done()
		ended <- r.Context().Err()
	}))
	status, verdict, _, err := p.call(t, "GET", "/hurry", nil)
	if status != 504 || verdict != classifier.MayHaveRun.String() {
		t.Errorf("status %d, verdict %q, error %v; want 504 and may-have-run", status, verdict, err)
	}
	var ms int
	if _, err := fmt.Sscan(<-timeouts, &ms); err != nil || ms < 1 || ms > 200 {
		t.Errorf("timeout header at the target: %d ms, error %v; want 1 to 200 ms", ms, err)
	}
	waitFor(t, "cancellation at the target", ended)
}

func TestCallerDisconnectCancelsTarget(t *testing.T) {
	started, ended := make(chan error, 1), make(chan error, 1)
	p := newTestPath(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- nil
		<-r.Context().Done()
		ended <- r.Context().Err()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, "GET", p.url+"/look", nil)
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		done <- err
	}()
	waitFor(t, "the request at the target", started)
	cancel()
	waitFor(t, "the end of the call", done)
	waitFor(t, "cancellation at the target", ended)
	select {
	case o := <-p.outcomes:
		if o.Failed || !o.Aborted {
			t.Errorf("outcome of a request cancelled by its caller: %+v, want Aborted and not Failed", o)
		}
	case <-time.After(maxWait):
		t.Error("no outcome within the maximum wait, want one")
	}
}

func waitFor[T any](t *testing.T, what string, c <-chan T) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(maxWait):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// TestUploadsAreNotBuffered sends 160 MB in concurrent bodies of 20 MB. The
// heap, which holds the daemons, targets and callers, must stay within a
// daemon's 128 MB.
func TestUploadsAreNotBuffered(t *testing.T) {
	const uploads, size, maxBytes = 8, 20 << 20, 128 << 20
	p := newTestPath(t, echo, echo)
	stop, highest := make(chan struct{}), make(chan uint64)
	go func() { highest <- maxHeap(stop) }()
	var group sync.WaitGroup
	for range uploads {
		group.Go(func() {
			status, text, err := p.upload(t, &countingBody{length: size})
			if status != 200 && !strings.Contains(text, `"not-run"`) {
				t.Errorf("status %d, body %q, error %v; want status 200 or not-run", status, text, err)
			}
		})
	}
	group.Wait()
	close(stop)
	if h := <-highest; h > maxBytes {
		t.Errorf("heap of %d bytes, want at most %d", h, maxBytes)
	}
}

// maxHeap returns the maximum heap in use, in bytes, until stop is closed.
func maxHeap(stop <-chan struct{}) uint64 {
	var highest uint64
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		highest = max(highest, stats.HeapInuse)
		select {
		case <-stop:
			return highest
		case <-time.After(10 * time.Millisecond):
		}
	}
}
