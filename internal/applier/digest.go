package applier

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Digest identifies the contents of a state. It is the exclusive or of the truncated
// SHA-256 sums of all items, so that the cost of an update depends on the size of
// the change and not on that of the state.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return Class.New("digest of %d characters, not %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return Class.Wrap(err)
}

// toggled returns the digest with the item added, or removed if it is included
// already.
func (d Digest) toggled(kind, name string, item any) Digest {
	data, err := json.Marshal(item)
	if err != nil {
		panic(fmt.Sprintf("applier: item %s/%s cannot be encoded: %v", kind, name, err))
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%s", kind, name, data))
	for i := range d {
		d[i] ^= sum[i]
	}
	return d
}
