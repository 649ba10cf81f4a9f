package soaker_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

// startEchoServer starts a TCP echo server.
func startEchoServer(t *testing.T) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestLink sends a line through a link with each fault. The echo must arrive no
// earlier than the fault allows, and a stall ends when the fault is cleared.
func TestLink(t *testing.T) {
	const stallTime = 150 * time.Millisecond
	for name, test := range map[string]struct {
		fault   soaker.Fault
		minTime time.Duration
	}{
		"no fault":          {},
		"delay":             {fault: soaker.Fault{Delay: 50 * time.Millisecond}, minTime: 100 * time.Millisecond},
		"stall both ways":   {fault: soaker.Fault{StallToServer: true, StallFromServer: true}, minTime: stallTime},
		"stall to server":   {fault: soaker.Fault{StallToServer: true}, minTime: stallTime},
		"stall from server": {fault: soaker.Fault{StallFromServer: true}, minTime: stallTime},
	} {
		t.Run(name, func(t *testing.T) {
			link, err := soaker.NewLink("127.0.0.1:0", startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			link.SetFault(test.fault)
			conn, err := net.Dial("tcp", link.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			sent := time.Now()
			if test.minTime == stallTime {
				time.AfterFunc(stallTime, func() { link.SetFault(soaker.Fault{}) })
			}
			if _, err := io.WriteString(conn, "line\n"); err != nil {
				t.Fatal(err)
			}
			got, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || got != "line\n" {
				t.Fatalf("got echo %q, error %v; want the line", got, err)
			}
			if elapsed := time.Since(sent); elapsed < test.minTime {
				t.Errorf("echo after %v, want at least %v", elapsed, test.minTime)
			}
		})
	}
}

func TestLinkReset(t *testing.T) {
	link, err := soaker.NewLink("127.0.0.1:0", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	conn, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "line\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	link.Reset()
	if _, err := reader.ReadString('\n'); err == nil || err == io.EOF {
		t.Errorf("read: %v, want a connection reset", err)
	}
}

// TestSilence checks that open connections go silent and new ones work.
func TestSilence(t *testing.T) {
	link, err := soaker.NewLink("127.0.0.1:0", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	echo := func(conn net.Conn) error {
		if _, err := io.WriteString(conn, "line\n"); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			return err
		}
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	var conns [2]net.Conn
	for i := range conns {
		if conns[i], err = net.Dial("tcp", link.Address()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conns[i].Close() }()
		if i == 0 {
			if err := echo(conns[0]); err != nil {
				t.Fatalf("before the silence: error %v, want an echo", err)
			}
			link.Silence()
		}
	}
	if err := echo(conns[0]); err == nil {
		t.Error("an open connection has echoed after Silence")
	}
	if err := echo(conns[1]); err != nil {
		t.Errorf("a new connection: error %v, want an echo", err)
	}
}
