package soaker

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// span is a time during which a daemon need not answer; an end of zero means
// that it still lasts.
type span struct {
	from, to time.Time
}

// process is a daemon's, over its restarts. It is safe for concurrent use.
type process struct {
	// program and settings are the paths of the daemon and its settings file,
	// log that of its output, and traffic the address that it takes requests on.
	program, settings, log string
	traffic                string
	// grace is how long it may take to stop.
	grace  time.Duration
	ledger *Ledger
	name   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	pauses  int
	killed  bool
	stopped bool
	// away holds when the daemon was not there, or was paused.
	away []span
	// gone is the start of the present time without a listening daemon.
	gone time.Time
}

// Times of a process.
const (
	// startTime bounds how long a daemon takes until it listens.
	startTime = 20 * time.Second
	// resumeTime covers what a paused process has to catch up with.
	resumeTime = 300 * time.Millisecond
	// exitTime covers the last moments of a process that stops.
	exitTime = 100 * time.Millisecond
	// stopSlack is what a stop may take beyond the grace.
	stopSlack = 2 * time.Second
	pollTime  = 20 * time.Millisecond
)

// start starts the daemon unless it runs, and waits until it listens.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Class.Wrap(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return Class.Wrap(err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	p.killed, p.stopped, p.pauses = false, false, 0
	go p.wait(cmd, p.exited)
	go p.listen(cmd)
	return nil
}

// wait notes how the process has ended.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.killed && !p.stopped:
		p.ledger.Note("exit: %s ended by itself: %v", p.name, err)
	case !p.killed && err != nil:
		p.ledger.Note("exit: %s was asked to stop and failed: %v", p.name, err)
	}
	if p.gone.IsZero() {
		p.gone = time.Now().Add(-exitTime)
	}
	p.cmd = nil
	close(exited)
}

// listen notes when the daemon is there again.
func (p *process) listen(cmd *exec.Cmd) {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(pollTime) {
		conn, err := net.DialTimeout("tcp", p.traffic, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		p.mu.Lock()
		switch {
		case p.cmd != cmd:
			p.mu.Unlock()
			return
		case err == nil:
			p.away = append(p.away, span{from: p.gone, to: time.Now()})
			p.gone = time.Time{}
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
	p.ledger.Note("start: %s did not listen within %v", p.name, startTime)
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s os.Signal) bool {
	return p.cmd != nil && p.cmd.Process.Signal(s) == nil
}

// kill kills the process.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	if running {
		p.killed = true
		if p.gone.IsZero() {
			p.gone = time.Now()
		}
		_ = p.cmd.Process.Kill() // it may have ended already
	}
	p.mu.Unlock()
	if running {
		<-exited
	}
}

// pause pauses the process for a time.
func (p *process) pause(length time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	if cmd == nil || !p.signal(syscall.SIGSTOP) {
		p.mu.Unlock()
		return
	}
	p.pauses++
	from := time.Now()
	p.away = append(p.away, span{from: from})
	index := len(p.away) - 1
	p.mu.Unlock()
	time.Sleep(length)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		if p.pauses--; p.pauses == 0 {
			p.signal(syscall.SIGCONT)
		}
	}
	p.away[index].to = time.Now().Add(resumeTime)
}

// stop asks the process to stop and waits until it has.
func (p *process) stop() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	if cmd == nil || !p.signal(syscall.SIGTERM) {
		p.mu.Unlock()
		return
	}
	p.stopped = true
	// A process that does not listen yet may have no handler of the signal.
	p.killed = p.killed || !p.gone.IsZero()
	p.mu.Unlock()
	select {
	case <-exited:
		return
	case <-time.After(p.grace + stopSlack):
	}
	p.mu.Lock()
	disturbed := p.killed || p.pauses > 0 || p.isAway(time.Now().Add(-p.grace-stopSlack), time.Now())
	p.mu.Unlock()
	if !disturbed {
		p.ledger.Note("stop: %s was still there %v after it was asked to stop", p.name, p.grace+stopSlack)
	}
	p.kill()
}

// reload tells the process to read its settings again.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGHUP)
}

// excuses reports whether the daemon was not there, or paused, at some moment of
// a time. A refused connection is excused while it stops too.
func (p *process) excuses(from, to time.Time, refused bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isAway(from, to) || (refused && (p.stopped || p.killed))
}

// stopping reports whether the daemon was asked to stop and is not there again.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *process) isAway(from, to time.Time) bool {
	if !p.gone.IsZero() && !p.gone.After(to) {
		return true
	}
	for _, s := range p.away {
		if !s.from.After(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}
