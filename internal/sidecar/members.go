package sidecar

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
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

// Times of finding and keeping up with other daemons.
const (
	// leaseTime is the life of the daemon's key in the store. A relay renews its
	// lease every renewPeriod, so that it notices within that time when the
	// store is away; the others do so every restPeriod, and within renewSpread of
	// the news that the store is back: each key is there again within two seconds.
	leaseTime   = 20 * time.Second
	renewPeriod = 1900 * time.Millisecond
	restPeriod  = 6 * time.Second
	renewSpread = time.Second
	// registerPause is the pause after a call to the store that failed.
	registerPause = 500 * time.Millisecond
	// relookPeriod is how often daemons are looked up again, should groups
	// have come up that don't know each other.
	relookPeriod = time.Minute
	// firstRelook is the same, once, after a start at which no other daemon was
	// found.
	firstRelook = 2 * time.Second
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

// register keeps the daemon's address in the store and looks up the others'. It
// writes before it reads, so that of two daemons that start together one sees
// the other.
func (d *Daemon) register(ctx context.Context) {
	store := d.platform.Store
	key := d.platform.DaemonPrefix + d.settings.Name
	var lease storer.LeaseID
	relook := d.clock.Now()
	for looks := 0; ctx.Err() == nil; {
		var err error
		if lease == "" {
			lease, err = d.writeKey(ctx, key)
		} else {
			err = store.KeepAlive(ctx, lease)
		}
		if errors.Is(err, storer.ErrLease) {
			d.log.Info("key in the store lost; writing it again")
			lease = ""
			continue
		}
		if d.dependency("store registration", err == nil, err) {
			d.renewWatches()
		}
		if err != nil {
			pause(ctx, registerPause)
			continue
		}
		if !d.clock.Now().Before(relook) && d.lookUp(ctx) == nil {
			relook = d.clock.Now().Add(relookPeriod)
			if looks++; looks == 1 && d.members.Counts().Live() == 1 {
				relook = d.clock.Now().Add(firstRelook)
			}
		}
		d.awaitRenewal(ctx)
	}
}

// awaitRenewal waits until the lease is to be renewed.
func (d *Daemon) awaitRenewal(ctx context.Context) {
	period := restPeriod
	if d.isRelay() {
		period = renewPeriod
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.returned:
		pause(ctx, time.Duration(rand.Int64N(int64(renewSpread))))
	case <-ctx.Done():
	}
}

// noteReturn notes that the store is back: keys may have lapsed meanwhile.
func (d *Daemon) noteReturn() {
	select {
	case d.returned <- struct{}{}:
	default:
	}
}

// renewWatches starts the watches of the store anew: when other calls to it
// begin to fail, or to be answered again, it may have lost them without a sign.
func (d *Daemon) renewWatches() {
	for _, f := range d.followers() {
		f.Renew()
	}
}

// writeKey writes the daemon's key under a new lease.
func (d *Daemon) writeKey(ctx context.Context, key string) (storer.LeaseID, error) {
	store := d.platform.Store
	lease, err := store.Grant(ctx, leaseTime)
	if err != nil {
		return "", err
	}
	_, err = store.PutIf(ctx, key, []byte(d.settings.ControlAddress()), 0, lease)
	if errors.Is(err, storer.ErrConflict) {
		item, getErr := store.Get(ctx, key)
		if getErr != nil {
			return "", getErr
		}
		_, err = store.PutIf(ctx, key, []byte(d.settings.ControlAddress()), item.Version, lease)
	}
	if err != nil {
		return "", err
	}
	return lease, nil
}

// joinTries is the number of daemons that a look joins through.
const joinTries = 3

// lookUp looks up the other daemons, and joins through some that are not known.
func (d *Daemon) lookUp(ctx context.Context) error {
	span, err := d.platform.Store.Range(ctx, d.platform.DaemonPrefix)
	if err != nil {
		d.log.Warn("daemons not looked up", "err", err)
		return err
	}
	found := map[string]string{}
	for _, c := range span.Changes {
		found[strings.TrimPrefix(c.Key, d.platform.DaemonPrefix)] = string(c.Value)
	}
	delete(found, d.settings.Name)
	d.remember(found)
	joined := d.joinSome(ctx, found)
	if joined > 0 {
		d.log.Info("joined", "found", len(found), "through", joined, "live", d.members.Counts().Live())
		d.tell(d.members.Self())
	}
	d.joined.Store(true)
	return nil
}

// joinSome joins through some of the daemons that were found and are not known,
// side by side, since those that have died answer only by a time-out.
func (d *Daemon) joinSome(ctx context.Context, found map[string]string) int {
	var joined atomic.Int32
	var group errgroup.Group
	group.SetLimit(joinTries)
	for name, address := range found {
		if m, ok := d.members.Get(name); ok && m.Status <= prober.Suspect {
			continue
		}
		if joined.Load() >= joinTries {
			break
		}
		group.Go(func() error {
			if err := d.joinThrough(ctx, address); err != nil {
				d.log.Debug("daemon not reached", "peer", name, "err", err)
				return nil
			}
			joined.Add(1)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return int(joined.Load())
}

// remember keeps the control addresses of other daemons.
func (d *Daemon) remember(addresses map[string]string) {
	d.knownMu.Lock()
	defer d.knownMu.Unlock()
	maps.Copy(d.known, addresses)
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
