package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

const (
	// maxBodyTurn is the time after which a body that is still arriving no longer
	// blocks others, because its sender may have stalled. A link of 10 Mbit/s carries
	// 250 kB in this time.
	maxBodyTurn = 200 * time.Millisecond
	// maxBurst is how long bodies may be waiting all the time before those that would miss
	// their objective are rejected.
	maxBurst = 250 * time.Millisecond
	// arrivalMargin is the factor by which a body may take longer to arrive than expected.
	arrivalMargin = 1.3
	// turnWeight is the weight of the latest turn in the exponentially weighted
	// average of their durations.
	turnWeight = 0.2
)

// errBodyLimit rejects an attempt whose body would wait too long for its turn.
var errBodyLimit = classifier.NewFailure(classifier.NotRun, "link busy with bodies", nil)

// Wait bounds the time that a body waits for its turn.
type Wait struct {
	// Max is the longest time.
	Max time.Duration
	// Standing is the longest time until the body has arrived, if bodies have been waiting
	// for longer than a burst of arrivals lasts. Such a queue delays every body and does not
	// increase throughput.
	Standing time.Duration
}

// bodyLimiter is a semaphore of one permit with a FIFO queue. A large body is read
// in its turn: while it holds the permit, for at most maxTurn. A body that is still
// arriving then continues without the permit. Several large bodies at once would
// saturate the VM's link, and small attempts would wait behind all of them.
type bodyLimiter struct {
	mu sync.Mutex
	// busy means that a turn is in progress.
	busy    bool
	waiting []chan struct{}
	// meanTurn is the exponentially weighted average of the duration of a turn.
	meanTurn time.Duration
	// emptyAt is the time at which no body was last waiting.
	emptyAt time.Time
}

// acquire waits for a turn, if it is expected within w. The turn ends when release is
// called, or after maxTurn.
func (l *bodyLimiter) acquire(ctx context.Context, w Wait, maxTurn time.Duration) (release func(), err error) {
	turn, err := l.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case <-turn:
	case <-ctx.Done():
		if !l.withdraw(turn) {
			l.startNext()
		}
		return nil, classifier.NewFailure(classifier.NotRun, "time ran out before its body was asked for", ctx.Err())
	}
	began := time.Now()
	end := sync.OnceFunc(func() {
		l.recordTurn(time.Since(began))
		l.startNext()
	})
	timer := time.AfterFunc(maxTurn, end)
	return func() {
		timer.Stop()
		end()
	}, nil
}

// enqueue returns a channel that is closed when the turn begins. If the turn is not
// expected within w, it returns a Failure of errBodyLimit with the time to wait.
func (l *bodyLimiter) enqueue(w Wait) (chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if len(l.waiting) == 0 {
		l.emptyAt = now
	}
	turn := make(chan struct{})
	wait := l.waitLocked()
	switch {
	case !l.busy:
		l.busy = true
		close(turn)
	case wait > w.Max, l.arrival(wait) > w.Standing && now.Sub(l.emptyAt) > maxBurst:
		return nil, &Failure{
			Failure:    errBodyLimit,
			RetryAfter: wait,
		}
	default:
		l.waiting = append(l.waiting, turn)
	}
	return turn, nil
}

// withdraw removes a turn from the queue. It returns false if the turn has
// begun.
func (l *bodyLimiter) withdraw(turn chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, w := range l.waiting {
		if w == turn {
			l.waiting = append(l.waiting[:n], l.waiting[n+1:]...)
			return true
		}
	}
	return false
}

// startNext ends the current turn and begins the next one.
func (l *bodyLimiter) startNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.busy = false
		return
	}
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}

// arrival returns the time until a body that waits has arrived, with arrivalMargin. Without
// it, all bodies of a standing queue would just miss their objective.
func (l *bodyLimiter) arrival(wait time.Duration) time.Duration {
	return time.Duration(arrivalMargin * float64(wait+l.meanTurn))
}

// waitLocked returns the expected wait of the next body. The caller holds the lock.
func (l *bodyLimiter) waitLocked() time.Duration {
	if !l.busy {
		return 0
	}
	return time.Duration(len(l.waiting)+1) * l.meanTurn
}

// expectedWait returns the expected wait of the next body.
func (l *bodyLimiter) expectedWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitLocked()
}

// recordTurn updates meanTurn with the duration of a turn.
func (l *bodyLimiter) recordTurn(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meanTurn += time.Duration(turnWeight * float64(elapsed-l.meanTurn))
}

// AwaitingTurn returns the number of large bodies that wait for their turn.
func (s *Server) AwaitingTurn() int {
	s.bodyLimiter.mu.Lock()
	defer s.bodyLimiter.mu.Unlock()
	return len(s.bodyLimiter.waiting)
}
