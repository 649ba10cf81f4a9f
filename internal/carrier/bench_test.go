package carrier_test

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

// BenchmarkSend measures attempts with a small body and a small response.
func BenchmarkSend(b *testing.B) {
	s := newServer(func(ctx context.Context, _ *carrier.Attempt) (*carrier.TargetResponse, error) {
		carrier.Acknowledge(ctx)
		return &carrier.TargetResponse{
			Status: 200,
			Body:   make([]byte, 200),
			Load:   chooser.Load{Running: 1, Slots: 6, ServiceTime: 20 * time.Millisecond},
		}, nil
	})
	defer s.Close()
	client := newClient()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Send(b.Context(), s.Listener.Addr().String(), attempt(matcher.Idempotent, "")); err != nil {
			b.Fatal(err)
		}
	}
}
