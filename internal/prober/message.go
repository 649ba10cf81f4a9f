package prober

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

// Kind is the type of a message.
type Kind string

const (
	// Ping is a direct probe. Its answer may carry updates.
	Ping Kind = "ping"
	// PingRequest requests a ping of Subject on behalf of the sender. The receiver
	// sends an IndirectAck if Subject answers.
	PingRequest Kind = "ask"
	// IndirectAck reports that Subject answered a ping sent for a PingRequest.
	IndirectAck Kind = "vouch"
	// Push carries updates, or members that the receiver requested.
	Push Kind = "push"
	// Sync carries digests. Its answer lists the differences.
	Sync Kind = "sync"
	// Compare carries versions. Its answer carries newer members and requests
	// those for which the sender has the newer entry.
	Compare Kind = "compare"
)

// IsProbe reports whether messages of the kind belong to failure detection.
func (k Kind) IsProbe() bool { return k == Ping || k == PingRequest || k == IndirectAck }

// Message is the message that daemons exchange about members and facts. Answers
// have no kind.
type Message struct {
	Kind Kind `json:"kind,omitempty"`
	// From is the sender's ID and DC its data centre.
	From string `json:"from"`
	DC   string `json:"dc"`
	// Subject is the ID of the daemon that a PingRequest or IndirectAck is
	// about, and Address its control address.
	Subject string `json:"subject,omitempty"`
	Address string `json:"address,omitempty"`
	// Members and Facts are updates for the receiver.
	Members []Member        `json:"members,omitempty"`
	Facts   []spreader.Fact `json:"facts,omitempty"`
	// Reachabilities states which other data centres are reachable from the sender's.
	Reachabilities []Reachability `json:"reaches,omitempty"`
	// Digests and FactSum summarise the sender's members and facts.
	Digests []Digest `json:"digests,omitempty"`
	FactSum uint64   `json:"factsum,omitempty"`
	// Differences, in an answer to Sync, lists the data centres whose digests
	// differ.
	Differences []Difference `json:"differ,omitempty"`
	// Buckets are the buckets to compare, and MemberVersions the sender's
	// members in them.
	Buckets        []BucketID      `json:"parts,omitempty"`
	MemberVersions []MemberVersion `json:"versions,omitempty"`
	// Wanted lists the IDs of members that the sender requests.
	Wanted []string `json:"wanted,omitempty"`
	// FactKeys are the keys of the sender's facts, followed by the FactSum of
	// the Sync that it answers. FactsWanted are the keys of facts that the
	// sender requests.
	FactKeys    []uint64 `json:"factkeys,omitempty"`
	FactsWanted []uint64 `json:"factswanted,omitempty"`
	// RetryAfter, in an answer to Sync, is the time after which the receiver may sync
	// with this peer again. Peers lists the control addresses of other peers to
	// sync with until then.
	RetryAfter time.Duration `json:"busy,omitempty"`
	Peers      []string      `json:"peers,omitempty"`
}

// Reachability states whether the sender's data centre can reach data centre DC. It
// is used only inside the sender's data centre. The value with the later At wins.
type Reachability struct {
	DC string    `json:"dc"`
	Up bool      `json:"up"`
	At time.Time `json:"at"`
}

// Digest summarises the members of a data centre: Sum is the exclusive or of
// their hashes, and Live the number that are alive or suspect.
type Digest struct {
	DC   string `json:"dc"`
	Sum  uint64 `json:"sum"`
	Live int    `json:"live"`
}

// Difference names a data centre whose digests differ and holds the sender's
// sum of each of its buckets.
type Difference struct {
	DC   string   `json:"dc"`
	Sums []uint64 `json:"sums"`
}

// BucketID identifies one bucket of a data centre's members.
type BucketID struct {
	DC     string `json:"dc"`
	Bucket int    `json:"bucket"`
}

// MemberVersion identifies the state of a member without its addresses and target.
type MemberVersion struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
	Status      Status `json:"status,omitempty"`
}

// Call is a message to send to the control address To. The caller passes its
// answer to Prober.HandleAnswer together with the Call.
type Call struct {
	To string
	// ID is the ID of the peer. It is empty if only the address is known.
	ID      string
	Message Message
}
