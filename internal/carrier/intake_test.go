package carrier

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// entered starts an order's wait for a turn and returns what came of it.
func entered(ctx context.Context, i *intake, patience time.Duration) chan func() {
	turn := make(chan func(), 1)
	go func() {
		done, err := i.enter(ctx, patience, time.Minute)
		if err != nil {
			done = nil
		}
		turn <- done
	}()
	return turn
}

// waits waits until a number of orders wait for their turns.
func waits(t *testing.T, i *intake, number int) {
	t.Helper()
	for range 5000 {
		i.mu.Lock()
		n := len(i.waiting)
		i.mu.Unlock()
		if n == number {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not %d waiting", number)
}

func TestTurnsInOrder(t *testing.T) {
	var i intake
	first, err := i.enter(t.Context(), 0, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	second := entered(t.Context(), &i, time.Second)
	waits(t, &i, 1)
	ctx, cancel := context.WithCancel(t.Context())
	gone := entered(ctx, &i, time.Second)
	waits(t, &i, 2)
	third := entered(t.Context(), &i, time.Second)
	waits(t, &i, 3)
	cancel()
	if <-gone != nil {
		t.Error("a turn for an order that has ended")
	}
	first()
	first() // ends only its own turn
	done := <-second
	if len(third) > 0 {
		t.Fatal("two turns at once")
	}
	done()
	(<-third)()
	if i.busy {
		t.Error("busy after the last turn")
	}
}

// TestSilentTurn lets the next in when a body doesn't arrive.
func TestSilentTurn(t *testing.T) {
	var i intake
	if _, err := i.enter(t.Context(), 0, bodyTurn); err != nil {
		t.Fatal(err)
	}
	select {
	case done := <-entered(t.Context(), &i, time.Second):
		done()
	case <-time.After(20 * time.Second):
		t.Fatal("a silent sender keeps all others out")
	}
}

func TestLongWaitRefused(t *testing.T) {
	i := intake{mean: 40 * time.Millisecond}
	if _, err := i.enter(t.Context(), 0, time.Minute); err != nil {
		t.Fatalf("no wait: %v", err)
	}
	_, err := i.enter(t.Context(), 39*time.Millisecond, time.Minute)
	if !errors.Is(err, errIntakeBusy) || classifier.Of(err) != classifier.NotRun {
		t.Errorf("got %v", err)
	}
	entered(t.Context(), &i, 40*time.Millisecond)
	waits(t, &i, 1)
}

// TestOneLargeBodyAtATime asks for a large body only after the one before it has
// been read, and lets small orders pass meanwhile.
func TestOneLargeBodyAtATime(t *testing.T) {
	var reading, most atomic.Int32
	read := make(chan struct{}, 8)
	pass := make(chan struct{})
	deliver := func(ctx context.Context, _ *Order) (*Answer, error) {
		if !NeedsTurn(ctx) {
			return &Answer{Status: 200}, ReadBody(ctx)
		}
		if err := AwaitTurn(ctx, time.Minute); err != nil {
			return nil, err
		}
		most.Store(max(most.Load(), reading.Add(1)))
		read <- struct{}{}
		<-pass
		reading.Add(-1)
		if err := ReadBody(ctx); err != nil {
			return nil, err
		}
		return &Answer{Status: 200}, nil
	}
	s := httptest.NewServer(&Server{
		Key:      "key",
		Deliver:  deliver,
		MaxBody:  func() int64 { return 1 << 20 },
		BodyTurn: time.Minute,
	})
	defer s.Close()
	client := &Client{Key: "key", Transport: forwarder.NewTransport(4), Silent: func(string) {}}
	send := func(body string) error {
		_, err := client.Send(t.Context(), s.Listener.Addr().String(), &Order{
			ID: "1", Instance: "i", Method: "POST", URI: "/", Host: "h",
			Kind:     matcher.Idempotent,
			Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
			Body: []byte(body),
		})
		return err
	}
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			ended <- send(strings.Repeat("x", 100<<10))
		}()
	}
	<-read
	if err := send("small"); err != nil {
		t.Errorf("small order: %v", err)
	}
	pass <- struct{}{}
	<-read
	pass <- struct{}{}
	for range 2 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if most.Load() != 1 {
		t.Errorf("%d large bodies at once", most.Load())
	}
}
