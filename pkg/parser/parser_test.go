package parser_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

func ExampleParse() {
	s, err := parser.Parse("permits.jsonc", []byte(`{
		"name": "permits", // for internal services only
		"versions": [{"name": "v1", "share": 100}],
		"routes": [{"path": "/permits", "methods": ["GET"], "limit": "250ms"}],
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Name, s.Routes[0].EffectiveTimeout())
	// Output: permits 250ms
}

func ExampleFileError() {
	_, err := parser.Parse("permits.jsonc", []byte("{\n\"name\": \"permits\",\n\"color\": 1}"))
	fmt.Println(err)
	// Output: permits.jsonc:3: json: unknown field "color"
}

const route = `"routes": [{"path": "/a"}]`

func TestParseRejects(t *testing.T) {
	versions := `"versions": [{"name": "v1", "share": 100}]`
	tests := []struct {
		name, file, want string
	}{
		{"not JSON", `{`, "x.json"},
		{"second value", `{"name":"a",` + versions + `,` + route + `} {}`, "x.json:1: "},
		{"unknown key", `{"nam":"a"}`, `unknown field "nam"`},
		{"no name", `{` + versions + `,` + route + `}`, "name"},
		{"upper-case name", `{"name":"A",` + versions + `,` + route + `}`, "name"},
		{"no versions", `{"name":"a",` + route + `}`, "0 versions"},
		{"share sum", `{"name":"a","versions":[{"name":"v1","share":90}],` + route + `}`, "sum to 90"},
		{"negative share", `{"name":"a","versions":[{"name":"v1","share":-1},{"name":"v2","share":101}],` + route + `}`, "not in 0 to 100"},
		{"duplicate version", `{"name":"a","versions":[{"name":"v1","share":50},{"name":"v1","share":50}],` + route + `}`, "twice"},
		{"no routes", `{"name":"a",` + versions + `}`, "0 routes"},
		{"relative path", `{"name":"a",` + versions + `,"routes":[{"path":"a"}]}`, "path"},
		{"duplicate route", `{"name":"a",` + versions + `,"routes":[{"path":"/a"},{"path":"/a"}]}`, "twice"},
		{"long limit", `{"name":"a",` + versions + `,"routes":[{"path":"/a","limit":"1h"}]}`, "limit"},
		{"needs itself", `{"name":"a",` + versions + `,` + route + `,"needs":["a"]}`, "needs itself"},
		{"move without by", `{"name":"a",` + versions + `,` + route + `,"move":{"to":"v2"}}`, "by"},
		{"move to current version", `{"name":"a",` + versions + `,` + route + `,"move":{"to":"v1","by":"2030-01-01T00:00:00Z"}}`, "already"},
		{"falling steps", `{"name":"a",` + versions + `,` + route + `,"move":{"to":"v2","by":"2030-01-01T00:00:00Z","steps":[50,10,100]}}`, "rising"},
		{"last step below 100", `{"name":"a",` + versions + `,` + route + `,"move":{"to":"v2","by":"2030-01-01T00:00:00Z","steps":[50]}}`, "end at 100"},
		{"goal of 100 percent", `{"name":"a",` + versions + `,` + route + `,"goals":{"good":1}}`, "good"},
		{"file too large", `{"name":"` + strings.Repeat("a", parser.MaxFileBytes) + `"}`, "over the limit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parser.Parse("x.json", []byte(tt.file))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

func TestCollect(t *testing.T) {
	services, err := parser.Collect("../../examples/services")
	if err != nil || len(services) != 2 {
		t.Fatalf("Collect of the examples: %d services, error %v", len(services), err)
	}
	folder := t.TempDir()
	file := []byte(`{"name":"a","versions":[{"name":"v1","share":100}],` + route + `}`)
	for _, name := range []string{"a.json", "b.jsonc"} {
		if err := os.WriteFile(filepath.Join(folder, name), file, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	_, err = parser.Collect(folder)
	if err == nil || !strings.Contains(err.Error(), "b.jsonc:1:") {
		t.Errorf("service declared in two files: got error %v, want one at b.jsonc:1", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a","versions":[{"name":"v1","share":100}],` + route + `}`))
	f.Add([]byte(`{"move":{"to":"v2","by":"2030-01-01T00:00:00Z","steps":[1,100]}} // end`))
	f.Add([]byte(`[[[[{"a":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parser.Parse("fuzz.json", data)
		if err != nil {
			return
		}
		if err := s.Check(); err != nil {
			t.Errorf("Parse accepted a file that Check rejects: %v", err)
		}
	})
}
