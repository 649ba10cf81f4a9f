package sidecar

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// Methods of the remote calls between daemons.
const (
	memberMethod      = "member"
	joinMethod        = "join"
	copyMethod        = "copy"
	withdrawMethod    = "withdraw"
	relayUpdateMethod = "news"
	crashMethod       = "crash"
	quarantineMethod  = "quarantine"
	countsMethod      = "counts"
	recallMethod      = "recall"
)

// Polling intervals.
const (
	// peerPollPeriod is the interval of requesting newer records from a peer while
	// the store is unreachable.
	peerPollPeriod = 400 * time.Millisecond
	// rejoinPeriod is the interval of attempts to join through daemons that are
	// gone. This finds daemons that restart during a store outage, when they cannot
	// look up their peers.
	rejoinPeriod = 2 * time.Second
)

// gossip runs the membership protocol until ctx ends.
func (d *Daemon) gossip(ctx context.Context) {
	ticker := time.NewTicker(prober.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.sendCalls(d.prober.Tick())
		case <-ctx.Done():
			return
		}
	}
}

// sendCalls sends membership calls, and the calls that their responses lead to.
// It drops a call if too many are in progress.
func (d *Daemon) sendCalls(calls []prober.Call) {
	for _, c := range calls {
		select {
		case d.memberCallSem <- struct{}{}:
			go func() {
				defer func() { <-d.memberCallSem }()
				d.sendCall(c)
			}()
		default:
			d.incrementCounter("member.dropped")
		}
	}
}

// sendCall sends one membership call and the calls that the response leads to.
func (d *Daemon) sendCall(c prober.Call) {
	var reply prober.Message
	if err := d.client.Call(context.Background(), c.To, memberMethod, c.Message, &reply); err != nil {
		d.incrementCounter("member.failed")
		d.log.Debug("membership call failed", "peer", c.To, "kind", c.Message.Kind, "err", err)
		return
	}
	d.sendCalls(d.prober.HandleAnswer(c, reply))
}

// handleMember answers a membership call.
func (d *Daemon) handleMember(_ context.Context, m prober.Message) (prober.Message, error) {
	for _, entry := range m.Members {
		if entry.ID == d.settings.Name {
			d.handleOwnEntry(entry)
		}
	}
	reply, calls := d.prober.HandleMessage(m)
	d.sendCalls(calls)
	return reply, nil
}

// leave closes admission and announces to the members that the daemon has left.
func (d *Daemon) leave() {
	d.left.Store(true)
	d.gate.CheckQueue()
	d.updateSelf(func(m prober.Member) prober.Member { return m.WithStatus(prober.Left) })
}

// updateSelf changes the daemon's own member record and sends it to the other
// members at once.
func (d *Daemon) updateSelf(change func(prober.Member) prober.Member) {
	self := d.members.UpdateSelf(change)
	d.pushSelf(self)
	d.refresh()
}

// pushSelf sends the daemon's own member record to the other members.
func (d *Daemon) pushSelf(self prober.Member) {
	d.callMembers(memberMethod, d.newPush(self))
}

// newPush returns the message that sends a member's entry.
func (d *Daemon) newPush(m prober.Member) prober.Message {
	return prober.Message{
		Kind:    prober.Push,
		From:    d.settings.Name,
		DC:      d.settings.DC,
		Members: []prober.Member{m},
	}
}

// callMembers calls a method of all live members, some of them through others. It does
// not wait for the responses.
func (d *Daemon) callMembers(method string, params any) {
	var addresses []string
	for _, m := range d.members.All() {
		if m.ID != d.settings.Name && m.Status <= prober.Suspect {
			addresses = append(addresses, m.Control)
		}
	}
	if err := d.broadcaster.Send(method, params, addresses); err != nil {
		d.log.Error("event not sent", "method", method, "err", err)
	}
}

// callMember calls a method of the daemon at an address.
func (d *Daemon) callMember(address, method string, params any) error {
	err := d.client.Call(context.Background(), address, method, params, nil)
	if err != nil {
		d.incrementCounter("member.failed")
		d.log.Debug("call to peer failed", "peer", address, "method", method, "err", err)
	}
	return err
}

// handleEvent handles an event that another daemon has sent through a third one.
func (d *Daemon) handleEvent(method string, params json.RawMessage) error {
	switch method {
	case memberMethod:
		return handleParams(params, d.handleMember)
	case crashMethod:
		return handleParams(params, d.handleCrash)
	case withdrawMethod:
		return handleParams(params, d.handleWithdraw)
	default:
		return Class.New("no event %q", method)
	}
}

// handleParams decodes the parameters of a method and calls it.
func handleParams[Params, Result any](data json.RawMessage, handle func(context.Context, Params) (Result, error)) error {
	var params Params
	if err := json.Unmarshal(data, &params); err != nil {
		return Class.Wrap(err)
	}
	_, err := handle(context.Background(), params)
	return err
}

// handleJoin adds a daemon that has started to the members and returns all of them, with
// the entry in which its target was leaving, if any.
func (d *Daemon) handleJoin(_ context.Context, m prober.Member) ([]prober.Member, error) {
	d.members.Merge(m)
	members := d.members.All()
	if left, ok := d.leaving.get(m.ID); ok {
		members = append(slices.Clone(members), left)
	}
	return members, nil
}

// joinVia sends the daemon's own record to another daemon and merges the members
// that it returns.
func (d *Daemon) joinVia(ctx context.Context, address string) error {
	var members []prober.Member
	if err := d.client.Call(ctx, address, joinMethod, d.members.Self(), &members); err != nil {
		return err
	}
	for _, m := range members {
		if m.ID == d.settings.Name {
			d.handleOwnEntry(m)
		}
		d.members.Merge(m)
		if m.Control == address {
			d.sendLeavingEntry(m)
		}
	}
	return nil
}

// markUnreachable marks the target of an unresponsive daemon as unreachable.
func (d *Daemon) markUnreachable(address string) {
	for _, m := range d.members.All() {
		if m.Admit == address && m.Target != nil {
			d.chooser.RecordUnreachable(m.Target.Instance)
			d.log.Debug("daemon not responding", "peer", m.ID)
		}
	}
}

// seeds returns the control addresses through which the daemon may join: those of
// the settings and those of the peers seen so far.
func (d *Daemon) seeds() []string {
	d.peerAddressesMu.Lock()
	defer d.peerAddressesMu.Unlock()
	addresses := append([]string(nil), d.settings.Seeds...)
	for _, address := range d.peerAddresses {
		addresses = append(addresses, address)
	}
	return addresses
}

// pollPeers fetches newer records from a peer while the store is unreachable and no
// relay sends updates. Failed renewals of the registration show that too: the store may
// keep a watch open that it no longer answers. It also tries to rejoin daemons that are
// gone.
func (d *Daemon) pollPeers(ctx context.Context) {
	nextRejoin := d.clock.Now().Add(rejoinPeriod)
	for ctx.Err() == nil {
		sleep(ctx, peerPollPeriod)
		for _, f := range d.followers() {
			if d.watching() && (!d.dependencyReached("store "+f.Prefix) || !d.dependencyReached("store registration")) {
				d.fetchFromPeer(ctx, f)
			}
		}
		if now := d.clock.Now(); now.After(nextRejoin) {
			nextRejoin = now.Add(rejoinPeriod)
			d.rejoinGone(ctx)
		}
	}
}

// fetchFromPeer fetches newer records from a random live peer.
func (d *Daemon) fetchFromPeer(ctx context.Context, f *follower.Follower) {
	var peers []string
	for _, m := range d.members.All() {
		if m.ID != d.settings.Name && m.Status <= prober.Suspect {
			peers = append(peers, m.Control)
		}
	}
	if len(peers) > 0 {
		d.fetchCopy(ctx, f, peers[rand.IntN(len(peers))])
	}
}

// rejoinGone tries to join through the address of one dead or left daemon, in case
// it has restarted. It forgets an address that now belongs to another daemon. A daemon
// that is still stopping may answer as well; its address is kept.
func (d *Daemon) rejoinGone(ctx context.Context) {
	live := map[string]string{}
	for _, m := range d.members.All() {
		if m.ID != d.settings.Name && m.Status <= prober.Suspect {
			live[m.ID] = m.Control
		}
	}
	d.rememberPeers(live)
	for name, address := range d.goneAddresses(live) {
		if err := d.joinVia(ctx, address); err != nil {
			return
		}
		if m, ok := d.members.Get(name); ok && m.Status <= prober.Suspect {
			d.log.Info("gone daemon has rejoined", "peer", name)
			return
		}
		if owner, ok := d.liveDaemonAt(address); ok {
			d.log.Info("address of a gone daemon now belongs to another daemon", "peer", name, "address", address, "owner", owner)
			d.forgetPeer(name)
		}
		return
	}
}

// liveDaemonAt returns the name of the live daemon with a control address.
func (d *Daemon) liveDaemonAt(address string) (name string, ok bool) {
	for _, m := range d.members.All() {
		if m.Control == address && m.Status <= prober.Suspect {
			return m.ID, true
		}
	}
	return "", false
}

// forgetPeer removes the remembered control address of a daemon.
func (d *Daemon) forgetPeer(name string) {
	d.peerAddressesMu.Lock()
	defer d.peerAddressesMu.Unlock()
	delete(d.peerAddresses, name)
}

// goneAddresses returns the addresses of the remembered daemons that are not live.
func (d *Daemon) goneAddresses(live map[string]string) map[string]string {
	d.peerAddressesMu.Lock()
	defer d.peerAddressesMu.Unlock()
	gone := maps.Clone(d.peerAddresses)
	maps.DeleteFunc(gone, func(name, _ string) bool {
		_, ok := live[name]
		return ok
	})
	return gone
}
