package narrator_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/narrator"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// TestWriteNeverBlocks writes more lines than the queue and the rate limit allow
// while the underlying writer is blocked. Write must drop lines and not wait.
func TestWriteNeverBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	w := narrator.New(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocks")
	}
	close(s.release)
	w.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := s.String()
	if n := strings.Count(text, "line\n"); n < 1000 || n > 2500 {
		t.Errorf("%d lines written, want 1000 to 2500", n)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the number of dropped lines is not reported")
	}
}
