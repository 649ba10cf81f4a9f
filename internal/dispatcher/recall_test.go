package dispatcher_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// TestRecallLate guards against requests that wait until the process ends without a response,
// against recalls of those that are answered in time, and against a promise for one that may
// have run.
func TestRecallLate(t *testing.T) {
	const timeLeft = 800 * time.Millisecond
	notRun := classifier.NewFailure(classifier.NotRun, "recalled", nil)
	for name, test := range map[string]struct {
		// end is the time from the request to the end of the process.
		end time.Duration
		// begun means that a target may run the request.
		begun    bool
		steps    []step
		status   int
		recalled bool
	}{
		"waits past the end":            {end: 700 * time.Millisecond, status: http.StatusServiceUnavailable, recalled: true},
		"deadline before the end":       {end: 900 * time.Millisecond, status: http.StatusOK},
		"long before the end":           {end: 10 * time.Second, status: http.StatusOK},
		"begun":                         {end: 700 * time.Millisecond, begun: true, status: http.StatusOK, recalled: false},
		"waits after one that may have": {end: 700 * time.Millisecond, steps: []step{connectionBroken}, status: http.StatusBadGateway, recalled: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(matcher.Idempotent, 3, test.steps...)
			began := time.Now()
			clock := timekeeper.NewVirtual(began)
			r.Clock = clock
			var end time.Time
			r.ServesUntil = func() time.Time { return end }
			waiting, slot := make(chan struct{}, 1), make(chan struct{})
			scripted := r.Send
			r.Send = func(ctx context.Context, address string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
				if len(r.steps) > 0 {
					return scripted(ctx, address, a)
				}
				if test.begun {
					carrier.Begin(ctx)
				}
				waiting <- struct{}{}
				select {
				case <-slot:
				case <-ctx.Done():
					return nil, notRun
				}
				return &carrier.TargetResponse{Status: http.StatusOK}, nil
			}
			got := make(chan *receiver.Response, 1)
			go func() { got <- r.call("/pay/1", "Left: "+timeLeft.String()+"\r\n") }()
			<-waiting
			end = began.Add(test.end)
			var remote []dispatcher.Recall
			for range 2 {
				remote = r.RecallLate()
			}
			if test.begun != (len(remote) == 1) || (test.begun && remote[0].ID != "id-1") {
				t.Errorf("left to the target's daemon: %v, want the request only if it has begun", remote)
			}
			if !test.recalled {
				close(slot)
			}
			resp := <-got
			if resp.Status != test.status {
				t.Errorf("status %d, want %d", resp.Status, test.status)
			}
			if after := resp.Header.Get("Retry-After"); resp.Status == http.StatusServiceUnavailable && after != "0.700" {
				t.Errorf("Retry-After %q, want the time until the process has ended", after)
			}
			if len(r.RecallLate()) != 0 {
				t.Error("an attempt is left")
			}
		})
	}
}
