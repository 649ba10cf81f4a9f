package carrier

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The load of TestBodiesUnderLoad: bodies of one size over a link.
const (
	bodyBytes    = 60 << 10
	bytesPerSec  = 14e6 / 8
	askTime      = 20 * time.Millisecond // from the turn to the first byte
	bodyTarget   = 600 * time.Millisecond
	bodyDeadline = 3500 * time.Millisecond
	bodyWork     = 140 * time.Millisecond
	// loadTime is how long bodies arrive.
	loadTime = 30 * time.Second
)

// counts holds what the senders of bodies got.
type counts struct{ inTime, late, refused int }

// playBodies sends bodies at an interval over a link to a limiter. Without standing, bodies
// wait until their deadline; without overlap, a turn ends with the last byte.
func playBodies(interval time.Duration, standing, overlap bool) counts {
	var limiter bodyLimiter
	var link, mu sync.Mutex
	var got counts
	send := func(bytes int) {
		link.Lock()
		defer link.Unlock()
		time.Sleep(time.Duration(float64(bytes) / bytesPerSec * float64(time.Second)))
	}
	rest := 0
	if overlap {
		rest = overlapBytes
	}
	var senders sync.WaitGroup
	for range int(loadTime / interval) {
		time.Sleep(interval)
		senders.Go(func() {
			start := time.Now()
			w := Wait{
				Max:      bodyDeadline - bodyWork,
				Standing: bodyDeadline,
			}
			if standing {
				w.Standing = bodyTarget - bodyWork
			}
			ctx, cancel := context.WithTimeout(context.Background(), bodyDeadline)
			defer cancel()
			release, err := limiter.acquire(ctx, w, time.Minute)
			if err == nil {
				time.Sleep(askTime)
				send(bodyBytes - rest)
				release()
				send(rest)
				time.Sleep(bodyWork)
			}
			mu.Lock()
			defer mu.Unlock()
			switch took := time.Since(start); {
			case err != nil:
				got.refused++
			case took > bodyTarget:
				got.late++
			default:
				got.inTime++
			}
		})
	}
	senders.Wait()
	return got
}

// TestBodiesUnderLoad plays more bodies than a link carries, one after the other, and checks
// that most arrive in time and the others are refused at once.
func TestBodiesUnderLoad(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration
		share    float64 // in time, at least
	}{
		"as much as fits":        {interval: 50 * time.Millisecond, share: 0.95},
		"a tenth more than fits": {interval: 43 * time.Millisecond, share: 0.85},
		"half more than fits":    {interval: 30 * time.Millisecond, share: 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := playBodies(c.interval, false, false)
				got := playBodies(c.interval, true, true)
				total := got.inTime + got.late + got.refused
				if share := float64(got.inTime) / float64(total); share < c.share || got.inTime < before.inTime {
					t.Errorf("%.2f in time, want %.2f", share, c.share)
				}
				t.Logf("%+v; one whole body after the other, until the deadline: %+v", got, before)
			})
		})
	}
}

// TestStandingQueueIsRejected guards against a queue that delays all bodies.
func TestStandingQueueIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := bodyLimiter{meanTurn: 40 * time.Millisecond}
		wait := Wait{Max: time.Second, Standing: 300 * time.Millisecond}
		if _, err := l.acquire(t.Context(), wait, time.Minute); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			if _, err := l.enqueue(wait); err != nil {
				t.Errorf("in a burst: %v", err)
			}
		}
		time.Sleep(maxBurst + time.Millisecond)
		_, err := l.enqueue(wait)
		if f := NewFailure(err); err == nil || f.RetryAfter != 240*time.Millisecond {
			t.Errorf("after the burst: %v, want a rejection for %v", err, 240*time.Millisecond)
		}
		l.waiting = nil
		if _, err := l.enqueue(wait); err != nil {
			t.Errorf("with an empty queue: %v", err)
		}
	})
}

// TestTurnEndsBeforeTheLastByte guards against a link that idles between two bodies.
func TestTurnEndsBeforeTheLastByte(t *testing.T) {
	const bytes = 3 * overlapBytes
	ended := 0
	r := &turnReader{
		Reader:  strings.NewReader(strings.Repeat("x", bytes)),
		left:    bytes,
		endTurn: func() { ended++ },
	}
	if _, err := io.CopyN(io.Discard, r, 2*overlapBytes-1); err != nil || ended > 0 {
		t.Errorf("turn ended %d times with more than %d bytes left, error %v", ended, overlapBytes, err)
	}
	if _, err := io.CopyN(io.Discard, r, 1); err != nil || ended == 0 {
		t.Errorf("turn has not ended with %d bytes left, error %v", overlapBytes, err)
	}
}
