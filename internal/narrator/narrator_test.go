package narrator_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/narrator"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func TestNeverBlocks(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
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
		t.Fatal("writing blocks")
	}
	close(s.release)
	w.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := s.String()
	if n := strings.Count(text, "line\n"); n < 1000 || n > 2500 {
		t.Errorf("%d lines written", n)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the dropped lines are not told")
	}
}
