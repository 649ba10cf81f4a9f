package deduplicator_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/deduplicator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

func init() {
	// A fixed seed makes the test repeatable; -rapid.seed sets another.
	_ = flag.Set("rapid.seed", "4")
}

const window = 10 * time.Minute

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// daemon is a holder with its own view of the members.
type daemon struct {
	holder *deduplicator.Holder
	view   []string
	up     bool
}

// submission is one submission of the request with its claims that have not
// arrived yet.
type submission struct {
	token       string
	claim       deduplicator.Claim
	undelivered []string
	round       *deduplicator.Round
	closed      bool
}

// cluster simulates the daemons of a home data centre with faults: messages are
// delayed, lost and reordered, daemons crash and restart, and the daemons'
// member lists change one by one.
type cluster struct {
	clock       *timekeeper.Virtual
	daemons     map[string]*daemon
	names       []string
	submissions []*submission
	settlements []deduplicator.Settlement
	runs        int
	// withoutClaims disables the claims: each submission runs at once.
	withoutClaims bool
}

func newCluster(withoutClaims bool) *cluster {
	m := &cluster{
		clock:         timekeeper.NewVirtual(start),
		daemons:       map[string]*daemon{},
		withoutClaims: withoutClaims,
	}
	for i := range 8 {
		m.names = append(m.names, fmt.Sprint("vm-", i))
	}
	for _, name := range m.names {
		m.daemons[name] = &daemon{
			holder: deduplicator.NewHolder(m.clock, window),
			view:   slices.Clone(m.names),
			up:     true,
		}
	}
	m.clock.Advance(window)
	return m
}

const key = "payment 17"

// submit starts a submission at an entry daemon, with that daemon's view.
func (m *cluster) submit(entry string) {
	holders := deduplicator.HoldersOf(key, m.daemons[entry].view)
	s := &submission{
		token:       fmt.Sprint(len(m.submissions)),
		round:       deduplicator.NewRound(len(holders)),
		undelivered: slices.Clone(holders),
	}
	s.claim = deduplicator.Claim{
		Key:                key,
		RequestFingerprint: "POST /payments 12 euro",
		Token:              s.token,
		Holders:            holders,
	}
	m.submissions = append(m.submissions, s)
	if m.withoutClaims {
		m.runs++
		s.closed = true
	}
}

// deliver delivers one of a submission's claims to its holder. The reply gets
// lost if replyLost is set.
func (m *cluster) deliver(s *submission, i int, replyLost bool) {
	name := s.undelivered[i]
	s.undelivered = slices.Delete(s.undelivered, i, i+1)
	d := m.daemons[name]
	reply := deduplicator.Reply{State: deduplicator.Unsure}
	if d.up {
		reply = d.holder.Claim(s.claim, deduplicator.View{
			Holders: deduplicator.HoldersOf(key, d.view),
		})
	}
	if replyLost {
		reply = deduplicator.Reply{State: deduplicator.Unsure}
	}
	if s.closed {
		return
	}
	s.round.AddReply(reply)
	m.closeIfDecided(s)
}

// closeIfDecided ends a submission whose round is decided. The request runs if
// the round was won.
func (m *cluster) closeIfDecided(s *submission) {
	switch s.round.Outcome() {
	case deduplicator.Pending:
		return
	case deduplicator.Won:
		m.runs++
		m.settlements = append(m.settlements, deduplicator.Settlement{
			Key:    key,
			Token:  s.token,
			Answer: &deduplicator.Answer{Status: 200},
		})
	default:
		m.settlements = append(m.settlements, deduplicator.Settlement{
			Key:      key,
			Token:    s.token,
			Released: true,
		})
	}
	s.closed = true
}

// deliverSettlements delivers every settlement to every holder.
func (m *cluster) deliverSettlements() {
	for _, s := range m.settlements {
		for _, d := range m.daemons {
			d.holder.Settle(s)
		}
	}
}

// restart restarts a daemon with an empty holder.
func (m *cluster) restart(name string) {
	m.daemons[name].holder = deduplicator.NewHolder(m.clock, window)
	m.daemons[name].up = true
}

// simulate draws a history in which at most maxRemoved members are removed
// permanently, and returns how often the request ran.
func simulate(t *rapid.T, withoutClaims bool, maxRemoved int) int {
	m := newCluster(withoutClaims)
	removed := []string{}
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		name := rapid.SampledFrom(m.names).Draw(t, "daemon")
		switch rapid.IntRange(0, 39).Draw(t, "step") {
		case 0, 1, 2:
			m.submit(name)
		case 3:
			m.deliverSettlements()
		case 4:
			m.daemons[name].up = false
		case 5:
			m.restart(name)
		case 6:
			if len(removed) < maxRemoved && !slices.Contains(removed, name) {
				removed = append(removed, name)
			}
		case 7, 8, 9:
			if len(removed) > 0 {
				leaving := rapid.SampledFrom(removed).Draw(t, "leaving member")
				d := m.daemons[name]
				d.view = slices.DeleteFunc(slices.Clone(d.view), func(id string) bool { return id == leaving })
			}
		case 10, 11, 12, 13:
			if len(m.settlements) > 0 {
				s := rapid.SampledFrom(m.settlements).Draw(t, "settlement")
				m.daemons[name].holder.Settle(s)
			}
		default:
			m.deliverRandomClaim(t)
		}
		m.clock.Advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
	}
	for range 200 {
		if !m.deliverRandomClaim(t) {
			break
		}
	}
	return m.runs
}

func (m *cluster) deliverRandomClaim(t *rapid.T) bool {
	var unfinished []*submission
	for _, s := range m.submissions {
		if len(s.undelivered) > 0 {
			unfinished = append(unfinished, s)
		}
	}
	if len(unfinished) == 0 {
		return false
	}
	s := unfinished[0]
	if rapid.IntRange(0, 2).Draw(t, "reordered") == 0 {
		s = rapid.SampledFrom(unfinished).Draw(t, "submission")
	}
	i := rapid.IntRange(0, len(s.undelivered)-1).Draw(t, "message")
	m.deliver(s, i, rapid.IntRange(0, 19).Draw(t, "loss") == 19)
	return true
}

// TestAtMostOnce checks that the request runs at most once in random histories
// with restarts, lost and delayed messages, differing member lists, and at most
// two members that are removed permanently.
func TestAtMostOnce(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		n := simulate(t, false, 2)
		if n > 1 {
			t.Fatalf("request ran %d times, want at most 1", n)
		}
		ran += n
	})
	t.Logf("the request ran in %d histories", ran)
	if ran == 0 {
		t.Error("the request ran in no history, want some")
	}
}

// TestAtMostOnceNeedsClaims checks that a request runs more than once in some
// histories if claims are disabled, so that TestAtMostOnce can fail.
func TestAtMostOnceNeedsClaims(t *testing.T) {
	repeatedRuns := 0
	rapid.Check(t, func(t *rapid.T) {
		if simulate(t, true, 2) > 1 {
			repeatedRuns++
		}
	})
	t.Logf("the request ran more than once in %d histories", repeatedRuns)
	if repeatedRuns == 0 {
		t.Error("no request ran more than once although claims are disabled, want some")
	}
}

func TestHolder(t *testing.T) {
	holders := []string{"a", "b", "c"}
	view := deduplicator.View{
		Holders:        holders,
		HomesPublished: start,
	}
	claim := func(token, fingerprint string) deduplicator.Claim {
		return deduplicator.Claim{
			Key:                key,
			RequestFingerprint: fingerprint,
			Token:              token,
			Holders:            holders,
			HomesPublished:     start,
		}
	}
	clock := timekeeper.NewVirtual(start)
	h := deduplicator.NewHolder(clock, window)
	expect := func(situation string, c deduplicator.Claim, v deduplicator.View, s deduplicator.State) deduplicator.Reply {
		t.Helper()
		r := h.Claim(c, v)
		if r.State != s {
			t.Errorf("%s: Claim() = %+v, want %s", situation, r, s)
		}
		return r
	}
	expect("within the first window", claim("1", "p"), view, deduplicator.Unsure)
	clock.Advance(window)
	expect("other view of the holders", claim("1", "p"), deduplicator.View{Holders: holders[:2], HomesPublished: start}, deduplicator.Unsure)
	expect("other list of home data centres", claim("1", "p"), deduplicator.View{Holders: holders}, deduplicator.Unsure)
	expect("new key", claim("1", "p"), view, deduplicator.Granted)
	expect("same submission", claim("1", "p"), view, deduplicator.Granted)
	expect("other submission", claim("2", "p"), view, deduplicator.Running)
	expect("other request", claim("3", "q"), view, deduplicator.Differs)
	h.Settle(deduplicator.Settlement{Key: key, Token: "2", Released: true})
	expect("release with the token of another submission", claim("2", "p"), view, deduplicator.Running)
	h.Settle(deduplicator.Settlement{Key: key, Token: "1", Released: true})
	expect("claim released", claim("2", "p"), view, deduplicator.Granted)
	h.Settle(deduplicator.Settlement{Key: key, Token: "2", Answer: &deduplicator.Answer{Status: 201}})
	r := expect("request has run", claim("3", "p"), deduplicator.View{}, deduplicator.Ended)
	if r.Answer == nil || r.Answer.Status != 201 {
		t.Errorf("stored response %+v, want status 201", r.Answer)
	}
	clock.Advance(window)
	expect("after the window", claim("4", "p"), view, deduplicator.Granted)
	if c := h.Counts(); c.Claims != 1 || c.Answers != 0 {
		t.Errorf("Counts() = %+v, want 1 claim and no response", c)
	}
}

func TestHome(t *testing.T) {
	homes := deduplicator.Homes{
		Names:     []string{"a", "b", "c"},
		Previous:  []string{"a", "b"},
		Published: start,
	}
	moved := 0
	for i := range 100 {
		key := fmt.Sprint("payment ", i)
		before, _ := deduplicator.Homes{Names: homes.Previous}.Home(key, start, window)
		after, _ := homes.Home(key, start.Add(window), window)
		during, reason := homes.Home(key, start.Add(window-1), window)
		switch {
		case before == after && during != before:
			t.Errorf("%s: home stays %s, but Home() = %q within the window, want the same", key, before, during)
		case before != after && (during != "" || reason == ""):
			t.Errorf("%s: home changes from %s to %s, but Home() = %q within the window, want none and a reason", key, before, after, during)
		case before != after:
			moved++
		}
	}
	if moved == 0 || moved > 50 {
		t.Errorf("home changed for %d of 100 keys, want 1 to 50", moved)
	}
	if _, reason := (deduplicator.Homes{}).Home("k", start, window); reason == "" {
		t.Error("Home() without a list returned an empty reason, want one")
	}
}

func TestPeak(t *testing.T) {
	var p deduplicator.Peak
	if n := p.Record(9, start); n != 9 {
		t.Errorf("first number: Record() = %d, want 9", n)
	}
	if n := p.Record(4, start.Add(time.Hour)); n != 9 {
		t.Errorf("an hour later: Record() = %d, want 9", n)
	}
	if n := p.Record(4, start.Add(2*time.Hour)); n != 4 {
		t.Errorf("two hours later: Record() = %d, want 4", n)
	}
}

// TestRetryAfterFaults retries a request that has run, after faults that are rare
// in random histories. The request must not run again.
func TestRetryAfterFaults(t *testing.T) {
	for _, tt := range []struct {
		name        string
		injectFault func(m *cluster, holders []string)
	}{
		{"none", func(*cluster, []string) {}},
		{"all holders restarted", func(m *cluster, holders []string) {
			for _, name := range holders {
				m.restart(name)
			}
		}},
		{"two holders removed", func(m *cluster, holders []string) {
			for _, d := range m.daemons {
				d.view = without(d.view, holders[:2])
			}
		}},
		{"two holders removed and one unreachable", func(m *cluster, holders []string) {
			for _, d := range m.daemons {
				d.view = without(d.view, holders[:2])
			}
			m.daemons[holders[2]].up = false
		}},
		{"entry daemon without a holder in its view", func(m *cluster, holders []string) {
			m.daemons["vm-0"].view = without(m.names, holders)
		}},
	} {
		m := newCluster(false)
		m.submitAndDeliver("vm-0")
		if m.runs != 1 {
			t.Errorf("%s: first submission ran %d times, want 1", tt.name, m.runs)
		}
		tt.injectFault(m, deduplicator.HoldersOf(key, m.names))
		m.submitAndDeliver("vm-0")
		if m.runs != 1 {
			t.Errorf("%s: request ran %d times after the retry, want 1", tt.name, m.runs)
		}
	}
}

func without(names, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(id string) bool { return slices.Contains(excluded, id) })
}

// submitAndDeliver starts a submission and delivers all of its claims.
func (m *cluster) submitAndDeliver(entry string) {
	m.submit(entry)
	s := m.submissions[len(m.submissions)-1]
	for len(s.undelivered) > 0 {
		m.deliver(s, 0, false)
	}
}
