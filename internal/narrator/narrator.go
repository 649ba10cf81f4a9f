// Package narrator writes log lines without blocking the code that logs. Lines
// over the rate limit, or for which the queue is full, are dropped and counted.
package narrator

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a Writer.
const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
	// linesPerSecond is the rate limit of accepted lines, and burstLines the
	// largest burst.
	linesPerSecond = 400
	burstLines     = 2000
	// droppedReportInterval is how often the number of dropped lines is written.
	droppedReportInterval = time.Second
	// closeTimeout bounds the time in which Close writes the queued lines.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that writes lines in the background. Each call of Write
// must pass one whole line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	limiter *rate.Limiter
	closing chan struct{}
	closed  chan struct{}
}

// New returns a Writer that writes to w.
func New(w io.Writer) *Writer {
	n := &Writer{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go n.run(w)
	return n
}

// Write queues a line. It drops the line if the rate limit is exceeded or the
// queue is full, and never returns an error.
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

// Close writes the queued lines, for at most closeTimeout. It must be called at
// most once.
func (n *Writer) Close() {
	close(n.closing)
	select {
	case <-n.closed:
	case <-time.After(closeTimeout):
	}
}

// run writes queued lines, and periodically the number of dropped lines.
func (n *Writer) run(w io.Writer) {
	defer close(n.closed)
	ticker := time.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-n.lines:
			_, _ = w.Write(line)
		case <-ticker.C:
			n.reportDropped(w)
		case <-n.closing:
			n.drain(w)
			return
		}
	}
}

// drain writes the lines that are still queued, and the number of dropped lines.
func (n *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-n.lines:
			_, _ = w.Write(line)
		default:
			n.reportDropped(w)
			return
		}
	}
}

// reportDropped writes a log line with the number of lines dropped since the last
// report, if any.
func (n *Writer) reportDropped(w io.Writer) {
	if dropped := n.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
}
