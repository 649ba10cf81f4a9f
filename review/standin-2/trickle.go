package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Parameters of the case trickle.
const (
	// slowClients is the number of clients with slow headers. A daemon with 4,100 descriptors
	// accepts 2,050 connections.
	slowClients = 2100
	// slowParts is the number of parts of a header, and slowPause the time between them. A
	// header takes less than header_timeout_ms, which is 3,000.
	slowParts = 18
	slowPause = 140 * time.Millisecond
	// settleTime is the time for the slow clients to connect and to get a first answer, and
	// minAnswered the number of answers that shows it.
	settleTime  = 3 * time.Second
	minAnswered = 1900
	// consumers is the number of ordinary consumers that try every tryPause for tryTime, each
	// on a new connection, and contactTime is the bound of the rule.
	consumers   = 10
	tryPause    = 200 * time.Millisecond
	tryTime     = 8 * time.Second
	contactTime = 3 * time.Second
)

// sendSlowly sends requests on one connection until ctx ends, and connects again when that
// is closed. Each header arrives in parts, or as a whole after the same time.
func (m *mesh) sendSlowly(ctx context.Context, n *node, client int, inParts bool, answered *atomic.Int64) {
	for requests := 0; ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp", n.traffic(), time.Second)
		if err != nil {
			time.Sleep(tryPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		for err == nil && ctx.Err() == nil {
			requests++
			err = m.sendSlowRequest(ctx, conn, reader, fmt.Sprintf("slow-%d-%d", client, requests), inParts)
			if err == nil {
				answered.Add(1)
			}
		}
		stop()
		_ = conn.Close()
		time.Sleep(tryPause)
	}
}

func (m *mesh) sendSlowRequest(ctx context.Context, conn net.Conn, reader *bufio.Reader, id string, inParts bool) error {
	header := fmt.Sprintf("GET /page/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\n\r\n", id, emulator.Host, m.names.Attempt, id, m.names.Deadline)
	size := (len(header) + slowParts - 1) / slowParts
	for i := 0; i < len(header); i += size {
		if inParts {
			if _, err := io.WriteString(conn, header[i:min(len(header), i+size)]); err != nil {
				return err
			}
		}
		select {
		case <-time.After(slowPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if !inParts {
		if _, err := io.WriteString(conn, header); err != nil {
			return err
		}
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// runTrickle fills a daemon's connections with clients whose headers arrive slowly, and lets
// ordinary consumers try meanwhile.
func runTrickle(r *recorder, trouble bool) (broken bool, err error) {
	m, err := newMesh(r)
	if err != nil {
		return false, err
	}
	defer m.close(false)
	if err := m.declare("queued.json"); err != nil {
		return false, err
	}
	for _, o := range []nodeOptions{
		{name: "a-1", zone: "a", service: "front", slots: 9, work: time.Millisecond, memoryMiB: 284},
		{name: "a-2", zone: "a", service: "front", slots: 9, work: time.Millisecond, memoryMiB: 284},
		{name: "b-1", zone: "b", service: "desk", slots: 9, work: time.Millisecond, memoryMiB: 284},
	} {
		if _, err := m.add(o); err != nil {
			return false, err
		}
	}
	if err := m.awaitReady(); err != nil {
		return false, err
	}
	entry := m.nodes[0]
	m.sendOrdinary(entry, "before")
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	var answered atomic.Int64
	for i := range slowClients {
		go m.sendSlowly(ctx, entry, i, trouble, &answered)
		if i%50 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	r.printf("%d slow clients, %d of their requests answered so far", slowClients, answered.Load())
	if n := answered.Load(); n < minAnswered {
		return false, fmt.Errorf("only %d slow clients are connected", n)
	}
	longest, unready := m.tryConsumers(entry)
	r.printf("%d of the slow clients' requests answered by now", answered.Load())
	cancel()
	time.Sleep(time.Second)
	m.sendOrdinary(entry, "after")
	m.recordRuns()
	r.printf("the daemon was not ready at %d looks; for %.1f s no request of %d consumers on a new connection was answered", unready, longest.Seconds(), consumers)
	return unready == 0 && longest >= contactTime, nil
}

// tryConsumers returns the longest time in which no consumer got an answer on a new connection,
// and how often the daemon was not ready.
func (m *mesh) tryConsumers(n *node) (longest time.Duration, unready int) {
	var mu sync.Mutex
	start := time.Now()
	last, tries, successes := start, 0, 0
	var group sync.WaitGroup
	for i := range consumers {
		group.Go(func() {
			for try := 0; time.Since(start) < tryTime; try++ {
				c := emulator.NewClient(n.traffic())
				callCtx, cancel := context.WithTimeout(context.Background(), time.Second)
				id := fmt.Sprintf("consumer-%d-%d", i, try)
				reply, err := c.Do(callCtx, emulator.Call{
					ID:      id,
					Path:    "/page/" + id,
					Body:    "an ordinary request",
					Timeout: time.Second,
				})
				cancel()
				c.Close()
				mu.Lock()
				tries++
				if err == nil {
					successes++
					longest = max(longest, time.Since(last))
					last = time.Now()
				}
				if try%10 == 0 {
					m.record.printf("%s: status %d, error %v", id, reply.Status, err)
				}
				mu.Unlock()
				time.Sleep(tryPause)
			}
		})
	}
	for time.Since(start) < tryTime {
		if !m.ready(n) {
			unready++
		}
		time.Sleep(tryPause)
	}
	group.Wait()
	m.record.printf("%d of %d tries were answered", successes, tries)
	return max(longest, time.Since(last)), unready
}
