package generator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/generator"
)

// TestStallRaisesLatencies stalls a server once. The open-loop load must measure the
// stall in all calls that were scheduled during it, not only in one. Failed calls
// must not count as latencies.
func TestStallRaisesLatencies(t *testing.T) {
	release := make(chan struct{})
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer slow.Close()
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	results := generator.Run(t.Context(), generator.Options{
		Endpoints: []generator.Endpoint{
			{Name: "slow", URL: slow.URL},
			{Name: "broken", URL: broken.URL},
		},
		Rate:        200,
		Duration:    200 * time.Millisecond,
		Seed:        1,
		Connections: 8,
	})
	if n := results[0].Latencies.TotalCount(); n < 2 || results[0].Latencies.ValueAtQuantile(50) < 50_000 {
		t.Errorf("stalled server: %d calls, median %d us; want at least 2 calls and 50000 us", n, results[0].Latencies.ValueAtQuantile(50))
	}
	if results[1].Failed == 0 || results[1].Latencies.TotalCount() != 0 {
		t.Errorf("broken server: got %+v, want only failures", results[1])
	}
}
