package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a fault that a link applies to all its connections. The zero value is
// no fault.
type Fault struct {
	// Delay delays the data in both directions.
	Delay time.Duration
	// StallToServer stalls the data to the server, and StallFromServer the data from
	// it, until the fault ends. With StallToServer, new connections are accepted,
	// but the link does not connect to the server.
	StallToServer, StallFromServer bool
}

// Link is a TCP proxy on a loopback address in front of one server. It injects
// faults into the connections.
type Link struct {
	listener net.Listener
	server   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// silences is the number of calls of Silence.
	silences int
}

const (
	// readBufferSize is the size of a read, in bytes. maxChunks is the number of
	// chunks that are queued in one direction of a connection.
	readBufferSize = 32 << 10
	maxChunks      = 64
)

// NewLink returns a link that listens on address and forwards connections to the
// server. Both are of the form IP:port.
func NewLink(address, server string) (*Link, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, err
	}
	l := &Link{
		listener: ln,
		server:   server,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	go l.accept()
	return l, nil
}

// Address returns the IP:port on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault replaces the current fault. Stalled data continues unless the new fault
// stalls it too.
func (l *Link) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Silence stalls all open connections in both directions for good. New ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silences++
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset closes all connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		_ = c.Close()
	}
}

// Close stops listening and resets all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.SetFault(Fault{})
	l.Reset()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

// serve forwards one connection. As with a kernel's listen backlog, the client's
// connection is established before the server accepts one.
func (l *Link) serve(client net.Conn) {
	if !l.addConn(client) {
		return
	}
	defer l.removeConn(client)
	opened := l.silenceCount()
	toServer := direction{
		stalled: func(f Fault) bool { return f.StallToServer },
		opened:  opened,
	}
	fromServer := direction{
		stalled: func(f Fault) bool { return f.StallFromServer },
		opened:  opened,
	}
	l.waitWhileStalled(toServer)
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the client gets a reset, as from a port without a listener
		}
		return
	}
	if !l.addConn(server) {
		return
	}
	defer l.removeConn(server)
	var copies sync.WaitGroup
	copies.Go(func() { l.copyDirection(server, client, toServer) })
	copies.Go(func() { l.copyDirection(client, server, fromServer) })
	copies.Wait()
}

// direction is one direction of a connection.
type direction struct {
	// stalled reports whether a fault stalls the direction.
	stalled func(Fault) bool
	// opened is the number of calls of Silence before the connection was opened.
	opened int
}

func (l *Link) silenceCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silences
}

// chunk is the result of one read. The last one of a connection has an error.
type chunk struct {
	data   []byte
	readAt time.Time
	err    error
}

// copyDirection copies one direction of a connection and forwards its end of
// file or reset.
func (l *Link) copyDirection(to, from net.Conn, d direction) {
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, readBufferSize)
			n, err := from.Read(buffer)
			chunks <- chunk{data: buffer[:n], readAt: time.Now(), err: err}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		delay := l.waitWhileStalled(d)
		time.Sleep(time.Until(c.readAt.Add(delay)))
		_, err := to.Write(c.data)
		switch {
		case err != nil, c.err != nil && c.err != io.EOF:
			l.abort(from, to)
		case c.err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails only if the connection is already closed
			}
		}
	}
}

// abort closes connections with a TCP reset.
func (l *Link) abort(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		_ = c.Close()
	}
}

// waitWhileStalled waits while the current fault stalls the direction or the connection
// is silent, and returns the fault's delay.
func (l *Link) waitWhileStalled(d direction) time.Duration {
	for {
		l.mu.Lock()
		f, changed := l.fault, l.changed
		silent := l.silences > d.opened && !l.closed
		l.mu.Unlock()
		if !silent && !d.stalled(f) {
			return f.Delay
		}
		<-changed
	}
}

func (l *Link) addConn(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) removeConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}
