package allocator_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const limit = 1 << 20

// party is a holding with the log of its revocations.
type party struct {
	*allocator.Holding
	revoked int
}

func newParty(t *testing.T, a *allocator.Account, c allocator.Cause, s allocator.State, bytes int64) *party {
	t.Helper()
	p := &party{}
	p.Holding = a.Open(c, func() {
		p.revoked++
		p.Release()
	})
	if err := p.Grow(bytes); err != nil {
		t.Fatal(err)
	}
	p.SetState(s)
	return p
}

// TestRevocation checks who loses memory to a request of 4 KiB or 64 KiB when a stalled body,
// an idle connection and a response that is not read fill the account.
func TestRevocation(t *testing.T) {
	for name, test := range map[string]struct {
		stall  time.Duration
		bytes  int64
		states []allocator.State
		want   int // the index of the one that is revoked, or -1
	}{
		"nothing stalls":                      {stall: 100 * time.Millisecond, bytes: 4 << 10, states: []allocator.State{allocator.Unfinished, allocator.Idle, allocator.Unread}, want: -1},
		"a body":                              {stall: 2 * time.Second, bytes: 4 << 10, states: []allocator.State{allocator.Unread, allocator.Idle, allocator.Unfinished}, want: 2},
		"the body that stalls for longest":    {stall: 2 * time.Second, bytes: 64 << 10, states: []allocator.State{allocator.Unfinished, allocator.Unfinished}, want: 0},
		"an idle connection":                  {stall: 2 * time.Second, bytes: 4 << 10, states: []allocator.State{allocator.Unread, allocator.Idle, allocator.Kept}, want: 1},
		"no idle connection for a large body": {stall: 2 * time.Second, bytes: 64 << 10, states: []allocator.State{allocator.Idle, allocator.Kept}, want: -1},
		"a response":                          {stall: 2 * time.Second, bytes: 64 << 10, states: []allocator.State{allocator.Kept, allocator.Unread}, want: 1},
		"nothing that is kept":                {stall: time.Hour, bytes: 4 << 10, states: []allocator.State{allocator.Kept}, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timekeeper.NewVirtual(time.Unix(0, 0))
			a := &allocator.Account{
				Limit: limit,
				Clock: clock,
			}
			var parties []*party
			for _, s := range test.states {
				parties = append(parties, newParty(t, a, allocator.Responses, s, limit/int64(len(test.states))))
				clock.Advance(time.Millisecond)
			}
			clock.Advance(test.stall)
			h := a.Open(allocator.Requests, nil)
			if test.bytes > 32<<10 {
				h.Take(32 << 10) // it is large already
			}
			err := h.Grow(test.bytes)
			if (err == nil) != (test.want >= 0) || err != nil && !errors.Is(err, allocator.ErrFull) {
				t.Errorf("error %v", err)
			}
			for i, p := range parties {
				if revoked := p.revoked > 0; revoked != (i == test.want) || p.Revoked() != revoked {
					t.Errorf("party %d: revoked %v, want only that of %d", i, revoked, test.want)
				}
			}
		})
	}
}

// TestAdvanceKeeps checks that a body that advances is kept for longer than one that
// doesn't.
func TestAdvanceKeeps(t *testing.T) {
	clock := timekeeper.NewVirtual(time.Unix(0, 0))
	a := &allocator.Account{
		Limit: limit,
		Clock: clock,
	}
	first := newParty(t, a, allocator.Requests, allocator.Unfinished, limit/4)
	second := newParty(t, a, allocator.Requests, allocator.Unfinished, limit/2)
	clock.Advance(time.Second)
	first.Advance()
	h := a.Open(allocator.Requests, nil)
	if err := h.Grow(limit / 4); err != nil || first.revoked != 0 || second.revoked != 1 {
		t.Errorf("error %v, revoked %d and %d times, want the second one once", err, first.revoked, second.revoked)
	}
}

// TestRoom checks that the last part of the account is for small requests and for
// responses.
func TestRoom(t *testing.T) {
	a := &allocator.Account{
		Limit: limit,
		Clock: timekeeper.NewVirtual(time.Unix(0, 0)),
	}
	fill := func(c allocator.Cause, step int64) (used int64) {
		for {
			h := a.Open(c, nil)
			if h.Grow(step) != nil {
				return a.Used(allocator.Requests) + a.Used(allocator.Responses)
			}
		}
	}
	large := fill(allocator.Requests, 40<<10)
	small := fill(allocator.Requests, 4<<10)
	all := fill(allocator.Responses, 4<<10)
	if large > limit*85/100 || small < limit*9/10 || small > limit*95/100 || all < limit*99/100 || all > limit {
		t.Errorf("filled up to %d by large requests, %d by small ones, %d by responses", large, small, all)
	}
}

// TestGrowWaitsForRelease checks that memory is given again only when its owner has
// released it, and that an owner that waits itself doesn't wait for ever.
func TestGrowWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &allocator.Account{
			Limit: limit,
			Clock: timekeeper.System{},
		}
		var owner *allocator.Holding
		owner = a.Open(allocator.Requests, func() {
			time.AfterFunc(time.Second, func() {
				if err := owner.Grow(1); !errors.Is(err, allocator.ErrRevoked) {
					t.Errorf("revoked owner: error %v", err)
				}
				owner.Release()
			})
		})
		if err := owner.Grow(limit / 2); err != nil {
			t.Fatal(err)
		}
		owner.SetState(allocator.Unfinished)
		time.Sleep(time.Second)
		start := time.Now()
		if err := a.Open(allocator.Requests, nil).Grow(limit * 3 / 4); err != nil || time.Since(start) != time.Second {
			t.Errorf("error %v after %v, want none when the owner has released it", err, time.Since(start))
		}
		owner.Release()
		if used := a.Used(allocator.Requests); used != limit*3/4 {
			t.Errorf("%d bytes used, want those of one", used)
		}
	})
}

// TestReadBody reads bodies of all kinds of sizes, and checks that the account has room for
// one body at a time only.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000, 64 << 20} {
		data := bytes.Repeat([]byte("0123456789abcde\n"), size/16+1)[:size]
		for name, r := range map[string]io.Reader{
			"at once":      bytes.NewReader(data),
			"with the EOF": iotest.DataErrReader(bytes.NewReader(data)),
			"in halves":    iotest.HalfReader(bytes.NewReader(data)),
		} {
			stated := int64(size)
			if name == "in halves" {
				stated = -1
			}
			// The account of the smallest machine on which the largest body is served.
			a := &allocator.Account{
				Limit: 184 << 20 * 45 / 100,
				Clock: timekeeper.System{},
			}
			h := a.Open(allocator.Requests, nil)
			received := 0
			body, err := h.ReadBody(r, stated, 64<<20, func(n int) { received += n })
			if err != nil || body.Len() != size || received != size || body.String() != string(data) {
				t.Errorf("%d bytes, %s: got %d of %d received, error %v", size, name, body.Len(), received, err)
			}
			if used := a.Used(allocator.Requests); used < int64(size) || used > int64(size)+64<<10 {
				t.Errorf("%d bytes, %s: %d accounted for", size, name, used)
			}
			if h.Release(); a.Used(allocator.Requests) != 0 {
				t.Errorf("%d bytes, %s: not released", size, name)
			}
		}
	}
}

// TestReadBodyFails checks the errors of bodies that are too large, break off or don't fit.
func TestReadBodyFails(t *testing.T) {
	errBroken := errors.New("broken")
	for name, test := range map[string]struct {
		body   io.Reader
		stated int64
		want   error
	}{
		"stated too large": {body: strings.NewReader(""), stated: limit + 1, want: allocator.ErrTooLarge},
		"too large":        {body: strings.NewReader(strings.Repeat("x", limit/2+1)), stated: -1, want: allocator.ErrTooLarge},
		"broken":           {body: io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errBroken)), stated: -1, want: errBroken},
		"no room":          {body: strings.NewReader(strings.Repeat("x", limit/2)), stated: -1, want: allocator.ErrFull},
	} {
		t.Run(name, func(t *testing.T) {
			a := &allocator.Account{
				Limit: limit,
				Clock: timekeeper.System{},
			}
			if test.want == allocator.ErrFull {
				a.Limit = limit / 4
			}
			if _, err := a.Open(allocator.Requests, nil).ReadBody(test.body, test.stated, limit/2, func(int) {}); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
