package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

// TestSilentAttemptIsGivenUpOnlyForRetry guards against failing a request that a target runs.
func TestSilentAttemptIsGivenUpOnlyForRetry(t *testing.T) {
	const late = 700 * time.Millisecond
	for name, test := range map[string]struct {
		retries  int
		attempts int
	}{
		"no retry left":  {retries: 0, attempts: 1},
		"one retry left": {retries: 1, attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			s := httptest.NewServer(&carrier.Server{
				Key: "key",
				Deliver: func(context.Context, *carrier.Attempt) (*carrier.TargetResponse, error) {
					if received.Add(1) == 1 {
						time.Sleep(late)
					}
					return &carrier.TargetResponse{Status: http.StatusOK, Header: http.Header{}}, nil
				},
				MaxBody: func() int64 { return 1 << 20 },
			})
			t.Cleanup(s.Close)
			client := carrier.Client{
				Key:       "key",
				Transport: forwarder.NewTransport(4),
				OnSilent:  func(string) {},
			}
			r := newHarness(matcher.Idempotent, 3)
			r.RetryBudget.SetLimits(0, 0)
			if test.retries == 0 {
				for r.RetryBudget.TryWithdraw("s", 1) {
				}
			}
			r.Send = func(ctx context.Context, _ string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
				return client.Send(ctx, s.Listener.Addr().String(), a)
			}
			if resp := r.call("/pay/1", ""); resp.Status != http.StatusOK {
				t.Errorf("status %d, want 200", resp.Status)
			}
			if got := r.lastResult.Attempts; got != test.attempts {
				t.Errorf("%d attempts, want %d", got, test.attempts)
			}
		})
	}
}
