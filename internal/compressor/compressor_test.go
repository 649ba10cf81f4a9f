package compressor_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/compressor"
)

const maxBytes = 1 << 20

func ExampleDecompressor_Decompress() {
	compressed := compressor.Append(nil, []byte(strings.Repeat("route ", 1000)))
	data, err := compressor.NewDecompressor(maxBytes).Decompress(compressed)
	fmt.Println(len(compressed) < 100, len(data), err)
	// Output: true 6000 <nil>
}

// records returns data like the records of a configuration.
func records(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"rule-%d","prefix":"/p%x/","timeout":"1.5s"}`, i, i*7919)
	}
	return b.Bytes()
}

func TestDecompressSince(t *testing.T) {
	base := records(5000)
	data := append([]byte(`{"name":"new"}`), base...)
	compressed, err := compressor.CompressSince(base, data)
	if err != nil {
		t.Fatal(err)
	}
	if len(compressed) > 200 {
		t.Errorf("%d bytes for a change of %d bytes", len(compressed), len(data)-len(base))
	}
	d := compressor.NewDecompressor(maxBytes)
	if got, err := d.DecompressSince(base, compressed); err != nil || !bytes.Equal(got, data) {
		t.Errorf("got %d bytes, want %d, error %v", len(got), len(data), err)
	}
	if _, err := d.DecompressSince(records(4999), compressed); err == nil {
		t.Error("no error with another dictionary")
	}
}

func TestDecompressFails(t *testing.T) {
	d := compressor.NewDecompressor(maxBytes)
	for name, compressed := range map[string][]byte{
		"too large": compressor.Append(nil, make([]byte, maxBytes+1)),
		"no frame":  []byte("route"),
		"truncated": compressor.Append(nil, records(10))[:20],
	} {
		if _, err := d.Decompress(compressed); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestMemoryKept compresses and decompresses a large body on several goroutines. What the
// package keeps afterwards stays below 2 MiB of a daemon's memory.
func TestMemoryKept(t *testing.T) {
	const kept = 2 << 20
	data := records(8000)
	d := compressor.NewDecompressor(maxBytes)
	before := heapInUse()
	done := make(chan error)
	for range 4 {
		go func() {
			var err error
			for range 20 {
				_, err = d.Decompress(compressor.Append(nil, data))
			}
			done <- err
		}()
	}
	for range 4 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if after := heapInUse(); after > before+kept {
		t.Errorf("%d bytes kept, want at most %d", after-before, kept)
	}
	runtime.KeepAlive(d)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
