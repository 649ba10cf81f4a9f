package applier_test

import (
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
)

// TestHomes checks the rules for changing the list of home data centres, and that a
// snapshot preserves the list.
func TestHomes(t *testing.T) {
	since := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	homes := func(after time.Duration, former, names []string) applier.Change {
		return applier.Change{Homes: &applier.Homes{
			DataCentres: names,
			Previous:    former,
			Published:   since.Add(after),
		}}
	}
	first := []string{"a", "b"}
	e, err := new(applier.State).NewEntry("id", "test", since, homes(0, nil, first))
	if err != nil {
		t.Fatal(err)
	}
	s, err := new(applier.State).Apply(e)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := applier.Restore(s.Snapshot())
	if err != nil || len(restored.Homes().DataCentres) != 2 || restored.Digest() != s.Digest() {
		t.Errorf("Restore: homes %+v, error %v", restored.Homes(), err)
	}
	for _, c := range []struct {
		name   string
		change applier.Change
		ok     bool
	}{
		{"valid", homes(applier.MinHomesInterval, first, []string{"a", "c"}), true},
		{"too soon", homes(applier.MinHomesInterval-time.Second, first, []string{"a", "c"}), false},
		{"wrong former list", homes(applier.MinHomesInterval, []string{"a"}, []string{"a", "c"}), false},
		{"empty list", homes(applier.MinHomesInterval, first, nil), false},
		{"duplicate name", homes(applier.MinHomesInterval, first, []string{"a", "a"}), false},
		{"empty name", homes(applier.MinHomesInterval, first, []string{"a", ""}), false},
	} {
		if _, err := s.NewEntry("id", "test", since, c.change); (err == nil) != c.ok {
			t.Errorf("%s: NewEntry returned error %v, want an error unless the list is valid", c.name, err)
		}
	}
}
