package server

import (
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

func TestSummarize(t *testing.T) {
	common, other := applier.Digest{1}, applier.Digest{2}
	s := summarize("klang", 6, []Head{
		{ID: "e", Revision: 7, Digest: other, Ready: true},
		{ID: "a", Revision: 7, Digest: common, Ready: true},
		{ID: "b", Revision: 7, Digest: common, Ready: true},
		{ID: "c", Revision: 6, Digest: common, Ready: true},
		{ID: "d", Revision: 9, Digest: other},
	})
	if s.Revision != 7 || s.Digest != common || s.Silent != 1 {
		t.Errorf("survey %+v, want revision 7, the common digest and 1 silent daemon", s)
	}
	if s.Behind != 2 || s.Diverged != 1 || len(s.Laggards) != 3 || s.Laggards[0].ID != "c" {
		t.Errorf("survey %+v, want 2 daemons behind, 1 diverged and 3 laggards, the first of them c", s)
	}
}
