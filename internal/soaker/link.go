package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a link does to the connections that pass through it.
type Fault struct {
	// Delay is added to what passes either way.
	Delay time.Duration
	// Forth and Back hold what is sent to the server, and what it answers, until
	// the fault ends. New connections are accepted and held too.
	Forth, Back bool
}

// Link is a proxy on the loopback in front of one server.
type Link struct {
	listener net.Listener
	server   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

const (
	// linkBuffer is the size of the pieces that are passed on, in bytes, and
	// linkPieces the number of them that are under way in one direction.
	linkBuffer = 32 << 10
	linkPieces = 64
)

// NewLink listens on an address for a server at another.
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

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set replaces the fault in force; what was held passes if it may now.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a failure means that the connection is closed already
		}
		_ = c.Close()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Set(Fault{})
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

// serve passes on one connection. Like the kernel's, it is open on the client's
// side before the server knows of it.
func (l *Link) serve(client net.Conn) {
	if !l.track(client) {
		return
	}
	defer l.drop(client)
	l.await(func(f Fault) bool { return f.Forth })
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as a refused connection
		}
		return
	}
	if !l.track(server) {
		return
	}
	defer l.drop(server)
	var both sync.WaitGroup
	both.Go(func() { l.pass(server, client, func(f Fault) bool { return f.Forth }) })
	both.Go(func() { l.pass(client, server, func(f Fault) bool { return f.Back }) })
	both.Wait()
}

// piece is what was read at a time; the last one has an error.
type piece struct {
	data []byte
	read time.Time
	err  error
}

// pass copies one direction of a connection, and its end.
func (l *Link) pass(to, from net.Conn, held func(Fault) bool) {
	pieces := make(chan piece, linkPieces)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, linkBuffer)
			n, err := from.Read(buffer)
			pieces <- piece{data: buffer[:n], read: time.Now(), err: err}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		delay := l.await(held)
		time.Sleep(time.Until(p.read.Add(delay)))
		_, err := to.Write(p.data)
		switch {
		case err != nil, p.err != nil && p.err != io.EOF:
			l.abort(from, to)
		case p.err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // a failure means that it is closed already
			}
		}
	}
}

// abort resets both sides of a connection.
func (l *Link) abort(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a failure means that it is closed already
		}
		_ = c.Close()
	}
}

// await waits while a fault holds what is sent, and returns the delay.
func (l *Link) await(held func(Fault) bool) time.Duration {
	for {
		l.mu.Lock()
		f, changed := l.fault, l.changed
		l.mu.Unlock()
		if !held(f) {
			return f.Delay
		}
		<-changed
	}
}

func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}
