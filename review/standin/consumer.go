package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a request of a consumer with its answer.
type sent struct {
	id     string
	daemon *daemon
	method string
	path   string
	at     time.Time
	ended  time.Time
	// status is 0 if there was no answer.
	status int
	stamp  string
	body   string
	err    error
}

// consumer sends requests to one daemon on a connection that it keeps open.
type consumer struct {
	world  *world
	daemon *daemon
	name   string

	conn   net.Conn
	reader *bufio.Reader
	count  int
}

// send sends one request and waits for its answer. An empty id means a request
// without an ID.
func (c *consumer) send(method, path, id, body string, deadline time.Duration) *sent {
	x := &sent{id: id, daemon: c.daemon, method: method, path: path, at: time.Now()}
	c.world.keepSent(x)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	if id != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", names.AttemptHeader, id)
	}
	fmt.Fprintf(&head, "%s: %d\r\n", names.DeadlineHeader, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	c.world.record.add("consumer %s sends %q %s %s to %s", c.name, id, method, path, c.daemon.settings.Name)
	c.exchange(x, []byte(head.String()+body), deadline)
	return x
}

// exchange writes a request and reads its answer.
func (c *consumer) exchange(x *sent, data []byte, deadline time.Duration) {
	if x.err = c.connect(); x.err == nil {
		_ = c.conn.SetDeadline(time.Now().Add(deadline))
		_, x.err = c.conn.Write(data)
	}
	if x.err == nil {
		x.err = c.read(x)
	}
	x.ended = time.Now()
	if x.err != nil {
		c.close()
		c.world.record.add("consumer %s: %q not answered: %v", c.name, x.id, x.err)
		return
	}
	c.world.record.add("consumer %s: %q answered %d %s", c.name, x.id, x.status, x.stamp)
}

func (c *consumer) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.daemon.settings.Listen.Traffic, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// read reads an answer.
func (c *consumer) read(x *sent) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	x.status, x.stamp, x.body = resp.StatusCode, resp.Header.Get(names.StampHeader), string(body)
	if resp.Close {
		c.close()
	}
	return nil
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// nextID returns an ID for the consumer's next attempt.
func (c *consumer) nextID() string {
	c.count++
	return fmt.Sprintf("%s-%d", c.name, c.count)
}

// load is a number of consumers that send requests until it is stopped.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
}

func (l *load) end() {
	close(l.stop)
	l.group.Wait()
}

// startLoad lets consumers send requests to each daemon, on kept connections. Each
// consumer waits for its answer, and then for a random time, the pause on average.
func (w *world) startLoad(daemons []*daemon, consumers int, pause time.Duration, method, path, body string, deadline time.Duration) *load {
	l := &load{stop: make(chan struct{})}
	for _, d := range daemons {
		for i := range consumers {
			c := &consumer{world: w, daemon: d, name: fmt.Sprintf("%s-c%d%s", d.settings.Name, i, strings.ReplaceAll(path, "/", "-"))}
			l.group.Go(func() {
				defer c.close()
				time.Sleep(rand.N(pause))
				for {
					c.send(method, path+c.name, c.nextID(), body, deadline)
					select {
					case <-l.stop:
						return
					case <-time.After(rand.N(2 * pause)):
					}
				}
			})
		}
	}
	return l
}
