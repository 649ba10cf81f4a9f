// Package ranker ranks IDs by rendezvous hashing. All callers with the same IDs
// compute the same ranking for a key, and removing an ID leaves the order of
// the others unchanged.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is an ID with its score for a key.
type candidate struct {
	id    string
	score uint64
}

// Top returns the n highest-ranked of the ids for the key, or all of them if
// there are fewer. The result does not depend on the order of ids.
func Top(key string, ids []string, n int) []string {
	candidates := make([]candidate, 0, len(ids))
	for _, id := range ids {
		candidates = append(candidates, candidate{id: id, score: score(key, id)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	top := make([]string, 0, n)
	for _, r := range candidates[:min(n, len(candidates))] {
		top = append(top, r.id)
	}
	return top
}

// First returns the highest-ranked of the ids for the key, or "" if ids is
// empty.
func First(key string, ids []string) string {
	var best candidate
	for _, id := range ids {
		s := score(key, id)
		if best.id == "" || s > best.score || (s == best.score && id < best.id) {
			best = candidate{id: id, score: s}
		}
	}
	return best.id
}

// score returns the hash of key and id. The zero byte separates them.
func score(key, id string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return h.Sum64()
}
