package soaker

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// freeTime bounds the wait for an address to become free, and freeInterval is
	// the time between two tries. A program is executed within milliseconds of
	// its fork, even on a busy machine within some hundred.
	freeTime     = 2 * time.Second
	freeInterval = 5 * time.Millisecond
)

// listen listens on an address that was free.
func listen(address string) (net.Listener, error) {
	var ln net.Listener
	err := whenFree(func() (err error) {
		ln, err = net.Listen("tcp", address)
		return err
	})
	return ln, err
}

// whenFree repeats a call that listens while its address is in use. A process
// that is being started has the sockets of this one until it executes its
// program, also those that were closed meanwhile.
func whenFree(start func() error) error {
	deadline := time.Now().Add(freeTime)
	for {
		err := start()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return Class.Wrap(err)
		}
		time.Sleep(freeInterval)
	}
}
