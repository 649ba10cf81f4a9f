package carrier

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
)

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	return len(p), nil
}

// TestMemoryReadAll reads bodies of all kinds of sizes, with and without a stated
// size.
func TestMemoryReadAll(t *testing.T) {
	m := &Memory{Limit: 1 << 20}
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, freeBytes - 1, freeBytes, freeBytes + 1, 500 << 10} {
		want := bytes.Repeat([]byte{'x'}, size)
		for name, r := range map[string]io.Reader{
			"at once":      bytes.NewReader(want),
			"with the EOF": iotest.DataErrReader(bytes.NewReader(want)),
			"in halves":    iotest.HalfReader(bytes.NewReader(want)),
		} {
			stated := int64(size)
			if name == "in halves" {
				stated = -1
			}
			got, release, err := m.ReadAll(r, stated)
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("%d bytes, %s: got %d bytes, error %v, want all", size, name, len(got), err)
			}
			if m.used.Load() < charged(int64(size)) {
				t.Errorf("%d bytes, %s: %d bytes charged, want at least the body", size, name, m.used.Load())
			}
			release()
			release()
			if m.used.Load() != 0 {
				t.Fatalf("%d bytes, %s: %d bytes charged after release, want 0", size, name, m.used.Load())
			}
		}
	}
}

// TestMemoryBound checks that a body without end, or one with a large size, fails at
// the bound, that bodies share the bound, and that short ones still fit.
func TestMemoryBound(t *testing.T) {
	m := &Memory{Limit: 1 << 20}
	var tooLong *forwarder.TooLongError
	for range 3 {
		if _, _, err := m.ReadAll(endlessReader{}, -1); !errors.Is(err, errTooLong) || !errors.As(err, &tooLong) || tooLong.Read == 0 || tooLong.Read > m.Limit {
			t.Errorf("endless body: error %v, want errTooLong after at most %d bytes", err, m.Limit)
		}
		if _, _, err := m.ReadAll(endlessReader{}, 1<<40); !errors.Is(err, errTooLong) || !errors.As(err, &tooLong) || tooLong.Read != 0 {
			t.Errorf("body with a size of 1 TiB: error %v, want errTooLong before it is read", err)
		}
	}
	if m.used.Load() != 0 {
		t.Fatalf("%d bytes charged after the failures, want 0", m.used.Load())
	}
	_, release, err := m.ReadAll(strings.NewReader(strings.Repeat("x", 1000<<10)), 1000<<10)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := m.ReadAll(endlessReader{}, -1); !errors.Is(err, errNoMemory) || !errors.As(err, &tooLong) || tooLong.Read > 64<<10 {
		t.Errorf("second body: error %v, want errNoMemory after at most 64 KiB", err)
	}
	if _, _, err := m.ReadAll(strings.NewReader(strings.Repeat("x", freeBytes-1)), freeBytes-1); err != nil {
		t.Errorf("short body: error %v, want none", err)
	}
	release()
	if m.used.Load() != 0 {
		t.Errorf("%d bytes charged after release, want 0", m.used.Load())
	}
}

// TestMemoryFailedBody checks that a body that breaks off is not charged.
func TestMemoryFailedBody(t *testing.T) {
	m := &Memory{Limit: 1 << 20}
	errBroken := errors.New("broken")
	r := io.MultiReader(strings.NewReader(strings.Repeat("x", 100<<10)), iotest.ErrReader(errBroken))
	if _, _, err := m.ReadAll(r, -1); !errors.Is(err, errBroken) || m.used.Load() != 0 {
		t.Errorf("error %v with %d bytes charged, want the error of the reader and 0", err, m.used.Load())
	}
}
