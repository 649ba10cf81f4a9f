package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// callInterval is the time between two calls.
const callInterval = 4 * time.Millisecond

// callers makes calls through random daemons at a fixed rate and counts the
// outcomes.
type callers struct {
	stop context.CancelFunc
	mu   sync.Mutex
	// counts is the number of calls for each outcome.
	counts map[string]int
}

func startCallers(ctx context.Context, vms []*VM) *callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{
		stop:   cancel,
		counts: map[string]int{},
	}
	go func() {
		ticker := time.NewTicker(callInterval)
		defer ticker.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-ticker.C
			v := vms[rand.IntN(len(vms))]
			go c.makeCall(ctx, v, fmt.Sprintf("/renewals/%d", i))
		}
	}()
	return c
}

func (c *callers) makeCall(ctx context.Context, v *VM, path string) {
	r, err := v.Call(ctx, "GET", path)
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome(r, err)]++
}

// outcome describes the result of a call in a few words.
func outcome(r Response, err error) string {
	switch {
	case err != nil:
		return "broken off"
	case r.Verdict != "":
		return "refused, " + r.Verdict
	case r.Version() != "":
		return "answered by " + r.Version()
	default:
		return fmt.Sprintf("failed with %d", r.Status)
	}
}

// formatCounts returns the counts in one line.
func (c *callers) formatCounts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := make([]string, 0, len(c.counts))
	for name, n := range c.counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
