package archiver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// record is one item of a snapshot. Exactly one field is set.
type record struct {
	Service *parser.Service     `json:"service,omitempty"`
	Move    *applier.MoveStatus `json:"move,omitempty"`
	Zone    *applier.Zone       `json:"zone,omitempty"`
	Homes   *applier.Homes      `json:"homes,omitempty"`
}

// records returns the items of a snapshot.
func records(snap applier.Snapshot) []record {
	var rs []record
	for i := range snap.Services {
		rs = append(rs, record{Service: &snap.Services[i]})
	}
	for i := range snap.Moves {
		rs = append(rs, record{Move: &snap.Moves[i]})
	}
	for i := range snap.Zones {
		rs = append(rs, record{Zone: &snap.Zones[i]})
	}
	if snap.Homes != nil {
		rs = append(rs, record{Homes: snap.Homes})
	}
	return rs
}

// encode returns the encoded shards of the snapshot of a state.
func (a *Archiver) encode(state *applier.State) ([][]byte, error) {
	limit := a.ShardBytes
	if limit == 0 {
		limit = maxShardBytes
	}
	return encodeShards(records(state.Snapshot()), limit)
}

// encodeShards encodes the records as one compressed shard. If that exceeds the
// limit, it splits the records in half and encodes each half.
func encodeShards(rs []record, limit int) ([][]byte, error) {
	var plain bytes.Buffer
	encoder := json.NewEncoder(&plain)
	for _, r := range rs {
		if err := encoder.Encode(r); err != nil {
			return nil, Class.Wrap(err)
		}
	}
	compressed := applier.Compress(plain.Bytes())
	if len(compressed) <= limit {
		return [][]byte{compressed}, nil
	}
	if len(rs) == 1 {
		return nil, Class.New("one item takes %d bytes, over the limit of %d", len(compressed), limit)
	}
	left, err := encodeShards(rs[:len(rs)/2], limit)
	if err != nil {
		return nil, err
	}
	right, err := encodeShards(rs[len(rs)/2:], limit)
	return append(left, right...), err
}

// maxLoadAttempts is the maximum number of attempts of Load to read a snapshot
// that archivers overwrite at the same time.
const maxLoadAttempts = 5

// Load returns the state of the current snapshot. ok is false if the snapshot is
// not newer than knownRevision. If a shard does not match its checksum,
// because newer snapshots overwrite it during the read, Load starts again, up to
// maxLoadAttempts times.
func Load(ctx context.Context, p storer.Platform, knownRevision uint64) (state *applier.State, ok bool, err error) {
	for range maxLoadAttempts {
		base, readErr := ReadBase(ctx, p)
		if readErr != nil || base.Revision <= knownRevision {
			return nil, false, readErr
		}
		state, err = restore(ctx, p, base.Manifest)
		if !errors.Is(err, ErrCorrupt) {
			return state, err == nil, err
		}
	}
	return nil, false, err
}

// restore reads the shards of a manifest and returns their state.
func restore(ctx context.Context, p storer.Platform, m Manifest) (*applier.State, error) {
	snap := applier.Snapshot{
		Revision: m.Revision,
		Digest:   m.Digest,
	}
	for i, want := range m.Shards {
		item, err := p.Get(ctx, shardKey(m.Bank, i))
		if err != nil {
			return nil, err
		}
		if newShard(item.Value) != want {
			return nil, Class.New("%w: shard %d of revision %d", ErrCorrupt, i, m.Revision)
		}
		if err := readShard(item.Value, &snap); err != nil {
			return nil, err
		}
	}
	return applier.Restore(snap)
}

// readShard decodes a shard and adds its records to a snapshot.
func readShard(compressed []byte, snap *applier.Snapshot) error {
	plain, err := applier.Decompress(compressed)
	if err != nil {
		return Class.Wrap(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	for {
		var r record
		if err := decoder.Decode(&r); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return Class.Wrap(err)
		}
		if r.Service != nil {
			snap.Services = append(snap.Services, *r.Service)
		}
		if r.Move != nil {
			snap.Moves = append(snap.Moves, *r.Move)
		}
		if r.Homes != nil {
			snap.Homes = r.Homes
		}
		if r.Zone != nil {
			snap.Zones = append(snap.Zones, *r.Zone)
		}
	}
}
