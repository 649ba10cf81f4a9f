package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

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
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	_, err := Peek(conn, make([]byte, 1))
	return err != nil
}

// Peek copies data that has arrived on a connection to p without waiting and without
// taking it from the connection. It returns 0 if there is none, and an error if the
// peer has closed the connection. It ignores the connection's deadline.
func Peek(conn net.Conn, p []byte) (int, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); err != nil {
		return 0, err
	}
	switch {
	case peekErr == unix.EAGAIN, peekErr == unix.EINTR:
		return 0, nil
	case peekErr != nil:
		return 0, peekErr
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

// Read reads from a connection. If the connection's read deadline has passed, it returns
// data that has arrived by then, which the connection's own Read does not look for.
func Read(conn net.Conn, p []byte) (int, error) {
	n, err := conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if arrived, _ := Peek(conn, make([]byte, 1)); arrived == 0 {
		return n, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	n, err = conn.Read(p)
	_ = conn.SetReadDeadline(time.Now())
	return n, err
}
