package follower

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("follower")

// maxCopyBytes bounds the decompressed size of a copy received from another daemon.
// It leaves room for several records of the largest size that the platform stores.
const maxCopyBytes = 8 << 20

// encoder and decoder are safe for concurrent use. Their errors are ignored because
// these options are always valid.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxCopyBytes))
)

// PackedCopy is a Copy in compressed form, as daemons send it to each other.
type PackedCopy struct {
	Revision uint64 `json:"revision"`
	// Data is the zstd-compressed JSON array of the items. It is empty if the sender
	// has nothing newer.
	Data []byte `json:"data,omitempty"`
}

// Pack compresses the copy for sending to another daemon.
func (c Copy) Pack() (PackedCopy, error) {
	data, err := json.Marshal(c.Items)
	if err != nil {
		return PackedCopy{}, Class.Wrap(err)
	}
	return PackedCopy{
		Revision: c.Revision,
		Data:     encoder.EncodeAll(data, nil),
	}, nil
}

// Unpack decompresses and decodes the copy. It fails if the data is damaged or
// decompresses to more than 8 MiB.
func (p PackedCopy) Unpack() (Copy, error) {
	data, err := decoder.DecodeAll(p.Data, nil)
	if err != nil {
		return Copy{}, Class.Wrap(err)
	}
	c := Copy{Revision: p.Revision}
	if err := json.Unmarshal(data, &c.Items); err != nil {
		return Copy{}, Class.Wrap(err)
	}
	return c, nil
}
