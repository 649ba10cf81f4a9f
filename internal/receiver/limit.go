package receiver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// refusal is the response to a request that could not be read.
func refusal(status int) *Response {
	h := http.Header{}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(refusalPause.Seconds(), 'g', -1, 64))
	}
	return &Response{Status: status, Header: h}
}

// refusalPause is what a client is asked to wait when there was no memory for
// its body; bodies are held for about as long.
const refusalPause = 200 * time.Millisecond

// unlimited lets a limitedReader read on.
const unlimited = int(^uint(0) >> 1)

var errHeader = Class.New("header longer than its limit")

// limitedReader fails once it has read a number of bytes.
type limitedReader struct {
	io.Reader
	left int
}

// Read reads from the connection.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeader
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// temporary reports whether a listener can go on after an error.
func temporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
