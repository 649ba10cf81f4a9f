package carrier_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// recallServer is a Server whose attempts wait for a slot until they are cancelled or slot is
// closed, and then run.
type recallServer struct {
	*carrier.Server
	address string
	waiting chan struct{}
	slot    chan struct{}
	runs    atomic.Int32
	close   func()
}

func newRecallServer(t *testing.T) *recallServer {
	r := &recallServer{
		waiting: make(chan struct{}, 1),
		slot:    make(chan struct{}),
	}
	r.Server = &carrier.Server{
		Key:     key,
		MaxBody: func() int64 { return 1 << 20 },
		Deliver: func(ctx context.Context, _ *carrier.Attempt) (*carrier.TargetResponse, error) {
			carrier.Acknowledge(ctx)
			r.waiting <- struct{}{}
			select {
			case <-r.slot:
			case <-ctx.Done():
				return nil, classifier.NewFailure(classifier.NotRun, "cancelled while queued", nil)
			}
			if err := carrier.ReadBody(ctx); err != nil {
				return nil, classifier.NewFailure(classifier.NotRun, "body broke off", err)
			}
			if !carrier.Begin(ctx) {
				return nil, forwarder.ErrRecalled
			}
			r.runs.Add(1)
			return &carrier.TargetResponse{Status: 200}, nil
		},
	}
	server := httptest.NewServer(r)
	r.close = sync.OnceFunc(func() {
		server.CloseClientConnections()
		server.Close()
	})
	t.Cleanup(r.close)
	r.address = server.Listener.Addr().String()
	return r
}

// send sends an attempt. recall recalls it and reports whether that was possible without the
// daemon of the target.
func (r *recallServer) send(t *testing.T, c *carrier.Client, a *carrier.Attempt) (recall func() bool, result chan error) {
	var handoff forwarder.Handoff
	ctx, stop := context.WithCancel(carrier.WithHandoff(t.Context(), &handoff))
	result = make(chan error, 1)
	go func() {
		_, err := c.Send(ctx, r.address, a)
		result <- err
	}()
	return func() bool {
		if !handoff.Recall() {
			return false
		}
		stop()
		return true
	}, result
}

// awaitSlot waits until the attempt that was sent last waits for a slot.
func (r *recallServer) awaitSlot(t *testing.T, result chan error) {
	t.Helper()
	select {
	case <-r.waiting:
	case err := <-result:
		t.Fatalf("error %v before the attempt waits for a slot", err)
	}
}

// TestRecall guards against attempts that wait elsewhere and can't be taken back, and against
// a promise for one that runs.
func TestRecall(t *testing.T) {
	for name, test := range map[string]struct {
		kind matcher.Kind
		body string
		// bySender means that the sender needs no call to the daemon of the target.
		bySender bool
	}{
		"idempotent":                   {kind: matcher.Idempotent, body: "page"},
		"idempotent, large body":       {kind: matcher.Idempotent, body: strings.Repeat("x", 100<<10), bySender: true},
		"non-idempotent":               {kind: matcher.NonIdempotent, body: "pay", bySender: true},
		"non-idempotent, without body": {kind: matcher.NonIdempotent},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecallServer(t)
			c := newClient()
			a := attempt(test.kind, test.body)
			recall, result := r.send(t, c, a)
			r.awaitSlot(t, result)
			if got := recall(); got != test.bySender {
				t.Fatalf("recalled by the sender: %v, want %v", got, test.bySender)
			}
			if !test.bySender {
				if known := r.Recall([]string{"other", a.ID}); len(known) != 1 || known[0] != a.ID {
					t.Errorf("known attempts %q, want %q", known, a.ID)
				}
			}
			if err := <-result; err == nil || classifier.VerdictOf(err) != classifier.NotRun {
				t.Errorf("recalled while queued: error %v, want verdict NotRun", err)
			}
			close(r.slot)
			recall, result = r.send(t, c, a)
			r.awaitSlot(t, result)
			if err := <-result; err != nil {
				t.Fatal(err)
			}
			if recall() || len(r.Recall([]string{a.ID})) != 0 {
				t.Error("an attempt that has run was recalled")
			}
			if n := r.runs.Load(); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

// TestRecallIsCertain guards against the verdict NotRun for an attempt that runs, while
// recalls cross the start.
func TestRecallIsCertain(t *testing.T) {
	for name, kind := range map[string]matcher.Kind{"idempotent": matcher.Idempotent, "non-idempotent": matcher.NonIdempotent} {
		t.Run(name, func(t *testing.T) {
			c := newClient()
			recalled := 0
			for i := range 300 {
				r := newRecallServer(t)
				a := attempt(kind, "body")
				recall, result := r.send(t, c, a)
				r.awaitSlot(t, result)
				close(r.slot)
				time.Sleep(time.Duration(i%30) * 10 * time.Microsecond)
				if !recall() {
					r.Recall([]string{a.ID})
				}
				err := <-result
				notRun := err != nil && classifier.VerdictOf(err) == classifier.NotRun
				if notRun {
					recalled++
				}
				if ran := r.runs.Load() > 0; ran && notRun {
					t.Fatalf("error %v for an attempt that has run", err)
				}
				r.close()
			}
			t.Logf("%d of 300 recalled", recalled)
		})
	}
}

// heldDial is a transport's dial that waits for release.
func heldDial(c *carrier.Client, dialling, release chan struct{}) {
	tr := forwarder.NewTransport(1)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialling)
		<-release
		return dial(ctx, network, address)
	}
	c.Transport = tr
}

// TestRecallBeforeConnection guards against an attempt that is sent after the wait for a
// connection although it was recalled.
func TestRecallBeforeConnection(t *testing.T) {
	r := newRecallServer(t)
	c := newClient()
	dialling, release := make(chan struct{}), make(chan struct{})
	heldDial(c, dialling, release)
	recall, result := r.send(t, c, attempt(matcher.Idempotent, "page"))
	<-dialling
	if !recall() {
		t.Error("an attempt without a connection was not recalled")
	}
	if err := <-result; err == nil || classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("error %v, want verdict NotRun", err)
	}
	close(release)
	if n := r.runs.Load(); n != 0 {
		t.Errorf("%d runs, want none", n)
	}
}

// TestTimeLeftAfterWaitForConnection guards against a deadline that the wait for a connection
// between daemons puts off.
func TestTimeLeftAfterWaitForConnection(t *testing.T) {
	deadline := make(chan time.Time, 1)
	address := startServer(t, func(_ context.Context, a *carrier.Attempt) (*carrier.TargetResponse, error) {
		deadline <- a.Deadline
		return &carrier.TargetResponse{Status: 200}, nil
	})
	c := newClient()
	c.KeepWaiting = func() bool { return true }
	dialling, release := make(chan struct{}), make(chan struct{})
	heldDial(c, dialling, release)
	const wait = 2 * time.Second
	go func() {
		<-dialling
		time.Sleep(wait)
		close(release)
	}()
	a := attempt(matcher.Idempotent, "page")
	if _, err := c.Send(t.Context(), address, a); err != nil {
		t.Fatal(err)
	}
	// Only the way between the daemons is added.
	if late := (<-deadline).Sub(a.Deadline); late >= wait {
		t.Errorf("the daemon of the target got %v more than was left", late)
	}
}
