package distributor

import "math"

// fanout is the largest number of daemons to which one daemon forwards a revision.
const fanout = 8

// Span is an inclusive range of tree positions. Positions differ from revision to
// revision, so that the load of forwarding is spread over the daemons.
type Span struct {
	Low  uint64 `json:"low"`
	High uint64 `json:"high"`
}

// fullSpan contains all positions.
var fullSpan = Span{
	Low:  0,
	High: math.MaxUint64,
}

// position returns the peer's position in the tree of a revision.
func (p Peer) position(revision uint64) uint64 { return mix(p.hash ^ mix(revision)) }

// subtree is a part of the tree: its root, which is the peer with the lowest
// position, and the span of positions to which the root forwards the revision.
type subtree struct {
	root Peer
	span Span
}

// subtrees divides s into equal parts and returns those that contain peers other
// than self. The division does not depend on the view, so daemons with different
// views agree on the parts.
func (v View) subtrees(self string, revision uint64, s Span) []subtree {
	var roots [fanout]struct {
		peer     *Peer
		position uint64
	}
	width := (s.High-s.Low)/fanout + 1
	for i := range v.local {
		p := &v.local[i]
		pos := p.position(revision)
		if pos < s.Low || pos > s.High || p.ID == self {
			continue
		}
		r := &roots[(pos-s.Low)/width]
		if r.peer == nil || pos < r.position {
			r.peer, r.position = p, pos
		}
	}
	var parts []subtree
	for i, r := range roots {
		if r.peer != nil {
			parts = append(parts, subtree{root: *r.peer, span: s.part(i, width).after(r.position)})
		}
	}
	return parts
}

// part returns the i-th part of the span, given the width of each part.
func (s Span) part(i int, width uint64) Span {
	low := s.Low + uint64(i)*width
	high := s.High
	if s.High-low >= width {
		high = low + width - 1
	}
	return Span{
		Low:  low,
		High: high,
	}
}

// after returns the part of the span that follows position; it is empty if there is
// none.
func (s Span) after(position uint64) Span {
	if position >= s.High {
		return Span{
			Low:  1,
			High: 0,
		}
	}
	return Span{
		Low:  position + 1,
		High: s.High,
	}
}

// empty reports whether the span contains no position.
func (s Span) empty() bool { return s.Low > s.High }
