// Package narrator writes log lines without ever holding up the one who logs:
// lines that can't be written in time are dropped and counted.
package narrator

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of what is written.
const (
	// queueLines is the number of lines that may wait to be written.
	queueLines = 1024
	// linesPerSecond bounds the lines that are written over time, and
	// burstLines those that may come at once.
	linesPerSecond = 400
	burstLines     = 2000
	// toldPeriod is how often the number of dropped lines is written.
	toldPeriod = time.Second
	// closeTime bounds the writing of what still waits at the end.
	closeTime = 200 * time.Millisecond
)

// Writer is an io.Writer for whole lines.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	limiter *rate.Limiter
	closing chan struct{}
	closed  chan struct{}
}

// New returns a writer to w.
func New(w io.Writer) *Writer {
	n := &Writer{
		lines:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go n.run(w)
	return n
}

// Write queues a line, or drops it.
func (n *Writer) Write(line []byte) (int, error) {
	if !n.limiter.Allow() {
		n.dropped.Add(1)
		return len(line), nil
	}
	select {
	case n.lines <- append([]byte(nil), line...):
	default:
		n.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what still waits.
func (n *Writer) Close() {
	close(n.closing)
	select {
	case <-n.closed:
	case <-time.After(closeTime):
	}
}

// run writes lines, and tells now and then how many were dropped.
func (n *Writer) run(w io.Writer) {
	defer close(n.closed)
	ticker := time.NewTicker(toldPeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-n.lines:
			_, _ = w.Write(line)
		case <-ticker.C:
			n.tellDropped(w)
		case <-n.closing:
			n.drain(w)
			return
		}
	}
}

func (n *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-n.lines:
			_, _ = w.Write(line)
		default:
			n.tellDropped(w)
			return
		}
	}
}

func (n *Writer) tellDropped(w io.Writer) {
	if dropped := n.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
}
