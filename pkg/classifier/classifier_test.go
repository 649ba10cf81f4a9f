package classifier_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

func ExampleVerdictOf() {
	rejected := classifier.NewFailure(classifier.NotRun, "no free slot", nil)
	wrapped := fmt.Errorf("reserve slot: %w", rejected)
	fmt.Println(classifier.VerdictOf(wrapped))
	fmt.Println(classifier.VerdictOf(errors.New("connection reset")))
	// Output:
	// not-run
	// may-have-run
}

func TestVerdictText(t *testing.T) {
	for _, v := range []classifier.Verdict{classifier.MayHaveRun, classifier.NotRun, classifier.Ran} {
		got, err := classifier.ParseVerdict(v.String())
		if err != nil || got != v {
			t.Errorf("ParseVerdict(%q) = %v, %v; want the verdict of that name", v, got, err)
		}
	}
	if _, err := classifier.ParseVerdict("no-such-verdict"); err == nil {
		t.Error("ParseVerdict accepted an unknown verdict")
	}
}
