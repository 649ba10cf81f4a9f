package tester

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// keyWindow is how long idempotency keys are stored in the test. It is longer
// than all requests with one key take together.
const keyWindow = 15 * time.Second

// startKeyVMs starts five VMs in data centre a, three of them with a target that
// records its requests in a journal, and one VM in data centre b. It publishes a as
// the home data centre, which stores the idempotency keys.
func startKeyVMs(t *testing.T, journals string) []*vm {
	t.Helper()
	platform := startPlatform(t)
	var vms []*vm
	var seeds []string
	for i, dc := range []string{"a", "a", "a", "a", "a", "b"} {
		v := newVM(t, fmt.Sprint(dc, "-", i), dc, platform, seeds...)
		v.settings.Limits = loader.Limits{IdempotencyWindow: parser.Duration{Duration: keyWindow}}
		v.start(t)
		vms = append(vms, v)
		seeds = []string{vms[0].settings.Listen.Control}
		if i < 3 {
			startTarget(t, v, "renewal", "v1", "--journal", filepath.Join(journals, fmt.Sprint(i)), "--work", "50ms")
		}
	}
	files := t.TempDir()
	if err := os.WriteFile(filepath.Join(files, "renewal.json"), []byte(longTimeoutFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, files); err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	if r := sendPayment(t, vms[0], "early", "too-early", "12 euro"); r.verdict != "not-run" && r.status != 404 {
		t.Errorf("payment before the home data centres are published: got %+v, want verdict not-run or status 404", r)
	}
	if out, err := coltsfoot(t, "homes", "--platform", "http://"+platform, "a"); err != nil {
		t.Fatalf("homes: %v\n%s", err, out)
	}
	for _, v := range vms {
		eventually(t, v.settings.Name+" has all members and the home data centres", func() bool {
			s, ok := v.status()
			return ok && s.Revision == 2 && v.metric(t, "member.alive") == 6
		})
	}
	return vms
}

// paymentResult is the outcome of one payment request as its caller observes it.
type paymentResult struct {
	status   int
	verdict  string
	body     string
	replayed bool
}

func sendPayment(t *testing.T, v *vm, id, key, body string) paymentResult {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+v.settings.Listen.Traffic+"/renewals/payments", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", key)
	resp, err := loadClient.Do(req)
	if err != nil {
		return paymentResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return paymentResult{
		status:   resp.StatusCode,
		verdict:  resp.Header.Get("Coltsfoot-Verdict"),
		body:     string(data),
		replayed: resp.Header.Get("Idempotent-Replayed") == "true",
	}
}

// sendPayments sends the same payment count times through the daemons in turn. The
// requests overlap. It returns their results.
func sendPayments(t *testing.T, vms []*vm, prefix, key string, count int) (results []paymentResult) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		wg.Go(func() {
			r := sendPayment(t, vms[i%len(vms)], fmt.Sprintf("%s-%d", prefix, i), key, "12 euro")
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(callInterval)
	}
	wg.Wait()
	return results
}

// countRunsWithPrefix returns the number of runs of requests whose ID has the prefix.
func countRunsWithPrefix(t *testing.T, journals, prefix string) int {
	t.Helper()
	total := 0
	for id, n := range countRuns(t, journals) {
		if strings.HasPrefix(id, prefix+"-") {
			total += n
		}
	}
	return total
}

// logPaymentResults logs the number of results of each kind.
func logPaymentResults(t *testing.T, label string, results []paymentResult) {
	t.Helper()
	counts := map[string]int{}
	for _, r := range results {
		counts[fmt.Sprintf("%d %s replayed=%t", r.status, r.verdict, r.replayed)]++
	}
	t.Logf("%s: %v", label, counts)
}

// TestIdempotencyKeyRetries sends each of two payments many times with the same
// Idempotency-Key through different daemons. Each must run at most once, also when a
// daemon is killed meanwhile.
func TestIdempotencyKeyRetries(t *testing.T) {
	journals := t.TempDir()
	vms := startKeyVMs(t, journals)
	eventually(t, "a first payment succeeds, after the daemons that store the keys have been up for keyWindow", func() bool {
		return sendPayment(t, vms[0], "first", "first", "12 euro").status == 200
	})
	results := sendPayments(t, vms, "steady", "steady", 40)
	logPaymentResults(t, "without faults", results)
	if n := countRunsWithPrefix(t, journals, "steady"); n > 1 {
		t.Errorf("payment ran %d times, want at most 1", n)
	}
	for _, r := range results {
		if r.status != 200 && r.verdict != "may-have-run" {
			t.Errorf("without faults: got %+v, want status 200 or verdict may-have-run", r)
		}
	}
	last := sendPayment(t, vms[3], "steady-last", "steady", "12 euro")
	if last.status != 200 || countRunsWithPrefix(t, journals, "steady") != 1 {
		t.Errorf("retry: got %+v, payment ran %d times; want status 200 and 1 run", last, countRunsWithPrefix(t, journals, "steady"))
	}
	if other := sendPayment(t, vms[2], "steady-other", "steady", "13 euro"); other.status != 422 || other.verdict != "not-run" {
		t.Errorf("different request with the same key: got %+v, want status 422 and verdict not-run", other)
	}
	if repeated := sendPayment(t, vms[1], "steady-repeated", "steady", "12 euro"); !repeated.replayed || repeated.body != last.body {
		t.Errorf("retry: got %+v, want a replay of the stored response %q", repeated, last.body)
	}
	killTimer := time.AfterFunc(60*time.Millisecond, func() { _ = vms[4].daemon.cmd.Process.Signal(syscall.SIGKILL) })
	defer killTimer.Stop()
	logPaymentResults(t, "with a daemon killed", sendPayments(t, vms, "kill", "kill", 40))
	logPaymentResults(t, "after the kill", sendPayments(t, append(vms[:4:4], vms[5]), "kill", "kill", 20))
	if n := countRunsWithPrefix(t, journals, "kill"); n > 1 {
		t.Errorf("payment ran %d times, want at most 1", n)
	}
}
