package forwarder

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// WithConn returns a context that holds the connection on which a request
// arrived.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ClientGone reports whether the client of a request has disconnected: the
// context is done, or the client closed the connection from WithConn. The
// context alone is not enough. After the process was suspended, the request and
// the close may be pending together, and the server cancels the context only
// after the request was forwarded.
func ClientGone(ctx context.Context) bool {
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
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return closed || err != nil
}
