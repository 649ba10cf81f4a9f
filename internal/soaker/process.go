package soaker

import (
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

// span is a period of time. A zero end means that it has not ended.
type span struct {
	from, to time.Time
	// planned means that the daemon was down after a graceful shutdown.
	planned bool
}

// process runs a daemon and restarts it. It is safe for concurrent use.
type process struct {
	// program, settings and logPath are the paths of the daemon's executable, its
	// settings file and the file for its output. trafficAddress is the address on
	// which the daemon accepts requests.
	program, settings, logPath string
	trafficAddress             string
	// grace is how long a graceful shutdown may take.
	grace  time.Duration
	ledger *Ledger
	name   string

	mu sync.Mutex
	// cmd is nil while no process runs, and exited is closed when the process
	// has ended.
	cmd    *exec.Cmd
	exited chan struct{}
	// activePauses is the number of pauses that have not ended.
	activePauses int
	// killed and stopped mean that the process was sent SIGKILL or SIGTERM.
	killed  bool
	stopped bool
	// unavailable lists when the daemon was down or paused.
	unavailable []span
	// downSince is when the daemon last stopped listening. It is zero while the
	// daemon listens. plannedDown means that it was stopped gracefully.
	downSince   time.Time
	plannedDown bool
}

// Times of a process.
const (
	// startTimeout limits the time from a daemon's start until it listens.
	startTimeout = 20 * time.Second
	// resumeSlack is the time for which a resumed process counts as paused,
	// because it has pending work to process first.
	resumeSlack = 300 * time.Millisecond
	// A process that was not stopped gracefully counts as down from exitSlack
	// before its exit is detected, because it stops listening earlier. After a
	// request without a response, a client waits for exitSlack, because the exit
	// may be detected later.
	exitSlack = 100 * time.Millisecond
	// stopSlack is how long beyond the grace period a shutdown may take.
	stopSlack    = 2 * time.Second
	pollInterval = 20 * time.Millisecond
)

// start starts the daemon unless it is already running. It does not wait until the
// daemon listens.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	p.killed, p.stopped, p.activePauses = false, false, 0
	go p.waitExit(cmd, p.exited)
	go p.waitListening(cmd)
	return nil
}

// waitExit waits for the process to exit. It records a violation if the process
// was not stopped or killed, or failed during a graceful shutdown.
func (p *process) waitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.killed && !p.stopped:
		p.ledger.AddViolation("exit: %s exited although it was not stopped: %v", p.name, err)
	case !p.killed && err != nil:
		p.ledger.AddViolation("exit: %s failed during its graceful shutdown: %v", p.name, err)
	}
	if p.downSince.IsZero() {
		p.downSince = time.Now()
		p.plannedDown = p.stopped && !p.killed
		if !p.plannedDown {
			p.downSince = p.downSince.Add(-exitSlack)
		}
	}
	p.cmd = nil
	close(exited)
}

// waitListening waits until the daemon accepts connections and ends the period
// during which it counts as down.
func (p *process) waitListening(cmd *exec.Cmd) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		conn, err := net.DialTimeout("tcp", p.trafficAddress, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		p.mu.Lock()
		switch {
		case p.cmd != cmd:
			p.mu.Unlock()
			return
		case err == nil:
			p.unavailable = append(p.unavailable, span{from: p.downSince, to: time.Now(), planned: p.plannedDown})
			p.downSince, p.plannedDown = time.Time{}, false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
	p.ledger.AddViolation("start: %s did not listen within %v", p.name, startTimeout)
}

// signal sends a signal to the process and reports whether that succeeded. The
// caller holds the lock.
func (p *process) signal(s os.Signal) bool {
	return p.cmd != nil && p.cmd.Process.Signal(s) == nil
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	if running {
		p.killed = true
		if p.downSince.IsZero() {
			p.downSince = time.Now()
		}
		_ = p.cmd.Process.Kill() // fails if the process has already exited
	}
	p.mu.Unlock()
	if running {
		<-exited
	}
}

// pause stops the process with SIGSTOP for a time. When pauses overlap, it resumes
// at the end of the last one.
func (p *process) pause(length time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	if cmd == nil || !p.signal(syscall.SIGSTOP) {
		p.mu.Unlock()
		return
	}
	p.activePauses++
	from := time.Now()
	p.unavailable = append(p.unavailable, span{from: from})
	i := len(p.unavailable) - 1
	p.mu.Unlock()
	time.Sleep(length)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		if p.activePauses--; p.activePauses == 0 {
			p.signal(syscall.SIGCONT)
		}
	}
	p.unavailable[i].to = time.Now().Add(resumeSlack)
}

// stop starts a graceful shutdown of the process and waits for its end. It kills
// the process if the shutdown takes too long, and records a violation unless the
// process was killed or paused in the meantime. The pauses follow SIGTERM.
func (p *process) stop(pauses ...ShutdownPause) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	if cmd == nil || !p.signal(syscall.SIGTERM) {
		p.mu.Unlock()
		return
	}
	p.stopped = true
	// A process that does not listen yet may not have installed its signal
	// handler; SIGTERM then ends it with an error.
	p.killed = p.killed || !p.downSince.IsZero()
	p.mu.Unlock()
	go p.pauseShutdown(exited, pauses)
	select {
	case <-exited:
		return
	case <-time.After(p.grace + stopSlack):
	}
	p.mu.Lock()
	disturbed := p.killed || p.activePauses > 0 || p.wasUnavailable(time.Now().Add(-p.grace-stopSlack), time.Now())
	p.mu.Unlock()
	if !disturbed {
		p.ledger.AddViolation("stop: %s still ran %v after SIGTERM", p.name, p.grace+stopSlack)
	}
	p.kill()
}

// pauseShutdown pauses a process that is shutting down until it has exited.
func (p *process) pauseShutdown(exited chan struct{}, pauses []ShutdownPause) {
	for _, pause := range pauses {
		select {
		case <-time.After(pause.After):
			p.pause(pause.Length)
		case <-exited:
			return
		}
	}
}

// reload makes the process reload its settings.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGHUP)
}

// excusesFailure reports whether a request during the given period may fail:
// the daemon was killed or paused for a part of it, was down from its start, or
// refused the connection while it was shutting down. The exit at the end of a
// graceful shutdown does not excuse a request that was sent before it.
func (p *process) excusesFailure(from, to time.Time, refused bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wasUnavailable(from, to) || (refused && (p.stopped || p.killed))
}

// stopping reports whether the daemon was sent SIGTERM and has not been started
// again.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// wasUnavailable reports whether the daemon was killed or paused for a part of
// the given period, or down after a graceful shutdown at its start. The caller
// holds the lock.
func (p *process) wasUnavailable(from, to time.Time) bool {
	if !p.downSince.IsZero() && (span{from: p.downSince, planned: p.plannedDown}).affects(from, to) {
		return true
	}
	return slices.ContainsFunc(p.unavailable, func(s span) bool { return s.affects(from, to) })
}

// affects reports whether a request during the given period may fail because of
// the span.
func (s span) affects(from, to time.Time) bool {
	if s.planned {
		to = from
	}
	return !s.from.After(to) && (s.to.IsZero() || s.to.After(from))
}
