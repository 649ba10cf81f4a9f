package carrier

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// acquireAsync acquires a turn in a goroutine. The channel receives the turn's
// release function, or nil after an error.
func acquireAsync(ctx context.Context, l *bodyLimiter, queueTimeout time.Duration) chan func() {
	turn := make(chan func(), 1)
	go func() {
		release, err := l.acquire(ctx, Wait{Max: queueTimeout, Standing: queueTimeout}, time.Minute)
		if err != nil {
			release = nil
		}
		turn <- release
	}()
	return turn
}

// awaitQueue waits until the given number of turns is queued.
func awaitQueue(t *testing.T, l *bodyLimiter, number int) {
	t.Helper()
	for range 5000 {
		l.mu.Lock()
		n := len(l.waiting)
		l.mu.Unlock()
		if n == number {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for %d queued turns", number)
}

func TestTurnOrder(t *testing.T) {
	var l bodyLimiter
	releaseFirst, err := l.acquire(t.Context(), Wait{}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	second := acquireAsync(t.Context(), &l, time.Second)
	awaitQueue(t, &l, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := acquireAsync(ctx, &l, time.Second)
	awaitQueue(t, &l, 2)
	third := acquireAsync(t.Context(), &l, time.Second)
	awaitQueue(t, &l, 3)
	cancel()
	if <-cancelled != nil {
		t.Error("a cancelled attempt got a turn")
	}
	releaseFirst()
	releaseFirst() // has no effect on the turn of another body
	release := <-second
	if len(third) > 0 {
		t.Fatal("two turns at once")
	}
	release()
	(<-third)()
	if l.busy {
		t.Error("limiter is busy after the last turn")
	}
}

// TestStalledSender checks that a body that does not arrive blocks others only for
// a limited time.
func TestStalledSender(t *testing.T) {
	var l bodyLimiter
	if _, err := l.acquire(t.Context(), Wait{}, maxBodyTurn); err != nil {
		t.Fatal(err)
	}
	select {
	case release := <-acquireAsync(t.Context(), &l, time.Second):
		release()
	case <-time.After(20 * time.Second):
		t.Fatal("a stalled sender blocks all others")
	}
}

func TestLongWaitRejected(t *testing.T) {
	l := bodyLimiter{meanTurn: 40 * time.Millisecond}
	if _, err := l.acquire(t.Context(), Wait{}, time.Minute); err != nil {
		t.Fatalf("idle limiter: error %v, want nil", err)
	}
	_, err := l.acquire(t.Context(), Wait{Max: 39 * time.Millisecond, Standing: time.Hour}, time.Minute)
	if !errors.Is(err, errBodyLimit) || classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("error %v, want errBodyLimit with verdict NotRun", err)
	}
	acquireAsync(t.Context(), &l, 40*time.Millisecond)
	awaitQueue(t, &l, 1)
}

// TestOneLargeBodyAtATime checks that the next large body is requested only when
// the previous one has been read, and that small bodies do not wait for it.
func TestOneLargeBodyAtATime(t *testing.T) {
	var reading, maxReading atomic.Int32
	started := make(chan struct{}, 8)
	proceed := make(chan struct{})
	deliver := func(ctx context.Context, _ *Attempt) (*TargetResponse, error) {
		if !NeedsBodyTurn(ctx) {
			return &TargetResponse{Status: 200}, ReadBody(ctx)
		}
		if err := AwaitBodyTurn(ctx, Wait{Max: time.Minute, Standing: time.Minute}); err != nil {
			return nil, err
		}
		maxReading.Store(max(maxReading.Load(), reading.Add(1)))
		started <- struct{}{}
		<-proceed
		reading.Add(-1)
		if err := ReadBody(ctx); err != nil {
			return nil, err
		}
		return &TargetResponse{Status: 200}, nil
	}
	s := httptest.NewServer(&Server{
		Key:         "key",
		Deliver:     deliver,
		MaxBody:     func() int64 { return 1 << 20 },
		MaxBodyTurn: time.Minute,
	})
	defer s.Close()
	client := &Client{Key: "key", Transport: forwarder.NewTransport(4), OnSilent: func(string) {}}
	send := func(body string) error {
		_, err := client.Send(t.Context(), s.Listener.Addr().String(), &Attempt{
			ID: "1", Instance: "i", Method: "POST", URI: "/", Host: "h",
			Kind:     matcher.Idempotent,
			Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
			Body: allocator.Body{[]byte(body)},
		})
		return err
	}
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			ended <- send(strings.Repeat("x", 100<<10))
		}()
	}
	<-started
	if err := send("small"); err != nil {
		t.Errorf("small body: error %v, want nil", err)
	}
	proceed <- struct{}{}
	<-started
	proceed <- struct{}{}
	for range 2 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if maxReading.Load() != 1 {
		t.Errorf("%d large bodies at once, want 1", maxReading.Load())
	}
}
