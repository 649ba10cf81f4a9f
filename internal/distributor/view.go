package distributor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

const (
	// RelaysPerDC is the number of relays in each data centre.
	RelaysPerDC = 3
	// contactsPerDC is the number of daemons of each data centre that daemons of
	// other data centres call.
	contactsPerDC = 8
)

// Peer is a daemon that this daemon can call.
type Peer struct {
	ID string
	DC string
	// Control is the address for control calls.
	Control string
	hash    uint64
}

// View is the membership in the form that daemons of one data centre use. It is
// immutable.
type View struct {
	dc string
	// local are the daemons of the data centre, sorted by ID.
	local []Peer
	// ranked maps each data centre to its contactsPerDC daemons with the lowest ID
	// hashes, in that order. The first RelaysPerDC of them are the relay
	// candidates.
	ranked map[string][]Peer
	// remoteDCs are the other data centres, sorted by name.
	remoteDCs []string
}

// NewView returns the view of the members for daemons of the data centre dc. It
// leaves out members that are dead or have left.
func NewView(dc string, members []prober.Member) View {
	v := View{
		dc:     dc,
		ranked: map[string][]Peer{},
	}
	for _, m := range members {
		if m.Status >= prober.Dead {
			continue
		}
		p := NewPeer(m)
		v.insertRanked(p)
		if p.DC == dc {
			v.local = append(v.local, p)
		}
	}
	slices.SortFunc(v.local, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for name := range v.ranked {
		if name != dc {
			v.remoteDCs = append(v.remoteDCs, name)
		}
	}
	slices.Sort(v.remoteDCs)
	return v
}

// NewPeer returns the peer of a member.
func NewPeer(m prober.Member) Peer {
	return Peer{
		ID:      m.ID,
		DC:      m.DC,
		Control: m.Control,
		hash:    xxhash.Sum64String(m.ID),
	}
}

// insertRanked inserts the peer into the ranking of its data centre if it is among
// the first contactsPerDC.
func (v View) insertRanked(p Peer) {
	top := v.ranked[p.DC]
	if len(top) == contactsPerDC && byRank(p, top[contactsPerDC-1]) > 0 {
		return
	}
	top = append(top, p)
	slices.SortFunc(top, byRank)
	v.ranked[p.DC] = top[:min(len(top), contactsPerDC)]
}

// byRank compares peers by the hashes of their IDs.
func byRank(a, b Peer) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

// Rank returns the rank of a local daemon among the relay candidates of the data
// centre; ok is false if it is not one of them.
func (v View) Rank(id string) (rank int, ok bool) {
	rank = slices.IndexFunc(v.ranked[v.dc], func(p Peer) bool { return p.ID == id })
	return rank, rank >= 0 && rank < RelaysPerDC
}

// find returns the peer with the given ID among the local daemons and the contacts in
// other data centres.
func (v View) find(id string) (Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.local, id, func(p Peer, id string) int { return cmp.Compare(p.ID, id) })
	if ok {
		return v.local[i], true
	}
	for _, dc := range v.remoteDCs {
		for _, p := range v.ranked[dc] {
			if p.ID == id {
				return p, true
			}
		}
	}
	return Peer{}, false
}

// mix is the finalizer of the SplitMix64 generator, an invertible 64-bit hash.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
