package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// TestTargetAfterWaitForConnection guards against a request that reaches a target which left or
// was replaced while the request waited for a connection, and against a time budget from before
// the wait.
func TestTargetAfterWaitForConnection(t *testing.T) {
	const wait, timeLeft = time.Second, 10 * time.Second
	newLocal := func(address string) *forwarder.Local {
		return &forwarder.Local{
			Service: "renewal",
			Version: "v1",
			Address: address,
			Limiter: limiter.New(limiter.Options{Slots: 1, Clock: timekeeper.System{}}),
		}
	}
	for name, test := range map[string]struct {
		next func(l *forwarder.Local) *forwarder.Local
		want int
	}{
		"unchanged": {next: func(l *forwarder.Local) *forwarder.Local { return l }, want: http.StatusOK},
		"left":      {next: func(*forwarder.Local) *forwarder.Local { return nil }, want: http.StatusServiceUnavailable},
		"replaced":  {next: func(l *forwarder.Local) *forwarder.Local { return newLocal(l.Address) }, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			left := make(chan string, 1)
			target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				left <- r.Header.Get(forwarder.TimeoutHeader)
			}))
			defer target.Close()
			var local atomic.Pointer[forwarder.Local]
			local.Store(newLocal(target.Listener.Addr().String()))
			tr := forwarder.NewTransport(1)
			dial := tr.DialContext
			tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				time.Sleep(wait)
				local.Store(test.next(local.Load()))
				return dial(ctx, network, address)
			}
			r := httptest.NewRequest("GET", "/look", nil)
			for name, value := range map[string]string{
				forwarder.KeyHeader:     testKey,
				forwarder.ServiceHeader: "renewal",
				forwarder.VersionHeader: "v1",
				forwarder.TimeoutHeader: strconv.FormatInt(timeLeft.Milliseconds(), 10),
			} {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			(&forwarder.Admission{
				Key:       testKey,
				Local:     local.Load,
				Transport: tr,
				Clock:     timekeeper.System{},
				Revision:  func() uint64 { return 1 },
				OnOutcome: func(*forwarder.Local, *http.Request, limiter.Outcome) {},
			}).ServeHTTP(w, r)
			if w.Code != test.want {
				t.Fatalf("status %d, want %d", w.Code, test.want)
			}
			if test.want != http.StatusOK {
				if verdict := w.Header().Get(forwarder.VerdictHeader); verdict != classifier.NotRun.String() || len(left) > 0 {
					t.Errorf("verdict %q, %d requests at the target; want not-run and none", verdict, len(left))
				}
				return
			}
			if ms, err := strconv.Atoi(<-left); err != nil || time.Duration(ms)*time.Millisecond > timeLeft-wait {
				t.Errorf("the target was given %d ms, error %v; want at most %v", ms, err, timeLeft-wait)
			}
		})
	}
}
