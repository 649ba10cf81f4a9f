package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

const (
	// recallPeriod is the interval at which a daemon that stops looks for attempts to recall.
	recallPeriod = 100 * time.Millisecond
	// maxRecalls bounds the attempts of one call.
	maxRecalls = 64
)

// recaller recalls the attempts of a daemon that stops from the daemons of their targets.
type recaller struct {
	daemon *Daemon

	mu sync.Mutex
	// known holds the attempts that their daemons know to be recalled, and calling the
	// daemons to which a call is in progress.
	known   map[dispatcher.Recall]bool
	calling map[string]bool
}

func newRecaller(d *Daemon) *recaller {
	return &recaller{
		daemon:  d,
		known:   map[dispatcher.Recall]bool{},
		calling: map[string]bool{},
	}
}

// run recalls attempts until ctx ends.
func (r *recaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := map[string][]string{}
		for _, a := range r.daemon.dispatcher.RecallLate() {
			if r.isDue(a) {
				due[a.Daemon] = append(due[a.Daemon], a.ID)
			}
		}
		for daemon, ids := range due {
			r.call(ctx, daemon, ids[:min(len(ids), maxRecalls)])
		}
		sleep(ctx, recallPeriod)
	}
}

func (r *recaller) isDue(a dispatcher.Recall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.known[a] && !r.calling[a.Daemon]
}

// call recalls attempts from a daemon without blocking. Those that the daemon doesn't know
// are still on their way to it, and stay due.
func (r *recaller) call(ctx context.Context, daemon string, ids []string) {
	members := r.daemon.members.All()
	i := slices.IndexFunc(members, func(m prober.Member) bool { return m.ID == daemon })
	if i < 0 {
		return
	}
	r.mu.Lock()
	r.calling[daemon] = true
	r.mu.Unlock()
	go func() {
		var known []string
		err := r.daemon.client.Call(ctx, members[i].Control, recallMethod, ids, &known)
		r.daemon.log.Info("attempts recalled", "peer", daemon, "attempts", len(ids), "known", len(known), "err", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calling, daemon)
		for _, id := range known {
			r.known[dispatcher.Recall{Daemon: daemon, ID: id}] = true
		}
	}()
}

// handleRecall rejects the attempts of a daemon that stops which the target does not run.
func (d *Daemon) handleRecall(_ context.Context, ids []string) ([]string, error) {
	if len(ids) > maxRecalls {
		return nil, Class.New("more than %d attempts to recall", maxRecalls)
	}
	return d.attemptServer.Recall(ids), nil
}
