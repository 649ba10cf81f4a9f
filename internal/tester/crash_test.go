package tester

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// crashMark is the Crash-Mark header that crashes the test's targets.
const crashMark = "boom"

// sendCrashRequest sends one request that crashes the target that runs it.
func sendCrashRequest(t *testing.T, v *vm, i int) (status int, verdict string) {
	t.Helper()
	req, err := http.NewRequest("GET", "http://"+v.settings.Listen.Traffic+"/renewals/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Crash-Mark", crashMark)
	req.Header.Set("X-Request-Id", fmt.Sprint("crash-", i))
	resp, err := loadClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("Coltsfoot-Verdict")
}

// TestCrashRequest sends 30 requests, each of which crashes the target that runs it,
// while other requests are in flight. They must crash one or two of the four targets,
// and no other request may still be rejected when its retries end.
func TestCrashRequest(t *testing.T) {
	platform := startPlatform(t)
	var vms []*vm
	var targets []*process
	var seeds []string
	for i := range 4 {
		v := startVM(t, fmt.Sprint("a-", i), "a", platform, seeds...)
		vms = append(vms, v)
		seeds = []string{vms[0].settings.Listen.Control}
		targets = append(targets, startTarget(t, v, "renewal", "v1", "--crash", crashMark, "--work", "5ms"))
	}
	files := t.TempDir()
	if err := os.WriteFile(filepath.Join(files, "renewal.json"), []byte(longTimeoutFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, files); err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	for _, v := range vms {
		eventually(t, v.settings.Name+" has four targets in its membership table", func() bool {
			s, ok := v.status()
			serving := 0
			for _, m := range s.Members {
				if m.Serves() {
					serving++
				}
			}
			return ok && s.Revision == 1 && serving == 4
		})
	}
	l := startLoad(true, vms...)
	waitUnderLoad()
	verdicts := map[string]int{}
	for i := range 30 {
		status, verdict := sendCrashRequest(t, vms[i%len(vms)], i)
		verdicts[fmt.Sprint(status, " ", verdict)]++
		time.Sleep(retryDelay)
	}
	waitUnderLoad()
	succeeded := 0
	results := l.finish()
	for _, r := range results {
		if r.status == 200 {
			succeeded++
		} else if r.verdict == "not-run" {
			t.Errorf("%s: still rejected as not run after the last retry: %s", r.id, r.reason)
		}
	}
	crashed := 0
	for _, p := range targets {
		select {
		case <-p.done:
			crashed++
		default:
		}
	}
	t.Logf("%d of 4 targets crashed; results of the crash requests: %v; %d of %d other calls succeeded", crashed, verdicts, succeeded, len(results))
	if crashed < 1 || crashed > 2 {
		t.Errorf("%d of 4 targets crashed, want 1 or 2", crashed)
	}
}
