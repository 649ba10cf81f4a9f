package loader_test

import (
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
)

// duty returns the settings of a daemon with one duty, whose text old is replaced by new.
func duty(old, replacement string) string {
	return `{"name":"a","dc":"d","listen":{"traffic":"127.0.0.1:1","admit":"127.0.0.1:2","control":"127.0.0.1:3","operator":"127.0.0.1:4"},
		"platform":"127.0.0.1:9","key":"0123456789abcdef",
		"sidecar":{"service":"s","target":"127.0.0.1:5","ready":"127.0.0.1:6","metrics":"127.0.0.1:7","heartbeat":"1s","grace":"6s","memory":100,
			"duties":{"usage":` + strings.Replace(`{"address":"127.0.0.1:8","window":"5s","late":"10s","lease":"3s","thaw":"300ms","pace":50}`, old, replacement, 1) + `}}}`
}

func TestDutySettings(t *testing.T) {
	s, err := loader.Parse("x.jsonc", []byte(duty("", "")))
	if err != nil {
		t.Fatal(err)
	}
	if d := s.Sidecar.Duties["usage"]; d.Address != "127.0.0.1:8" || d.Window.Duration != 5*time.Second || d.Pace != 50 {
		t.Errorf("duty %+v differs from the settings", d)
	}
	tests := []struct{ name, old, replacement, want string }{
		{"host name instead of an IP address", "127.0.0.1:8", "localhost:8", "sidecar.duties.usage.address"},
		{"no address", `"address":"127.0.0.1:8",`, "", "sidecar.duties.usage.address"},
		{"no window", `"window":"5s",`, "", "window"},
		{"negative late", `"10s"`, `"-1s"`, "late"},
		{"no thaw", `"thaw":"300ms",`, "", "thaw"},
		{"lease below three times thaw", `"3s"`, `"800ms"`, "lease"},
		{"no pace", `"pace":50`, `"pace":0`, "pace"},
		{"unknown key", `"pace":50`, `"speed":50`, "unknown field"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.Parse("x.jsonc", []byte(duty(tt.old, tt.replacement)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}
