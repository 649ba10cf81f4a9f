package allocator

import (
	"bytes"
	"errors"
	"io"
)

// Body is a body in segments, so that it grows without a copy.
type Body [][]byte

// Sizes of segments, in bytes.
const (
	firstSegment = 4 << 10
	maxSegment   = 64 << 10
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("body exceeds the size limit")

// Len returns the size of the body in bytes.
func (b Body) Len() int {
	n := 0
	for _, s := range b {
		n += len(s)
	}
	return n
}

// Reader returns a reader of the body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, s := range b {
		readers[i] = bytes.NewReader(s)
	}
	return io.MultiReader(readers...)
}

// String returns the body.
func (b Body) String() string { return string(bytes.Join(b, nil)) }

// ReadBody reads a body of at most limit bytes. size is its length, or negative if that is
// unknown. The holding grows by each segment before it is read. received is called with
// the size of each part that has arrived.
func (h *Holding) ReadBody(r io.Reader, size, limit int64, received func(bytes int)) (Body, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	var body Body
	var total int64
	next := int64(firstSegment)
	var probe [1]byte
	for {
		// A byte read before the next segment shows whether there is one.
		n, err := io.ReadFull(r, probe[:])
		if n == 0 {
			if err == io.EOF {
				return body, nil
			}
			return nil, err
		}
		if total >= limit {
			return nil, ErrTooLarge
		}
		capacity := next
		if size >= 0 {
			capacity = max(1, min(capacity, size-total))
		}
		if err := h.Grow(capacity); err != nil {
			return nil, err
		}
		segment := append(make([]byte, 0, capacity), probe[0])
		received(1)
		for len(segment) < cap(segment) {
			n, err := r.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			received(n)
			if total+int64(len(segment)) > limit {
				return nil, ErrTooLarge
			}
			if err == io.EOF {
				return append(body, segment), nil
			}
			if err != nil {
				return nil, err
			}
		}
		body = append(body, segment)
		total += int64(len(segment))
		next = min(2*next, maxSegment)
	}
}
