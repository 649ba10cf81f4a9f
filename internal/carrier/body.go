package carrier

import (
	"context"
	"io"
	"time"
)

// overlapBytes is the rest of a body during which the next one is asked for, so that the
// link does not idle until the answer to that.
const overlapBytes = 16 << 10

// bodyKey is the context key of an attempt's body.
type bodyKey struct{}

// body is the body of an attempt. If the sender expects 100 Continue, it sends the
// body only when the server starts to read it. A large body is read only in its
// turn (see bodyLimiter).
type body struct {
	// readAll reads the body. It is nil once the body has been read.
	readAll func() error
	// bodyLimiter limits concurrent reads of large bodies. It is nil for other bodies.
	bodyLimiter *bodyLimiter
	// maxTurn is the longest time for which the body may block other large bodies.
	maxTurn time.Duration
	// release ends the turn. It is nil until the turn begins.
	release func()
}

// readOnce reads the body and ends its turn. Further calls do nothing.
func (b *body) readOnce() error {
	if b.readAll == nil {
		return nil
	}
	defer b.endTurn()
	readAll := b.readAll
	b.readAll = nil
	return readAll()
}

// turnReader reads a body and ends its turn before the last overlapBytes.
type turnReader struct {
	io.Reader
	left    int64
	endTurn func()
}

// Read reads from the body.
func (r *turnReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.left -= int64(n); r.left <= overlapBytes {
		r.endTurn()
	}
	return n, err
}

func (b *body) endTurn() {
	if b.release != nil {
		b.release()
	}
}

// NeedsBodyTurn reports whether the body of the attempt in ctx may be read only
// after AwaitBodyTurn.
func NeedsBodyTurn(ctx context.Context) bool {
	b, ok := ctx.Value(bodyKey{}).(*body)
	return ok && b.bodyLimiter != nil
}

// AwaitBodyTurn waits until the body of the attempt in ctx may be read. It returns
// an error with the verdict NotRun if the turn is not expected within w or if ctx ends.
func AwaitBodyTurn(ctx context.Context, w Wait) error {
	b, ok := ctx.Value(bodyKey{}).(*body)
	if !ok || b.bodyLimiter == nil {
		return nil
	}
	release, err := b.bodyLimiter.acquire(ctx, w, b.maxTurn)
	b.release = release
	return err
}

// ReadBody reads the body of the attempt in ctx, if it has not been read yet, and
// ends its turn.
func ReadBody(ctx context.Context) error {
	b, ok := ctx.Value(bodyKey{}).(*body)
	if !ok {
		return nil
	}
	return b.readOnce()
}
