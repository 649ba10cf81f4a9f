package tracker

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptTimeout bounds an accept from the backlog of a listener that is closed next.
const acceptTimeout = 100 * time.Millisecond

// deadlineListener is a listener whose Accept can be interrupted, such as
// *net.TCPListener.
type deadlineListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Listener is a listener that can be stopped without resetting the connections in its
// backlog.
type Listener struct {
	net.Listener
	stopped atomic.Bool
}

// Stop makes Accept return the connections that are established, and then close the
// listener. It closes a listener that has no deadline at once.
func (l *Listener) Stop() {
	if l.stopped.Swap(true) {
		return
	}
	if d, ok := l.Listener.(deadlineListener); ok {
		_ = d.SetDeadline(time.Now())
		return
	}
	_ = l.Close()
}

// Accept returns the next connection. After Stop, its error is net.ErrClosed once no
// connection is left.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.stopped.Load() {
		conn, err := l.Listener.Accept()
		if err == nil || !l.stopped.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	d, ok := l.Listener.(deadlineListener)
	for ok && hasBacklog(d) {
		_ = d.SetDeadline(time.Now().Add(acceptTimeout))
		conn, err := d.Accept()
		if err == nil {
			return conn, nil
		}
		// Stop may have set its deadline just now.
		ok = errors.Is(err, os.ErrDeadlineExceeded)
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// hasBacklog reports whether a connection has been established that was not accepted.
// After a deadline, Accept does not look for it.
func hasBacklog(ln deadlineListener) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	if err := raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); err != nil {
		return false
	}
	return n > 0
}
