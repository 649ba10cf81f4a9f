package distributor

import "slices"

// receivePush applies the entries of a push and forwards it. If they do not apply
// yet, the push is deferred until a fetch has returned the entries before them.
func (n *Node) receivePush(p Push) []Call {
	if !n.markSeen(p) {
		n.counts.Duplicates++
		return nil
	}
	if p.Revision > n.state.Revision() {
		n.applyBatch(p.Batch)
	}
	if p.Revision > n.state.Revision() {
		n.deferPush(p)
		return n.applyDeferred()
	}
	return append(n.forward(p), n.applyDeferred()...)
}

// markSeen records a push and reports whether it was not recorded before.
func (n *Node) markSeen(p Push) bool {
	key := pushKey{
		revision: p.Revision,
		span:     p.Span,
	}
	if slices.Contains(n.seen, key) {
		return false
	}
	if len(n.seen) >= maxSeen {
		n.seen = n.seen[1:]
	}
	n.seen = append(n.seen, key)
	return true
}

// deferPush keeps a push whose entries do not apply yet, and schedules a fetch. The
// oldest push is dropped when there are more than maxDeferred.
func (n *Node) deferPush(p Push) {
	if len(n.deferred) >= maxDeferred {
		n.deferred = n.deferred[1:]
	}
	n.deferred = append(n.deferred, p)
	grace := fetchGrace
	if p.Batch.size() == 0 {
		grace = 0
	}
	n.scheduleFetch(p.Revision, grace)
}

// applyDeferred applies and forwards the deferred pushes whose entries now apply to
// the state.
func (n *Node) applyDeferred() []Call {
	var calls []Call
	for i := 0; i < len(n.deferred); {
		p := n.deferred[i]
		if p.Revision > n.state.Revision() {
			n.applyBatch(p.Batch)
		}
		if p.Revision > n.state.Revision() {
			i++
			continue
		}
		calls = append(calls, n.forward(p)...)
		n.deferred = slices.Delete(n.deferred, i, i+1)
		i = 0
	}
	return calls
}

// forward returns calls that send a push to the roots of the subtrees of its span.
func (n *Node) forward(p Push) []Call {
	if p.Span.empty() {
		return nil
	}
	var calls []Call
	for _, st := range n.view.subtrees(n.self.ID, p.Revision, p.Span) {
		calls = append(calls, n.newCall(st.root, Message{
			Push: &Push{
				Revision: p.Revision,
				Span:     st.span,
				Batch:    p.Batch,
			},
		}))
	}
	return calls
}

// startPush pushes the entries that follow revision base to all daemons of its own data
// centre. It is called after the node received them from the platform or from
// another data centre. A node that was not ready before pushes them only if it is a
// relay candidate: when a whole data centre starts, its other daemons start no
// pushes.
func (n *Node) startPush(base uint64, wasReady bool) []Call {
	_, relay := n.view.Rank(n.self.ID)
	if !(relay || wasReady) || n.state.Revision() <= base {
		return nil
	}
	p := Push{
		Revision: n.state.Revision(),
		Span:     fullSpan,
	}
	if entries, ok := n.recentLog.after(base, maxBatchBytes); ok {
		p.Batch = pack(entries)
	}
	if p.Batch.size() > maxPushBytes {
		p.Batch = Batch{}
	}
	if !n.markSeen(p) {
		return nil
	}
	return n.forward(p)
}

// forwardOnBehalf handles a failed push: it forwards the push to the subtrees of the
// peer that did not answer, and sends that peer the push once more with an empty
// span.
func (n *Node) forwardOnBehalf(c Call) []Call {
	if c.retried {
		return nil
	}
	p := *c.Message.Push
	calls := n.forward(p)
	p.Span = Span{
		Low:  1,
		High: 0,
	}
	retry := n.newCall(c.To, Message{Push: &p})
	retry.retried = true
	return append(calls, retry)
}
