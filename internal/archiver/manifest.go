package archiver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Keys on the platform. baseKey contains the manifest of the current snapshot,
// and leaseKey exists while an archiver holds the lease.
const (
	baseKey  = "base"
	leaseKey = "lease/archiver"
)

// Parameters of snapshots.
const (
	// EntriesPerSnapshot is the number of log entries between two snapshots.
	EntriesPerSnapshot = 16
	// leaseTTL is the time after which the lease of an archiver expires.
	leaseTTL = 30 * time.Second
	// maxShardBytes is the default maximum size of a shard.
	maxShardBytes = storer.MaxValueBytes - 4<<10
	// bankCount is the number of banks of shard keys.
	bankCount = 2
)

// shardKey returns the key of a shard in a bank.
func shardKey(bank, shard int) string { return fmt.Sprintf("snapshot/%d/%03d", bank, shard) }

// Manifest is the value of the base key. It describes the current snapshot.
type Manifest struct {
	// Revision is the revision of the state; 0 means that there is no snapshot.
	Revision uint64         `json:"rev"`
	Digest   applier.Digest `json:"digest"`
	// Bank is the number of the bank that contains the shards.
	Bank   int     `json:"bank"`
	Shards []Shard `json:"shards,omitempty"`
	// Intents is the number of snapshots that archivers have started to write. Its
	// increment changes the version of the base key before any shard is written.
	Intents uint64 `json:"intents"`
}

// Shard is the size and the SHA-256 checksum, in hexadecimal, of one shard.
type Shard struct {
	Bytes int    `json:"bytes"`
	Sum   string `json:"sum"`
}

// newShard returns the size and checksum of the data of a shard.
func newShard(data []byte) Shard {
	sum := sha256.Sum256(data)
	return Shard{
		Bytes: len(data),
		Sum:   hex.EncodeToString(sum[:]),
	}
}

// newManifest returns the manifest of a state's snapshot in a bank.
func newManifest(state *applier.State, bank int, intents uint64, shards [][]byte) Manifest {
	m := Manifest{
		Revision: state.Revision(),
		Digest:   state.Digest(),
		Bank:     bank,
		Intents:  intents,
	}
	for _, shard := range shards {
		m.Shards = append(m.Shards, newShard(shard))
	}
	return m
}

// withIntent returns a copy that counts one more snapshot as started.
func (m Manifest) withIntent() Manifest {
	m.Intents++
	return m
}

// otherBank returns the number of the bank that the next snapshot overwrites.
func (m Manifest) otherBank() int { return (m.Bank + 1) % bankCount }

func (m Manifest) encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, Class.Wrap(err)
}

// Base is the manifest of the current snapshot with the version of the base key.
type Base struct {
	Manifest
	Version uint64
}

// ReadBase reads the base key. If the key does not exist, Revision and Version
// are 0.
func ReadBase(ctx context.Context, p storer.Platform) (Base, error) {
	item, err := p.Get(ctx, baseKey)
	if err != nil || item.Version == 0 {
		return Base{}, err
	}
	base := Base{Version: item.Version}
	if err := json.Unmarshal(item.Value, &base.Manifest); err != nil {
		return Base{}, Class.Wrap(err)
	}
	return base, nil
}
