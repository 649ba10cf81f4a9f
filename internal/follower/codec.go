package follower

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Class is the class of the errors of this package.
var Class = errs.Class("follower")

// maxCopyBytes bounds a copy that another daemon sends, unpacked: some records of
// the store's largest size.
const maxCopyBytes = 8 << 20

// The packer and its inverse; both are safe for concurrent use. Neither can fail
// to be made with these options.
var (
	packer, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	unpacker, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxCopyBytes))
)

// Packed is a copy as daemons send it to each other.
type Packed struct {
	Revision uint64 `json:"revision"`
	// Data is the compressed items; it is empty where there is nothing newer.
	Data []byte `json:"data,omitempty"`
}

// Pack returns the copy as it is sent.
func (c Copy) Pack() (Packed, error) {
	data, err := json.Marshal(c.Items)
	if err != nil {
		return Packed{}, Class.Wrap(err)
	}
	return Packed{
		Revision: c.Revision,
		Data:     packer.EncodeAll(data, nil),
	}, nil
}

// Unpack returns the copy that was packed.
func (p Packed) Unpack() (Copy, error) {
	data, err := unpacker.DecodeAll(p.Data, nil)
	if err != nil {
		return Copy{}, Class.Wrap(err)
	}
	c := Copy{Revision: p.Revision}
	if err := json.Unmarshal(data, &c.Items); err != nil {
		return Copy{}, Class.Wrap(err)
	}
	return c, nil
}
