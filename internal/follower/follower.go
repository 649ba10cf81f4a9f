// Package follower keeps a copy of the platform's items under one prefix: it
// watches them, and learns of them from other daemons while the platform does
// not answer.
//
// A copy has a revision and holds every change up to it, so of two copies the
// one with the higher revision is the newer, whoever it came from.
package follower

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Times of following.
const (
	// watchTime is how long the platform is asked to hold a watch; each one
	// counts as a call.
	watchTime = 25 * time.Second
	// retryPause is the pause after a call that failed, unless Pause says
	// otherwise.
	retryPause = 300 * time.Millisecond
	// firstPause is the pause between the first read and the first watch, in
	// which daemons learn who watches.
	firstPause = 800 * time.Millisecond
	// idlePause is how often it is looked whether to watch.
	idlePause = 100 * time.Millisecond
)

// errRenewed ends a watch that is to be started anew.
var errRenewed = errors.New("watch to be started anew")

// Copy is the items under a prefix at a revision. Values are immutable.
type Copy struct {
	Revision uint64        `json:"revision"`
	Items    []storer.Item `json:"items"`
}

// Follower keeps a copy.
type Follower struct {
	Prefix   string
	Platform storer.Platform
	// Watching reports whether the platform is to be watched; otherwise newer
	// copies are offered by a daemon that does. Nil means always.
	Watching func() bool
	// Changed is called with each newer copy, one at a time and in order.
	Changed func(c Copy)
	// Pause returns the pause after a call that failed while a copy is known; nil
	// means 300 ms.
	Pause func() time.Duration
	// Reached is told whether the last call to the platform was answered.
	Reached func(ok bool, err error)

	mu    sync.Mutex
	copy  Copy
	known bool
	// renew ends the watch under way; it is nil without one.
	renew context.CancelFunc
}

// Copy returns the newest copy; ok is false before there is one.
func (f *Follower) Copy() (c Copy, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy, f.known
}

// Offer takes in a copy from another daemon if it is newer.
func (f *Follower) Offer(c Copy) (newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known && c.Revision <= f.copy.Revision {
		return false
	}
	c.Items = slices.DeleteFunc(slices.Clone(c.Items), func(i storer.Item) bool {
		return !strings.HasPrefix(i.Key, f.Prefix)
	})
	f.put(c)
	return true
}

// put makes a copy the newest one. The caller holds the lock.
func (f *Follower) put(c Copy) {
	same := f.known && slices.EqualFunc(c.Items, f.copy.Items, func(a, b storer.Item) bool {
		return a.Key == b.Key && a.Version == b.Version
	})
	f.copy = c
	f.known = true
	if !same {
		f.Changed(c)
	}
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	watching := false
	for first := true; ctx.Err() == nil; {
		if _, known := f.Copy(); known && first {
			first = false
			pause(ctx, firstPause)
		}
		if !first && f.Watching != nil && !f.Watching() {
			watching = true
			pause(ctx, idlePause)
			continue
		}
		var err error
		if watching {
			err = f.watch(ctx)
		} else {
			err = f.read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err == errRenewed {
			continue
		}
		f.Reached(err == nil || errors.Is(err, storer.ErrCompacted), err)
		watching = err == nil || (watching && !errors.Is(err, storer.ErrCompacted))
		if err != nil && !errors.Is(err, storer.ErrCompacted) {
			pause(ctx, f.retryPause())
		}
	}
}

// retryPause returns the pause after a call that failed.
func (f *Follower) retryPause() time.Duration {
	if _, known := f.Copy(); known && f.Pause != nil {
		return f.Pause()
	}
	return retryPause
}

// read reads all items.
func (f *Follower) read(ctx context.Context) error {
	span, err := f.Platform.Range(ctx, f.Prefix)
	if err != nil {
		return err
	}
	items := make([]storer.Item, 0, len(span.Changes))
	for _, c := range span.Changes {
		items = append(items, c.Item)
	}
	f.Offer(Copy{
		Revision: span.Revision,
		Items:    items,
	})
	return nil
}

// watch waits for the changes after the copy's revision.
func (f *Follower) watch(ctx context.Context) error {
	base, _ := f.Copy()
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setRenew(cancel)
	span, err := f.Platform.WatchPrefix(watch, f.Prefix, base.Revision, watchTime)
	f.setRenew(nil)
	if err != nil {
		if watch.Err() != nil && ctx.Err() == nil {
			return errRenewed
		}
		return err
	}
	if span.Revision > base.Revision || len(span.Changes) > 0 {
		f.Offer(base.With(span))
	}
	return nil
}

func (f *Follower) setRenew(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renew = cancel
}

// Renew starts the watch anew: the platform may have lost the one under way
// without a sign.
func (f *Follower) Renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.renew != nil {
		f.renew()
	}
}

// With returns the copy after the changes of a span.
func (c Copy) With(span storer.Span) Copy {
	items := make(map[string]storer.Item, len(c.Items))
	for _, i := range c.Items {
		items[i.Key] = i
	}
	revision := max(c.Revision, span.Revision)
	for _, change := range span.Changes {
		revision = max(revision, change.Version)
		switch {
		case change.Version < items[change.Key].Version:
		case change.Deleted:
			delete(items, change.Key)
		default:
			items[change.Key] = change.Item
		}
	}
	next := Copy{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		next.Items = append(next.Items, items[key])
	}
	return next
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
