package deliverer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/admitter"
	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// closures are the ways in which a target ceases to take requests, with the rejection.
var closures = map[string]struct {
	next   admitter.Target
	closed bool
	want   string
}{
	"leaving":  {next: admitter.Target{Instance: "i-1", Slots: 2, ShuttingDown: true}, want: "target leaving"},
	"replaced": {next: admitter.Target{Instance: "i-2", Slots: 2}, want: "no such target here"},
	"closed":   {next: admitter.Target{Instance: "i-1", Slots: 2}, closed: true, want: "target closed to new requests"},
}

// newWaitHarness returns a harness whose connections to the target wait for release. It closes
// dialling when one waits.
func newWaitHarness(t *testing.T, closed *atomic.Bool) (r *harness, dialling, release chan struct{}) {
	r = newHarness(t, func(conn net.Conn, request *http.Request, _ int32) bool {
		_, _ = io.WriteString(conn, responseHead(request, "200 OK", "Content-Length: 0\r\nLeft: "+request.Header.Get("X-Deadline-Ms")+"\r\n"))
		return true
	})
	r.Gate.Closed = func(admitter.Target) bool { return closed.Load() }
	dialling, release = make(chan struct{}), make(chan struct{})
	tr := forwarder.NewTransport(4)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialling)
		<-release
		return dial(ctx, network, address)
	}
	r.Transport = tr
	return r, dialling, release
}

// checkRejected checks that a request was rejected for a reason and has not reached the target.
func (r *harness) checkRejected(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || classifier.VerdictOf(err) != classifier.NotRun || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want %q with verdict NotRun", err, want)
	}
	if n := r.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the target, want 0", n)
	}
	if n := r.Gate.Running(); n != 0 {
		t.Errorf("%d slots are occupied, want 0", n)
	}
	if r.Gate.IsCold() {
		t.Error("the target counts as cold, as after a failed connection")
	}
}

// TestTargetClosesDuringWaitForConnection guards against a request that reaches a target after
// its leave, or its zone's evacuation, because it waited for a connection.
func TestTargetClosesDuringWaitForConnection(t *testing.T) {
	for name, test := range closures {
		t.Run(name, func(t *testing.T) {
			var closed atomic.Bool
			r, dialling, release := newWaitHarness(t, &closed)
			result := make(chan error, 1)
			go func() {
				_, err := r.deliver("id-1")
				result <- err
			}()
			<-dialling
			closed.Store(test.closed)
			r.Gate.SetTarget(test.next)
			r.checkRejected(t, <-result, test.want) // before the wait has ended
			close(release)
		})
	}
	t.Run("closed without a check of the queue", func(t *testing.T) {
		var closed atomic.Bool
		r, dialling, release := newWaitHarness(t, &closed)
		go func() {
			<-dialling
			closed.Store(true)
			close(release)
		}()
		_, err := r.deliver("id-1")
		r.checkRejected(t, err, "target closed to new requests")
	})
	t.Run("recalled", func(t *testing.T) {
		var closed atomic.Bool
		r, dialling, release := newWaitHarness(t, &closed)
		var handoff forwarder.Handoff
		go func() {
			<-dialling
			handoff.Recall()
			close(release)
		}()
		_, err := r.deliverContext(carrier.WithHandoff(t.Context(), &handoff), "id-1")
		r.checkRejected(t, err, "recalled")
	})
	t.Run("rejected before it is sent", func(t *testing.T) {
		var closed atomic.Bool
		r, dialling, release := newWaitHarness(t, &closed)
		var dialled bool
		r.BeforeSend = func(*carrier.Attempt) error {
			if !dialled {
				t.Error("BeforeSend is called before the wait for a connection")
			}
			return classifier.NewFailure(classifier.NotRun, "key removed", nil)
		}
		go func() {
			<-dialling
			dialled = true
			close(release)
		}()
		_, err := r.deliver("id-1")
		r.checkRejected(t, err, "key removed")
	})
}

// TestTimeLeftAfterWaitForConnection guards against a time budget for the target from before
// the wait for a connection.
func TestTimeLeftAfterWaitForConnection(t *testing.T) {
	r, dialling, release := newWaitHarness(t, &atomic.Bool{})
	const wait = time.Second
	var sent time.Time
	go func() {
		<-dialling
		time.Sleep(wait)
		sent = time.Now()
		close(release)
	}()
	deadline := time.Now().Add(10 * time.Second)
	resp, err := r.deliver("id-1")
	if err != nil {
		t.Fatal(err)
	}
	left, err := strconv.Atoi(resp.Header.Get("Left"))
	if most := deadline.Sub(sent); err != nil || time.Duration(left)*time.Millisecond > most+wait/2 {
		t.Errorf("the target was given %d ms, error %v; want at most %v", left, err, most)
	}
}

// TestTargetClosesDuringBodyTurn guards against uploads that wait for their turn at a target
// that doesn't take them any more.
func TestTargetClosesDuringBodyTurn(t *testing.T) {
	for name, test := range closures {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, func(net.Conn, *http.Request, int32) bool { return false })
			var closed atomic.Bool
			r.Gate.Closed = func(admitter.Target) bool { return closed.Load() }
			server := &carrier.Server{
				Key:         "key",
				Deliver:     r.Deliver,
				MaxBody:     func() int64 { return 1 << 20 },
				MaxBodyTurn: time.Minute,
			}
			s := httptest.NewServer(server)
			t.Cleanup(s.Close)
			released := make(chan struct{})
			t.Cleanup(func() { close(released) })
			send := func() error {
				c := &carrier.Client{
					Key: "key",
					Transport: &http.Transport{
						ExpectContinueTimeout: time.Minute,
						DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
							conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
							return &stalledConn{Conn: conn, closed: released}, err
						},
					},
					OnSilent:    func(string) {},
					KeepWaiting: func() bool { return true },
				}
				_, err := c.Send(t.Context(), s.Listener.Addr().String(), &carrier.Attempt{
					ID:        "1",
					Instance:  "i-1",
					Rule:      "r",
					Kind:      matcher.NonIdempotent,
					Deadline:  time.Now().Add(time.Minute),
					Objective: time.Now().Add(time.Minute),
					MaxWait:   time.Minute,
					Method:    "POST",
					URI:       "/",
					Host:      "h",
					Header:    http.Header{"X-Attempt-Id": {"1"}},
					Body:      allocator.Body{[]byte(strings.Repeat("x", 100<<10))},
				})
				return err
			}
			go func() { _ = send() }() // its turn doesn't end
			for r.Gate.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			waiting := make(chan error, 1)
			go func() { waiting <- send() }()
			for server.AwaitingTurn() == 0 {
				time.Sleep(time.Millisecond)
			}
			closed.Store(test.closed)
			r.Gate.SetTarget(test.next)
			if err := <-waiting; classifier.VerdictOf(err) != classifier.NotRun || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q with verdict NotRun", err, test.want)
			}
		})
	}
}
