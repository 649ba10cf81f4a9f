package dispatcher_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

const secretKey = "secret-of-north"

// newKeyedHarness returns a harness with the customer north, whose key is secretKey, and the
// function that removes that key.
func newKeyedHarness(t *testing.T, public bool, steps ...step) (r *harness, removeKey func()) {
	t.Helper()
	r = newHarness(matcher.Idempotent, 3, steps...)
	rule := matcher.Rule{
		Name:        "pay",
		Prefix:      "/pay/",
		Kind:        matcher.Idempotent,
		Splits:      []matcher.WeightedService{{Service: "s", Weight: 1}},
		Timeout:     time.Second,
		Objective:   300 * time.Millisecond,
		MaxAttempts: 2,
		Priority:    3,
		Public:      public,
	}
	plan := matcher.New(5, matcher.Limits{}, nil, map[string][]matcher.Rule{"a.example": {rule}})
	declare := func(keys ...string) {
		set, err := matcher.NewKeySet([]matcher.Customer{{Name: "north", Keys: keys, Priority: 1, HasPriority: true}})
		if err != nil {
			t.Fatal(err)
		}
		plan = plan.WithKeys(set)
	}
	declare(secretKey)
	r.Plan = func() *matcher.Plan { return plan }
	client := r.Client
	r.Client = func(h http.Header) (dispatcher.Client, error) {
		c, err := client(h)
		c.Key = h.Get("Key")
		return c, err
	}
	r.Authenticator = &authenticator.Authenticator{}
	r.WithoutCredentials = func(h http.Header) http.Header {
		c := maps.Clone(h)
		c.Del("Key")
		c.Del("Customer")
		return c
	}
	return r, func() { declare() }
}

func TestCredentials(t *testing.T) {
	valid := "Key: " + secretKey + "\r\nCustomer: forged\r\n"
	for name, test := range map[string]struct {
		public   bool
		header   string
		status   int
		customer string
		priority int
	}{
		"known key":           {header: valid, status: 200, customer: "north", priority: 1003},
		"no key":              {header: "Customer: north\r\n", status: 401},
		"unknown key":         {header: "Key: secret-of\r\n", status: 401},
		"public":              {public: true, header: "Customer: north\r\n", status: 200, priority: 3003},
		"public, known key":   {public: true, header: valid, status: 200, customer: "north", priority: 1003},
		"public, unknown key": {public: true, header: "Key: x\r\n", status: 200, priority: 3003},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newKeyedHarness(t, test.public, busy, answered(200))
			resp := r.call("/pay/1", test.header)
			if resp.Status != test.status {
				t.Fatalf("status %d, want %d", resp.Status, test.status)
			}
			if test.status != 200 {
				if len(r.sent) > 0 || resp.Header.Get("Retry-After") != "" || resp.Header.Get("WWW-Authenticate") == "" {
					t.Errorf("%d attempts, headers %v; want none, and a challenge without Retry-After", len(r.sent), resp.Header)
				}
				return
			}
			if len(r.sent) != 2 || r.lastResult.Customer != test.customer {
				t.Errorf("%d attempts for customer %q, want 2 for %q", len(r.sent), r.lastResult.Customer, test.customer)
			}
			for _, a := range r.sent {
				if a.Identity.Customer != test.customer || a.Priority != test.priority {
					t.Errorf("attempt of customer %q with priority %d, want %q with %d", a.Identity.Customer, a.Priority, test.customer, test.priority)
				}
				if text := fmt.Sprint(a.Header, a.Identity); strings.Contains(text, secretKey) || strings.Contains(text, "forged") {
					t.Errorf("the attempt contains the client's credentials: %v", text)
				}
			}
		})
	}
}

// TestHeadersWithoutCustomers checks that headers mean nothing under a plan without customers.
func TestHeadersWithoutCustomers(t *testing.T) {
	r := newHarness(matcher.Idempotent, 1, answered(200))
	if resp := r.call("/pay/1", "Key: x\r\nCustomer: y\r\n"); resp.Status != 200 {
		t.Fatalf("status %d, want 200", resp.Status)
	}
	if h := r.sent[0].Header; h.Get("Key") != "x" || h.Get("Customer") != "y" || r.sent[0].Identity.Customer != "" {
		t.Errorf("got headers %v and customer %q, want those of the client and no customer", h, r.sent[0].Identity.Customer)
	}
}

// TestKeyRemovedBetweenAttempts checks that a request is not sent again with a key that was
// removed, and that the status says so only if no target may have run it.
func TestKeyRemovedBetweenAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		first  carrier.Failure
		status int
	}{
		"not run":      {first: carrier.Failure{Failure: classifier.NewFailure(classifier.NotRun, "target busy", nil), Reported: true}, status: 401},
		"may have run": {first: carrier.Failure{Failure: classifier.NewFailure(classifier.MayHaveRun, "connection broke", nil), Arrived: true}, status: 502},
	} {
		t.Run(name, func(t *testing.T) {
			var removeKey func()
			r, removeKey := newKeyedHarness(t, false, func(*carrier.Attempt) (*carrier.TargetResponse, error) {
				removeKey()
				return nil, &test.first
			}, answered(200))
			if resp := r.call("/pay/1", "Key: "+secretKey+"\r\n"); resp.Status != test.status || len(r.sent) != 1 {
				t.Errorf("status %d after %d attempts, want %d after 1", resp.Status, len(r.sent), test.status)
			}
		})
	}
}

// TestUnprovenPlan checks that a request with a key is told to come back while keys can't be
// relied on, and that public ones are served.
func TestUnprovenPlan(t *testing.T) {
	for _, public := range []bool{false, true} {
		r, _ := newKeyedHarness(t, public, answered(200))
		r.Authenticator.Left = func() time.Duration { return 0 }
		resp := r.call("/pay/1", "Key: "+secretKey+"\r\n")
		if public && resp.Status != 200 {
			t.Errorf("public request: status %d, want 200", resp.Status)
		}
		if !public && (resp.Status != 503 || resp.Header.Get("Retry-After") != "1.000" || len(r.sent) > 0) {
			t.Errorf("got status %d, Retry-After %q, %d attempts; want 503, 1.000, none", resp.Status, resp.Header.Get("Retry-After"), len(r.sent))
		}
	}
}

// TestPlanIsReadAfterProof guards against a removed key that is accepted by a plan that was
// read before the proof of its successor.
func TestPlanIsReadAfterProof(t *testing.T) {
	r, removeKey := newKeyedHarness(t, false, answered(200))
	r.Authenticator.Left = func() time.Duration {
		removeKey() // the next plan takes effect, and is what the proof is of
		return time.Second
	}
	if resp := r.call("/pay/1", "Key: "+secretKey+"\r\n"); resp.Status != 401 || len(r.sent) > 0 {
		t.Errorf("status %d after %d attempts, want 401 without one", resp.Status, len(r.sent))
	}
}
