package server

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// logBuffer holds log output. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newTargetDaemon returns a daemon whose target listens at an address, and its log.
func newTargetDaemon(address string) (*Daemon, *logBuffer) {
	logs := &logBuffer{}
	clock := timekeeper.System{}
	settings := loader.Settings{
		Name: "vm-0",
		DC:   "a",
		Key:  "a key for tests only",
	}
	d := New(Options{
		Settings: settings.WithDefaults(),
		Platform: emulator.NewPlatform(clock).Client(),
		Clock:    clock,
		Log:      NewLog(logs, loader.Log{}),
	})
	d.recordHeartbeat(Announcement{
		Service: "renewal",
		Version: "v1",
		Address: address,
		Slots:   10,
	})
	return d, logs
}

// waitForLog waits until the log contains text.
func waitForLog(t *testing.T, logs *logBuffer, text string) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !strings.Contains(logs.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the log does not contain %q:\n%s", text, logs)
		}
	}
}

const testFingerprint = "3571786a9e3820c1"

// forwardToTarget sends a request to the daemon's target, as another daemon does.
func forwardToTarget(d *Daemon, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", "/renewals/1", nil)
	r.Header.Set(forwarder.KeyHeader, d.settings.Key)
	r.Header.Set(forwarder.RequestIDHeader, id)
	r.Header.Set(forwarder.FingerprintHeader, testFingerprint)
	r.Header.Set(forwarder.ServiceHeader, "renewal")
	r.Header.Set(forwarder.VersionHeader, "v1")
	w := httptest.NewRecorder()
	d.admissionHandler().ServeHTTP(w, r)
	return w
}

// startAbortingTarget starts a target that closes the connection of each request
// without a response.
func startAbortingTarget(t *testing.T) (address string) {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(target.Close)
	return target.Listener.Addr().String()
}

func TestBrokenConnectionIsLogged(t *testing.T) {
	d, logs := newTargetDaemon(startAbortingTarget(t))
	if w := forwardToTarget(d, "r-1"); w.Code != http.StatusGatewayTimeout {
		t.Fatalf("status %d, want 504", w.Code)
	}
	waitForLog(t, logs, "connection to the target broke")
	for _, want := range []string{"connection to the target broke", "request=r-1", "fingerprint=" + testFingerprint, "err=EOF", "listening=true"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("the log does not contain %q:\n%s", want, logs)
		}
	}
}

// startExitingTarget starts a target that exits at its first request: it closes the
// connection of the request, then its listening socket once a connection has arrived
// there and exit is closed. It resets that connection, as the kernel does.
func startExitingTarget(t *testing.T, exit <-chan struct{}) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	t.Cleanup(func() {
		_ = ln.Close()
		<-exited
	})
	go func() {
		defer close(exited)
		conn, err := ln.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		_ = conn.Close()
		if conn, err = ln.Accept(); err != nil {
			t.Error(err)
			return
		}
		<-exit
		_ = ln.Close()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	return ln.Addr().String()
}

// isSuspect reports whether the request with testFingerprint is suspect at a daemon.
func isSuspect(t *testing.T, d *Daemon) bool {
	t.Helper()
	isolated, err := d.crashes.Admit(testFingerprint)
	if err != nil {
		t.Fatal(err)
	}
	return isolated
}

func TestCrashIsSeenWhileTargetExits(t *testing.T) {
	exit := make(chan struct{})
	close(exit)
	d, logs := newTargetDaemon(startExitingTarget(t, exit))
	d.crashWait = time.Minute
	if w := forwardToTarget(d, "r-1"); w.Code != http.StatusGatewayTimeout {
		t.Fatalf("status %d, want 504", w.Code)
	}
	if !isSuspect(t, d) {
		t.Errorf("the request that crashed the target is not suspect:\n%s", logs)
	}
}

func TestCrashIsSeenAfterResponse(t *testing.T) {
	exit := make(chan struct{})
	d, logs := newTargetDaemon(startExitingTarget(t, exit))
	d.crashWait = time.Millisecond
	if w := forwardToTarget(d, "r-1"); w.Code != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", w.Code)
	}
	close(exit)
	for end := time.Now().Add(time.Minute); !isSuspect(t, d); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the request that crashed the target is not suspect:\n%s", logs)
		}
	}
}

func TestAbortedRequestIsNotSuspect(t *testing.T) {
	d, logs := newTargetDaemon(startAbortingTarget(t))
	if w := forwardToTarget(d, "r-1"); w.Code != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", w.Code)
	}
	waitForLog(t, logs, "listening=true")
	if isSuspect(t, d) {
		t.Errorf("a request that the target aborted is suspect:\n%s", logs)
	}
}

func TestRefusedConnectionIsNotSuspect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	d, logs := newTargetDaemon(ln.Addr().String())
	d.crashWait = time.Minute
	if w := forwardToTarget(d, "r-1"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", w.Code)
	}
	if isSuspect(t, d) {
		t.Errorf("a request that did not reach the target is suspect:\n%s", logs)
	}
}
