package carrier

import (
	"context"
	"sync"
	"time"
)

// progressDelay is how long an order may take before its sender is told that it
// was taken: a third of the time after which the sender takes the daemon for
// silent.
const progressDelay = silence / 3

// startedKey is the context key of an order's progress.
type startedKey struct{}

// Started tells the daemon that sent the order that it was taken, unless the
// answer follows at once.
func Started(ctx context.Context) {
	if p, ok := ctx.Value(startedKey{}).(*progress); ok {
		p.start()
	}
}

// progress tells the sender of an order once that it was taken.
type progress struct {
	tell func()
	// delay puts it off, to leave it out if the answer comes first. It is 0 for
	// an order whose body is yet to be read: asking for it writes as well.
	delay time.Duration

	mu    sync.Mutex
	done  bool
	timer *time.Timer
}

func (p *progress) start() {
	if p.delay == 0 {
		p.now()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer == nil && !p.done {
		p.timer = time.AfterFunc(p.delay, p.now)
	}
}

func (p *progress) now() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.done {
		p.done = true
		p.tell()
	}
}

// end is called before the answer is written.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
