package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Parameters of the case unread.
const (
	// unreadClients is the number of consumers, and unreadDepth the number of requests that
	// each sends before the first has been answered.
	unreadClients = 60
	unreadDepth   = 12
	// unreadBytes is the size of an answer.
	unreadBytes = 1_000_000
	// unreadPause is how long a consumer doesn't read.
	unreadPause = 3 * time.Second
	// unreadTimeout is how long a consumer waits for its answers.
	unreadTimeout = 12 * time.Second
	// unreadBuffer is the size of a consumer's receive buffer.
	unreadBuffer = 64 << 10
	// maxLost is the bound of the rule.
	maxLost = 3
)

// readAnswers sends pipelined requests on a kept connection and returns the IDs of those of
// whose answers nothing has arrived. The one that broke off is not among them.
func (m *mesh) readAnswers(n *node, client int, pause time.Duration) (unanswered []string, err error) {
	conn, err := net.DialTimeout("tcp", n.traffic(), time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
	_ = conn.SetReadDeadline(time.Now().Add(unreadTimeout))
	reader := bufio.NewReader(conn)
	send := func(id string) {
		_, _ = fmt.Fprintf(conn, "GET /page/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\n\r\n", id, emulator.Host, m.names.Attempt, id, m.names.Deadline)
	}
	read := func() error {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	send(fmt.Sprintf("first-%d", client))
	if err := read(); err != nil {
		m.record.printf("consumer %d: no kept connection: %v", client, err)
		return nil, nil
	}
	for j := range unreadDepth {
		send(fmt.Sprintf("u-%d-%d", client, j))
	}
	time.Sleep(pause)
	for j := range unreadDepth {
		if err := read(); err != nil {
			for k := j + 1; k < unreadDepth; k++ {
				unanswered = append(unanswered, fmt.Sprintf("u-%d-%d", client, k))
			}
			m.record.printf("consumer %d: %d answers, then %v", client, j, err)
			break
		}
	}
	return unanswered, nil
}

// runUnread lets consumers that have sent several requests pause before they read.
func runUnread(r *recorder, trouble bool) (broken bool, err error) {
	m, err := newMesh(r)
	if err != nil {
		return false, err
	}
	defer m.close(false)
	if err := m.declare("queued.json"); err != nil {
		return false, err
	}
	for _, o := range []nodeOptions{
		{name: "a-1", zone: "a", service: "front", slots: 6, work: 10 * time.Millisecond, memoryMiB: 284},
		{name: "a-2", zone: "a", service: "front", slots: 6, work: 10 * time.Millisecond, memoryMiB: 284},
		{name: "b-1", zone: "b", service: "desk", slots: 6, work: 10 * time.Millisecond, memoryMiB: 284},
	} {
		if _, err := m.add(o); err != nil {
			return false, err
		}
	}
	for _, n := range m.nodes {
		n.backend.SetFaults(emulator.BackendFaults{Padding: unreadBytes})
	}
	if err := m.awaitReady(); err != nil {
		return false, err
	}
	pause := time.Duration(0)
	if trouble {
		pause = unreadPause
	}
	var mu sync.Mutex
	var unanswered []string
	var failed error
	var group sync.WaitGroup
	for i := range unreadClients {
		time.Sleep(20 * time.Millisecond)
		group.Go(func() {
			ids, err := m.readAnswers(m.nodes[0], i, pause)
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, ids...)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	if failed != nil {
		return false, failed
	}
	ran := map[string]bool{}
	for _, n := range m.nodes {
		for _, a := range n.backend.Arrivals() {
			ran[a.ID] = ran[a.ID] || a.Ran
		}
	}
	lost := 0
	for _, id := range unanswered {
		if ran[id] {
			lost++
		}
	}
	m.recordRuns()
	r.printf("a-1 uses %d MiB", memoryOf(m.nodes[0].pid()))
	r.printf("of %[2]d requests on kept connections, %[1]d got no byte of an answer; %[3]d of these ran", len(unanswered), unreadClients*unreadDepth, lost)
	return lost > maxLost, nil
}
