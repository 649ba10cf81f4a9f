package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a backend began to run, or rejected.
type run struct {
	backend  string
	id       string
	method   string
	uri      string
	host     string
	body     string
	at       time.Time
	rejected int
}

// backend is a stand-in for an application backend. It speaks HTTP/1.1, serves one
// request at a time on a connection, and sends its liveness reports to its daemon.
type backend struct {
	world   *world
	name    string
	service string
	zone    string
	slots   int
	work    time.Duration
	address string
	// began, if set, is called with the number of requests that began to run within the
	// last second, when one begins.
	began func(inLastSecond int)
	// doubles, if set, says whether the answer to a request is sent a second time,
	// late: where the next answer on its connection is expected.
	doubles func(r *http.Request) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	free     chan struct{}
	born     time.Time
	warmAt   time.Time
	seq      int
	silent   bool
	// lastReport is the last liveness report.
	lastReport []byte
	runs       []run
}

// addBackend prepares a backend.
func (w *world) addBackend(name, zone, service string, slots int, work time.Duration) *backend {
	b := &backend{
		world:   w,
		name:    name,
		service: service,
		zone:    zone,
		slots:   slots,
		work:    work,
		address: w.freeAddress(),
		conns:   map[net.Conn]bool{},
		free:    make(chan struct{}, slots),
	}
	w.backends = append(w.backends, b)
	return b
}

// start begins to serve. A backend that starts during traffic is cold for a while.
func (b *backend) start(cold time.Duration) error {
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener = ln
	b.born = time.Now()
	b.warmAt = b.born.Add(cold)
	b.mu.Unlock()
	b.world.record.add("backend %s started, cold for %v", b.name, cold)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
	return nil
}

// stop closes the listener and all connections.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	_ = b.listener.Close()
	b.listener = nil
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.world.record.add("backend %s ended", b.name)
}

// serve serves one connection.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			b.world.record.add("backend %s sends its last answer a second time", b.name)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := b.answer(r, body)
		if b.doubles != nil && b.doubles(r) {
			late = answer
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answer runs a request or rejects it, and returns the bytes of the answer.
func (b *backend) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get(names.AttemptHeader)
	x := run{
		backend: b.name,
		id:      id,
		method:  r.Method,
		uri:     r.RequestURI,
		host:    r.Host,
		at:      time.Now(),
	}
	if len(body) <= 1<<10 {
		x.body = string(body)
	}
	switch {
	case id == "":
		x.rejected = http.StatusBadRequest
	case r.Header.Get(names.ExpectHeader) != "" && r.Header.Get(names.ExpectHeader) != b.name:
		x.rejected = http.StatusMisdirectedRequest
	}
	if x.rejected != 0 {
		b.keep(x)
		return b.format(x.rejected, id, nil, http.Header{names.NotExecuted: {"1"}})
	}
	b.free <- struct{}{}
	x.at = time.Now()
	b.keep(x)
	if b.began != nil {
		b.began(b.recent())
	}
	time.Sleep(b.work)
	<-b.free
	content := fmt.Appendf(nil, "%s ran %s", b.name, id)
	return b.format(http.StatusOK, id, content, http.Header{names.StampHeader: {"stamp." + b.name + "." + id}})
}

// recent returns the number of requests that began to run within the last second.
func (b *backend) recent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, x := range b.runs {
		if x.rejected == 0 && time.Since(x.at) < time.Second {
			n++
		}
	}
	return n
}

// keep records a run or a rejection.
func (b *backend) keep(x run) {
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	what := "runs"
	if x.rejected != 0 {
		what = fmt.Sprintf("rejects with %d", x.rejected)
	}
	b.world.record.add("backend %s %s %q %s %s host %s body %.40q", b.name, what, x.id, x.method, x.uri, x.host, x.body)
}

// format returns the bytes of an answer. Each answer echoes the request's ID, if any.
func (b *backend) format(status int, id string, content []byte, h http.Header) []byte {
	if id != "" {
		h.Set(names.AttemptHeader, id)
	}
	h.Set("Keep-Alive", "timeout=10")
	resp := http.Response{
		StatusCode:    status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(content)),
		ContentLength: int64(len(content)),
	}
	var out bytes.Buffer
	_ = resp.Write(&out)
	return out.Bytes()
}

// allRuns returns what ran at the backend.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// nextReport returns the next liveness report.
func (b *backend) nextReport(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	data, err := json.Marshal(map[string]any{
		"service":        b.service,
		"address":        b.address,
		"zone":           b.zone,
		"version":        "v1",
		"slots":          b.slots,
		"state":          state,
		"warmup_left_ms": max(0, time.Until(b.warmAt).Milliseconds()),
		"seq":            b.seq,
		"born":           b.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	b.lastReport = data
	return data
}

// report sends a liveness report, or a leave report if data is nil, and returns the
// status of the answer, or 0.
func (b *backend) report(d *daemon, data []byte) int {
	method := http.MethodPut
	if data == nil {
		method = http.MethodDelete
	}
	r, err := http.NewRequest(method, "http://"+d.settings.Listen.Operator+names.ReportPath+b.name, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		b.world.record.add("backend %s: report %s not answered", b.name, data)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	b.world.record.add("backend %s: report %s %s answered %d", b.name, method, data, resp.StatusCode)
	return resp.StatusCode
}

// beat sends liveness reports until the backend is silenced. It returns at once.
func (b *backend) beat(d *daemon) {
	go func() {
		for {
			b.mu.Lock()
			done := b.silent || b.listener == nil
			b.mu.Unlock()
			if done {
				return
			}
			b.report(d, b.nextReport("ready"))
			time.Sleep(heartbeat)
		}
	}()
}

// silence ends the liveness reports.
func (b *backend) silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}
