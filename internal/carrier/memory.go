package carrier

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

const (
	// freeBytes is the capacity up to which a buffer is not charged to a Memory, so
	// that long bodies do not make short ones fail.
	freeBytes = 32 << 10
	// firstBytes is the capacity of the first buffer for a body of unknown size.
	firstBytes = 4 << 10
	// maxBodyBytes bounds each body.
	maxBodyBytes = 64 << 20
)

var (
	errTooLong  = errors.New("body too long")
	errNoMemory = errors.New("no memory left for the body")
)

// Memory bounds the memory of all bodies that are read with it. A nil Memory bounds
// only each body on its own.
type Memory struct {
	// Limit is the bound in bytes. Buffers of up to freeBytes are not charged.
	Limit int64
	// Account, if set, is charged for all buffers, the short ones too.
	Account *allocator.Account

	used atomic.Int64
}

// ReadAll reads a body of the stated size, or of unknown size if that is negative.
// Memory is charged as bytes arrive, until the caller calls release. If the body does
// not fit, the error wraps a *forwarder.TooLongError.
func (m *Memory) ReadAll(r io.Reader, size int64) (body []byte, release func(), err error) {
	if size >= m.maxBody() {
		return nil, nil, fmt.Errorf("%w: %w", errTooLong, &forwarder.TooLongError{})
	}
	account := m.open()
	if err := account.Grow(nextCapacity(0, size)); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", err, &forwarder.TooLongError{})
	}
	buffer := make([]byte, 0, nextCapacity(0, size))
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		capacity := int64(cap(buffer))
		if err == nil && len(buffer) < cap(buffer) {
			continue
		}
		if err == nil {
			next := nextCapacity(capacity, size)
			if err = m.charge(capacity, next); err == nil {
				if err = account.Grow(next); err == nil {
					buffer = append(make([]byte, 0, next), buffer...)
					account.Shrink(capacity)
					continue
				}
				_ = m.charge(next, capacity)
			}
			err = fmt.Errorf("%w: %w", err, &forwarder.TooLongError{Read: int64(len(buffer))})
		}
		release := sync.OnceFunc(func() {
			_ = m.charge(capacity, 0)
			account.Release()
		})
		if err != io.EOF {
			release()
			return nil, nil, err
		}
		return buffer, release, nil
	}
}

// open returns a holding for one body. Without an account, it is one without a bound.
func (m *Memory) open() *allocator.Holding {
	if m == nil || m.Account == nil {
		return unbounded.Open(allocator.Responses, nil)
	}
	return m.Account.Open(allocator.Responses, nil)
}

// unbounded is the account of bodies without one.
var unbounded = allocator.Account{Limit: math.MaxInt64 / 2}

// ReadBody reads the body of a response like ReadAll.
func (m *Memory) ReadBody(resp *http.Response) (body []byte, release func(), err error) {
	size := resp.ContentLength
	if resp.Body == http.NoBody {
		size = 0
	}
	return m.ReadAll(resp.Body, size)
}

// nextCapacity returns the capacity of the buffer that follows one of the given
// capacity. A body of known size gets one byte more, so that its end is read without
// a further buffer.
func nextCapacity(capacity, size int64) int64 {
	next := 2 * capacity
	switch {
	case capacity == 0 && size < 0:
		next = firstBytes
	case capacity == 0:
		next = freeBytes
	}
	if size >= capacity {
		next = min(next, size+1)
	}
	return next
}

func (m *Memory) maxBody() int64 {
	if m == nil {
		return maxBodyBytes
	}
	return min(m.Limit, maxBodyBytes)
}

// charge replaces the charge for one capacity by that for another.
func (m *Memory) charge(from, to int64) error {
	if to > max(freeBytes, m.maxBody()) {
		return errTooLong
	}
	if m == nil {
		return nil
	}
	delta := charged(to) - charged(from)
	if m.used.Add(delta) > m.Limit && delta > 0 {
		m.used.Add(-delta)
		return errNoMemory
	}
	return nil
}

func charged(capacity int64) int64 {
	if capacity <= freeBytes {
		return 0
	}
	return capacity
}
