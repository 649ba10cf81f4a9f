package matcher_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

func newPlan() *matcher.Plan {
	rule := func(name, prefix string, timeout time.Duration) matcher.Rule {
		return matcher.Rule{
			Name:    name,
			Prefix:  prefix,
			Splits:  []matcher.WeightedService{{Service: "s", Weight: 1}},
			Timeout: timeout,
		}
	}
	return matcher.New(3, matcher.Limits{}, nil, map[string][]matcher.Rule{
		"a.example": {rule("root", "/", time.Second), rule("pay", "/pay/", 2*time.Second), rule("new", "/pay/new/", time.Second)},
		"B.example": {rule("b", "/b/", time.Second)},
	})
}

func ExamplePlan_Match() {
	for _, path := range []string{"/pay/new/1", "/pay/1", "/x", "/pay"} {
		rule, ok := newPlan().Match("a.example", path)
		fmt.Println(path, rule.Name, ok)
	}
	// Output:
	// /pay/new/1 new true
	// /pay/1 pay true
	// /x root true
	// /pay root true
}

func TestMatchHosts(t *testing.T) {
	for host, want := range map[string]bool{
		"b.example":      true,
		"B.EXAMPLE":      true,
		"b.example:8080": true,
		"c.example":      false,
		"":               false,
	} {
		if _, ok := newPlan().Match(host, "/b/x"); ok != want {
			t.Errorf("host %q matched: %v, want the opposite", host, ok)
		}
	}
	if _, ok := newPlan().Match("b.example", "/x"); ok {
		t.Error("a path without a rule matched a rule")
	}
}

func TestLongestTimeout(t *testing.T) {
	if got := newPlan().LongestTimeout(); got != 2*time.Second {
		t.Errorf("longest timeout %v, want 2s", got)
	}
}

// TestSplitterProportions checks after every request that the number of requests
// that each service got differs from its share by at most one.
func TestSplitterProportions(t *testing.T) {
	splits := []matcher.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 7}, {Service: "c", Weight: 3}}
	var s matcher.Splitter
	counts := make([]float64, len(splits))
	for n := 1.0; n <= 1000; n++ {
		counts[s.Next(splits)]++
		for i, p := range splits {
			if off := math.Abs(counts[i] - n*p.Weight/100); off > 1 {
				t.Fatalf("after %v requests, the count of %s differs from its share by %v, want at most 1", n, p.Service, off)
			}
		}
	}
}
