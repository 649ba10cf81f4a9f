package loader_test

import (
	"strings"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
)

func TestExampleFile(t *testing.T) {
	s, err := loader.Load("../../examples/coltsfootd.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "zilina-1" || s.Limits.MaxQueued != 64 {
		t.Errorf("got settings %+v, want name zilina-1 and queue 64", s)
	}
}

func TestParseRejects(t *testing.T) {
	const listen = `"listen":{"traffic":"127.0.0.1:1","admit":"127.0.0.1:2","control":"127.0.0.1:3","operator":"127.0.0.1:4"}`
	const platformAndKey = `"platform":"http://127.0.0.1:9","key":"0123456789abcdef"`
	tests := []struct{ name, file, want string }{
		{"unknown key", `{"nme":"a"}`, "unknown field"},
		{"no name", `{"dc":"d",` + listen + `,` + platformAndKey + `}`, "name"},
		{"host name instead of an IP address", `{"name":"a","dc":"d",` + strings.Replace(listen, "127.0.0.1:1", "localhost:1", 1) + `,` + platformAndKey + `}`, "listen.traffic"},
		{"operator address not loopback", `{"name":"a","dc":"d",` + strings.Replace(listen, "127.0.0.1:4", "0.0.0.0:4", 1) + `,` + platformAndKey + `}`, "loopback"},
		{"short key", `{"name":"a","dc":"d",` + listen + `,"platform":"http://x","key":"short"}`, "key"},
		{"all errors reported", `{}`, "dc"},
		{"invalid log level", `{"name":"a","dc":"d",` + listen + `,` + platformAndKey + `,"log":{"level":"loud"}}`, "log.level"},
		{"negative limit", `{"name":"a","dc":"d",` + listen + `,` + platformAndKey + `,"limits":{"queue":-1}}`, "negative"},
		{"negative number of targets", `{"name":"a","dc":"d",` + listen + `,` + platformAndKey + `,"sidecar":{"stay":-1}}`, "sidecar.stay"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.Parse("x.jsonc", []byte(tt.file))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

func TestParseRevoke(t *testing.T) {
	const file = `{"name":"a","dc":"d","listen":{"traffic":"127.0.0.1:1","admit":"127.0.0.1:2","control":"127.0.0.1:3","operator":"127.0.0.1:4"},
"platform":"127.0.0.1:9","key":"0123456789abcdef","sidecar":{"service":"s","target":"127.0.0.1:5","ready":"127.0.0.1:6","metrics":"127.0.0.1:7",
"heartbeat":"1s","grace":"6s","memory":100REVOKE}}`
	for revoke, valid := range map[string]bool{
		"":                  true,
		`,"revoke":"3s"`:    true,
		`,"revoke":"2.9s"`:  false,
		`,"revoke":"-5s"`:   false,
		`,"revoke":5000`:    false,
		`,"revoke":"5 sec"`: false,
	} {
		if _, err := loader.Parse("x.jsonc", []byte(strings.Replace(file, "REVOKE", revoke, 1))); (err == nil) != valid {
			t.Errorf("%q: error %v, want valid %v", revoke, err, valid)
		}
	}
}
