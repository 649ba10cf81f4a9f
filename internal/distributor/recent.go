package distributor

import (
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

// Limits of what is kept and sent. maxRecent is in entries, the others are in bytes.
const (
	maxRecent      = 1024
	maxRecentBytes = 1 << 20
	// maxPlainBytes is the size up to which a batch is sent uncompressed.
	maxPlainBytes = 4 << 10
	// maxPushBytes is the size up to which a push includes its entries.
	maxPushBytes = 64 << 10
	// maxBatchBytes bounds the entries of one reply or push before compression.
	maxBatchBytes = 256 << 10
	// maxUnpackedBytes bounds the decompressed size of a received batch or snapshot.
	maxUnpackedBytes = 16 << 20
)

// recentLog keeps the last log entries, JSON-encoded, for peers that are behind.
type recentLog struct {
	// last is the revision of the last entry.
	last    uint64
	entries []json.RawMessage
	bytes   int
}

// add appends the entry of a revision. If the revision does not follow the last one,
// the entries kept so far are dropped.
func (r *recentLog) add(revision uint64, data json.RawMessage) {
	if revision != r.last+1 {
		r.reset(revision - 1)
	}
	r.last = revision
	r.entries = append(r.entries, data)
	r.bytes += len(data)
	for len(r.entries) > maxRecent || (r.bytes > maxRecentBytes && len(r.entries) > 1) {
		r.bytes -= len(r.entries[0])
		r.entries = r.entries[1:]
	}
}

// reset drops all entries; the next entry is the one after revision.
func (r *recentLog) reset(revision uint64) {
	r.last, r.entries, r.bytes = revision, nil, 0
}

// after returns the entries after revision: none if it is the last, otherwise at
// least one and more up to limit bytes. It returns ok false if they are no longer
// kept, or if revision is newer than the last.
func (r *recentLog) after(revision uint64, limit int) (entries []json.RawMessage, ok bool) {
	if revision >= r.last {
		return nil, revision == r.last
	}
	missing := r.last - revision
	if missing > uint64(len(r.entries)) {
		return nil, false
	}
	entries = r.entries[len(r.entries)-int(missing):]
	size := 0
	for i, e := range entries {
		size += len(e)
		if i > 0 && size > limit {
			return entries[:i], true
		}
	}
	return entries, true
}

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err)
	}
	return d
})

// pack returns a batch of the entries, compressed if they exceed maxPlainBytes.
func pack(entries []json.RawMessage) Batch {
	if size(entries) <= maxPlainBytes {
		return Batch{Entries: entries}
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return Batch{}
	}
	return Batch{Packed: encoder().EncodeAll(data, nil)}
}

func size(entries []json.RawMessage) int {
	total := 0
	for _, e := range entries {
		total += len(e)
	}
	return total
}

// size returns the approximate size of the batch in an encoded message, in bytes.
func (b Batch) size() int { return size(b.Entries) + base64Size(b.Packed) }

// base64Size returns the size of data in base64, the encoding of byte slices in
// JSON.
func base64Size(data []byte) int { return (len(data) + 2) / 3 * 4 }

// unpack returns the entries of a batch, decompressed if necessary.
func (b Batch) unpack() ([]json.RawMessage, error) {
	if len(b.Packed) == 0 {
		return b.Entries, nil
	}
	data, err := decoder().DecodeAll(b.Packed, nil)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	var entries []json.RawMessage
	return entries, Class.Wrap(json.Unmarshal(data, &entries))
}

// packedSnapshot is a state as a compressed applier.Snapshot.
type packedSnapshot struct {
	revision uint64
	data     []byte
}

func packSnapshot(s *applier.State) (packedSnapshot, error) {
	data, err := json.Marshal(s.Snapshot())
	if err != nil {
		return packedSnapshot{}, Class.Wrap(err)
	}
	return packedSnapshot{
		revision: s.Revision(),
		data:     encoder().EncodeAll(data, nil),
	}, nil
}

func unpackSnapshot(data []byte) (applier.Snapshot, error) {
	var s applier.Snapshot
	raw, err := decoder().DecodeAll(data, nil)
	if err != nil {
		return s, Class.Wrap(err)
	}
	return s, Class.Wrap(json.Unmarshal(raw, &s))
}
