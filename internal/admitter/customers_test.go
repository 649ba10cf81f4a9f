package admitter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
)

// TestLargeCustomerLeavesRoom lets one customer keep the queue full, and checks that requests
// of another, which sends few, find room in it and are served next.
func TestLargeCustomerLeavesRoom(t *testing.T) {
	r := newHarness(target())
	request := func(customer string) admitter.Request {
		q := r.newRequest()
		q.Customer = customer
		q.Deadline = r.clock.Now().Add(time.Hour)
		q.MaxWait = time.Hour
		return q
	}
	for range target().Slots {
		if err := r.acquire(request("large")); err != nil {
			t.Fatal(err)
		}
	}
	var large []chan error
	for range 4 * target().Slots {
		large = append(large, r.enqueue(t, request("large")))
	}
	if err := r.acquire(request("large")); !errors.Is(err, admitter.ErrBusy) {
		t.Fatalf("a request beyond the queue: %v, want %v", err, admitter.ErrBusy)
	}
	small := make(chan error, 1)
	go func() { small <- r.acquire(request("small")) }()
	if err := <-large[len(large)-1]; !errors.Is(err, admitter.ErrBusy) {
		t.Fatalf("the last request of the large customer: %v, want %v", err, admitter.ErrBusy)
	}
	for range 2 {
		r.Release("status", admitter.Outcome{Duration: 60 * time.Millisecond})
	}
	select {
	case err := <-small:
		if err != nil {
			t.Errorf("the request of the small customer: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the request of the small customer still waits after two of the large one's")
	}
}

// TestPriorityPrecedesShares checks that a customer without recent requests does not overtake a
// higher priority.
func TestPriorityPrecedesShares(t *testing.T) {
	r := newHarness(target())
	request := func(customer string, priority int) admitter.Request {
		q := r.newRequest()
		q.Customer, q.Priority = customer, priority
		return q
	}
	for range target().Slots {
		if err := r.acquire(request("urgent", 0)); err != nil {
			t.Fatal(err)
		}
	}
	urgent := r.enqueue(t, request("urgent", 0))
	small := r.enqueue(t, request("small", 1))
	r.Release("status", admitter.Outcome{Duration: 60 * time.Millisecond})
	if err := <-urgent; err != nil {
		t.Fatal(err)
	}
	if len(small) > 0 {
		t.Error("the request of lower priority was served first")
	}
	r.Release("status", admitter.Outcome{Duration: 60 * time.Millisecond})
	if err := <-small; err != nil {
		t.Fatal(err)
	}
}
