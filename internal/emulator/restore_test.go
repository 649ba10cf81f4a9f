package emulator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// restoreHarness is a store with its HTTP server.
type restoreHarness struct {
	t       *testing.T
	records *emulator.Records
	url     string
}

// call sends a call and returns its status, the era and the body. The status is 0 if there was no
// response.
func (h restoreHarness) call(method, path, body string) (status int, era string, result map[string]any) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), 30*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, h.url+"/"+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&result) // failures have no body
	return resp.StatusCode, resp.Header.Get(emulator.EraHeader), result
}

// TestRestore checks what a restored store has lost and gives out again.
func TestRestore(t *testing.T) {
	records := emulator.NewRecords(timekeeper.System{})
	server := httptest.NewServer(records.Handler("/"))
	defer server.Close()
	h := restoreHarness{
		t:       t,
		records: records,
		url:     server.URL,
	}
	records.Put("op/kept", []byte("1"))
	records.Put("op/changed", []byte("1"))
	records.Put("op/removed", []byte("1"))
	backup := records.Backup()
	records.Put("op/changed", []byte("2"))
	records.Delete("op/removed")
	records.Put("op/added", []byte("1"))
	records.Put("own/added", []byte("1"))
	_, era, lease := h.call("POST", "kv-lease", `{"ttl_ms":60000}`)
	if era != "0" {
		t.Errorf("era %q, want 0", era)
	}
	newest := int(lease["lease"].(float64))
	cut := make(chan int)
	go func() {
		status, _, _ := h.call("GET", fmt.Sprintf("kv-watch?prefix=op/&after=%d&wait_ms=20000", newest), "")
		cut <- status
	}()
	for records.Calls("watch") == 0 {
		time.Sleep(time.Millisecond)
	}
	records.Restore(backup)
	if status := <-cut; status != 0 && status != 410 {
		t.Errorf("a watch of the earlier era got status %d, want a cut or 410", status)
	}
	if status, era, _ := h.call("GET", fmt.Sprintf("kv-watch?prefix=op/&after=%d&wait_ms=1", newest), ""); status != 410 || era != "1" {
		t.Errorf("watch from a lost revision: status %d, era %q, want 410 and 1", status, era)
	}
	if status, _, _ := h.call("POST", fmt.Sprintf("kv-keep/%d", newest), ""); status != 404 {
		t.Errorf("renewal of a lost lease: status %d, want 404", status)
	}
	if _, _, again := h.call("POST", "kv-lease", `{"ttl_ms":60000}`); int(again["lease"].(float64)) >= newest {
		t.Errorf("lease %v, want an ID below %d", again["lease"], newest)
	}
	check := func(want map[string]string) {
		t.Helper()
		for key, value := range want {
			if got, _ := records.Value(key); string(got) != value {
				t.Errorf("%s = %q, want %q", key, got, value)
			}
		}
	}
	check(map[string]string{"op/kept": "1", "op/changed": "1", "op/removed": "1", "op/added": "", "own/added": ""})
	records.Restore(backup)
	records.WriteAgain()
	check(map[string]string{"op/kept": "1", "op/changed": "2", "op/removed": "", "op/added": "1", "own/added": ""})
	records.Restore(backup)
	records.Put("op/added", []byte("3"))
	records.WriteAgain()
	check(map[string]string{"op/kept": "1", "op/changed": "2", "op/removed": "", "op/added": "3", "own/added": ""})
}
