package demonstrator_test

import (
	"context"
	"io"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/demonstrator"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// BenchmarkPath measures sequential calls through two daemons to a target, all in
// one process on loopback, and reports allocations.
func BenchmarkPath(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	m := demonstrator.NewMesh(io.Discard)
	defer m.Wait()
	defer cancel()
	entryVM, err := m.AddVM(ctx, "north-1", "north")
	if err != nil {
		b.Fatal(err)
	}
	targetVM, err := m.AddVM(ctx, "south-1", "south")
	if err != nil {
		b.Fatal(err)
	}
	if err := m.StartTarget(ctx, targetVM, "lookups", "v1", 4, emulator.Behaviour{}); err != nil {
		b.Fatal(err)
	}
	if err := m.Publish(ctx, lookups); err != nil {
		b.Fatal(err)
	}
	callOK := func() bool {
		r, err := entryVM.Call(ctx, "GET", "/routes/1")
		return err == nil && r.Status == 200
	}
	if err := demonstrator.Await(ctx, waitTimeout, callOK); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if !callOK() {
			b.Fatal("call failed")
		}
	}
}
