package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Handler returns a handler for the platform's HTTP protocol. PUT /v1/faults
// replaces the faults, and GET /v1/counts returns the counts, both as JSON.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", p.serveGet)
	mux.HandleFunc("PUT /v1/keys/{key...}", p.servePut)
	mux.HandleFunc("DELETE /v1/keys/{key...}", p.serveDelete)
	mux.HandleFunc("POST /v1/leases", p.serveGrant)
	mux.HandleFunc("POST /v1/leases/{id}", p.serveKeepAlive)
	mux.HandleFunc("DELETE /v1/leases/{id}", p.serveRevoke)
	mux.HandleFunc("PUT /v1/faults", p.serveFaults)
	mux.HandleFunc("GET /v1/counts", p.serveCounts)
	return mux
}

// reply writes the response to a call that returned err. It closes the connection
// without a response in an outage or if err has the verdict MayHaveRun.
func reply(w http.ResponseWriter, version uint64, body []byte, err error) {
	switch {
	case err == nil:
		w.Header().Set(storer.VersionHeader, strconv.FormatUint(version, 10))
		_, _ = w.Write(body)
	case errors.Is(err, storer.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, storer.ErrLeaseExpired):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, errOutage), classifier.VerdictOf(err) == classifier.MayHaveRun:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	}
}

// requestVersion returns the version in the request's header, or 0 if the header is
// missing or invalid.
func requestVersion(r *http.Request) uint64 {
	version, err := strconv.ParseUint(r.Header.Get(storer.VersionHeader), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		item, err := p.get(r.Context(), key)
		reply(w, item.Version, item.Value, err)
		return
	}
	item, err := p.watch(r.Context(), key, requestVersion(r), wait)
	reply(w, item.Version, item.Value, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := storer.LeaseID(r.Header.Get(storer.LeaseHeader))
	version, err := p.putIf(r.Context(), r.PathValue("key"), body, requestVersion(r), id)
	reply(w, version, nil, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	reply(w, 0, nil, p.deleteIf(r.Context(), r.PathValue("key"), requestVersion(r)))
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	var want storer.LeaseGrant
	if err := json.NewDecoder(r.Body).Decode(&want); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := p.grant(r.Context(), time.Duration(want.TTL)*time.Millisecond)
	want.ID = id
	body, _ := json.Marshal(want)
	reply(w, 0, body, err)
}

func (p *Platform) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	reply(w, 0, nil, p.keepAlive(r.Context(), storer.LeaseID(r.PathValue("id"))))
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	reply(w, 0, nil, p.revoke(r.Context(), storer.LeaseID(r.PathValue("id"))))
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Counts())
}
