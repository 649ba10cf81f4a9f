// Package compressor compresses data that daemons send to each other, with zstd.
//
// All callers of Append share one encoder with a small window and small tables, because an
// encoder keeps the memory that the largest data has needed.
package compressor

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("compressor")

const (
	// windowBytes is the distance over which repetitions are found.
	windowBytes = 64 << 10
	// maxWindowBytes bounds the window of data that is compressed with a dictionary, so
	// that any decoder accepts it.
	maxWindowBytes = 8 << 20
	// dictionaryID is the ID of the dictionary in a frame.
	dictionaryID = 1
)

// encoder is safe for concurrent use. The error is ignored because the options are always
// valid.
var encoder, _ = zstd.NewWriter(nil,
	zstd.WithEncoderConcurrency(1),
	zstd.WithEncoderLevel(zstd.SpeedFastest),
	zstd.WithLowerEncoderMem(true),
	zstd.WithWindowSize(windowBytes))

// Append appends the compressed form of data to b and returns the result.
func Append(b, data []byte) []byte { return encoder.EncodeAll(data, b) }

// CompressSince compresses data as its differences from a dictionary. DecompressSince
// needs the same dictionary.
func CompressSince(dictionary, data []byte) ([]byte, error) {
	window := min(max(1<<bits.Len(uint(len(dictionary)+len(data))), zstd.MinWindowSize), maxWindowBytes)
	// The fastest level finds too few matches in a dictionary.
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window),
		zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return e.EncodeAll(data, nil), Class.Wrap(e.Close())
}

// Decompressor decompresses data of limited size. It is safe for concurrent use.
type Decompressor struct {
	decoder  *zstd.Decoder
	maxBytes uint64
}

// NewDecompressor returns a Decompressor that fails if data decompresses to more than
// maxBytes.
func NewDecompressor(maxBytes uint64) *Decompressor {
	decoder, _ := zstd.NewReader(nil, decoderOptions(maxBytes)...) // the options are always valid
	return &Decompressor{
		decoder:  decoder,
		maxBytes: maxBytes,
	}
}

func decoderOptions(maxBytes uint64, more ...zstd.DOption) []zstd.DOption {
	return append([]zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxBytes),
	}, more...)
}

// Decompress returns the data that Append has compressed.
func (d *Decompressor) Decompress(compressed []byte) ([]byte, error) {
	data, err := d.decoder.DecodeAll(compressed, nil)
	return data, Class.Wrap(err)
}

// DecompressSince returns the data that CompressSince has compressed. It fails with any
// other dictionary, because the checksum covers the dictionary's content too.
func (d *Decompressor) DecompressSince(dictionary, compressed []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, decoderOptions(d.maxBytes, zstd.WithDecoderDictRaw(dictionaryID, dictionary))...)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(compressed, nil)
	return data, Class.Wrap(err)
}
