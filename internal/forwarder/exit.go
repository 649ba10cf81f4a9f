package forwarder

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// exitDialTimeout bounds one connection attempt of an exit check. The target is
	// on the same VM.
	exitDialTimeout = 100 * time.Millisecond
	// minExitDelay and maxExitDelay bound the delay before the next connection
	// attempt.
	minExitDelay = time.Millisecond
	maxExitDelay = 100 * time.Millisecond
)

// ExitCheck finds out whether the process that listened at an address has exited.
// An accepted connection does not show that it runs: the kernel accepts it, and a
// process that exits may close its connections before its listening socket. When that
// is closed, the kernel resets the accepted connection.
type ExitCheck struct {
	// Address is the process's IP:port.
	Address string
	// Ping is set if the process may be sent "OPTIONS *". Its response shows that
	// it runs.
	Ping bool
}

// Exited reports whether the process has exited: a connection is refused. It
// connects until that is known, or until the process responds. It returns the
// context's error if neither happens before ctx ends.
func (c ExitCheck) Exited(ctx context.Context) (bool, error) {
	for delay := minExitDelay; ; delay = min(2*delay, maxExitDelay) {
		responded, err := c.connect(ctx)
		switch {
		case responded:
			return false, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return true, nil
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false, ctx.Err()
		}
	}
}

// connect opens a connection and waits until the process responds or the connection
// is closed. It reports whether the process has responded.
func (c ExitCheck) connect(ctx context.Context) (responded bool, err error) {
	dialer := net.Dialer{Timeout: exitDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if c.Ping {
		ping := "OPTIONS * HTTP/1.1\r\nHost: " + c.Address + "\r\nConnection: close\r\n\r\n"
		if _, err := conn.Write([]byte(ping)); err != nil {
			return false, err
		}
	}
	n, err := conn.Read(make([]byte, 1))
	return n > 0, err
}
