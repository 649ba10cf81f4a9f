package follower_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// TestCopied checks after which calls a copy counts as containing all changes before them.
func TestCopied(t *testing.T) {
	errDown := errors.New("down")
	result := func(era, revision uint64) storer.RangeResult {
		return storer.RangeResult{Era: era, Revision: revision}
	}
	type call struct {
		result storer.RangeResult
		err    error
		// offered is the revision of a copy that another daemon sends during the call.
		offered uint64
		copied  bool
	}
	for name, calls := range map[string][]call{
		"read and watches": {{result: result(0, 5), copied: true}, {result: result(0, 5), copied: true}, {result: result(0, 9), copied: true}},
		"failed calls":     {{err: errDown}, {result: result(0, 5), copied: true}, {err: errDown}, {result: result(0, 5), copied: true}},
		"stale answer":     {{result: result(0, 5), copied: true}, {result: result(0, 4)}, {result: result(0, 5), copied: true}},
		"newer copy from a daemon during the call": {{result: result(0, 5), copied: true}, {result: result(0, 5), offered: 8, copied: true}},
		"stale after a copy from a daemon":         {{result: result(0, 5), copied: true}, {result: result(0, 5), offered: 8, copied: true}, {result: result(0, 6)}},
		"another era":                              {{result: result(1, 5), copied: true}, {result: result(2, 3)}},
	} {
		run := func(t *testing.T, watchTimeout func() time.Duration) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var copied []bool
			next := 0
			f := &follower.Follower{
				Prefix:       "op/",
				OnChange:     func(follower.Copy) {},
				OnCall:       func(bool, error) {},
				RetryDelay:   func() time.Duration { return 0 },
				WatchTimeout: watchTimeout,
				StartCall: func() func() {
					i := len(copied)
					copied = append(copied, false)
					return func() { copied[i] = true }
				},
			}
			answer := func() (storer.RangeResult, error) {
				if next == len(calls) {
					cancel()
					return storer.RangeResult{}, errDown
				}
				c := calls[next]
				next++
				if c.offered > 0 {
					f.Offer(follower.Copy{Revision: c.offered})
				}
				return c.result, c.err
			}
			f.Platform = storer.Platform{
				Range: func(context.Context, string) (storer.RangeResult, error) { return answer() },
				WatchPrefix: func(context.Context, string, uint64, time.Duration) (storer.RangeResult, error) {
					return answer()
				},
			}
			f.Run(ctx)
			var want []bool
			for _, c := range calls {
				want = append(want, c.copied)
			}
			if got := copied[:min(len(copied), len(want))]; !slices.Equal(got, want) {
				t.Errorf("copied %v, want %v", got, want)
			}
		}
		t.Run(name, func(t *testing.T) { run(t, nil) })
		t.Run(name+", short watches", func(t *testing.T) { run(t, func() time.Duration { return time.Second }) })
	}
}

// TestShortWatchesKeepRevision checks that short watches without changes don't raise the copy's
// revision, which the other daemons would fetch each time, and yet go on from the latest one.
func TestShortWatchesKeepRevision(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	revision := uint64(5)
	var after []uint64
	f := &follower.Follower{
		Prefix:       "op/",
		OnChange:     func(follower.Copy) {},
		OnCall:       func(bool, error) {},
		WatchTimeout: func() time.Duration { return time.Second },
		Platform: storer.Platform{
			Range: func(context.Context, string) (storer.RangeResult, error) {
				return storer.RangeResult{Revision: revision}, nil
			},
		},
	}
	raised := 0
	f.Platform.WatchPrefix = func(_ context.Context, _ string, from uint64, _ time.Duration) (storer.RangeResult, error) {
		if after = append(after, from); len(after) == 6 {
			cancel()
		}
		before := revision
		revision++
		if c, _ := f.Copy(); c.Revision == before {
			raised++
		}
		return storer.RangeResult{Revision: revision}, nil
	}
	f.Run(ctx)
	if want := []uint64{5, 6, 7, 8, 9, 10}; !slices.Equal(after, want) || raised > 2 {
		t.Errorf("watches after %v, want %v; the copy followed %d of them, want at most 2", after, want, raised)
	}
}
