package distributor

import "fmt"

// Ready reports whether the node has reached the revision that it requires to serve.
// A node that is ready remains ready.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateReady()
	return n.ready
}

// Reason returns why the node is not ready; it is empty if the node is ready.
func (n *Node) Reason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateReady()
	switch {
	case n.ready:
		return ""
	case n.state.Revision() < n.requiredRevision:
		return fmt.Sprintf("at revision %d, a ready peer is at %d", n.state.Revision(), n.requiredRevision)
	case len(n.view.local) <= 1 && len(n.view.remoteDCs) == 0:
		return "no peer is known and the platform has not answered"
	default:
		return fmt.Sprintf("the platform has not answered, and of its peers %d that are ready have", len(n.readyPeers))
	}
}

// updateReady makes the node ready if its revision has reached requiredRevision and
// enough sources confirm that value: the platform's head, the heads of requiredPeers
// ready peers, or after singlePeerDelay the head of one ready peer.
func (n *Node) updateReady() {
	if n.ready || n.state.Revision() < n.requiredRevision {
		return
	}
	needed := requiredPeers
	if n.clock.Now().Sub(n.started) >= singlePeerDelay {
		needed = 1
	}
	n.ready = n.platformHeadSeen || len(n.readyPeers) >= needed
	if n.ready {
		n.readyPeers = nil
	}
}
