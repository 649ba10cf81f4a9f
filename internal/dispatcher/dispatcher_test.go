package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/chooser"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/throttler"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// step is the scripted result of one attempt.
type step func(a *carrier.Attempt) (*carrier.TargetResponse, error)

func answered(status int) step {
	return func(a *carrier.Attempt) (*carrier.TargetResponse, error) {
		return &carrier.TargetResponse{Status: status, Header: http.Header{}, Body: []byte(a.Instance)}, nil
	}
}

func failed(f carrier.Failure) step {
	return func(*carrier.Attempt) (*carrier.TargetResponse, error) { return nil, &f }
}

var (
	busy             = failed(carrier.Failure{Failure: classifier.NewFailure(classifier.NotRun, "target busy", nil), Reported: true, RetryAfter: 70 * time.Millisecond})
	shed             = failed(carrier.Failure{Failure: classifier.NewFailure(classifier.NotRun, "target refused it", nil), Reported: true, Arrived: true, RetryAfter: 50 * time.Millisecond})
	unreachable      = failed(carrier.Failure{Failure: classifier.NewFailure(classifier.NotRun, "no connection", errors.New("refused"))})
	connectionBroken = failed(carrier.Failure{Failure: classifier.NewFailure(classifier.MayHaveRun, "connection broke", nil), Arrived: true})
	responseLost     = failed(carrier.Failure{Failure: classifier.NewFailure(classifier.Ran, "answer of the target broke off", nil), Reported: true, Arrived: true})
)

// harness is a dispatcher whose attempts return scripted results.
type harness struct {
	*dispatcher.Dispatcher
	steps      []step
	sent       []*carrier.Attempt
	lastResult dispatcher.Result
	pool       dispatcher.Pool
}

func newHarness(kind matcher.Kind, targets int, steps ...step) *harness {
	r := &harness{steps: steps}
	for i := range targets {
		r.pool.Targets = append(r.pool.Targets, chooser.Target{
			Daemon:   fmt.Sprint("vm-", i),
			Instance: fmt.Sprint("i-", i),
			Version:  "v1",
			Slots:    4,
		})
	}
	rule := matcher.Rule{
		Name:        "pay",
		Prefix:      "/pay/",
		Kind:        kind,
		Splits:      []matcher.WeightedService{{Service: "s", Weight: 1}},
		Timeout:     time.Second,
		Objective:   300 * time.Millisecond,
		MaxAttempts: 2,
	}
	plan := matcher.New(5, matcher.Limits{}, nil, map[string][]matcher.Rule{"a.example": {rule}})
	budget := &dispatcher.RetryBudget{Daemons: func() int { return 1 }}
	budget.SetLimits(0.2, 60)
	r.Dispatcher = &dispatcher.Dispatcher{
		Daemon: "vm-self",
		Caller: "caller",
		Plan:   func() *matcher.Plan { return plan },
		Pool:   func(string) dispatcher.Pool { return r.pool },
		Client: func(h http.Header) (dispatcher.Client, error) {
			if h.Get("Left") == "" {
				return dispatcher.Client{ID: h.Get("Id")}, nil
			}
			left, err := time.ParseDuration(h.Get("Left"))
			return dispatcher.Client{ID: h.Get("Id"), TimeLeft: left}, err
		},
		Send: func(_ context.Context, _ string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
			r.sent = append(r.sent, a)
			if len(r.steps) == 0 {
				return nil, &carrier.Failure{Failure: classifier.NewFailure(classifier.MayHaveRun, "not expected", nil), Arrived: true}
			}
			s := r.steps[0]
			r.steps = r.steps[1:]
			return s(a)
		},
		Chooser:     chooser.New(timekeeper.System{}),
		RetryBudget: budget,
		Throttler:   &throttler.Throttler{Clock: timekeeper.System{}},
		IsRunning:   func(string) (running, patient bool) { return false, false },
		Clock:       timekeeper.System{},
		ServesUntil: func() time.Time { return time.Time{} },
		OnResult:    func(result dispatcher.Result) { r.lastResult = result },
	}
	return r
}

func (r *harness) call(path, header string) *receiver.Response {
	return r.callContext(context.Background(), path, header)
}

func (r *harness) callContext(ctx context.Context, path, header string) *receiver.Response {
	text := "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n" + header + "\r\n"
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		panic(err)
	}
	return r.Handle(ctx, &receiver.Request{
		Request: request,
		Body:    allocator.Body{[]byte("body")},
		Began:   time.Now(),
	})
}

func TestHandle(t *testing.T) {
	const nonIdempotent, idempotent = matcher.NonIdempotent, matcher.Idempotent
	for name, test := range map[string]struct {
		kind     matcher.Kind
		targets  int
		steps    []step
		status   int
		attempts int
	}{
		"answered":                              {kind: nonIdempotent, targets: 3, steps: []step{answered(200)}, status: 200, attempts: 1},
		"no target":                             {kind: nonIdempotent, status: 503},
		"busy, then free slot":                  {kind: nonIdempotent, targets: 3, steps: []step{busy, busy, answered(200)}, status: 200, attempts: 3},
		"all busy, then queued":                 {kind: nonIdempotent, targets: 2, steps: []step{busy, busy, answered(200)}, status: 200, attempts: 3},
		"all busy":                              {kind: nonIdempotent, targets: 2, steps: []step{busy, busy, busy, busy, busy, busy}, status: 503, attempts: 4},
		"unreachable, then answered":            {kind: nonIdempotent, targets: 3, steps: []step{unreachable, answered(200)}, status: 200, attempts: 2},
		"shed, then answered":                   {kind: nonIdempotent, targets: 3, steps: []step{shed, answered(200)}, status: 200, attempts: 2},
		"shed by as many targets as allowed":    {kind: nonIdempotent, targets: 5, steps: []step{shed, shed, shed}, status: 503, attempts: 2},
		"may have run":                          {kind: nonIdempotent, targets: 3, steps: []step{connectionBroken}, status: 502, attempts: 1},
		"ran":                                   {kind: nonIdempotent, targets: 3, steps: []step{responseLost}, status: 502, attempts: 1},
		"failed":                                {kind: nonIdempotent, targets: 3, steps: []step{answered(500)}, status: 500, attempts: 1},
		"may have run, retried":                 {kind: idempotent, targets: 3, steps: []step{connectionBroken, answered(200)}, status: 200, attempts: 2},
		"failed, retried":                       {kind: idempotent, targets: 3, steps: []step{answered(500), answered(200)}, status: 200, attempts: 2},
		"failed, then rejected":                 {kind: idempotent, targets: 3, steps: []step{answered(500), busy, busy, busy, busy}, status: 500, attempts: 5},
		"may have run, then rejected":           {kind: idempotent, targets: 2, steps: []step{connectionBroken, busy, busy, busy}, status: 502, attempts: 3},
		"failed by as many targets as allowed":  {kind: idempotent, targets: 5, steps: []step{answered(500), answered(500), answered(200)}, status: 500, attempts: 2},
		"deadline exceeded at the target":       {kind: idempotent, targets: 3, steps: []step{answered(504)}, status: 504, attempts: 1},
		"rejections do not count as deliveries": {kind: idempotent, targets: 5, steps: []step{busy, unreachable, connectionBroken, answered(200)}, status: 200, attempts: 4},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(test.kind, test.targets, test.steps...)
			resp := r.call("/pay/1", "")
			if resp.Status != test.status || len(r.sent) != test.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d", resp.Status, len(r.sent), test.status, test.attempts)
			}
			if resp.Status == 503 {
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				if err != nil || after <= 0 {
					t.Errorf("Retry-After %q, want a positive number", resp.Header.Get("Retry-After"))
				}
			}
			if r.lastResult.Status != resp.Status || r.lastResult.ID != "id-1" || r.lastResult.Attempts != test.attempts {
				t.Errorf("result %+v, want the ID, status and number of attempts of the request", r.lastResult)
			}
		})
	}
}

func TestRejectsWithoutAttempt(t *testing.T) {
	r := newHarness(matcher.NonIdempotent, 1, answered(200))
	if resp := r.call("/other/", ""); resp.Status != 404 {
		t.Errorf("no rule: status %d, want 404", resp.Status)
	}
	if resp := r.call("/pay/", "Left: soon\r\n"); resp.Status != 400 {
		t.Errorf("bad header: status %d, want 400", resp.Status)
	}
	r.Plan = func() *matcher.Plan { return nil }
	if resp := r.call("/pay/", ""); resp.Status != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("no plan: response %+v, want status 503 with Retry-After", resp)
	}
	if len(r.sent) != 0 {
		t.Errorf("%d attempts, want none", len(r.sent))
	}
}

// TestGoneClientNotSent checks that no attempt is sent for a client that has closed its
// connection, even if the context has not ended.
// TestRequestThatMayOutlastTheDaemon guards against requests that are cut at the end of a
// graceful shutdown.
func TestRequestThatMayOutlastTheDaemon(t *testing.T) {
	for left, want := range map[string]int{"300ms": http.StatusOK, "600ms": http.StatusServiceUnavailable} {
		r := newHarness(matcher.NonIdempotent, 1, answered(http.StatusOK))
		end := time.Now().Add(500 * time.Millisecond)
		r.ServesUntil = func() time.Time { return end }
		resp := r.call("/pay/", "Left: "+left+"\r\n")
		if resp.Status != want || (want != http.StatusOK && (len(r.sent) > 0 || resp.Header.Get("Retry-After") == "")) {
			t.Errorf("%s left of 500ms: status %d, %d attempts, Retry-After %q; want status %d", left, resp.Status, len(r.sent),
				resp.Header.Get("Retry-After"), want)
		}
	}
}

func TestGoneClientNotSent(t *testing.T) {
	for name, steps := range map[string][]step{
		"before the first attempt": nil,
		"before a retry":           {busy},
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := connect(t)
			ctx := forwarder.WithConn(t.Context(), conn)
			leave := func() {
				_ = client.Close()
				for !forwarder.ClientGone(ctx) {
					time.Sleep(time.Millisecond)
				}
			}
			r := newHarness(matcher.Idempotent, 3, steps...)
			if len(steps) == 0 {
				leave()
			}
			send := r.Send
			r.Send = func(ctx context.Context, address string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
				defer leave()
				return send(ctx, address, a)
			}
			resp := r.callContext(ctx, "/pay/1", "")
			if len(r.sent) != len(steps) {
				t.Errorf("%d attempts sent, want %d", len(r.sent), len(steps))
			}
			if resp.Status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want %d", resp.Status, http.StatusServiceUnavailable)
			}
		})
	}
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// TestGoneClientBlamesNoTarget checks that an attempt which fails after its client has
// left does not keep other requests from the target.
func TestGoneClientBlamesNoTarget(t *testing.T) {
	client, conn := connect(t)
	ctx := forwarder.WithConn(t.Context(), conn)
	r := newHarness(matcher.Idempotent, 2, unreachable)
	send := r.Send
	r.Send = func(sendCtx context.Context, address string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
		_ = client.Close()
		for !forwarder.ClientGone(ctx) {
			time.Sleep(time.Millisecond)
		}
		return send(sendCtx, address, a)
	}
	r.callContext(ctx, "/pay/1", "")
	instance := r.sent[0].Instance
	for range 50 {
		r.steps = []step{answered(200)}
		r.call("/pay/1", "")
	}
	if !slices.ContainsFunc(r.sent[1:], func(a *carrier.Attempt) bool { return a.Instance == instance }) {
		t.Errorf("%s got none of 50 later requests", instance)
	}
}

// TestUnsentRetryIsNotPaidTwice guards against failing a request with a retry unused.
func TestUnsentRetryIsNotPaidTwice(t *testing.T) {
	r := newHarness(matcher.Idempotent, 3, connectionBroken, unreachable, answered(200))
	r.RetryBudget.SetLimits(0, 0)
	if resp := r.call("/pay/1", ""); resp.Status != http.StatusOK {
		t.Errorf("status %d after %d attempts, want 200 after 3", resp.Status, len(r.sent))
	}
	r = newHarness(matcher.Idempotent, 4, connectionBroken, shed, answered(200))
	r.RetryBudget.SetLimits(0, 0)
	if resp := r.call("/pay/1", ""); resp.Status != http.StatusBadGateway || len(r.sent) != 2 {
		t.Errorf("status %d after %d attempts, want 502 after 2: the retry has reached its target", resp.Status, len(r.sent))
	}
}

// TestAttemptDeadline checks that an attempt carries the shorter of the client's
// timeout and the rule's.
func TestAttemptDeadline(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                time.Second,
		"Left: 250ms\r\n": 250 * time.Millisecond,
		"Left: 5s\r\n":    time.Second,
	} {
		r := newHarness(matcher.NonIdempotent, 1, answered(200))
		before := time.Now()
		r.call("/pay/", header)
		left := r.sent[0].Deadline.Sub(before)
		if left > want || left < want-50*time.Millisecond {
			t.Errorf("header %q: deadline in %v, want %v", header, left, want)
		}
		if r.sent[0].Caller != "caller" || r.sent[0].Body.String() != "body" {
			t.Errorf("attempt %+v, want caller \"caller\" and body \"body\"", r.sent[0])
		}
	}
}

// TestRetryBudget checks that retries stay within the budget over many requests.
func TestRetryBudget(t *testing.T) {
	r := newHarness(matcher.Idempotent, 3)
	const requests = 2000
	for range requests {
		r.steps = []step{connectionBroken, connectionBroken}
		r.call("/pay/", "")
	}
	retries := len(r.sent) - requests
	if limit := requests/5 + 60; retries > limit {
		t.Errorf("%d retries of %d requests, want at most %d", retries, requests, limit)
	}
	if retries < requests/50 {
		t.Errorf("%d retries of %d requests, want at least 2%%", retries, requests)
	}
}

func TestCanaryShare(t *testing.T) {
	r := newHarness(matcher.NonIdempotent, 2)
	r.pool.Canary = []chooser.Target{{Daemon: "vm-t", Instance: "i-t", Version: "v2", Slots: 4}}
	for _, share := range []float64{0, 0.03, 0.3, 1} {
		r.pool.Share = share
		canary := 0
		for range 1000 {
			r.steps = []step{answered(200)}
			if string(r.call("/pay/", "").Body) == "i-t" {
				canary++
			}
		}
		if want := int(share * 1000); canary < want-1 || canary > want+1 {
			t.Errorf("share %v: %d of 1000 requests reached the canary, want that share of them", share, canary)
		}
	}
	r.pool.Share = 0.5
	r.pool.Targets = nil
	r.steps = []step{answered(200), answered(200)}
	statuses := map[int]int{}
	for range 2 {
		statuses[r.call("/pay/", "").Status]++
	}
	if statuses[503] != 1 {
		t.Errorf("statuses %v, want one 503: baseline requests must not fall back to the canary", statuses)
	}
}
