package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/sharer"
)

// waiting is a waiting request.
type waiting struct {
	customer string
	turn     sharer.Turn
}

// queue serves the waiting requests in the order of their turns.
type queue struct {
	sharer.Sharer
	waiting []waiting
}

func (q *queue) enter(customer string, cost float64) {
	q.waiting = append(q.waiting, waiting{
		customer: customer,
		turn:     q.Enter(customer, cost),
	})
}

// serve serves one request and returns its customer.
func (q *queue) serve() string {
	best := 0
	for i, w := range q.waiting {
		if w.turn.At < q.waiting[best].turn.At {
			best = i
		}
	}
	w := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	q.Serve(w.turn)
	return w.customer
}

func ExampleSharer() {
	var q queue
	for range 4 {
		q.enter("large", 1)
	}
	q.enter("small", 1)
	for range 3 {
		fmt.Println(q.serve())
	}
	q.enter("small", 1)
	fmt.Println(q.serve())
	// Output:
	// large
	// small
	// large
	// small
}

// TestLargeCustomerStarvesNobody keeps the requests of one customer waiting at all times, and
// checks that others which send less than their share get all of it.
func TestLargeCustomerStarvesNobody(t *testing.T) {
	var q queue
	served := map[string]int{}
	const rounds = 1000
	for i := range rounds {
		for range 8 {
			q.enter("large", 1)
		}
		if i%4 == 0 {
			q.enter("small", 1)
		}
		if i%10 == 0 {
			q.enter("long", 2)
		}
		served[q.serve()]++
	}
	if served["small"] < rounds/4-1 || served["long"] < rounds/10-1 || served["large"] < rounds/2 {
		t.Errorf("served %v of %d, want all of small and long, and the rest of large", served, rounds)
	}
}

// TestOneCustomerIsServedInOrder checks that requests of one customer, or of none, keep their
// order, also if some of them leave.
func TestOneCustomerIsServedInOrder(t *testing.T) {
	for _, customer := range []string{"", "north"} {
		var s sharer.Sharer
		random := rand.New(rand.NewPCG(1, 2))
		s.Enter("other", 1)
		var last float64
		var waiting []sharer.Turn
		for range 10_000 {
			turn := s.Enter(customer, random.Float64()*10)
			if turn.At < last {
				t.Fatalf("customer %q: turn %v after %v", customer, turn.At, last)
			}
			last = turn.At
			waiting = append(waiting, turn)
			i := random.IntN(len(waiting))
			switch random.IntN(3) {
			case 0:
				s.Leave(waiting[i])
				waiting = slices.Delete(waiting, i, i+1)
			case 1:
				s.Serve(waiting[0])
				waiting = waiting[1:]
			}
		}
	}
}

// TestIdleCustomerSavesNothing checks that a customer that was idle does not displace the others
// for long.
func TestIdleCustomerSavesNothing(t *testing.T) {
	var q queue
	for range 100 {
		q.enter("busy", 1)
		q.serve()
	}
	served := map[string]int{}
	for range 20 {
		q.enter("busy", 1)
		q.enter("idle", 1)
		served[q.serve()]++
	}
	if served["idle"] > 11 || served["idle"] < 9 {
		t.Errorf("served %v, want about 10 of each", served)
	}
}

// TestLeaveReturnsCost checks that requests which are not served do not cost a customer its
// turn.
func TestLeaveReturnsCost(t *testing.T) {
	var s sharer.Sharer
	for range 100 {
		s.Leave(s.Enter("refused", 1))
	}
	if turn := s.Next("refused"); turn != 0 {
		t.Errorf("the next turn is %v, want 0", turn)
	}
}

// TestCustomersAreForgotten checks that customers that come once are not kept for good.
func TestCustomersAreForgotten(t *testing.T) {
	var s sharer.Sharer
	for i := range 100_000 {
		s.Serve(s.Enter(fmt.Sprint("customer-", i), 1))
		s.Serve(s.Enter("steady", 1))
	}
	if n := s.Customers(); n > 200 {
		t.Errorf("%d customers are kept, want at most 200", n)
	}
}

// TestRequestsWithoutCustomer keeps requests without a customer and those of several customers
// waiting, and checks that each side gets about half.
func TestRequestsWithoutCustomer(t *testing.T) {
	var q queue
	served := map[bool]int{}
	const rounds = 2000
	for i := range rounds {
		for range 2 {
			q.enter("", 1)
			q.enter(fmt.Sprint("customer-", i%10), 1)
		}
		served[q.serve() == ""]++
	}
	if served[true] < rounds*4/10 || served[false] < rounds*4/10 {
		t.Errorf("served %v, want about half each", served)
	}
}
