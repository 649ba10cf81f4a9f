package server

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

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
	for _, want := range []string{"connection to the target broke", "request=r-1", "fingerprint=" + testFingerprint, "err=EOF", "listening=true"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("the log does not contain %q:\n%s", want, logs)
		}
	}
}
