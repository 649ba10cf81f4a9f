package distributor

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// members returns the members of one data centre.
func members(count int) []prober.Member {
	var all []prober.Member
	for i := range count {
		all = append(all, prober.Member{ID: fmt.Sprintf("dc-%04d", i), DC: "dc"})
	}
	return all
}

// newTestNode returns the Node of the first of three members, with the state s.
func newTestNode(s *applier.State) (*Node, *timekeeper.Virtual) {
	clock := timekeeper.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	n := New(Options{Self: members(3)[0], Clock: clock})
	n.SetView(NewView("dc", members(3)))
	n.InstallHead(s)
	return n, clock
}

// history returns the states and encoded entries of a number of changes. Applying
// entries[i] to states[i] results in states[i+1].
func history(t testing.TB, changes int) (states []*applier.State, entries []json.RawMessage) {
	states = []*applier.State{{}}
	for i := range changes {
		next, e := applyChange(t, states[i], i%3)
		states = append(states, next)
		entries = append(entries, encode(t, e))
	}
	return states, entries
}

func encode(t testing.TB, v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func pushMessage(revision uint64, s Span, entries ...json.RawMessage) Message {
	return Message{From: "dc-0001", Head: Head{Revision: revision}, Push: &Push{
		Revision: revision,
		Span:     s,
		Batch:    Batch{Entries: entries},
	}}
}

func TestBadEntryChangesNothing(t *testing.T) {
	states, entries := history(t, 5)
	corrupted := func(corrupt func(*applier.Entry)) json.RawMessage {
		var e applier.Entry
		if err := json.Unmarshal(entries[2], &e); err != nil {
			t.Fatal(err)
		}
		corrupt(&e)
		return encode(t, e)
	}
	for name, entry := range map[string]json.RawMessage{
		"later entry":   entries[4],
		"other base":    corrupted(func(e *applier.Entry) { e.Base[0]++ }),
		"wrong result":  corrupted(func(e *applier.Entry) { e.Result[0]++ }),
		"other content": corrupted(func(e *applier.Entry) { e.Change.Services[0].Dependencies = []string{"gone"} }),
		"no entry":      json.RawMessage(`"text"`),
		"empty":         nil,
	} {
		t.Run(name, func(t *testing.T) {
			n, clock := newTestNode(states[2])
			m := pushMessage(5, fullSpan, entry)
			_, calls := n.Receive(m)
			if n.State() != states[2] || len(calls) != 0 {
				t.Fatalf("at revision %d with %d calls, want the old state and no calls", n.State().Revision(), len(calls))
			}
			fetch := nextFetch(t, n, clock)
			if fetch.Message.Fetch.After != 2 {
				t.Errorf("fetch of entries after %d, want 2", fetch.Message.Fetch.After)
			}
			n.HandleAnswer(fetch, Message{Head: m.Head, FetchReply: &FetchReply{Batch: Batch{Entries: entries[2:]}}})
			if n.State().Digest() != states[5].Digest() {
				t.Errorf("at revision %d after the fetch, want 5", n.State().Revision())
			}
		})
	}
}

// TestTree checks, for daemons with the same view, that the tree delivers a revision
// to every daemon exactly once and has at most ten levels.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 900).Draw(t, "members"))
		revision := rapid.Uint64().Draw(t, "revision")
		v := NewView("dc", all)
		got := map[string]int{all[0].ID: 1}
		depth := 0
		var forward func(self string, s Span, level int)
		forward = func(self string, s Span, level int) {
			depth = max(depth, level)
			for _, st := range v.subtrees(self, revision, s) {
				got[st.root.ID]++
				if !st.span.empty() {
					forward(st.root.ID, st.span, level+1)
				}
			}
		}
		forward(all[0].ID, fullSpan, 0)
		delete(got, all[0].ID)
		for _, m := range all[1:] {
			if got[m.ID] != 1 {
				t.Fatalf("%s received the revision %d times, want once", m.ID, got[m.ID])
			}
		}
		if depth > 10 {
			t.Errorf("tree of %d levels for %d daemons, want 10 at most", depth, len(all))
		}
	})
}

// TestRevisionNeverDecreases checks that a node that receives valid, stale, repeated
// and damaged messages in any order never returns to a lower revision and only has
// states of the log.
func TestRevisionNeverDecreases(t *testing.T) {
	states, entries := history(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		n, clock := newTestNode(states[1])
		last := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			to := rapid.IntRange(1, 12).Draw(t, "revision")
			from := rapid.IntRange(0, to).Draw(t, "first")
			batch := Batch{Entries: entries[from:to]}
			reply := Message{FetchReply: &FetchReply{Batch: batch}}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				n.Receive(pushMessage(uint64(to), fullSpan, batch.Entries...))
			case 1:
				snap, err := packSnapshot(states[from])
				if err != nil {
					t.Fatal(err)
				}
				reply.FetchReply.Snapshot = snap.data
				n.HandleAnswer(Call{Message: Message{Fetch: &Fetch{}}}, reply)
			case 2:
				reply.FetchReply.Snapshot = []byte("damaged")
				n.HandleAnswer(Call{Message: Message{Fetch: &Fetch{}}}, reply)
			case 3:
				n.InstallHead(states[from])
			}
			clock.Advance(fetchGrace)
			n.Tick()
			now := n.State().Revision()
			if now < last || n.State().Digest() != states[now].Digest() {
				t.Fatalf("went from revision %d to %d, or to a state that is not in the log", last, now)
			}
			last = now
		}
	})
}

func TestReplyRateLimit(t *testing.T) {
	states, entries := history(t, 3)
	n, clock := newTestNode(states[2])
	n.Receive(pushMessage(3, Span{Low: 1}, entries[2]))
	sent := 0
	for range 60 * 1000 {
		answer, _ := n.Receive(Message{From: "dc-0002", Fetch: &Fetch{After: 1}})
		sent += base64Size(answer.FetchReply.Snapshot) + answer.FetchReply.Batch.size()
		clock.Advance(time.Millisecond)
	}
	if c := n.Counts(); sent > 60*maxBytesPerSecond || c.Served == 0 || c.Refused == 0 {
		t.Errorf("%d bytes of replies in a minute, counts %+v; want at most the rate limit, and both replies and refusals", sent, c)
	}
	n.ObserveRevision(states[3].Revision() + 1)
	if again := n.HandleAnswer(nextFetch(t, n, clock), Message{FetchReply: &FetchReply{Refused: true}}); len(again) != 0 {
		t.Errorf("a refused fetch was retried at once: %+v", again)
	}
	if wait := n.NextTick().Sub(clock.Now()); wait < minRetryDelay/2 || wait > maxRetryDelay {
		t.Errorf("a refused fetch is retried after %v, which is outside the limits of the retry delay", wait)
	}
}

// nextFetch returns the fetch that the node makes after the grace period.
func nextFetch(t *testing.T, n *Node, clock *timekeeper.Virtual) Call {
	clock.Advance(fetchGrace)
	for _, c := range n.Tick() {
		if c.Message.Fetch != nil {
			return c
		}
	}
	t.Fatal("Tick returned no fetch")
	return Call{}
}

func TestReady(t *testing.T) {
	states, entries := history(t, 3)
	clock := timekeeper.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	n := New(Options{Self: members(5)[0], Clock: clock})
	if n.Ready() || n.Reason() == "" {
		t.Error("ready without a head of any peer or the platform")
	}
	n.SetView(NewView("dc", members(5)))
	receiveHead := func(i int, revision uint64, ready bool) {
		p := NewPeer(members(5)[i])
		n.HandleAnswer(Call{To: p}, Message{Head: Head{Revision: revision, Digest: states[revision].Digest(), Ready: ready}})
	}
	clock.Advance(singlePeerDelay)
	receiveHead(1, 0, false)
	if n.Ready() {
		t.Error("ready after the head of a peer that is not ready")
	}
	receiveHead(2, 3, true)
	n.Receive(pushMessage(2, Span{Low: 1}, entries[:2]...))
	if n.Ready() || n.State().Revision() != 2 {
		t.Errorf("ready below the required revision, at revision %d", n.State().Revision())
	}
	n.Receive(pushMessage(3, Span{Low: 1}, entries[2]))
	if !n.Ready() || n.Reason() != "" {
		t.Errorf("not ready at the required revision: %s", n.Reason())
	}
}

// Example sends one entry from a relay to another daemon.
func Example() {
	clock := timekeeper.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	view := NewView("dc", members(2))
	relay := New(Options{
		Self:  members(2)[0],
		Clock: clock,
	})
	other := New(Options{
		Self:  members(2)[1],
		Clock: clock,
	})
	relay.SetView(view)
	other.SetView(view)

	relay.InstallHead(&applier.State{})
	e, _ := relay.State().NewEntry("an id", "an operator", clock.Now(), applier.Change{Zones: []applier.Zone{{DataCentre: "dc"}}})
	calls, applied := relay.ApplyEntry(e)
	fmt.Println(applied, len(calls), calls[0].To.ID)
	answer, _ := other.Receive(calls[0].Message)
	fmt.Println(answer.Head.Revision, other.State().Digest() == relay.State().Digest())
	// Output:
	// true 1 dc-0001
	// 1 true
}
