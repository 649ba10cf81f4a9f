package prober

import (
	"slices"
	"time"
)

// Timing and limits of anti-entropy.
const (
	// syncPeriod is the interval between digest exchanges with a peer of the
	// data centre. catchUpPeriod replaces it while no peer is known or the last
	// one was busy.
	syncPeriod    = 4 * time.Second
	catchUpPeriod = time.Second
	// seedPeriod is the interval between digest exchanges with a seed. These
	// reconnect a membership that has split into separate groups.
	seedPeriod = 3 * time.Minute
	// Rate in bytes per second, and burst in bytes, of answers to Sync and
	// Compare.
	syncRate  = 6 << 10
	syncBurst = 128 << 10
	// memberBytes and versionBytes are the approximate compressed sizes of a
	// Member and a MemberVersion.
	memberBytes  = 50
	versionBytes = 20
	// maxSyncMembers limits the members in one answer.
	maxSyncMembers = 4000
	// maxSyncDifferences limits the data centres, and maxSyncBuckets the buckets,
	// that one exchange compares.
	maxSyncDifferences = 4
	maxSyncBuckets     = 32
	// retryAfter is the time after which a peer that got a RetryAfter answer may sync
	// again.
	retryAfter = 10 * time.Second
	// maxHints limits the addresses of other peers in a RetryAfter answer, and those
	// kept in hints.
	maxHints = 8
	// maxVersions limits the versions read from one message.
	maxVersions = 8192
)

// jitter returns a random duration between 0.5 and 1.5 times t.
func (p *Prober) jitter(t time.Duration) time.Duration {
	return t/2 + time.Duration(p.random.Int64N(int64(t)))
}

// startSync returns the digest exchange that is due, if any.
func (p *Prober) startSync(now time.Time) []Call {
	if now.Before(p.nextSync) {
		return nil
	}
	p.nextSync = now.Add(p.jitter(syncPeriod))
	if len(p.hints) > 0 {
		address := p.hints[0]
		p.hints = p.hints[1:]
		return p.syncAddress(address)
	}
	id := p.randomPeer("")
	if id != "" && now.Before(p.nextSeed) {
		return p.callPeer(id, p.newSync())
	}
	p.nextSeed = now.Add(p.jitter(seedPeriod))
	if id == "" {
		p.nextSync = now.Add(p.jitter(catchUpPeriod))
	}
	if seeds := p.seeds(); len(seeds) > 0 {
		return p.syncAddress(seeds[p.random.IntN(len(seeds))])
	}
	return p.callPeer(id, p.newSync())
}

// syncAddress returns the call that starts a digest exchange with a control
// address.
func (p *Prober) syncAddress(address string) []Call {
	if address == p.table.Self().Control {
		return nil
	}
	return []Call{{
		To:      address,
		Message: p.newSync(),
	}}
}

// newSync returns a Sync message with the daemon's own entry, its digests and
// the reachability of data centres.
func (p *Prober) newSync() Message {
	msg := p.newMessage(Sync)
	msg.Members = []Member{p.table.Self()}
	msg.Digests = p.table.digests()
	msg.FactSum = p.facts.Sum()
	msg.Reachabilities = p.allReachability()
	return msg
}

// answerSync answers with the differences from the peer's digests. A data
// centre of which the peer has less than half of the members is sent whole
// while the byte budget lasts.
func (p *Prober) answerSync(m Message, answer *Message, now time.Time) []Call {
	theirs := map[string]Digest{}
	for _, d := range m.Digests {
		theirs[d.DC] = d
	}
	answer.Members = append(answer.Members, p.table.Self())
	answer.Reachabilities = p.allReachability()
	if m.FactSum != p.facts.Sum() {
		answer.FactKeys = append(p.facts.Keys(), m.FactSum)
	}
	for _, ours := range p.digestsFor(m.DC) {
		p.answerDigest(ours, theirs[ours.DC], m, answer, now)
		delete(theirs, ours.DC)
	}
	return p.syncUnknown(m, theirs)
}

// digestsFor returns all digests: that of data centre dc first, the others
// rotated by a random offset.
func (p *Prober) digestsFor(dc string) []Digest {
	digests := p.table.digests()
	if len(digests) == 0 {
		return nil
	}
	offset := p.random.IntN(len(digests))
	digests = slices.Concat(digests[offset:], digests[:offset])
	slices.SortStableFunc(digests, func(a, b Digest) int {
		switch dc {
		case a.DC:
			return -1
		case b.DC:
			return 1
		}
		return 0
	})
	return digests
}

// answerDigest adds to the answer what the peer lacks of one data centre: the
// bucket sums, all members, or a RetryAfter answer if the budget is spent.
func (p *Prober) answerDigest(ours, theirs Digest, m Message, answer *Message, now time.Time) {
	switch {
	case ours.Sum == theirs.Sum:
	case 2*theirs.Live >= ours.Live:
		if len(answer.Differences) < maxSyncDifferences {
			answer.Differences = append(answer.Differences, Difference{
				DC:   ours.DC,
				Sums: p.table.bucketSums(ours.DC),
			})
		}
	case len(answer.Members)+ours.Live > maxSyncMembers, !p.syncLimiter.spend(memberBytes*ours.Live, now):
		p.setRetryAfter(m, answer)
	default:
		for _, o := range p.table.membersOf(ours.DC) {
			answer.Members = append(answer.Members, p.memberFor(o, m.DC))
		}
	}
}

// setRetryAfter sets the delay after which the peer may sync again, and adds the
// addresses of other peers to sync with until then.
func (p *Prober) setRetryAfter(m Message, answer *Message) {
	if answer.RetryAfter > 0 {
		return
	}
	answer.RetryAfter = retryAfter
	ids := p.table.ids(m.DC)
	if len(ids) <= 1 {
		ids = p.table.ids(p.table.Self().DC)
	}
	for range min(maxHints, len(ids)) {
		o, ok := p.table.Get(ids[p.random.IntN(len(ids))])
		if ok && o.Control != "" && o.ID != m.From {
			answer.Peers = append(answer.Peers, o.Control)
		}
	}
}

// syncUnknown starts a digest exchange with the sender of m if it has data
// centres that are unknown here.
func (p *Prober) syncUnknown(m Message, unknown map[string]Digest) []Call {
	for _, d := range unknown {
		if d.Live > 0 && m.From != p.table.Self().ID {
			return p.callPeer(m.From, p.newSync())
		}
	}
	return nil
}

// memberFor returns the entry of m to send to data centre dc. A suspect is sent
// to other data centres as alive, since suspicions stay inside a data centre.
func (p *Prober) memberFor(m Member, dc string) Member {
	if m.Status == Suspect && dc != p.table.Self().DC {
		return m.WithStatus(Alive)
	}
	return m
}

// handleSyncAnswer compares the buckets and facts that differ according to the
// answer to a Sync.
func (p *Prober) handleSyncAnswer(c Call, answer Message, now time.Time) []Call {
	if answer.RetryAfter > 0 {
		p.nextSync = now.Add(p.jitter(catchUpPeriod))
		p.hints = answer.Peers[:min(len(answer.Peers), maxHints)]
	}
	msg := p.newMessage(Compare)
	for _, d := range answer.Differences {
		p.compareBuckets(&msg, d, answer.DC)
	}
	p.compareFacts(&msg, answer.FactKeys)
	if len(msg.Buckets)+len(msg.FactsWanted)+len(msg.Facts) == 0 {
		return nil
	}
	return []Call{{
		To:      c.To,
		ID:      answer.From,
		Message: msg,
	}}
}

// compareBuckets adds to msg the versions in the buckets of one data centre whose
// sums differ. It starts at a random bucket, so that repeated exchanges cover
// all of them.
func (p *Prober) compareBuckets(msg *Message, d Difference, peerDC string) {
	ours := p.table.bucketSums(d.DC)
	first := p.random.IntN(buckets)
	for i := range min(len(d.Sums), buckets) {
		b := (first + i) % buckets
		if b >= len(d.Sums) || ours[b] == d.Sums[b] || len(msg.Buckets) >= maxSyncBuckets {
			continue
		}
		msg.Buckets = append(msg.Buckets, BucketID{
			DC:     d.DC,
			Bucket: b,
		})
		for _, m := range p.table.inBucket(d.DC, b) {
			msg.MemberVersions = append(msg.MemberVersions, p.memberFor(m, peerDC).version())
		}
	}
}

// compareFacts adds to msg the facts that the peer lacks and requests those that
// are missing here. The last element of keys is the FactSum that this daemon
// sent.
func (p *Prober) compareFacts(msg *Message, keys []uint64) {
	if len(keys) == 0 || p.facts.Sum() == 0 && len(keys) == 1 {
		return
	}
	missing := map[uint64]bool{}
	for _, k := range keys[:len(keys)-1] {
		missing[k] = true
	}
	msg.Facts = p.facts.Select(func(key uint64) bool {
		if missing[key] {
			delete(missing, key)
			return false
		}
		return true
	})
	for k := range missing {
		msg.FactsWanted = append(msg.FactsWanted, k)
	}
	slices.Sort(msg.FactsWanted)
}

// answerCompare answers with the members that are newer here than at the peer,
// and requests those that are older here.
func (p *Prober) answerCompare(m Message, answer *Message, now time.Time) {
	theirs := map[string]MemberVersion{}
	for _, v := range m.MemberVersions[:min(len(m.MemberVersions), maxVersions)] {
		theirs[v.ID] = v
	}
	for _, bucket := range m.Buckets[:min(len(m.Buckets), maxSyncBuckets)] {
		for _, o := range p.table.inBucket(bucket.DC, bucket.Bucket) {
			p.compareMember(p.memberFor(o, m.DC), theirs, answer)
			delete(theirs, o.ID)
		}
	}
	for _, id := range sortedKeys(theirs) {
		p.compareUnknown(theirs[id], m, answer, now)
	}
	if wanted := m.FactsWanted; len(wanted) > 0 {
		answer.Facts = p.facts.Select(func(key uint64) bool { return slices.Contains(wanted, key) })
	}
	p.syncLimiter.spend(memberBytes*len(answer.Members)+versionBytes*len(m.MemberVersions), now)
}

// compareMember adds ours to the answer if it is newer than the peer's version,
// and requests the member if it is older.
func (p *Prober) compareMember(ours Member, theirs map[string]MemberVersion, answer *Message) {
	v, known := theirs[ours.ID]
	o := Member{
		Incarnation: v.Incarnation,
		Status:      v.Status,
	}
	switch {
	case !known && ours.Status > Suspect:
	case !known || ours.Supersedes(o):
		answer.Members = append(answer.Members, ours)
	case o.Supersedes(ours):
		answer.Wanted = append(answer.Wanted, ours.ID)
	}
}

// compareUnknown requests a member that is unknown here. If the member belongs
// to the daemon's own data centre and its tombstone has expired, the answer
// declares it dead instead.
func (p *Prober) compareUnknown(v MemberVersion, m Message, answer *Message, now time.Time) {
	self := p.table.Self()
	if v.Status > Suspect {
		return
	}
	if _, known := p.table.Get(v.ID); known {
		return
	}
	comparesOwnDC := slices.ContainsFunc(m.Buckets, func(b BucketID) bool { return b.DC == self.DC })
	if comparesOwnDC && m.DC != self.DC && p.wasRemoved(v.Incarnation, now) {
		answer.Members = append(answer.Members, Member{
			ID:          v.ID,
			DC:          self.DC,
			Incarnation: v.Incarnation,
			Status:      Dead,
		})
		return
	}
	answer.Wanted = append(answer.Wanted, v.ID)
}

// sendWanted returns the call that sends the members that the answer requests.
func (p *Prober) sendWanted(c Call, answer Message) []Call {
	var members []Member
	for _, id := range answer.Wanted[:min(len(answer.Wanted), maxSyncMembers)] {
		if m, ok := p.table.Get(id); ok {
			members = append(members, p.memberFor(m, answer.DC))
		}
	}
	if len(members) == 0 {
		return nil
	}
	return []Call{{
		To:      c.To,
		ID:      c.ID,
		Message: p.newPush(members...),
	}}
}
