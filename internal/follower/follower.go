// Package follower maintains a local copy of the platform's items under one key
// prefix. It watches the platform, or takes copies from daemons that do.
//
// Every copy has an era and a revision, and contains all changes up to them. Of two copies,
// the one of the later era is the newer, and in one era that with the higher revision,
// regardless of its source. A new era begins when the platform comes back from an older copy of
// its data. What it has lost by that stays a part of the copies until it is written again.
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

// Intervals and timeouts.
const (
	// WatchTimeout is how long the platform may by default hold a watch request open before it
	// answers without changes. Each request counts as one call to the platform.
	WatchTimeout = 25 * time.Second
	// retryDelay is the default delay after a failed call; Follower.RetryDelay
	// overrides it.
	retryDelay = 300 * time.Millisecond
	// firstWatchDelay is the delay after the first copy is available before Run reads
	// or watches the platform again. It
	// gives the daemons time to agree on which of them watch the platform.
	firstWatchDelay = 800 * time.Millisecond
	// idlePollInterval is how often ShouldWatch is polled while it reports false.
	idlePollInterval = 100 * time.Millisecond
)

// Recent copies are kept up to these limits, so that a copy can be sent as changes
// to another daemon that has one of them.
const (
	maxRecentCopies = 8
	maxRecentBytes  = 4 << 20
)

// errWatchRestarted is returned by watch when RestartWatch cancelled it.
var errWatchRestarted = errors.New("watch restarted")

// Copy is the set of items under a prefix at one revision. It is immutable.
type Copy struct {
	// Era is the era of the revision, or 0 if the platform has no eras.
	Era      uint64
	Revision uint64
	// Items are the items that the platform has. Facts adds what it has lost.
	Items []storer.Item
	// Lost is what the platform has lost before the era.
	Lost Losses
}

// Mark identifies the state of a copy.
type Mark struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Lost is the digest of the losses.
	Lost string `json:"lost,omitempty"`
}

// Mark returns the mark of the copy.
func (c Copy) Mark() Mark {
	return Mark{
		Era:      c.Era,
		Revision: c.Revision,
		Lost:     c.Lost.Digest(),
	}
}

// Lacks reports whether a copy with the mark o may have something that one with the mark m
// lacks. A mark without an era, as that of a daemon of an older version, counts as one of the
// same era.
func (m Mark) Lacks(o Mark) bool {
	if o.Era != 0 && o.Era != m.Era {
		return o.Era > m.Era
	}
	return o.Revision > m.Revision || m.LacksLosses(o)
}

// LacksLosses reports whether a copy of the same era with the mark o knows of other losses.
func (m Mark) LacksLosses(o Mark) bool {
	return o.Era == m.Era && o.Lost != "" && o.Lost != m.Lost
}

// Follower maintains a copy of the items under Prefix. Its exported fields must be
// set before Run is called and not changed afterwards.
type Follower struct {
	Prefix   string
	Platform storer.Platform
	// ShouldWatch reports whether this daemon watches the platform. While it reports
	// false, the owner passes newer copies from other daemons to Offer. Nil means
	// always true.
	ShouldWatch func() bool
	// OnChange is called with each newer copy whose era or facts differ from those before.
	// The calls are sequential and in order of era and revision. They are made with the
	// Follower locked, so OnChange must not call its methods.
	OnChange func(c Copy)
	// RetryDelay returns the delay after a failed call once the first copy is available.
	// Nil means 300 ms.
	RetryDelay func() time.Duration
	// WatchTimeout returns how long the platform may hold the next watch request open. Nil
	// means 25 s.
	WatchTimeout func() time.Duration
	// StartCall is called before each call to the platform, and the function that it returns
	// when a copy that contains all changes before the call is the current one. It may be nil.
	StartCall func() (copied func())
	// OnCall is called after each call to the platform that was not cancelled. ok
	// reports whether the platform answered, also if it answered ErrCompacted; err is
	// the error of the call, if any.
	OnCall func(ok bool, err error)

	mu      sync.Mutex
	current Copy
	hasCopy bool
	// past holds the states of keys before the current copy and in it.
	past pastStates
	// forgotten is the era whose losses no longer count.
	forgotten uint64
	// watched is the position up to which watches have shown that nothing has changed since the
	// current copy, and raisedAt the time at which a watch has last raised the copy's revision.
	watched  storer.Position
	raisedAt time.Time
	// recent holds the last copies with different items, the current one last.
	recent []Copy
	// cancelWatch cancels the watch request in flight; it is nil if there is none.
	cancelWatch context.CancelFunc
}

// Copy returns the newest copy; ok is false if there is none yet.
func (f *Follower) Copy() (c Copy, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.hasCopy
}

// Offer replaces the current copy by c if c is newer, and adds the losses of c to those that
// are known. It reports whether the current copy has changed. Items outside the prefix are
// dropped.
func (f *Follower) Offer(c Copy) (newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Era == 0 {
		c.Era = f.current.Era
	}
	if f.hasCopy && !f.current.Mark().Lacks(c.Mark()) {
		return false
	}
	c.Items = slices.DeleteFunc(slices.Clone(c.Items), func(i storer.Item) bool {
		return !strings.HasPrefix(i.Key, f.Prefix)
	})
	for i := range c.Items {
		c.Items[i].Era = c.Era
	}
	switch known := f.current; {
	case !f.hasCopy || known.Era == 0 && c.Era > 0:
	case c.Era > known.Era:
		if f.cancelWatch != nil {
			f.cancelWatch()
		}
		c.Lost = f.past.lostBetween(known, c).merge(c.Lost, c.Items)
	default:
		if c.Revision < known.Revision {
			c.Revision, c.Items = known.Revision, known.Items
		}
		c.Lost = known.Lost.merge(c.Lost, c.Items)
	}
	if c.Era == f.forgotten {
		c.Lost = Losses{}
	}
	if f.hasCopy && c.Mark() == f.current.Mark() {
		return false
	}
	f.replace(c)
	return true
}

// ForgetLosses drops what the platform had lost before an era, now and when it is offered
// again.
func (f *Follower) ForgetLosses(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgotten = era
	if f.current.Era == era && !f.current.Lost.isZero() {
		c := f.current
		c.Lost = Losses{}
		f.replace(c)
	}
}

// Lacks reports whether a copy with the mark may have something that the current one lacks.
func (f *Follower) Lacks(m Mark) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forgotten != 0 && f.forgotten == m.Era {
		m.Lost = ""
	}
	return f.current.Mark().Lacks(m)
}

// replace makes c the current copy and calls OnChange if its era or its facts differ. f.mu
// must be held.
func (f *Follower) replace(c Copy) {
	old := f.current
	changed := !f.hasCopy || c.Era != old.Era || !slices.EqualFunc(c.Facts(), old.Facts(), sameWrite)
	f.past.add(slices.DeleteFunc(slices.Clone(c.Items), func(i storer.Item) bool {
		return slices.ContainsFunc(old.Items, func(o storer.Item) bool { return sameWrite(i, o) })
	}))
	f.current = c
	f.hasCopy = true
	if changed || !slices.EqualFunc(c.Items, old.Items, sameWrite) {
		f.remember(c)
	}
	if changed {
		f.OnChange(c)
	}
}

// sameWrite reports whether two items are from the same write.
func sameWrite(a, b storer.Item) bool {
	return a.Key == b.Key && a.Position() == b.Position()
}

// remember adds c to the recent copies and drops the oldest ones beyond the limits.
// f.mu must be held.
func (f *Follower) remember(c Copy) {
	f.recent = append(f.recent, c)
	size := 0
	for i, r := range slices.Backward(f.recent) {
		size += r.size()
		if i < len(f.recent)-1 && (size > maxRecentBytes || len(f.recent)-i > maxRecentCopies) {
			f.recent = slices.Delete(f.recent, 0, i+1)
			return
		}
	}
}

// Recent returns the copy with the digest if it is one of the last.
func (f *Follower) Recent(digest string) (c Copy, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range slices.Backward(f.recent) {
		if r.Digest() == digest {
			return r, true
		}
	}
	return Copy{}, false
}

// Run keeps the copy up to date from the platform until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	canWatch := false
	for first := true; ctx.Err() == nil; {
		if _, known := f.Copy(); known && first {
			first = false
			sleep(ctx, firstWatchDelay)
		}
		if !first && f.ShouldWatch != nil && !f.ShouldWatch() {
			canWatch = true
			sleep(ctx, idlePollInterval)
			continue
		}
		var err error
		if canWatch {
			err = f.watch(ctx)
		} else {
			err = f.read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err == errWatchRestarted {
			continue
		}
		f.OnCall(err == nil || errors.Is(err, storer.ErrCompacted), err)
		canWatch = err == nil || (canWatch && !errors.Is(err, storer.ErrCompacted))
		if err != nil && !errors.Is(err, storer.ErrCompacted) {
			sleep(ctx, f.retryDelay())
		}
	}
}

// retryDelay returns the delay after a failed call.
func (f *Follower) retryDelay() time.Duration {
	if _, known := f.Copy(); known && f.RetryDelay != nil {
		return f.RetryDelay()
	}
	return retryDelay
}

// read fetches all items under the prefix.
func (f *Follower) read(ctx context.Context) error {
	base, _ := f.Copy()
	copied := f.startCall()
	result, err := f.Platform.Range(ctx, f.Prefix)
	if err != nil {
		return err
	}
	items := make([]storer.Item, 0, len(result.Changes))
	for _, c := range result.Changes {
		items = append(items, c.Item)
	}
	f.Offer(Copy{
		Era:      result.Era,
		Revision: result.Revision,
		Items:    items,
	})
	f.confirm(base, result, copied)
	return nil
}

// startCall calls StartCall.
func (f *Follower) startCall() (copied func()) {
	if f.StartCall == nil {
		return func() {}
	}
	return f.StartCall()
}

// confirm calls copied if the current copy contains all changes before the call that had the
// result. That is not sure if the result is of another era, or older than the copy before the
// call.
func (f *Follower) confirm(base Copy, result storer.RangeResult, copied func()) {
	isStale := result.Era == base.Era && result.Revision < base.Revision
	if c, ok := f.Copy(); ok && !isStale && c.Era == result.Era && c.Revision >= result.Revision {
		copied()
	}
}

// watchTimeout returns how long the platform may hold the next watch request open.
func (f *Follower) watchTimeout() time.Duration {
	if f.WatchTimeout == nil {
		return WatchTimeout
	}
	return f.WatchTimeout()
}

// watch waits for changes after the revision of the current copy and applies them. It returns
// ErrCompacted if the platform has begun another era, whose changes follow another revision. The
// platform may have given out that revision again, so the watch would miss those before it.
func (f *Follower) watch(ctx context.Context) error {
	base, _ := f.Copy()
	if f.Platform.Era != nil && f.Platform.Era() > base.Era {
		return storer.ErrCompacted
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelWatch(cancel)
	copied := f.startCall()
	after := f.watchedTo(base)
	result, err := f.Platform.WatchPrefix(watch, f.Prefix, after, f.watchTimeout())
	f.setCancelWatch(nil)
	if err != nil {
		if watch.Err() != nil && ctx.Err() == nil {
			return errWatchRestarted
		}
		return err
	}
	if result.Era != base.Era {
		return storer.ErrCompacted
	}
	if len(result.Changes) > 0 || f.raises(base, result) {
		f.addPast(result.Changes)
		f.Offer(base.With(result))
		f.confirm(base, result, copied)
		return nil
	}
	if c, _ := f.Copy(); c.Era == result.Era && result.Revision >= after {
		copied()
	}
	return nil
}

// watchedTo returns the revision after which the next watch looks for changes.
func (f *Follower) watchedTo(base Copy) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watched.Era != base.Era {
		return base.Revision
	}
	return max(base.Revision, f.watched.Revision)
}

// raises reports whether a result without changes raises the copy's revision. The other daemons
// fetch each higher revision, so short watches raise it no more often than long ones do.
func (f *Follower) raises(base Copy, result storer.RangeResult) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if result.Revision <= base.Revision {
		return false
	}
	f.watched = storer.Position{
		Era:      base.Era,
		Revision: max(result.Revision, f.watched.Revision),
	}
	if f.WatchTimeout != nil && time.Since(f.raisedAt) < WatchTimeout/2 {
		return false
	}
	f.raisedAt = time.Now()
	return true
}

// addPast remembers the states that changes have made, also those that later changes replace.
func (f *Follower) addPast(changes []storer.Change) {
	var items []storer.Item
	for _, c := range changes {
		if !c.Deleted {
			items = append(items, c.Item)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.past.add(items)
}

func (f *Follower) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// RestartWatch cancels the watch request in flight and starts another. It is needed when
// the platform may have lost the request without closing its connection.
func (f *Follower) RestartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// With returns the copy with the changes of result applied.
func (c Copy) With(result storer.RangeResult) Copy {
	items := make(map[string]storer.Item, len(c.Items))
	for _, i := range c.Items {
		items[i.Key] = i
	}
	revision := max(c.Revision, result.Revision)
	for _, change := range result.Changes {
		revision = max(revision, change.Version)
		switch {
		case change.Version < items[change.Key].Version:
		case change.Deleted:
			delete(items, change.Key)
		default:
			items[change.Key] = change.Item
		}
	}
	next := Copy{
		Era:      c.Era,
		Revision: revision,
		Lost:     c.Lost,
	}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		next.Items = append(next.Items, items[key])
	}
	return next
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
