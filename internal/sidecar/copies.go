package sidecar

import (
	"context"

	"github.com/coltsfootlane/coltsfootlane/internal/follower"
)

// copyRequest requests a daemon's copy of the records under a prefix if that has
// something that a copy with the mark lacks.
type copyRequest struct {
	Prefix string `json:"prefix"`
	follower.Mark
	// Base is the digest of the requester's own copy, against which the copy may be
	// packed. Daemons of older versions send none; they understand only whole copies
	// of JSON.
	Base string `json:"base,omitempty"`
	// Values holds the hashes of the values that the requester has, if the store has eras.
	// They are left out of the losses in the response.
	Values []uint64 `json:"values,omitempty"`
}

// fetchAnnouncedCopy fetches the copy that a relay update announces. It returns at once
// if another such fetch of the same prefix is in progress. A change that this fetch
// misses is fetched after a later update.
func (d *Daemon) fetchAnnouncedCopy(f *follower.Follower, address string) {
	if _, busy := d.fetching.LoadOrStore(f.Prefix, true); busy {
		return
	}
	defer d.fetching.Delete(f.Prefix)
	d.fetchCopy(context.Background(), f, address)
}

// fetchCopy fetches another daemon's copy of the records and applies it if it is
// newer.
func (d *Daemon) fetchCopy(ctx context.Context, f *follower.Follower, address string) {
	current, _ := f.Copy()
	q := copyRequest{
		Prefix: f.Prefix,
		Mark:   current.Mark(),
		Base:   current.Digest(),
	}
	if current.Era > 0 {
		q.Values = current.ValueHashes()
	}
	if d.fetchCopySince(ctx, f, address, q, current) {
		return
	}
	q.Base, q.Values = "", nil
	d.fetchCopySince(ctx, f, address, q, follower.Copy{})
}

// fetchCopySince sends one request for a copy and applies the response, which may be
// packed against base. It reports whether the response, if any, could be decoded.
func (d *Daemon) fetchCopySince(ctx context.Context, f *follower.Follower, address string, q copyRequest, base follower.Copy) (ok bool) {
	start := d.clock.Now()
	var packed follower.PackedCopy
	err := d.client.Call(ctx, address, copyMethod, q, &packed)
	took := d.clock.Now().Sub(start)
	if err != nil {
		d.incrementCounter("copy.failed")
		d.log.Warn("records not fetched from peer", "peer", address, "prefix", f.Prefix, "known", q.Revision,
			"took", took, "err", err)
		return true
	}
	if len(packed.Data) == 0 || !q.Lacks(packed.Mark) {
		return true
	}
	c, err := packed.UnpackSince(base)
	if err != nil {
		d.incrementCounter("copy.failed")
		d.log.Error("records of peer not decoded", "peer", address, "prefix", f.Prefix, "known", q.Revision,
			"revision", packed.Revision, "base", packed.Base, "err", err)
		return false
	}
	d.time("copy.fetch", took)
	if f.Offer(c) {
		d.log.Info("newer records fetched from peer", "peer", address, "prefix", f.Prefix, "era", c.Era, "revision", c.Revision, "lost", len(c.Lost.Entries),
			"bytes", packed.Size(), "whole", packed.Base == "", "took", took)
	}
	return true
}

// handleCopy returns the requested copy, or an empty one if there is no newer
// copy.
func (d *Daemon) handleCopy(_ context.Context, q copyRequest) (follower.PackedCopy, error) {
	for _, f := range d.followers() {
		if c, ok := f.Copy(); ok && f.Prefix == q.Prefix && q.Lacks(c.Mark()) {
			p, err := d.packCopy(f, c, q.Base)
			if err == nil && len(q.Values) > 0 {
				p, err = p.WithLosses(c.Lost.WithoutValues(q.Values))
			}
			if err == nil {
				d.countCopy(p)
			}
			return p, err
		}
	}
	return follower.PackedCopy{}, nil
}

// packedKey identifies an encoding of the current copy of a prefix: whole as JSON,
// or against the copy with the digest base, or whole if base is empty.
type packedKey struct {
	prefix, base string
	json         bool
}

// packCopy encodes a copy for a daemon whose own has the digest base. The result is
// cached, because many daemons request the same revision.
func (d *Daemon) packCopy(f *follower.Follower, c follower.Copy, base string) (follower.PackedCopy, error) {
	key := packedKey{
		prefix: f.Prefix,
		json:   base == "",
	}
	mark := c.Mark()
	known, ok := f.Recent(base)
	if ok {
		key.base = base
	}
	d.packedMu.Lock()
	defer d.packedMu.Unlock()
	if p, ok := d.packed[key]; ok && p.Mark == mark {
		return p, nil
	}
	p, err := c.PackSince(known)
	if key.json {
		p, err = c.Pack()
	}
	if err != nil {
		return follower.PackedCopy{}, err
	}
	for k, old := range d.packed {
		if k.prefix == f.Prefix && old.Mark != mark {
			delete(d.packed, k)
		}
	}
	d.packed[key] = p
	d.log.Info("records packed for peers", "prefix", f.Prefix, "era", c.Era, "revision", c.Revision, "bytes", p.Size(),
		"whole", p.Base == "")
	return p, nil
}
