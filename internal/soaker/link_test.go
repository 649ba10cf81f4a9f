package soaker_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/soaker"
)

// echo starts a server that sends back what it gets, by lines.
func echo(t *testing.T) (address string) {
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

// TestLink sends a line through each fault, and again once it has ended.
func TestLink(t *testing.T) {
	const held = 150 * time.Millisecond
	for name, test := range map[string]struct {
		fault soaker.Fault
		least time.Duration
	}{
		"none":      {},
		"delay":     {fault: soaker.Fault{Delay: 50 * time.Millisecond}, least: 100 * time.Millisecond},
		"silence":   {fault: soaker.Fault{Forth: true, Back: true}, least: held},
		"cut forth": {fault: soaker.Fault{Forth: true}, least: held},
		"cut back":  {fault: soaker.Fault{Back: true}, least: held},
	} {
		t.Run(name, func(t *testing.T) {
			link, err := soaker.NewLink("127.0.0.1:0", echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			link.Set(test.fault)
			conn, err := net.Dial("tcp", link.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			sent := time.Now()
			if test.least == held {
				time.AfterFunc(held, func() { link.Set(soaker.Fault{}) })
			}
			if _, err := io.WriteString(conn, "line\n"); err != nil {
				t.Fatal(err)
			}
			got, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || got != "line\n" {
				t.Fatalf("%q, %v", got, err)
			}
			if took := time.Since(sent); took < test.least {
				t.Errorf("passed after %v, want %v at least", took, test.least)
			}
		})
	}
}

func TestLinkReset(t *testing.T) {
	link, err := soaker.NewLink("127.0.0.1:0", echo(t))
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
		t.Errorf("%v, want a reset connection", err)
	}
}
