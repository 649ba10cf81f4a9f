package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

const (
	// bodyTurn is the time after which a body that is still arriving no longer
	// keeps others out: its sender may be silent. A link of 10 Mbit/s carries
	// 250 kB meanwhile.
	bodyTurn = 200 * time.Millisecond
	// turnShare is the weight of the latest turn in their mean duration.
	turnShare = 0.2
)

// errIntakeBusy refuses an order whose body would have to wait for too long.
var errIntakeBusy = classifier.Fail(classifier.NotRun, "link busy with bodies", nil)

// intake lets large bodies in one at a time. Several at once would fill the VM's
// link, and small orders would wait behind all of them.
type intake struct {
	mu sync.Mutex
	// busy means that somebody's turn is on.
	busy    bool
	waiting []chan struct{}
	// mean is the mean duration of a turn.
	mean time.Duration
}

// enter waits for a turn, if that is likely to come within the patience. The turn
// ends with done or after the limit.
func (i *intake) enter(ctx context.Context, patience, limit time.Duration) (done func(), err error) {
	turn, err := i.queue(patience)
	if err != nil {
		return nil, err
	}
	select {
	case <-turn:
	case <-ctx.Done():
		if !i.withdraw(turn) {
			i.pass()
		}
		return nil, classifier.Fail(classifier.NotRun, "time ran out before its body was asked for", ctx.Err())
	}
	began := time.Now()
	end := sync.OnceFunc(func() {
		i.learn(time.Since(began))
		i.pass()
	})
	timer := time.AfterFunc(limit, end)
	return func() {
		timer.Stop()
		end()
	}, nil
}

// queue returns a channel that is closed when the turn comes.
func (i *intake) queue(patience time.Duration) (chan struct{}, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	turn := make(chan struct{})
	switch {
	case !i.busy:
		i.busy = true
		close(turn)
	case time.Duration(len(i.waiting)+1)*i.mean > patience:
		return nil, errIntakeBusy
	default:
		i.waiting = append(i.waiting, turn)
	}
	return turn, nil
}

// withdraw gives up a turn; false means that it has come.
func (i *intake) withdraw(turn chan struct{}) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, w := range i.waiting {
		if w == turn {
			i.waiting = append(i.waiting[:n], i.waiting[n+1:]...)
			return true
		}
	}
	return false
}

// pass gives the turn to the next.
func (i *intake) pass() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.waiting) == 0 {
		i.busy = false
		return
	}
	close(i.waiting[0])
	i.waiting = i.waiting[1:]
}

func (i *intake) learn(took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mean += time.Duration(turnShare * float64(took-i.mean))
}
