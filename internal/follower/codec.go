package follower

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/internal/compressor"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// Class is the error class of this package.
var Class = errs.Class("follower")

// maxCopyBytes bounds the decompressed size of a copy received from another daemon.
// It leaves room for several records of the largest size that the platform stores.
const maxCopyBytes = 8 << 20

var decompressor = compressor.NewDecompressor(maxCopyBytes)

// Encodings of the items of a PackedCopy.
const (
	// jsonEncoding is a JSON array. It is the only one that daemons of older versions
	// understand.
	jsonEncoding = iota
	// binaryEncoding is the concatenation of the items, with lengths as uvarints.
	binaryEncoding
)

// PackedCopy is a Copy in compressed form, as daemons send it to each other.
type PackedCopy struct {
	Mark
	// Encoding is the encoding of the items.
	Encoding int `json:"encoding,omitempty"`
	// Base is the digest of the copy whose encoded items are the dictionary of Data;
	// it is empty if there is no dictionary.
	Base string `json:"base,omitempty"`
	// Data holds the encoded items, compressed with zstd. It is empty if the sender
	// has nothing newer.
	Data []byte `json:"data,omitempty"`
	// Losses holds the losses as JSON, compressed with zstd. It is empty if there are none.
	Losses []byte `json:"losses,omitempty"`
}

// Size returns the size of the items and the losses in compressed form, in bytes.
func (p PackedCopy) Size() int64 { return int64(len(p.Data) + len(p.Losses)) }

// Digest identifies the items of the copy by their era, keys and versions.
func (c Copy) Digest() string {
	var b []byte
	if c.Era > 0 {
		b = binary.AppendUvarint(b, c.Era)
	}
	for _, i := range c.Items {
		b = appendBytes(b, []byte(i.Key))
		b = binary.AppendUvarint(b, i.Version)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// Pack compresses the copy as JSON, for a daemon of any version.
func (c Copy) Pack() (PackedCopy, error) {
	data, err := json.Marshal(c.Items)
	if err != nil {
		return PackedCopy{}, Class.Wrap(err)
	}
	return PackedCopy{
		Mark: c.Mark(),
		Data: compressor.Append(nil, data),
	}.WithLosses(c.Lost)
}

// WithLosses returns the packed copy with other losses of the same mark.
func (p PackedCopy) WithLosses(l Losses) (PackedCopy, error) {
	p.Losses = nil
	if l.isZero() {
		return p, nil
	}
	data, err := json.Marshal(l)
	if err != nil {
		return PackedCopy{}, Class.Wrap(err)
	}
	p.Losses = compressor.Append(nil, data)
	return p, nil
}

// PackSince compresses the copy for a daemon that has base, which may be empty. What
// they have in common takes next to no space.
func (c Copy) PackSince(base Copy) (PackedCopy, error) {
	p := PackedCopy{
		Mark:     c.Mark(),
		Encoding: binaryEncoding,
	}
	if len(base.Items) == 0 {
		p.Data = compressor.Append(nil, c.encode())
		return p.WithLosses(c.Lost)
	}
	data, err := compressor.CompressSince(base.encode(), c.encode())
	if err != nil {
		return PackedCopy{}, Class.Wrap(err)
	}
	p.Base, p.Data = base.Digest(), data
	return p.WithLosses(c.Lost)
}

// Unpack decompresses and decodes a copy that has no base. It fails if the data is
// damaged or decompresses to more than 8 MiB.
func (p PackedCopy) Unpack() (Copy, error) {
	return p.UnpackSince(Copy{})
}

// UnpackSince is like Unpack. base must be the copy with the digest p.Base, if that is
// set; with any other, UnpackSince fails. Its facts must have the values that were left out of the
// losses.
func (p PackedCopy) UnpackSince(base Copy) (Copy, error) {
	c := Copy{
		Era:      p.Era,
		Revision: p.Revision,
	}
	lost, err := p.unpackLosses(base)
	if err != nil {
		return Copy{}, Class.Wrap(err)
	}
	c.Lost = lost
	data, err := p.decompress(base)
	if err != nil {
		return Copy{}, Class.Wrap(err)
	}
	switch p.Encoding {
	case jsonEncoding:
		err = Class.Wrap(json.Unmarshal(data, &c.Items))
	case binaryEncoding:
		c.Items, err = decodeItems(data)
	default:
		err = Class.New("unknown encoding %d of records", p.Encoding)
	}
	if err != nil {
		return Copy{}, err
	}
	return c, nil
}

// unpackLosses decodes the losses, if any, for a daemon that has base.
func (p PackedCopy) unpackLosses(base Copy) (l Losses, err error) {
	if len(p.Losses) == 0 {
		return Losses{}, nil
	}
	data, err := decompressor.Decompress(p.Losses)
	if err != nil {
		return Losses{}, err
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return Losses{}, err
	}
	return l.fill(base.Facts())
}

// decompress returns the encoded items.
func (p PackedCopy) decompress(base Copy) ([]byte, error) {
	if p.Base == "" {
		return decompressor.Decompress(p.Data)
	}
	if known := base.Digest(); known != p.Base {
		return nil, Class.New("packed against the copy %s, not %s", p.Base, known)
	}
	return decompressor.DecompressSince(base.encode(), p.Data)
}

// size returns the approximate memory of the items, in bytes.
func (c Copy) size() int {
	n := 0
	for _, i := range c.Items {
		n += len(i.Key) + len(i.Value)
	}
	return n
}

// encode returns the binary encoding of the items.
func (c Copy) encode() []byte {
	b := make([]byte, 0, c.size()+3*binary.MaxVarintLen64*len(c.Items))
	for _, i := range c.Items {
		b = appendBytes(b, []byte(i.Key))
		b = binary.AppendUvarint(b, i.Version)
		b = appendBytes(b, i.Value)
	}
	return b
}

// decodeItems decodes the binary encoding of items.
func decodeItems(b []byte) ([]storer.Item, error) {
	var items []storer.Item
	for len(b) > 0 {
		key, rest, ok := cutBytes(b)
		if !ok {
			return nil, Class.New("truncated key")
		}
		version, n := binary.Uvarint(rest)
		if n <= 0 {
			return nil, Class.New("truncated version of %q", key)
		}
		value, rest, ok := cutBytes(rest[n:])
		if !ok {
			return nil, Class.New("truncated value of %q", key)
		}
		b = rest
		items = append(items, storer.Item{
			Key:     string(key),
			Value:   value,
			Version: version,
		})
	}
	return items, nil
}

// appendBytes appends the length of s and s to b.
func appendBytes(b, s []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// cutBytes returns the bytes that appendBytes wrote at the start of b, and the rest.
func cutBytes(b []byte) (s, rest []byte, ok bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return nil, nil, false
	}
	b = b[n:]
	return b[:size:size], b[size:], true
}
