package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// twoHops is a dispatcher whose attempts pass the connection between two daemons and that
// to a target.
type twoHops struct {
	*dispatcher.Dispatcher
	// targets receives the request target of each request that arrives at the target.
	targets chan string
}

func newTwoHops(t testing.TB) *twoHops {
	t.Helper()
	h := &twoHops{targets: make(chan string, 10)}
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { h.targets <- r.RequestURI }))
	t.Cleanup(target.Close)
	transport := forwarder.NewTransport(4)
	t.Cleanup(transport.CloseIdleConnections)
	second := httptest.NewServer(&carrier.Server{
		Key:     "key",
		MaxBody: func() int64 { return 1 << 20 },
		Deliver: func(ctx context.Context, a *carrier.Attempt) (*carrier.TargetResponse, error) {
			r := &http.Request{
				Method: a.Method,
				URL:    a.URL(target.Listener.Addr().String()),
				Host:   a.Host,
				Header: http.Header{},
				Body:   forwarder.NewBody(nil),
			}
			resp, err := forwarder.RoundTrip(transport, r.WithContext(ctx))
			if err != nil {
				return nil, err
			}
			_ = resp.Body.Close()
			return &carrier.TargetResponse{Status: resp.StatusCode, Header: http.Header{}}, nil
		},
	})
	t.Cleanup(second.Close)
	h.Dispatcher = newHarness(matcher.Idempotent, 1).Dispatcher
	client := &carrier.Client{Key: "key", Transport: transport, OnSilent: func(string) {}}
	plan := matcher.New(5, matcher.Limits{}, nil, map[string][]matcher.Rule{"a.example": {
		{Name: "root", Prefix: "/", Kind: matcher.Idempotent, Splits: []matcher.WeightedService{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1},
		{Name: "pay", Prefix: "/pay/", Kind: matcher.Idempotent, Splits: []matcher.WeightedService{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1},
	}})
	h.Plan = func() *matcher.Plan { return plan }
	h.Send = func(ctx context.Context, _ string, a *carrier.Attempt) (*carrier.TargetResponse, error) {
		return client.Send(ctx, second.Listener.Addr().String(), a)
	}
	return h
}

// call sends a request with a request target, through a receiver.Server, and returns the
// status of the response and the rule that was matched. The status is 0 if the response
// can't be read.
func (h *twoHops) call(t testing.TB, target string) (status int, rule string) {
	t.Helper()
	h.OnResult = func(r dispatcher.Result) { rule = r.Rule }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &receiver.Server{
		Handle: h.Handle,
		Limits: func() receiver.Limits {
			return receiver.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		},
		OnRejected:   func(*receiver.Request, int, error) {},
		OnPanic:      func(*receiver.Request, any) {},
		OnUnanswered: func(receiver.Ending) {},
		Account: &allocator.Account{
			Limit: 1 << 20,
			Clock: timekeeper.System{},
		},
	}
	go func() { _ = s.Serve(ctx, ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"); err != nil {
		return 0, ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, rule
}

// FuzzRequestTarget checks that the request target that reaches the target is that of the
// client, byte for byte, and that its own bytes select the rule. Any other target is not
// passed on.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{
		"/pay/1", "//pay/1", "///pay//1", "/pay/../1/./", "/pay/%2e%2E/%2f", "/p%61y/1", "/pay/a;b=c", "/pay/1?", "/pay/1??a=/&b",
		"/pay/\xff\xc3\xa9", "//\xff/", "/pay/%", "//%zz", "/pay/%zz", "*", "http://a.example/pay/1?x", "http://a.example", "http://a.example?x",
		"http://a.example//pay/1", "/pay/http://b/", "//b@c:1/x", "/pay/#1", "//#", `/pay/"<>\^{|}`, `//"`, "/a:b", "//a:b/", "?x", "pay/1", "/",
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if target == "" || strings.ContainsAny(target, " \t\r\n") || len(target) > 2<<10 {
			t.Skip("not one request target")
		}
		h := newTwoHops(t)
		status, rule := h.call(t, target)
		got := ""
		select {
		case got = <-h.targets:
		default:
		}
		want := target
		if scheme, rest, ok := strings.Cut(target, "://"); ok && !strings.HasPrefix(target, "/") && scheme != "" {
			i := strings.IndexAny(rest+"/", "/?")
			if want = rest[i:]; !strings.HasPrefix(want, "/") {
				want = "/" + want
			}
		}
		switch {
		case status == http.StatusOK && got != want:
			t.Errorf("the target got %q, want %q", got, want)
		case status != http.StatusOK && got != "":
			t.Errorf("status %d, but the target got %q", status, got)
		case status == http.StatusOK && (rule == "pay") != strings.HasPrefix(want, "/pay/"):
			t.Errorf("request target %q: rule %q", want, rule)
		case status == http.StatusBadGateway, status == http.StatusGatewayTimeout, status == http.StatusServiceUnavailable:
			t.Errorf("status %d, want 400 or 404 for what isn't passed on", status)
		}
	})
}
