package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// Methods of the calls between daemons.
const (
	memberMethod   = "member"
	joinMethod     = "join"
	copyMethod     = "copy"
	withdrawMethod = "withdraw"
	newsMethod     = "news"
	crashMethod    = "crash"
)

// Times of keeping up with other daemons.
const (
	// peerPeriod is how often another daemon is asked for newer records while
	// the store doesn't answer.
	peerPeriod = 400 * time.Millisecond
	// recallPeriod is how often daemons that are gone are told of the others,
	// since one that was restarted while the store is away finds none.
	recallPeriod = 2 * time.Second
)

// gossip runs the membership protocol.
func (d *Daemon) gossip(ctx context.Context) {
	ticker := time.NewTicker(prober.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.exchange(d.prober.Tick())
		case <-ctx.Done():
			return
		}
	}
}

// exchange makes calls, and those that their answers give rise to.
func (d *Daemon) exchange(calls []prober.Call) {
	for _, c := range calls {
		select {
		case d.probing <- struct{}{}:
			go func() {
				defer func() { <-d.probing }()
				d.exchangeOne(c)
			}()
		default:
			d.count("member.dropped")
		}
	}
}

func (d *Daemon) exchangeOne(c prober.Call) {
	var answer prober.Message
	if err := d.client.Call(context.Background(), c.To, memberMethod, c.Message, &answer); err != nil {
		d.count("member.failed")
		d.log.Debug("peer not reached", "peer", c.To, "kind", c.Message.Kind, "err", err)
		return
	}
	d.exchange(d.prober.Accept(c, answer))
}

func (d *Daemon) answerMember(_ context.Context, m prober.Message) (prober.Message, error) {
	answer, calls := d.prober.Answer(m)
	d.exchange(calls)
	return answer, nil
}

// leave says that the daemon leaves.
func (d *Daemon) leave() {
	d.left.Store(true)
	d.gate.Recheck()
	d.update(func(m prober.Member) prober.Member { return m.WithStatus(prober.Left) })
}

// maxDirect bounds the members that the daemon tells itself of what is new of
// it; in larger fleets rumours carry it to the others.
const maxDirect = 128

// update says something new of the daemon, to the other members at once.
func (d *Daemon) update(change func(prober.Member) prober.Member) {
	self := d.members.Update(change)
	d.tell(self)
	d.refresh()
}

// tell tells the other members of the daemon.
func (d *Daemon) tell(self prober.Member) {
	d.callMembers(memberMethod, prober.Message{
		Kind:    prober.Push,
		From:    self.ID,
		DC:      self.DC,
		Members: []prober.Member{self},
	})
}

// callMembers calls a method of the other members and waits for no answer.
func (d *Daemon) callMembers(method string, params any) {
	called := 0
	for _, m := range d.members.All() {
		if m.ID == d.settings.Name || m.Status > prober.Suspect || called == maxDirect {
			continue
		}
		called++
		go func() {
			if err := d.client.Call(context.Background(), m.Control, method, params, nil); err != nil {
				d.count("member.failed")
				d.log.Debug("peer not told", "peer", m.ID, "method", method, "err", err)
			}
		}()
	}
}

// answerJoin takes in a daemon that has started, and returns all members.
func (d *Daemon) answerJoin(_ context.Context, m prober.Member) ([]prober.Member, error) {
	d.members.Merge(m)
	return d.members.All(), nil
}

// joinThrough takes over the members that another daemon knows.
func (d *Daemon) joinThrough(ctx context.Context, address string) error {
	var members []prober.Member
	if err := d.client.Call(ctx, address, joinMethod, d.members.Self(), &members); err != nil {
		return err
	}
	for _, m := range members {
		d.members.Merge(m)
	}
	return nil
}

// silent takes a daemon that does not answer for one that can't be reached.
func (d *Daemon) silent(address string) {
	for _, m := range d.members.All() {
		if m.Admit == address && m.Target != nil {
			d.chooser.Unreachable(m.Target.Instance)
			d.log.Debug("daemon silent", "peer", m.ID)
		}
	}
}

// seeds returns the control addresses to join by.
func (d *Daemon) seeds() []string {
	d.knownMu.Lock()
	defer d.knownMu.Unlock()
	addresses := append([]string(nil), d.settings.Seeds...)
	for _, address := range d.known {
		addresses = append(addresses, address)
	}
	return addresses
}

// learnFromPeers asks another daemon for newer records while the store does not
// answer, and tells daemons that were restarted of the others.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	recall := d.clock.Now().Add(recallPeriod)
	for ctx.Err() == nil {
		pause(ctx, peerPeriod)
		for _, f := range d.followers() {
			if d.watching() && !d.isReached("store "+f.Prefix) {
				d.askPeer(ctx, f)
			}
		}
		if now := d.clock.Now(); now.After(recall) {
			recall = now.Add(recallPeriod)
			d.recallGone(ctx)
		}
	}
}

// askPeer asks one other daemon for newer records.
func (d *Daemon) askPeer(ctx context.Context, f *follower.Follower) {
	var peers []string
	for _, m := range d.members.All() {
		if m.ID != d.settings.Name && m.Status <= prober.Suspect {
			peers = append(peers, m.Control)
		}
	}
	if len(peers) > 0 {
		d.fetch(ctx, f, peers[rand.IntN(len(peers))])
	}
}

// recallGone joins with a daemon that was known and is gone: it may be back.
func (d *Daemon) recallGone(ctx context.Context) {
	live := map[string]string{}
	for _, m := range d.members.All() {
		if m.ID != d.settings.Name && m.Status <= prober.Suspect {
			live[m.ID] = m.Control
		}
	}
	d.remember(live)
	for name, address := range d.goneAddresses(live) {
		if err := d.joinThrough(ctx, address); err != nil {
			return
		}
		if m, ok := d.members.Get(name); ok && m.Status <= prober.Suspect {
			d.log.Info("daemon is back", "peer", name)
			return
		}
		d.log.Info("address of a daemon that is gone is another's by now", "peer", name, "address", address)
		d.forget(name)
		return
	}
}

// forget drops the control address of a daemon.
func (d *Daemon) forget(name string) {
	d.knownMu.Lock()
	defer d.knownMu.Unlock()
	delete(d.known, name)
}

// goneAddresses returns the addresses of known daemons that are not live.
func (d *Daemon) goneAddresses(live map[string]string) map[string]string {
	d.knownMu.Lock()
	defer d.knownMu.Unlock()
	gone := maps.Clone(d.known)
	maps.DeleteFunc(gone, func(name, _ string) bool {
		_, ok := live[name]
		return ok
	})
	return gone
}
