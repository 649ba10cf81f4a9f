package receiver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/receiver"
)

// heldListener holds back Accept until release is closed.
type heldListener struct {
	*net.TCPListener
	entered chan struct{}
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	select {
	case l.entered <- struct{}{}:
	default:
	}
	<-l.release
	return l.TCPListener.Accept()
}

// TestStopAnswersRequestInBacklog guards against resetting a connection in the backlog.
func TestStopAnswersRequestInBacklog(t *testing.T) {
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("")
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{
		TCPListener: ln.(*net.TCPListener),
		entered:     make(chan struct{}, 1),
		release:     make(chan struct{}),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), held) }()
	<-held.entered
	conn, r := dial(t, ln.Addr().String())
	send(t, conn, getRequest("/"))
	time.Sleep(50 * time.Millisecond)
	s.Stop()
	close(held.release)
	resp, _ := readResponse(t, r)
	checkRejection(t, resp)
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestStopAnswersFirstRequestOfConnection guards against closing it before the client has
// sent the request for which it connected.
func TestStopAnswersFirstRequestOfConnection(t *testing.T) {
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("")
	})
	conn, r := dial(t, serve(t, s, func(conn *net.TCPConn) net.Conn { return conn }))
	waitForConnections(t, s, 1)
	s.Stop()
	time.Sleep(20 * time.Millisecond)
	send(t, conn, getRequest("/"))
	resp, _ := readResponse(t, r)
	checkRejection(t, resp)
}

// TestEndedWaitsForConnectionBeingAccepted guards against an exit before it is counted.
func TestEndedWaitsForConnectionBeingAccepted(t *testing.T) {
	s := newServer(generousLimits, func(context.Context, *receiver.Request) *receiver.Response {
		return okResponse("")
	})
	accepted, release := make(chan struct{}), make(chan struct{})
	address := serve(t, s, func(conn *net.TCPConn) net.Conn {
		close(accepted)
		<-release
		return conn
	})
	conn, r := dial(t, address)
	send(t, conn, getRequest("/"))
	<-accepted
	s.Stop()
	if s.Ended() {
		t.Error("the server has ended while it accepts a connection")
	}
	close(release)
	resp, _ := readResponse(t, r)
	checkRejection(t, resp)
	_ = conn.Close()
	for end := time.Now().Add(testTimeout); !s.Ended(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server has not ended after its last connection")
		}
	}
}
