package forwarder

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// WithConn returns a context that names the connection that a request came on.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// HungUp reports whether the sender of a request has gone: its context has
// ended, or it has closed the connection that WithConn named. A process that was
// stopped for a while finds the request and the close together, and its reader
// comes to the close only after the request was passed on.
func HungUp(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return closed || err != nil
}
