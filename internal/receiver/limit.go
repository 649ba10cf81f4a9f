package receiver

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

// errorResponse returns the response to a request that is not handled.
func errorResponse(status int) *Response {
	h := http.Header{}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'g', -1, 64))
	}
	return &Response{Status: status, Header: h}
}

// retryAfter is the Retry-After value of the response when there is no buffer memory
// for a body or the server has stopped. Bodies stay in memory for about this time.
const retryAfter = 200 * time.Millisecond

// unlimited is the value of limitedReader.remaining that means no limit.
const unlimited = int(^uint(0) >> 1)

// errRevoked means that the memory of a request was given to others.
var errRevoked = Class.New("no memory for a request that does not arrive")

var errHeaderTooLarge = Class.New("header exceeds the size limit")

// limitedReader returns errHeaderTooLarge once remaining bytes have been read.
type limitedReader struct {
	conn      net.Conn
	remaining int
	// strictDeadline means that a read after the deadline fails also if data has
	// arrived.
	strictDeadline bool
	// err is the error of the last read.
	err error
	// header accounts for the header that is being read, or is nil.
	header *allocator.Holding
	// revoked is set when the memory of the request that is being read was given to
	// others.
	revoked atomic.Bool
	// lastRead is the Unix time of the last read that returned data, in
	// nanoseconds.
	lastRead atomic.Int64
}

// Read reads up to the remaining number of bytes.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.err = errHeaderTooLarge
		return 0, l.err
	}
	if l.revoked.Load() {
		l.err = errRevoked
		return 0, l.err
	}
	read := forwarder.Read
	if l.strictDeadline {
		read = net.Conn.Read
	}
	n, err := read(l.conn, p[:min(len(p), l.remaining)])
	l.remaining -= n
	if n > 0 && l.header != nil {
		if growErr := l.header.Grow(headerFactor * int64(n)); growErr != nil {
			n, err = 0, growErr
		}
	}
	l.err = err
	if n > 0 {
		l.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// isTemporary reports whether a listener can continue after an error.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
