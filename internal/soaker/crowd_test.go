package soaker

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// The settings of the daemon that the crowds call, and the bounds that follow from them.
const (
	crowdMemoryMiB = 128
	crowdFiles     = 4096
	// fewFiles is the limit of open files in the test of that.
	fewFiles = 512
	// crowdBodyBytes is the limit of a body in the plan.
	crowdBodyBytes = 16 << 20
	crowdTimeout   = 20 * time.Second
	// maxFilesShare is the part of the open files that the process may use.
	maxFilesShare = 0.75
	// ordinaryTimeout is how long an ordinary client tries to get an answer.
	ordinaryTimeout = time.Minute
)

// crowd is a daemon with clients that aren't controlled. Nodes has the daemon that they
// harm, and before it one with more memory.
type crowd struct {
	*soak
	node *node
	// files is the limit of open files.
	files int
	// memoryMiB is the memory in the settings of the node.
	memoryMiB int
	// first is the process at the start.
	first *exec.Cmd

	mu    sync.Mutex
	conns []net.Conn
}

// startCrowd starts two daemons with their targets. The second one has little memory.
func startCrowd(t testing.TB, files int) *crowd {
	return startCrowdWith(t, files, crowdMemoryMiB, crowdBodyBytes)
}

// startCrowdWith is startCrowd with the memory of the second daemon and the limit of a body.
func startCrowdWith(t testing.TB, files, memoryMiB, bodyBytes int) *crowd {
	if testing.Short() {
		t.Skip("starts processes")
	}
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs are in %s", dir)
		} else if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	s := &soak{
		options: Options{
			Program: buildWithoutRace(t, files),
			Dir:     dir,
		},
		ledger:       NewLedger(),
		store:        emulator.NewRecords(timekeeper.System{}),
		host:         fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), os.Getpid()&0xff, 1+soakCount.Add(1)&0x7f),
		port:         15000 + rand.IntN(10000),
		routeTimeout: crowdTimeout,
	}
	t.Cleanup(s.close)
	if err := s.startStore(); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		if err := s.addNode(i); err != nil {
			t.Fatal(err)
		}
	}
	c := &crowd{
		soak:      s,
		node:      s.nodes[1],
		files:     files,
		memoryMiB: memoryMiB,
	}
	c.setMemory(t, s.nodes[0], 16*crowdMemoryMiB)
	c.setMemory(t, c.node, memoryMiB)
	s.declareConfig()
	plan, _ := s.store.Value("op/config")
	limit := fmt.Sprintf(`"max_body_bytes":%d`, bodyBytes)
	changed := strings.Replace(string(plan), `"max_body_bytes":1048576`, limit, 1)
	if !strings.Contains(changed, limit) {
		t.Fatalf("plan without a limit of bodies: %s", plan)
	}
	s.store.Put("op/config", []byte(changed))
	var heartbeats sync.WaitGroup
	t.Cleanup(heartbeats.Wait)
	for _, n := range s.nodes {
		if err := n.startTarget(firstVersion, false); err != nil {
			t.Fatal(err)
		}
		if err := n.process.start(); err != nil {
			t.Fatal(err)
		}
		heartbeats.Go(func() { n.sendHeartbeats(t.Context()) })
	}
	s.checkRecovery("start", time.Now().Add(startTimeout))
	c.first = c.node.process.cmd
	t.Cleanup(c.closeAll)
	return c
}

// buildWithoutRace builds the daemon without the race detector, which takes several times
// the memory, and returns the path of a script that runs it with a limit of open files.
func buildWithoutRace(t testing.TB, files int) string {
	t.Helper()
	dir := t.TempDir()
	program, script := filepath.Join(dir, "coltsfootd"), filepath.Join(dir, "run")
	out, err := exec.Command("go", "build", "-o", program, "github.com/coltsfootlane/coltsfootlane/cmd/coltsfootd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, bytes.TrimSpace(out))
	}
	if err := os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", files, program), 0o700); err != nil {
		t.Fatal(err)
	}
	return script
}

// setMemory changes the memory in the settings of a daemon that has not been started.
func (c *crowd) setMemory(t testing.TB, n *node, mib int) {
	n.settings.Sidecar.MemoryMiB = mib
	data, err := json.Marshal(n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.process.settings, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// dial opens a connection that stays open until the end of the test.
func (c *crowd) dial(n *node) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", n.settings.Listen.Traffic, ordinaryTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn, nil
}

func (c *crowd) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// run runs a number of clients and waits until each has sent what it sends, or was refused.
func (c *crowd) run(n *node, clients int, act func(conn net.Conn, i int)) {
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			if conn, err := c.dial(n); err == nil {
				act(conn, i)
			}
		})
	}
	group.Wait()
}

// head returns the head of a request.
func head(method, path string, i int, framing string) string {
	return fmt.Sprintf("%s %scrowd HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		method, path, emulator.Host, i, crowdTimeout.Milliseconds(), framing)
}

const chunkedFraming = "Transfer-Encoding: chunked\r\n"

// sendChunks sends a body in chunks of a size, without its end.
func sendChunks(conn net.Conn, i, size, bytesLeft int) {
	if _, err := io.WriteString(conn, head(http.MethodPost, "/u/", i, chunkedFraming)); err != nil {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	perWrite := max(1, 64<<10/size)
	block := []byte(strings.Repeat(chunk, perWrite))
	for ; bytesLeft > perWrite*size; bytesLeft -= perWrite * size {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// check checks that the process lives within its bounds, and that an ordinary request is
// answered. The connections of the crowd are open meanwhile.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	peak, files := c.usage(t)
	c.checkOrdinary(t)
	laterPeak, laterFiles := c.usage(t)
	peak, files = max(peak, laterPeak), max(files, laterFiles)
	if peak > c.memoryMiB<<10 {
		t.Errorf("peak memory %d KiB, want at most %d", peak, c.memoryMiB<<10)
	}
	if limit := int(maxFilesShare * float64(c.files)); files > limit {
		t.Errorf("%d open files, want at most %d", files, limit)
	}
	if c.node.process.running() != c.first {
		t.Error("the process has ended")
	}
	t.Logf("peak memory %d KiB, %d open files", peak, files)
}

// running returns the command of the running process, or nil.
func (p *process) running() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// usage returns the peak of the process's resident memory in KiB, and its open files.
func (c *crowd) usage(t testing.TB) (peak, files int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", c.first.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			peak, _ = strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
	}
	entries, err := os.ReadDir(dir + "fd")
	if err != nil || peak == 0 {
		t.Fatalf("peak %d, open files: %v", peak, err)
	}
	return peak, len(entries)
}

// checkOrdinary checks that a client that retries gets an answer of the target.
func (c *crowd) checkOrdinary(t *testing.T) {
	t.Helper()
	var last any
	for end, i := time.Now().Add(ordinaryTimeout), 0; time.Now().Before(end); i++ {
		status, err := c.ordinary(i)
		if err == nil && status == http.StatusOK {
			t.Logf("ordinary request answered at attempt %d", i+1)
			return
		}
		last = fmt.Sprint(status, " ", err)
		time.Sleep(pollInterval)
	}
	t.Errorf("no answer to an ordinary request, last: %v", last)
}

// ordinary sends one request on a new connection.
func (c *crowd) ordinary(i int) (status int, err error) {
	conn, err := net.DialTimeout("tcp", c.node.settings.Listen.Traffic, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
	if _, err := io.WriteString(conn, head(http.MethodPost, "/s/", 1_000_000+i, "Content-Length: 4\r\n")+"body"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestCrowdOfLargeChunks sends bodies in chunks of 64 KiB that stop short of their end.
func TestCrowdOfLargeChunks(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.run(c.node, 24, func(conn net.Conn, i int) { sendChunks(conn, i, 64<<10, crowdBodyBytes) })
	c.check(t)
}

// TestCrowdOfSmallChunks sends bodies in chunks of one byte that stop short of their end.
func TestCrowdOfSmallChunks(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.run(c.node, 12, func(conn net.Conn, i int) { sendChunks(conn, i, 1, crowdBodyBytes) })
	c.check(t)
}

// TestCrowdOfOne sends one body of the largest size that the users' plans allow, through each
// hop of a daemon with the least memory of their machines. It must be served.
func TestCrowdOfOne(t *testing.T) {
	const leastMemoryMiB, largestBytes = 184, 64 << 20
	c := startCrowdWith(t, crowdFiles, leastMemoryMiB, largestBytes)
	for _, n := range c.nodes {
		n.backend.SetFaults(emulator.BackendFaults{Discard: true})
	}
	for path, entry := range map[string]*node{"/p/": c.node, "/u/": c.nodes[0]} {
		status := 0
		c.run(entry, 1, func(conn net.Conn, i int) {
			_, _ = io.WriteString(conn, head(http.MethodPost, path, i, chunkedFraming))
			chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))
			for range largestBytes >> 20 {
				_, _ = io.WriteString(conn, chunk)
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				status = resp.StatusCode
			}
		})
		if status != http.StatusOK {
			t.Errorf("%s: status %d, want 200", path, status)
		}
	}
	c.check(t)
}

// TestCrowdOfLengths sends bodies with a length that stop short of it.
func TestCrowdOfLengths(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.run(c.node, 24, func(conn net.Conn, i int) {
		if _, err := io.WriteString(conn, head(http.MethodPost, "/u/", i, fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes))); err == nil {
			_, _ = conn.Write(make([]byte, crowdBodyBytes-1))
		}
	})
	c.check(t)
}

// TestCrowdOfShortBodies sends many bodies of 30 kB that stop short of their end.
func TestCrowdOfShortBodies(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.run(c.node, 1500, func(conn net.Conn, i int) { sendChunks(conn, i, 1<<10, 94<<10) })
	c.check(t)
}

// TestCrowdOfSlowReaders asks for long answers and doesn't read them.
func TestCrowdOfSlowReaders(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.node.backend.SetFaults(emulator.BackendFaults{Padding: 12 << 20})
	c.run(c.node, 24, func(conn net.Conn, i int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, head(http.MethodGet, "/s/", i, ""))
		time.Sleep(5 * time.Second)
	})
	c.node.backend.SetFaults(emulator.BackendFaults{})
	c.check(t)
}

// TestCrowdOfPipelinedRequests sends many requests behind each other and doesn't read the
// answers.
func TestCrowdOfPipelinedRequests(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.node.backend.SetFaults(emulator.BackendFaults{Padding: 1 << 20})
	c.run(c.node, 16, func(conn net.Conn, i int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, strings.Repeat(head(http.MethodGet, "/s/", i, ""), 64))
		time.Sleep(5 * time.Second)
	})
	c.node.backend.SetFaults(emulator.BackendFaults{})
	c.check(t)
}

// TestCrowdThroughAnotherDaemon sends whole bodies to a daemon with much memory, which passes
// them on to a daemon with little memory.
func TestCrowdThroughAnotherDaemon(t *testing.T) {
	c := startCrowd(t, crowdFiles)
	c.node.backend.SetSlots(24)
	c.node.backend.SetFaults(emulator.BackendFaults{Discard: true, Slow: 3 * time.Second})
	time.Sleep(2 * heartbeatInterval)
	c.run(c.nodes[0], 24, func(conn net.Conn, i int) {
		sendChunks(conn, i, 64<<10, crowdBodyBytes)
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	c.node.backend.SetFaults(emulator.BackendFaults{})
	c.check(t)
}

// TestCrowdOfConnections opens more connections than the process may have files, some without
// a request and some with part of a header, and opens each again when it is closed.
func TestCrowdOfConnections(t *testing.T) {
	c := startCrowd(t, fewFiles)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var opened sync.WaitGroup
	for i := range 2 * fewFiles {
		opened.Add(1)
		group.Go(func() {
			first := sync.OnceFunc(opened.Done)
			defer first()
			for {
				conn, err := c.dial(c.node)
				first()
				if err == nil {
					if i%2 == 0 {
						_, _ = io.WriteString(conn, "GET /s/ HTTP/1.1\r\nHost")
					}
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
			}
		})
	}
	opened.Wait()
	c.check(t)
	close(stop)
	c.closeAll()
	group.Wait()
}

// BenchmarkCrowd reports the resident memory of a daemon at its peak, with crowds of several
// sizes and without one. Each size is one run, whatever b.N.
func BenchmarkCrowd(b *testing.B) {
	for name, act := range map[string]func(c *crowd) func(conn net.Conn, i int){
		"bodies": func(*crowd) func(net.Conn, int) {
			return func(conn net.Conn, i int) { sendChunks(conn, i, 64<<10, crowdBodyBytes) }
		},
		"connections": func(*crowd) func(net.Conn, int) {
			return func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, "GET /s/ HTTP/1.1\r\nHost") }
		},
		"readers": func(c *crowd) func(net.Conn, int) {
			c.node.backend.SetFaults(emulator.BackendFaults{Padding: 12 << 20})
			return func(conn net.Conn, i int) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = io.WriteString(conn, head(http.MethodGet, "/s/", i, ""))
				time.Sleep(5 * time.Second)
			}
		},
	} {
		for _, clients := range []int{0, 1, 10, 100} {
			b.Run(fmt.Sprint(name, "-", clients), func(b *testing.B) {
				c := startCrowd(b, crowdFiles)
				c.run(c.node, clients, act(c))
				peak, _ := c.usage(b)
				b.ReportMetric(float64(peak)/1024, "MiB")
			})
		}
	}
}
