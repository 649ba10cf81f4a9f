package prober

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of hash buckets into which a data centre's members are
// divided. Comparing bucket sums finds a difference without sending all
// members.
const buckets = 64

// maxMembers limits the number of members in a table.
const maxMembers = 1 << 16

// Table holds the members known to a daemon, including itself. It is safe for
// concurrent use. Serving takes no lock.
type Table struct {
	mu          sync.RWMutex
	self        Member
	members     map[string]Member
	dataCentres map[string]*dataCentre
	// counts holds the number of members by status.
	counts [Left + 1]int
	// index maps each service version to the members that serve it. The map is
	// replaced when a version is added or removed; its groups change in place.
	index atomic.Pointer[map[serviceVersion]*group]
	// sorted holds the members sorted by ID, or nil if they have changed since All was
	// last called. The slice is not modified.
	sorted atomic.Pointer[[]Member]
	// changed receives a value when a member or a data centre changes. It may
	// be nil.
	changed chan<- struct{}
}

// dataCentre summarises the members of one data centre.
type dataCentre struct {
	// sum is the exclusive or of the sums of the members.
	sum         uint64
	liveCount   int
	unreachable bool
	buckets     [buckets]bucket
}

// bucket holds the IDs of the members of one hash bucket and their sum.
type bucket struct {
	sum uint64
	ids []string
}

// serviceVersion is one version of a service.
type serviceVersion struct {
	service, version string
}

// group holds the members that serve one version. serving is the subset that
// gets new requests.
type group struct {
	members []Member
	serving atomic.Pointer[[]Member]
}

// NewTable returns a table that holds only the daemon itself.
func NewTable(self Member) *Table {
	t := &Table{
		members:     map[string]Member{},
		dataCentres: map[string]*dataCentre{},
	}
	t.index.Store(&map[serviceVersion]*group{})
	t.self = self.interned()
	t.putMember(t.self)
	return t
}

// Notify sets the channel that receives a value whenever a member or the
// reachability of a data centre changes. The send doesn't block: a value is
// dropped if the channel is full.
func (t *Table) Notify(changed chan<- struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = changed
}

func (t *Table) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Self returns the daemon's own entry.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// UpdateSelf replaces the daemon's own entry with the result of change under a new
// incarnation, and returns it.
func (t *Table) UpdateSelf(change func(Member) Member) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnation := t.self.Incarnation
	t.self = change(t.self).interned()
	t.self.Incarnation = incarnation + 1
	t.putMember(t.self)
	return t.self
}

// Merge adds the entry of a member if it is valid and supersedes the known one,
// and reports whether the table changed. An entry that supersedes the daemon's
// own is refuted with a higher incarnation.
func (t *Table) Merge(m Member) bool {
	if !m.Valid() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.ID == t.self.ID {
		return t.refute(m)
	}
	old, ok := t.members[m.ID]
	if ok && !m.Supersedes(old) || !ok && len(t.members) >= maxMembers {
		return false
	}
	t.putMember(m.interned())
	return true
}

// refute raises the daemon's own incarnation above that of m if m supersedes
// its entry, and reports whether it did.
func (t *Table) refute(m Member) bool {
	if !m.Supersedes(t.self) {
		return false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.putMember(t.self)
	return true
}

// putMember adds a member or replaces its earlier entry.
func (t *Table) putMember(m Member) {
	old := t.members[m.ID]
	t.removeFromDataCentre(old)
	t.members[m.ID] = m
	c := t.ensureDataCentre(m.DC)
	b := &c.buckets[bucketOf(m.ID)]
	b.ids = append(b.ids, m.ID)
	c.updateSums(b, m, 1)
	t.counts[m.Status]++
	t.updateGroups(old, m)
	t.sorted.Store(nil)
	t.notify()
}

// removeMember removes a member from the table.
func (t *Table) removeMember(m Member) {
	t.removeFromDataCentre(m)
	delete(t.members, m.ID)
	t.updateGroups(m, Member{})
	t.sorted.Store(nil)
	t.notify()
}

// removeFromDataCentre removes a member from the sums and counts of its data
// centre. It ignores the zero Member.
func (t *Table) removeFromDataCentre(m Member) {
	if m.ID == "" {
		return
	}
	c := t.ensureDataCentre(m.DC)
	b := &c.buckets[bucketOf(m.ID)]
	b.ids = slices.DeleteFunc(b.ids, func(id string) bool { return id == m.ID })
	c.updateSums(b, m, -1)
	t.counts[m.Status]--
}

// updateSums adds m to, or removes it from, the sums of the data centre and
// bucket, and changes the live count by delta.
func (c *dataCentre) updateSums(b *bucket, m Member, delta int) {
	s := m.sum()
	b.sum ^= s
	c.sum ^= s
	if m.Status <= Suspect {
		c.liveCount += delta
	}
}

// ensureDataCentre returns the entry of a data centre and creates it if there
// is none.
func (t *Table) ensureDataCentre(dc string) *dataCentre {
	c := t.dataCentres[dc]
	if c == nil {
		c = &dataCentre{}
		t.dataCentres[dc] = c
	}
	return c
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % buckets) }

// removeTombstone removes a dead or departed member, unless its entry has
// changed since.
func (t *Table) removeTombstone(v MemberVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[v.ID]
	if ok && m.version() == v && m.ID != t.self.ID {
		t.removeMember(m)
	}
}

// served returns the version that the member serves. It reports false if the
// member takes no new requests.
func (m Member) served() (key serviceVersion, ok bool) {
	if !m.Serves() {
		return serviceVersion{}, false
	}
	return serviceVersion{
		service: m.Target.Service,
		version: m.Target.Version,
	}, true
}

// updateGroups moves a member from the group of the version that it served to
// that of the version that it serves now.
func (t *Table) updateGroups(old, m Member) {
	oldKey, served := old.served()
	newKey, serves := m.served()
	if served {
		g := (*t.index.Load())[oldKey]
		g.members = slices.DeleteFunc(g.members, func(o Member) bool { return o.ID == old.ID })
		if len(g.members) > 0 && oldKey != newKey {
			t.publishServing(g)
		}
		if len(g.members) == 0 && oldKey != newKey {
			t.putGroup(oldKey, nil)
		}
	}
	if !serves {
		return
	}
	g := (*t.index.Load())[newKey]
	if g == nil {
		g = &group{}
		defer t.putGroup(newKey, g)
	}
	g.members = append(g.members, m)
	t.publishServing(g)
}

// putGroup replaces the index with a copy that contains g, or lacks the key if
// g is nil.
func (t *Table) putGroup(key serviceVersion, g *group) {
	index := maps.Clone(*t.index.Load())
	if g == nil {
		delete(index, key)
	} else {
		index[key] = g
	}
	t.index.Store(&index)
}

// publishServing updates the list of the group's members that get new requests.
// Members of unreachable data centres are left out. Suspects are left out as
// long as at least half of the reachable members are alive.
func (t *Table) publishServing(g *group) {
	reachable := make([]Member, 0, len(g.members))
	healthy := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		if t.ensureDataCentre(m.DC).unreachable {
			continue
		}
		reachable = append(reachable, m)
		if m.Status == Alive {
			healthy = append(healthy, m)
		}
	}
	if 2*len(healthy) < len(reachable) {
		healthy = reachable
	}
	g.serving.Store(&healthy)
}

// Serving returns the members whose targets get new requests of a version: they
// serve the version and their data centre is reachable. Suspects are left out
// as long as at least half of these members are alive. The slice is shared and
// must not be modified.
func (t *Table) Serving(service, version string) []Member {
	g := (*t.index.Load())[serviceVersion{
		service: service,
		version: version,
	}]
	if g == nil {
		return nil
	}
	return *g.serving.Load()
}

// ServingService returns the members whose targets get new requests of any version
// of a service.
func (t *Table) ServingService(service string) []Member {
	var members []Member
	for key, g := range *t.index.Load() {
		if key.service == service {
			members = append(members, *g.serving.Load()...)
		}
	}
	return members
}

// Reachable reports whether a data centre is reachable. It returns true for an
// unknown one.
func (t *Table) Reachable(dc string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.dataCentres[dc]
	return c == nil || !c.unreachable
}

// SetReachable marks a data centre as reachable or unreachable. Its members
// stay in the table. The daemon's own data centre is always reachable.
func (t *Table) SetReachable(dc string, reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.ensureDataCentre(dc)
	if dc == t.self.DC || c.unreachable == !reachable {
		return
	}
	c.unreachable = !reachable
	for _, g := range *t.index.Load() {
		t.publishServing(g)
	}
	t.notify()
}

// DataCentres returns the sorted names of the data centres with live members.
func (t *Table) DataCentres() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.dataCentres))
	for name, c := range t.dataCentres {
		if c.liveCount > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Counts holds the sizes of a table.
type Counts struct {
	// Alive, Suspect and Gone are numbers of members. Gone counts those that
	// are dead or have left.
	Alive, Suspect, Gone int
	// Unreachable is the number of unreachable data centres.
	Unreachable int
}

// Live returns the number of members that are alive or suspect, including the
// daemon itself.
func (c Counts) Live() int { return c.Alive + c.Suspect }

// Counts returns the sizes of the table.
func (t *Table) Counts() Counts {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Counts{
		Alive:   t.counts[Alive],
		Suspect: t.counts[Suspect],
		Gone:    t.counts[Dead] + t.counts[Left],
	}
	for _, o := range t.dataCentres {
		if o.unreachable {
			c.Unreachable++
		}
	}
	return c
}

// Get returns the member with the given ID.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.members[id]
	return m, ok
}

// All returns the members sorted by ID. The slice is shared and must not be modified.
// The first call after a change copies and sorts the whole table.
func (t *Table) All() []Member {
	if sorted := t.sorted.Load(); sorted != nil {
		return *sorted
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	sorted := slices.SortedFunc(maps.Values(t.members), func(a, b Member) int {
		return strings.Compare(a.ID, b.ID)
	})
	t.sorted.Store(&sorted)
	return sorted
}

// liveCount returns the number of alive and suspect members of a data centre.
func (t *Table) liveCount(dc string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if c := t.dataCentres[dc]; c != nil {
		return c.liveCount
	}
	return 0
}

// ids returns the sorted IDs of the alive and suspect members of a data centre.
func (t *Table) ids(dc string) []string {
	var ids []string
	for _, m := range t.membersOf(dc) {
		if m.Status <= Suspect {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// LiveIDs returns the sorted IDs of the alive and suspect members of a data
// centre.
func (t *Table) LiveIDs(dataCentre string) []string { return t.ids(dataCentre) }

// membersOf returns all members of a data centre, including dead and departed
// ones.
func (t *Table) membersOf(dc string) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.dataCentres[dc]
	if c == nil {
		return nil
	}
	var members []Member
	for i := range c.buckets {
		for _, id := range c.buckets[i].ids {
			members = append(members, t.members[id])
		}
	}
	return members
}

// digests returns the digests of all data centres with live members, sorted by
// name.
func (t *Table) digests() []Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	digests := make([]Digest, 0, len(t.dataCentres))
	for dc, c := range t.dataCentres {
		if c.liveCount > 0 {
			digests = append(digests, Digest{
				DC:   dc,
				Sum:  c.sum,
				Live: c.liveCount,
			})
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int { return strings.Compare(a.DC, b.DC) })
	return digests
}

// digest returns the digest of one data centre.
func (t *Table) digest(dc string) Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	d := Digest{DC: dc}
	if c := t.dataCentres[dc]; c != nil {
		d.Sum, d.Live = c.sum, c.liveCount
	}
	return d
}

// bucketSums returns the sums of a data centre's buckets.
func (t *Table) bucketSums(dc string) []uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	sums := make([]uint64, buckets)
	if c := t.dataCentres[dc]; c != nil {
		for i := range c.buckets {
			sums[i] = c.buckets[i].sum
		}
	}
	return sums
}

// inBucket returns the members in one bucket of a data centre.
func (t *Table) inBucket(dc string, i int) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.dataCentres[dc]
	if c == nil || i < 0 || i >= buckets {
		return nil
	}
	members := make([]Member, 0, len(c.buckets[i].ids))
	for _, id := range c.buckets[i].ids {
		members = append(members, t.members[id])
	}
	return members
}
