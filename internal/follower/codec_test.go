package follower_test

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
)

// incompressible returns that many pseudorandom bytes.
func incompressible(seed uint64, n int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// withItem returns a copy of one large item and a small one.
func withItem(version uint64, value []byte) follower.Copy {
	return follower.Copy{
		Revision: version,
		Items: []storer.Item{
			{Key: "op/a", Value: value, Version: version},
			{Key: "op/b", Value: []byte("small"), Version: 1},
		},
	}
}

func TestPackSinceSendsWhatChanged(t *testing.T) {
	for _, size := range []int{1_000, 100_000, 400_000} {
		value := incompressible(1, size)
		base := withItem(7, value)
		next := withItem(8, append(append(bytes.Clone(value[:size/2]), "changed"...), value[size/2:]...))
		p, err := next.PackSince(base)
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Data) > 200+size/1000 {
			t.Errorf("a small change of %d bytes is packed in %d", size, len(p.Data))
		}
		got, err := p.UnpackSince(base)
		if err != nil || got.Revision != 8 || !reflect.DeepEqual(got, next) {
			t.Errorf("UnpackSince of %d bytes = revision %d with %d items, %v; want the copy", size, got.Revision, len(got.Items), err)
		}
	}
}

func TestPackSinceWithoutBase(t *testing.T) {
	c := withItem(8, incompressible(1, 100))
	p, err := c.PackSince(follower.Copy{})
	if err != nil {
		t.Fatal(err)
	}
	got, err := p.Unpack()
	if err != nil || p.Base != "" || !reflect.DeepEqual(got, c) {
		t.Errorf("Unpack = %v, %v; want %v", got, err, c)
	}
}

func TestUnpackSinceRejects(t *testing.T) {
	base := withItem(7, incompressible(1, 1000))
	p, err := withItem(8, base.Items[0].Value).PackSince(base)
	if err != nil {
		t.Fatal(err)
	}
	truncated, unknown, whole := p, p, p
	truncated.Data = p.Data[:len(p.Data)-5]
	unknown.Encoding = 9
	whole.Base = ""
	otherItems := base
	otherItems.Items = base.Items[:1]
	for name, c := range map[string]struct {
		packed follower.PackedCopy
		base   follower.Copy
	}{
		"no base":            {p, follower.Copy{}},
		"other items":        {p, otherItems},
		"other value":        {p, withItem(7, incompressible(2, 1000))},
		"truncated":          {truncated, base},
		"unknown encoding":   {unknown, base},
		"base not mentioned": {whole, base},
	} {
		if got, err := c.packed.UnpackSince(c.base); err == nil {
			t.Errorf("%s: UnpackSince accepted the copy, with %d items", name, len(got.Items))
		}
	}
}

func FuzzUnpack(f *testing.F) {
	p, err := withItem(8, []byte("x")).PackSince(follower.Copy{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		p.Data = data
		_, _ = p.Unpack()
	})
}

func TestRecentCopiesAreBounded(t *testing.T) {
	f := &follower.Follower{
		Prefix:   "op/",
		OnChange: func(follower.Copy) {},
	}
	known := func() (n int) {
		for v := range uint64(40) {
			if c, ok := f.Recent(withItem(v, nil).Digest()); ok {
				if c.Items[0].Version != v {
					t.Errorf("Recent of version %d has version %d", v, c.Items[0].Version)
				}
				n++
			}
		}
		return n
	}
	offer := func(from, to uint64, size int) {
		for v := from; v <= to; v++ {
			f.Offer(withItem(v, make([]byte, size)))
		}
	}
	offer(1, 20, 10)
	if n := known(); n != 8 {
		t.Errorf("%d small copies are kept, want 8", n)
	}
	offer(21, 30, 1<<20)
	if n := known(); n != 3 {
		t.Errorf("%d copies of a little over 1 MiB are kept, want 3", n)
	}
	offer(31, 31, 5<<20)
	if n := known(); n != 1 {
		t.Errorf("%d copies are kept after one of 5 MiB, want only that", n)
	}
}
