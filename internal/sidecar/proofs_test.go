package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/dispatcher"
	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// provenDaemon is a daemon with a steady clock of its own.
type provenDaemon struct {
	*Daemon
	steady *timekeeper.VirtualSteady
	logs   bytes.Buffer
}

// newProvenDaemon returns a daemon whose settings bound the use of removed keys, if revoke is
// not 0, and whose plan has customers, if keyed is set.
func newProvenDaemon(t *testing.T, name string, revoke time.Duration, keyed bool) *provenDaemon {
	t.Helper()
	d := &provenDaemon{steady: &timekeeper.VirtualSteady{}}
	d.steady.Advance(time.Hour)
	d.Daemon = New(Options{
		Settings: loader.Settings{
			Name: name,
			DC:   "zilina",
			Sidecar: &loader.Sidecar{
				Service:      "renewal",
				RevokeWithin: parser.Duration{Duration: revoke},
			},
		},
		Platform: Platform{OperatorPrefix: "op/", OutcomePrefix: "status/"},
		Clock:    timekeeper.NewVirtual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)),
		Log:      log.New(&d.logs),
	})
	if d.attester != nil {
		d.attester.Clock = d.steady
	}
	plan := matcher.New(1, matcher.Limits{}, nil, nil)
	if keyed {
		keys, err := matcher.NewKeySet([]matcher.Customer{{Name: "north", Keys: []string{"key"}}})
		if err != nil {
			t.Fatal(err)
		}
		plan = plan.WithKeys(keys)
	}
	// The records of a test are not decoded.
	d.operatorFollower.OnChange = func(follower.Copy) {}
	d.stateMu.Lock()
	d.applyDeclaration(Declaration{Plan: plan})
	d.stateMu.Unlock()
	return d
}

// TestNothingIsAddedWithoutCustomers checks that neither the setting nor customers alone make
// messages longer or calls to the store more frequent, and that log lines stay as they were.
func TestNothingIsAddedWithoutCustomers(t *testing.T) {
	for name, d := range map[string]*provenDaemon{
		"neither":        newProvenDaemon(t, "zilina-1", 0, false),
		"setting only":   newProvenDaemon(t, "zilina-1", 5*time.Second, false),
		"customers only": newProvenDaemon(t, "zilina-1", 0, true),
	} {
		t.Run(name, func(t *testing.T) {
			if receipt, err := json.Marshal(d.newReceipt()); err != nil || string(receipt) != "{}" {
				t.Errorf("response to an update: %s, %v; want {}", receipt, err)
			}
			if d.attester != nil {
				d.attester.Confirm(d.steady.Read())
				d.attester.RecordStamp("zilina-2", d.attester.Stamp())
			}
			u := d.withProof(d.relayUpdate(), "zilina-2")
			if text, err := json.Marshal(u); err != nil || bytes.Contains(text, []byte("proof")) {
				t.Errorf("update %s, %v; want none with a proof", text, err)
			}
			timeout := follower.WatchTimeout
			if f := d.operatorFollower.WatchTimeout; f != nil {
				timeout = f()
			}
			if timeout != follower.WatchTimeout || d.proofOverdue() {
				t.Errorf("watches end after %v, overdue %v; want %v, false", timeout, d.proofOverdue(), follower.WatchTimeout)
			}
			d.logs.Reset()
			d.observeRequest(dispatcher.Result{ID: "id-1", Status: 200})
			d.newAuthenticator()
			if err := d.recheckKey(&carrier.Attempt{ID: "id-1"}); err != nil {
				t.Error(err)
			}
			if _, _, err := d.checkQuarantine(&carrier.Attempt{ID: "id-1"}); err != nil {
				t.Error(err)
			}
			if line := d.logs.String(); bytes.Count(d.logs.Bytes(), []byte("\n")) != 1 || bytes.Contains(d.logs.Bytes(), []byte("customer")) {
				t.Errorf("log %q, want one line without a customer", line)
			}
		})
	}
}

// TestProofNeedsNewestCopy checks that a daemon accepts a proof only once it has the copy that the
// proof is about.
func TestProofNeedsNewestCopy(t *testing.T) {
	relay := newProvenDaemon(t, "zilina-1", 5*time.Second, true)
	other := newProvenDaemon(t, "zilina-2", 5*time.Second, true)
	relay.operatorFollower.Offer(follower.Copy{Revision: 7})
	other.operatorFollower.Offer(follower.Copy{Revision: 6})
	relay.attester.Confirm(relay.steady.Read())
	if u := relay.withProof(relay.relayUpdate(), "zilina-2"); u.Proof != nil {
		t.Fatal("a proof without a stamp")
	}
	relay.recordReceipt("zilina-2", other.newReceipt())
	u := relay.withProof(relay.relayUpdate(), "zilina-2")
	if u.Proof == nil {
		t.Fatal("no proof")
	}
	other.acceptProof(other.operatorFollower, u)
	if _, ok := other.attester.Age(); ok {
		t.Error("the proof was accepted with an older copy")
	}
	other.operatorFollower.Offer(follower.Copy{Revision: 7})
	other.acceptProof(other.outcomeFollower, u)
	if _, ok := other.attester.Age(); ok {
		t.Error("the proof was accepted for other records")
	}
	other.acceptProof(other.operatorFollower, u)
	if left := other.proofLeft(); left <= 0 {
		t.Errorf("the proof counts for %v", left)
	}
	other.steady.Suspend(5 * time.Second)
	if left := other.proofLeft(); left != 0 {
		t.Errorf("after a suspension of 5s the proof counts for %v", left)
	}
	if !bytes.Contains(other.logs.Bytes(), []byte("reliance on keys changed")) {
		t.Error("the end of the proof was not logged")
	}
}

// TestWatchesWhileProofsMatter checks how long watches stay open, and that a daemon whose relays
// send no proofs watches the store itself.
func TestWatchesWhileProofsMatter(t *testing.T) {
	d := newProvenDaemon(t, "zilina-1", 5*time.Second, true)
	d.log.SetOutput(io.Discard)
	if got := d.watchTimeout(); got != urgentWatch {
		t.Errorf("without a proof: %v, want %v", got, urgentWatch)
	}
	d.attester.Confirm(d.steady.Read())
	if got := d.watchTimeout(); got != proofPeriod || d.proofOverdue() {
		t.Errorf("with a new proof: %v, overdue %v; want %v, false", got, d.proofOverdue(), proofPeriod)
	}
	d.steady.Advance(3600 * time.Millisecond)
	if got := d.watchTimeout(); got != urgentWatch || !d.proofOverdue() {
		t.Errorf("with an old proof: %v, overdue %v; want %v, true", got, d.proofOverdue(), urgentWatch)
	}
}

// TestUnreadablePlanRefusesKeys guards against keys that stay in use although a plan which
// can't be read may have removed them.
func TestUnreadablePlanRefusesKeys(t *testing.T) {
	d := newProvenDaemon(t, "zilina-1", 5*time.Second, true)
	d.attester.Confirm(d.steady.Read())
	if d.proofLeft() <= 0 {
		t.Fatal("a proven plan is not relied on")
	}
	unreadable := true
	d.platform.DecodeOperator = func([]storer.Item) (Declaration, []error) {
		return Declaration{PlanUnreadable: unreadable}, nil
	}
	d.applyOperator(follower.Copy{Revision: 2})
	if left := d.proofLeft(); left > 0 {
		t.Errorf("keys are relied on for %v beside an unreadable plan", left)
	}
	unreadable = false
	d.applyOperator(follower.Copy{Revision: 3})
	if d.proofLeft() <= 0 {
		t.Error("keys are not relied on after a plan that can be read")
	}
}

// TestKeyInMalformedRequestIsNotLogged guards against a client's key in the log.
func TestKeyInMalformedRequestIsNotLogged(t *testing.T) {
	d := newProvenDaemon(t, "zilina-1", 5*time.Second, true)
	for _, text := range []string{"Api-Key: secret\r\n\r\n", "GET / HTTP/1.1\r\nApi-Key secret\r\n\r\n", "GET secret HTTP/1.1\r\n\r\n"} {
		_, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err == nil {
			t.Fatalf("%q is well-formed", text)
		}
		d.observeRejectedRequest(nil, http.StatusBadRequest, err)
	}
	if bytes.Contains(d.logs.Bytes(), []byte("secret")) {
		t.Errorf("the log has a key:\n%s", d.logs.Bytes())
	}
}
