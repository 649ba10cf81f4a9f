package prober

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of parts that a data centre's members are divided
// into, so that a difference is found without sending them all.
const buckets = 64

// maxMembers bounds the members that are kept.
const maxMembers = 1 << 16

// Table is what a daemon knows of the members. It is safe for concurrent use;
// Serving takes no lock.
type Table struct {
	mu      sync.RWMutex
	self    Member
	members map[string]Member
	centres map[string]*dataCentre
	// counts holds the number of members by status.
	counts [Left + 1]int
	// index holds the members that serve each version. The map is replaced
	// when a version is new; its groups change in place.
	index atomic.Pointer[map[serviceVersion]*group]
	// changed is sent to when a member or a data centre changes; it may be nil.
	changed chan<- struct{}
}

// dataCentre is what is known of one data centre as a whole.
type dataCentre struct {
	sum         uint64
	live        int
	unreachable bool
	buckets     [buckets]bucket
}

type bucket struct {
	sum uint64
	ids []string
}

type serviceVersion struct {
	service, version string
}

// group is the members that announced one version.
type group struct {
	all     []Member
	serving atomic.Pointer[[]Member]
}

// NewTable returns a table that knows the daemon itself.
func NewTable(self Member) *Table {
	t := &Table{
		members: map[string]Member{},
		centres: map[string]*dataCentre{},
	}
	t.index.Store(&map[serviceVersion]*group{})
	t.self = self.interned()
	t.set(t.self)
	return t
}

// Notify sends to a channel, without waiting, whenever a member or the
// reachability of a data centre changes.
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

// Self returns the daemon itself.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// Update replaces what the daemon says of itself, under a new incarnation.
func (t *Table) Update(change func(Member) Member) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnation := t.self.Incarnation
	t.self = change(t.self).interned()
	t.self.Incarnation = incarnation + 1
	t.set(t.self)
	return t.self
}

// Merge takes in what a peer says and reports whether it was news. What is
// said of the daemon itself is refuted with a higher incarnation.
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
	t.set(m.interned())
	return true
}

func (t *Table) refute(m Member) bool {
	if !m.Supersedes(t.self) {
		return false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.set(t.self)
	return true
}

// set puts a member in, in place of what was known of it.
func (t *Table) set(m Member) {
	old := t.members[m.ID]
	t.uncount(old)
	t.members[m.ID] = m
	c := t.centre(m.DC)
	b := &c.buckets[bucketOf(m.ID)]
	b.ids = append(b.ids, m.ID)
	c.count(b, m, 1)
	t.counts[m.Status]++
	t.regroup(old, m)
	t.notify()
}

// remove takes a member out.
func (t *Table) remove(m Member) {
	t.uncount(m)
	delete(t.members, m.ID)
	t.regroup(m, Member{})
	t.notify()
}

// uncount takes a member out of its data centre, unless it is the zero one.
func (t *Table) uncount(m Member) {
	if m.ID == "" {
		return
	}
	c := t.centre(m.DC)
	b := &c.buckets[bucketOf(m.ID)]
	b.ids = slices.DeleteFunc(b.ids, func(id string) bool { return id == m.ID })
	c.count(b, m, -1)
	t.counts[m.Status]--
}

func (c *dataCentre) count(b *bucket, m Member, by int) {
	s := m.sum()
	b.sum ^= s
	c.sum ^= s
	if m.Status <= Suspect {
		c.live += by
	}
}

func (t *Table) centre(name string) *dataCentre {
	c := t.centres[name]
	if c == nil {
		c = &dataCentre{}
		t.centres[name] = c
	}
	return c
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % buckets) }

// forget drops a member that is gone, unless it has come back.
func (t *Table) forget(v Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[v.ID]
	if ok && m.version() == v && m.ID != t.self.ID {
		t.remove(m)
	}
}

// served returns what a member serves; ok is false when it takes no new work.
func (m Member) served() (key serviceVersion, ok bool) {
	if !m.Serves() {
		return serviceVersion{}, false
	}
	return serviceVersion{
		service: m.Target.Service,
		version: m.Target.Version,
	}, true
}

// regroup moves a member from the group of what it served to that of what it
// serves.
func (t *Table) regroup(old, m Member) {
	from, served := old.served()
	to, serves := m.served()
	if served {
		g := (*t.index.Load())[from]
		g.all = slices.DeleteFunc(g.all, func(o Member) bool { return o.ID == old.ID })
		if len(g.all) > 0 && from != to {
			t.publish(g)
		}
		if len(g.all) == 0 && from != to {
			t.putGroup(from, nil)
		}
	}
	if !serves {
		return
	}
	g := (*t.index.Load())[to]
	if g == nil {
		g = &group{}
		defer t.putGroup(to, g)
	}
	g.all = append(g.all, m)
	t.publish(g)
}

// putGroup puts a group into a new index, or leaves it out when it is nil.
func (t *Table) putGroup(key serviceVersion, g *group) {
	index := maps.Clone(*t.index.Load())
	if g == nil {
		delete(index, key)
	} else {
		index[key] = g
	}
	t.index.Store(&index)
}

// publish makes the list of a group's members that get new work. Suspects are
// left out while at least half of the group remains.
func (t *Table) publish(g *group) {
	reached := make([]Member, 0, len(g.all))
	sound := make([]Member, 0, len(g.all))
	for _, m := range g.all {
		if t.centre(m.DC).unreachable {
			continue
		}
		reached = append(reached, m)
		if m.Status == Alive {
			sound = append(sound, m)
		}
	}
	if 2*len(sound) < len(reached) {
		sound = reached
	}
	g.serving.Store(&sound)
}

// Serving returns the members whose targets get new work of a version: those
// that serve it and stand in a data centre that can be reached. The slice is
// shared and must not be changed.
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

// OfService returns the members whose targets get new work of any version of a
// service.
func (t *Table) OfService(service string) []Member {
	var members []Member
	for key, g := range *t.index.Load() {
		if key.service == service {
			members = append(members, *g.serving.Load()...)
		}
	}
	return members
}

// Reachable reports whether a data centre can be reached, as far as is known.
func (t *Table) Reachable(name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.centres[name]
	return c == nil || !c.unreachable
}

// SetReachable marks a data centre. Its members are kept either way.
func (t *Table) SetReachable(name string, reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.centre(name)
	if name == t.self.DC || c.unreachable == !reachable {
		return
	}
	c.unreachable = !reachable
	for _, g := range *t.index.Load() {
		t.publish(g)
	}
	t.notify()
}

// DataCentres returns the names of the data centres with members, in order.
func (t *Table) DataCentres() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.centres))
	for name, c := range t.centres {
		if c.live > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Counts are the sizes of a table.
type Counts struct {
	// Alive, Suspect and Gone are numbers of members.
	Alive, Suspect, Gone int
	// Unreachable is the number of data centres that can't be reached.
	Unreachable int
}

// Live returns the number of members that are not gone, the daemon included.
func (c Counts) Live() int { return c.Alive + c.Suspect }

// Counts returns the table's sizes.
func (t *Table) Counts() Counts {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Counts{
		Alive:   t.counts[Alive],
		Suspect: t.counts[Suspect],
		Gone:    t.counts[Dead] + t.counts[Left],
	}
	for _, o := range t.centres {
		if o.unreachable {
			c.Unreachable++
		}
	}
	return c
}

// Get returns a member by its VM's name.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.members[id]
	return m, ok
}

// All returns the members in order of their names. It takes O(n log n) and is
// for operators, not for the path of a call.
func (t *Table) All() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.SortedFunc(maps.Values(t.members), func(a, b Member) int {
		return strings.Compare(a.ID, b.ID)
	})
}

// live returns how many members of a data centre are not gone.
func (t *Table) live(name string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if c := t.centres[name]; c != nil {
		return c.live
	}
	return 0
}

// ids returns the names of a data centre's members that are not gone, in
// order.
func (t *Table) ids(name string) []string {
	var ids []string
	for _, m := range t.listed(name) {
		if m.Status <= Suspect {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Daemons returns the names of a data centre's daemons that are not gone, in
// order.
func (t *Table) Daemons(dataCentre string) []string { return t.ids(dataCentre) }

// listed returns a data centre's members, those that are gone included.
func (t *Table) listed(name string) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.centres[name]
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

// digests returns the digest of every data centre, in order of their names.
func (t *Table) digests() []Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	digests := make([]Digest, 0, len(t.centres))
	for name, c := range t.centres {
		if c.live > 0 {
			digests = append(digests, Digest{
				DC:   name,
				Sum:  c.sum,
				Live: c.live,
			})
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int { return strings.Compare(a.DC, b.DC) })
	return digests
}

// digest returns the digest of one data centre.
func (t *Table) digest(name string) Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	d := Digest{DC: name}
	if c := t.centres[name]; c != nil {
		d.Sum, d.Live = c.sum, c.live
	}
	return d
}

// bucketSums returns the sums of a data centre's buckets.
func (t *Table) bucketSums(name string) []uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	sums := make([]uint64, buckets)
	if c := t.centres[name]; c != nil {
		for i := range c.buckets {
			sums[i] = c.buckets[i].sum
		}
	}
	return sums
}

// inBucket returns the members in one bucket of a data centre.
func (t *Table) inBucket(name string, i int) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.centres[name]
	if c == nil || i < 0 || i >= buckets {
		return nil
	}
	members := make([]Member, 0, len(c.buckets[i].ids))
	for _, id := range c.buckets[i].ids {
		members = append(members, t.members[id])
	}
	return members
}
