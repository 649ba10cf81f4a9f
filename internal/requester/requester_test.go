package requester_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/requester"
)

type document struct {
	Name string `json:"name"`
}

func TestDo(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var d document
		if err := json.NewDecoder(r.Body).Decode(&d); err != nil || r.Method != http.MethodPut {
			http.Error(w, "bad document", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(document{Name: d.Name + " seen"})
	}))
	defer server.Close()
	var got document
	err := requester.Do(t.Context(), http.MethodPut, server.URL, document{Name: "klang"}, &got)
	if err != nil || got.Name != "klang seen" {
		t.Errorf("got result %+v, error %v; want the changed document", got, err)
	}
	err = requester.Do(t.Context(), http.MethodPut, server.URL, nil, &got)
	if err == nil || !strings.Contains(err.Error(), "bad document") {
		t.Errorf("request without a body: got %v, want the text of the response", err)
	}
}
