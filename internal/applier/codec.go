package applier

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Sizes of encoded values.
const (
	// maxPlainBytes is the size up to which an entry is stored as plain JSON, which
	// operators can read without a tool.
	maxPlainBytes = 16 << 10
	// maxUnpackedBytes bounds the decompressed size of a value.
	maxUnpackedBytes = 64 << 20
)

// zstdMagic starts every compressed value; no JSON document starts with it.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err)
	}
	return d
})

// Compress compresses data with zstd.
func Compress(data []byte) []byte { return encoder().EncodeAll(data, nil) }

// Decompress decompresses data that Compress returned. Data that does not start with
// zstdMagic is returned unchanged.
func Decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, zstdMagic) {
		return data, nil
	}
	plain, err := decoder().DecodeAll(data, nil)
	return plain, Class.Wrap(err)
}

// Encode returns the entry in the form in which it is stored: JSON, compressed if it
// is longer than 16 KiB.
func (e Entry) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(data) > maxPlainBytes {
		return Compress(data), nil
	}
	return data, nil
}

// DecodeEntry decodes an entry that Encode returned.
func DecodeEntry(data []byte) (Entry, error) {
	plain, err := Decompress(data)
	if err != nil {
		return Entry{}, err
	}
	var e Entry
	if err := json.Unmarshal(plain, &e); err != nil {
		return Entry{}, Class.Wrap(err)
	}
	return e, nil
}

// normalised returns the change after a round trip through JSON, as a reader of the
// log decodes it, so that writer and reader compute the same digest.
func (c Change) normalised() (Change, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return Change{}, Class.Wrap(err)
	}
	var normalised Change
	return normalised, Class.Wrap(json.Unmarshal(data, &normalised))
}
