package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// TestHandoff guards against a request that runs although it was recalled.
func TestHandoff(t *testing.T) {
	for range 2000 {
		var h forwarder.Handoff
		var begun, recalled bool
		var group sync.WaitGroup
		group.Go(func() { begun = h.Begin() })
		group.Go(func() { recalled = h.Recall() })
		group.Wait()
		if begun == recalled || h.Begin() != begun || h.Recall() != recalled || h.Recalled() != recalled {
			t.Fatalf("begun %v, recalled %v, then %v and %v; want just one, for good", begun, recalled, h.Begin(), h.Recall())
		}
	}
}

// transportFunc is a transport that is a function.
type transportFunc func(r *http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestRoundTripIf guards against requests that are sent after a wait for a connection
// although they must not be, or with the headers from before it.
func TestRoundTripIf(t *testing.T) {
	var requests atomic.Int32
	left := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		left <- r.Header.Get("Left")
	}))
	defer server.Close()
	for name, check := range map[string]error{"sent": nil, "rejected": forwarder.ErrRecalled} {
		t.Run(name, func(t *testing.T) {
			requests.Store(0)
			tr := forwarder.NewTransport(1)
			dial := tr.DialContext
			var dialled bool
			tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				dialled = true
				return dial(ctx, network, address)
			}
			req, err := http.NewRequestWithContext(t.Context(), "POST", server.URL, forwarder.NewBody([]byte("body")))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Left", "2")
			var inner *http.Request
			resp, err := forwarder.RoundTripIf(transportFunc(func(r *http.Request) (*http.Response, error) {
				inner = r
				return tr.RoundTrip(r)
			}), req, func() error {
				if !dialled {
					t.Error("checked before there is a connection")
				}
				req.Header.Set("Left", "1")
				return check
			})
			if blamesConnection := inner.Context().Err() == nil; blamesConnection != (check == nil) {
				t.Errorf("context of the request that the transport got: %v", inner.Context().Err())
			}
			if check != nil {
				if err != check || classifier.VerdictOf(err) != classifier.NotRun || requests.Load() != 0 {
					t.Errorf("error %v, %d requests arrived; want %v and none", err, requests.Load(), check)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if got := <-left; got != "1" {
				t.Errorf("header %q, want that of the check", got)
			}
		})
	}
}
