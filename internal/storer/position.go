package storer

import "cmp"

// Position is a point in the history of the service. A service that has been restored from
// an older copy of its data begins another era, in which it gives out revisions again. The
// zero Position is before all others.
type Position struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

// After reports whether p is later than o.
func (p Position) After(o Position) bool {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision)) > 0
}
