package receiver

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deadlineListener is a listener whose Accept can be interrupted, such as
// *net.TCPListener.
type deadlineListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// interruptAccept ends Accept. It closes a listener that has no deadline.
func interruptAccept(ln net.Listener) {
	if d, ok := ln.(deadlineListener); ok {
		_ = d.SetDeadline(time.Now())
		return
	}
	_ = ln.Close()
}

// hasBacklog reports whether a connection has been established that was not accepted.
// After a deadline, Accept does not look for it.
func hasBacklog(ln net.Listener) bool {
	d, ok := ln.(deadlineListener)
	if !ok {
		return false
	}
	raw, err := d.SyscallConn()
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
