package storer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// maxWait bounds every call. A passing test does not reach it.
const maxWait = 30 * time.Second

// calls are the calls to the platform that a response without end may answer.
var calls = map[string]func(t *testing.T, p storer.Platform) error{
	"get": func(t *testing.T, p storer.Platform) error {
		_, err := p.Get(t.Context(), "a")
		return err
	},
	"put": func(t *testing.T, p storer.Platform) error {
		_, err := p.PutIf(t.Context(), "a", nil, 1, "")
		return err
	},
	"delete": func(t *testing.T, p storer.Platform) error {
		return p.DeleteIf(t.Context(), "a", 1)
	},
	"watch": func(t *testing.T, p storer.Platform) error {
		_, err := p.Watch(t.Context(), "a", 1, time.Second)
		return err
	},
	"renewal": func(t *testing.T, p storer.Platform) error {
		return p.KeepAlive(t.Context(), "a")
	},
	"revocation": func(t *testing.T, p storer.Platform) error {
		return p.Revoke(t.Context(), "a")
	},
}

// checkCalls checks that each call to a platform with the given handler fails with the
// verdict MayHaveRun before its timeout.
func checkCalls(t *testing.T, h http.HandlerFunc) {
	t.Helper()
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(h)
			defer srv.Close()
			start := time.Now()
			err := call(t, storer.NewHTTP(srv.URL, maxWait))
			if err == nil || classifier.VerdictOf(err) != classifier.MayHaveRun {
				t.Errorf("error %v, want a failure with verdict %v", err, classifier.MayHaveRun)
			}
			if took := time.Since(start); took >= maxWait {
				t.Errorf("the call took %v, want less than %v", took, maxWait)
			}
		})
	}
}

func TestEndlessBodyIsNoValue(t *testing.T) {
	chunk := strings.Repeat("x", 64<<10)
	checkCalls(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(storer.VersionHeader, "2")
		for {
			if _, err := io.WriteString(w, chunk); err != nil {
				return
			}
		}
	})
}

func TestLargestValueIsRead(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(storer.VersionHeader, "2")
		_, _ = io.WriteString(w, strings.Repeat("x", storer.MaxValueBytes))
	}))
	defer srv.Close()
	item, err := storer.NewHTTP(srv.URL, maxWait).Get(t.Context(), "a")
	if err != nil || len(item.Value) != storer.MaxValueBytes {
		t.Errorf("got %d bytes, error %v, want %d bytes", len(item.Value), err, storer.MaxValueBytes)
	}
}

func TestLongHeadIsAFailure(t *testing.T) {
	line := strings.Repeat("x", 1<<10)
	checkCalls(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(storer.VersionHeader, "2")
		for range 256 {
			w.Header().Add("Filler", line)
		}
	})
}
