package admitter_test

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// TestWatch guards against requests that wait, after their admission or before it, for a target
// that must no longer get them.
func TestWatch(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *harness)
		// deadline means that the request has one, as before its admission.
		deadline bool
		want     error
	}{
		"unchanged": {change: func(r *harness) { r.SetTarget(target()) }},
		"leaving": {
			change: func(r *harness) {
				next := target()
				next.ShuttingDown = true
				r.SetTarget(next)
			},
			want: admitter.ErrShuttingDown,
		},
		"closed": {
			change: func(r *harness) {
				r.closed = true
				r.CheckQueue()
			},
			want: admitter.ErrTargetClosed,
		},
		"restarted": {
			change: func(r *harness) {
				next := target()
				next.Instance = "i-2"
				r.SetTarget(next)
			},
			want: admitter.ErrUnknownTarget,
		},
		"daemon stops": {
			change: func(r *harness) {
				r.end = r.newRequest().Deadline.Add(-time.Millisecond)
				r.CheckQueue()
			},
			deadline: true,
			want:     admitter.ErrStopping,
		},
		"daemon stops after the admission": {
			change: func(r *harness) {
				r.end = r.newRequest().Deadline.Add(-time.Millisecond)
				r.CheckQueue()
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(target())
			request := admitter.Request{Instance: target().Instance}
			if test.deadline {
				request = r.newRequest()
			}
			ctx, w := r.Watch(t.Context(), request)
			ended, ended2 := r.Watch(t.Context(), request)
			if err := ended2.End(); err != nil {
				t.Fatal(err)
			}
			test.change(r)
			if got := context.Cause(ctx); got != test.want {
				t.Errorf("context ended with %v, want %v", got, test.want)
			}
			if ended.Err() != nil || ended2.Err() != nil {
				t.Errorf("a watch that has ended: %v, %v; want neither", ended.Err(), ended2.Err())
			}
			if err, again := w.End(), w.End(); err != test.want || again != err || w.Err() != err {
				t.Errorf("rejections %v, %v, %v, want %v", err, again, w.Err(), test.want)
			}
		})
	}
	t.Run("closed without a check", func(t *testing.T) {
		r := newHarness(target())
		_, w := r.Watch(t.Context(), r.newRequest())
		r.closed = true
		if err := w.End(); err != admitter.ErrTargetClosed {
			t.Errorf("rejection %v, want %v", err, admitter.ErrTargetClosed)
		}
	})
}

// TestCancelled guards against a log that blames the client for what a daemon has decided.
func TestCancelled(t *testing.T) {
	reason := classifier.NewFailure(classifier.NotRun, "recalled", nil)
	for name, test := range map[string]struct{ cause, want error }{
		"client gone": {want: admitter.ErrCanceled},
		"recalled":    {cause: reason, want: reason},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(target())
			for range target().Slots {
				if err := r.acquire(r.newRequest()); err != nil {
					t.Fatal(err)
				}
			}
			request := r.newRequest()
			request.MaxWait = time.Hour
			ctx, cancel := context.WithCancelCause(t.Context())
			result := make(chan error, 1)
			go func() { result <- r.Acquire(ctx, request) }()
			for r.Queued() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel(test.cause)
			if err := <-result; err != test.want {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
