package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// Parameters of the case crowd.
const (
	// crowdClients is the number of clients, and crowdDepth the number of requests that each
	// sends before the first has been answered.
	crowdClients = 64
	crowdDepth   = 32
	// crowdMemory is memory_mb of the machines, and crowdFieldBytes the size of the fields
	// in the header of a client. max_header_bytes is 16,384.
	crowdMemory     = 284
	crowdFieldBytes = 15800
	// crowdWait bounds the time until the process has ended, and crowdRounds is the
	// number of crowds that each of two machines gets.
	crowdWait   = 6 * time.Second
	crowdRounds = 3
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// crowdWork is the time that a request takes at a target.
	crowdWork = 500 * time.Millisecond
	// ordinaryTimeout bounds an ordinary request.
	ordinaryTimeout = 3 * time.Second
)

// shortFields returns header fields of the given size in bytes, each as short as possible.
func shortFields(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var s strings.Builder
	var prefixes []string
	for length, next := 1, []string{""}; length <= 3; length++ {
		prefixes, next = next, nil
		for _, p := range prefixes {
			for _, d := range digits {
				name := p + string(d)
				next = append(next, name)
				if name != "te" && s.Len()+len(name)+3 <= size {
					s.WriteString(name + ":\r\n")
				}
			}
		}
	}
	return s.String()
}

// memoryOf returns the resident memory of a process in MiB.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib >> 10
		}
	}
	return 0
}

// supervisor is the platform's part: it kills a process that exceeds its memory, and starts
// it again.
type supervisor struct {
	mesh *mesh

	mu    sync.Mutex
	kills map[string]int
	most  map[string]int
}

func (s *supervisor) watch(n *node) {
	name := n.options.name
	for s.mesh.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		used := memoryOf(n.pid())
		s.mu.Lock()
		s.most[name] = max(s.most[name], used)
		s.mu.Unlock()
		if used <= n.options.memoryMiB {
			continue
		}
		s.mesh.record.printf("%s uses %d MiB of %d: killed", name, used, n.options.memoryMiB)
		_ = n.signal(syscall.SIGKILL)
		<-n.ended()
		s.mu.Lock()
		s.kills[name]++
		s.mu.Unlock()
		time.Sleep(restartDelay)
		if s.mesh.ctx.Err() != nil {
			return
		}
		if err := s.mesh.start(n); err != nil {
			s.mesh.record.printf("%s not started again: %v", name, err)
			return
		}
	}
}

func (s *supervisor) killed(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kills[name]
}

// sendCrowd connects clients to a daemon. Each sends whole and proper requests one after the
// other, without waiting for the answers. Without trouble their headers have no further
// fields. It returns the connections.
func (m *mesh) sendCrowd(n *node, round int, trouble bool) ([]net.Conn, error) {
	fields := ""
	if trouble {
		fields = shortFields(crowdFieldBytes)
	}
	var conns []net.Conn
	for i := range crowdClients {
		conn, err := net.DialTimeout("tcp", n.traffic(), time.Second)
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
		go func() {
			for j := range crowdDepth {
				id := fmt.Sprintf("crowd-%s-%d-%d-%d", n.options.name, round, i, j)
				if _, err := fmt.Fprintf(conn, "GET /page/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\n%s\r\n",
					id, emulator.Host, m.names.Attempt, id, m.names.Deadline, fields); err != nil {
					return
				}
			}
		}()
	}
	m.record.printf("%d clients each send %d requests with %d further fields in %d bytes to %s", len(conns), crowdDepth, strings.Count(fields, "\r\n"), len(fields), n.options.name)
	return conns, nil
}

// sendOrdinary sends one ordinary request and records its result.
func (m *mesh) sendOrdinary(n *node, id string) {
	c := emulator.NewClient(n.traffic())
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	reply, err := c.Do(ctx, emulator.Call{
		ID:      id,
		Path:    "/page/" + id,
		Body:    "an ordinary request",
		Timeout: ordinaryTimeout,
	})
	m.record.printf("ordinary request to %s: status %d, error %v", n.options.name, reply.Status, err)
}

// runCrowd sends crowds to two machines in turn.
func runCrowd(r *recorder, trouble bool) (broken bool, err error) {
	m, err := newMesh(r)
	if err != nil {
		return false, err
	}
	defer m.close(false)
	if err := m.declare("queued.json"); err != nil {
		return false, err
	}
	for _, o := range []nodeOptions{
		{name: "a-1", zone: "a", service: "front", slots: 6, work: crowdWork, memoryMiB: crowdMemory},
		{name: "a-2", zone: "a", service: "front", slots: 6, work: crowdWork, memoryMiB: crowdMemory},
		{name: "b-1", zone: "b", service: "front", slots: 6, work: crowdWork, memoryMiB: crowdMemory},
	} {
		if _, err := m.add(o); err != nil {
			return false, err
		}
	}
	if err := m.awaitReady(); err != nil {
		return false, err
	}
	s := &supervisor{
		mesh:  m,
		kills: map[string]int{},
		most:  map[string]int{},
	}
	for _, n := range m.nodes {
		go s.watch(n)
	}
	for round := range crowdRounds {
		for _, n := range m.nodes[:2] {
			m.sendOrdinary(n, fmt.Sprintf("before-%s-%d", n.options.name, round))
			kills := s.killed(n.options.name)
			conns, err := m.sendCrowd(n, round, trouble)
			if err != nil {
				return false, err
			}
			for end := time.Now().Add(crowdWait); time.Now().Before(end) && s.killed(n.options.name) == kills; {
				time.Sleep(20 * time.Millisecond)
			}
			m.sendOrdinary(n, fmt.Sprintf("during-%s-%d", n.options.name, round))
			for _, c := range conns {
				_ = c.Close()
			}
			for end := time.Now().Add(startTimeout); time.Now().Before(end) && !m.ready(n); {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	m.recordRuns()
	ended := 0
	for _, n := range m.nodes {
		kills := s.killed(n.options.name)
		r.printf("%s: at most %d MiB of %d, killed for its memory %d times", n.options.name, s.most[n.options.name], crowdMemory, kills)
		if kills >= crowdRounds {
			ended++
		}
	}
	r.printf("on %d of %d machines the process has ended %d times or more", ended, len(m.nodes), crowdRounds)
	return ended >= 2, nil
}
