package soaker

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// addressTimeout limits the wait for an address in use, and
	// addressRetryInterval is the time between two attempts to listen. A child
	// process executes its program within milliseconds of its fork, and within
	// some hundred milliseconds on a busy machine.
	addressTimeout       = 2 * time.Second
	addressRetryInterval = 5 * time.Millisecond
)

// listen listens on a TCP address that another process may hold for a short time.
func listen(address string) (net.Listener, error) {
	var ln net.Listener
	err := retryWhileInUse(func() (err error) {
		ln, err = net.Listen("tcp", address)
		return err
	})
	return ln, err
}

// retryWhileInUse calls bind until it succeeds, fails with an error other than
// EADDRINUSE, or addressTimeout has passed. A child process inherits the sockets
// of this process and keeps them open until it executes its program, even if this
// process closes them in the meantime.
func retryWhileInUse(bind func() error) error {
	deadline := time.Now().Add(addressTimeout)
	for {
		err := bind()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return Class.Wrap(err)
		}
		time.Sleep(addressRetryInterval)
	}
}
