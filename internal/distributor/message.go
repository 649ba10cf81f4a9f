// Package distributor distributes the configuration log from the platform to every
// daemon. Relays read new log entries from the platform, a dissemination tree in
// each data centre forwards them, and anti-entropy repairs losses.
//
// The package has no sockets, files or timers. A Node processes messages and returns
// the calls to make; the caller makes the calls and reports their results.
package distributor

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

// Class is the error class of this package.
var Class = errs.Class("distributor")

// Head describes the configuration that a daemon has.
type Head struct {
	Revision uint64         `json:"rev"`
	Digest   applier.Digest `json:"digest"`
	// Ready means that the daemon serves requests with this configuration.
	Ready bool `json:"ready,omitempty"`
}

// Message is the body of a call between daemons and of its answer. If Push, Fetch
// and FetchReply are nil, it only exchanges heads.
type Message struct {
	// From is the ID of the sender's VM.
	From       string      `json:"from"`
	Head       Head        `json:"head"`
	Push       *Push       `json:"push,omitempty"`
	Fetch      *Fetch      `json:"fetch,omitempty"`
	FetchReply *FetchReply `json:"supply,omitempty"`
}

// Push carries log entries down the tree. The receiver forwards them to the members
// of its data centre whose positions for the revision lie in Span.
type Push struct {
	// Revision is that of the last entry.
	Revision uint64 `json:"rev"`
	Span     Span   `json:"span"`
	// Batch is empty if the entries exceed the size limit of a push; the receiver
	// then fetches them.
	Batch Batch `json:"batch,omitzero"`
}

// Fetch requests the entries that follow a revision.
type Fetch struct {
	After uint64 `json:"after"`
}

// FetchReply is the reply to a Fetch. It contains a snapshot if the sender no longer
// keeps all entries that were requested, and the entries that follow the snapshot or
// the requested revision.
type FetchReply struct {
	// Snapshot is an applier.Snapshot as zstd-compressed JSON.
	Snapshot []byte `json:"snapshot,omitempty"`
	Batch    Batch  `json:"batch,omitzero"`
	// Refused means that the reply would exceed the sender's rate limit.
	Refused bool `json:"refused,omitempty"`
}

// Batch is a sequence of consecutive log entries: plain in Entries if small,
// otherwise compressed in Packed.
type Batch struct {
	Entries []json.RawMessage `json:"entries,omitempty"`
	// Packed is a zstd-compressed JSON array of entries.
	Packed []byte `json:"packed,omitempty"`
}

// Call is a message that the caller of a Node must send to a peer.
type Call struct {
	To      Peer
	Message Message
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// retried means that the call is the second attempt of a push.
	retried bool
}
