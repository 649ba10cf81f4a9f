package challenger_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/challenger"
)

// run runs all cases under all policies. The results are ordered by case, then by
// policy.
func run(seeds uint64, cases []challenger.Case, policies ...challenger.Policy) []challenger.Result {
	results := make([]challenger.Result, len(cases)*len(policies))
	var wg sync.WaitGroup
	for i, c := range cases {
		for j, p := range policies {
			wg.Go(func() { results[i*len(policies)+j] = challenger.RunSeeds(c, p, seeds) })
		}
	}
	wg.Wait()
	return results
}

// TestGoals runs the daemon's policy and the baseline on the same arrivals. It
// compares the results with the golden file and checks the goals for the daemon's
// policy.
func TestGoals(t *testing.T) {
	const maxAttempts = 1.1
	results := run(1, challenger.Cases(), challenger.Baseline(), challenger.DaemonPolicy())
	goldie.New(t).Assert(t, "cases", []byte(challenger.Table(results)))
	for i := 0; i < len(results); i += 2 {
		baseline, daemon := results[i], results[i+1]
		if baseline.Calls != daemon.Calls {
			t.Errorf("%s: the policies got different arrivals", daemon.Case)
		}
		if daemon.RepeatedRuns > 0 || daemon.WrongNotRun > 0 {
			t.Errorf("%s: %d non-idempotent calls ran more than once, %d calls with the verdict not-run have run; want none", daemon.Case, daemon.RepeatedRuns, daemon.WrongNotRun)
		}
		if daemon.Case == "cold targets join" && daemon.ColdOverCapacity > 0 {
			t.Errorf("%s: %d requests started beyond a cold target's capacity, want none", daemon.Case, daemon.ColdOverCapacity)
		}
		if daemon.Amplification() > maxAttempts {
			t.Errorf("%s: %.3f attempts per call, want at most maxAttempts", daemon.Case, daemon.Amplification())
		}
	}
}

// TestNonIdempotentCallsWithReplicas checks that replicas of idempotent calls cause
// no repeated run of a non-idempotent call and no wrong not-run verdict, when a target
// fails or becomes cold.
func TestNonIdempotentCallsWithReplicas(t *testing.T) {
	policies := challenger.AlternativePolicies()
	for _, r := range run(1, challenger.Cases()[3:5], policies[len(policies)-1]) {
		if r.RepeatedRuns > 0 || r.WrongNotRun > 0 {
			t.Errorf("%s: %d non-idempotent calls ran more than once, %d calls with the verdict not-run have run; want none", r.Case, r.RepeatedRuns, r.WrongNotRun)
		}
	}
}

// BenchmarkVariants prints the results of the daemon's policy, the baseline and the
// alternative policies.
func BenchmarkVariants(b *testing.B) {
	policies := append([]challenger.Policy{challenger.DaemonPolicy()}, challenger.AlternativePolicies()...)
	for b.Loop() {
		fmt.Println(challenger.Table(run(5, challenger.Cases(), challenger.Baseline(), challenger.DaemonPolicy())))
		fmt.Println(challenger.Table(run(5, challenger.Loads(), policies...)))
		fmt.Println(challenger.Table(run(5, challenger.Warmups(), challenger.Baseline(), challenger.DaemonPolicy())))
	}
}
