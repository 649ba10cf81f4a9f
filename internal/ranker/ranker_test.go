package ranker_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

func TestTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 40, rapid.ID[string]).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		order := ranker.Top(key, ids, len(ids))
		if ranker.First(key, ids) != order[0] {
			t.Fatal("First returned another ID than Top")
		}
		shuffled := rapid.Permutation(ids).Draw(t, "shuffled")
		if !slices.Equal(order, ranker.Top(key, shuffled, len(ids))) {
			t.Fatal("the ranking depends on the order of the input")
		}
		removed := rapid.IntRange(0, len(ids)-1).Draw(t, "removed")
		remaining := slices.Delete(slices.Clone(order), removed, removed+1)
		if !slices.Equal(remaining, ranker.Top(key, remaining, len(remaining))) {
			t.Fatal("removing an ID changed the ranking of the others")
		}
	})
	if ranker.First("key", nil) != "" || len(ranker.Top("key", nil, 2)) != 0 {
		t.Error("the ranking of an empty list is not empty")
	}
}
