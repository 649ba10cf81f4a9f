package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Handler returns a handler for the store's HTTP protocol. BasePath is the prefix
// of the URL path.
func (r *Records) Handler(basePath string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, kind string, limiter *rate.Limiter, h http.HandlerFunc) {
		method, path, _ := strings.Cut(pattern, " ")
		mux.HandleFunc(method+" "+basePath+path, func(w http.ResponseWriter, req *http.Request) {
			w = eraWriter{
				ResponseWriter: w,
				records:        r,
			}
			if r.beginCall(w, req, kind, limiter) {
				return
			}
			h(w, req)
		})
	}
	handle("GET kv-key", "get", r.readLimiter, r.serveKey)
	handle("GET kv-range", "range", r.readLimiter, r.serveRange)
	handle("GET kv-watch", "watch", r.readLimiter, r.serveWatch)
	handle("POST kv-txn", "txn", r.writeLimiter, r.serveTxn)
	handle("POST kv-lease", "lease", r.writeLimiter, r.serveLease)
	handle("POST kv-keep/{id}", "keep", r.readLimiter, r.serveKeepAlive)
	handle("DELETE kv-lease-end/{id}", "end", r.writeLimiter, r.serveEndLease)
	return mux
}

// eraWriter adds the header of the store's era to a response.
type eraWriter struct {
	http.ResponseWriter
	records *Records
}

func (w eraWriter) WriteHeader(status int) {
	w.Header().Set(EraHeader, strconv.FormatUint(w.records.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// beginCall counts a call and applies the rate limit and the faults Slow, Silent
// and Refuse to it. It reports whether the call has ended.
func (r *Records) beginCall(w http.ResponseWriter, req *http.Request, kind string, limiter *rate.Limiter) bool {
	r.mu.Lock()
	r.callCounts[kind]++
	f := r.faults
	r.mu.Unlock()
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil || len(f.Only) > 0 && !slices.Contains(f.Only, host) {
		f = RecordFaults{}
	}
	if f.Slow > 0 {
		time.Sleep(f.Slow)
	}
	switch {
	case f.Silent:
		<-req.Context().Done()
		return true
	case f.Refuse > 0:
		w.WriteHeader(f.Refuse)
		return true
	case !limiter.Allow():
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	}
	return false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *Records) serveKey(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLeases()
	i, ok := r.items[req.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (r *Records) serveRange(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLeases()
	q := req.URL.Query()
	var page struct {
		Items   []recordItem `json:"items"`
		HasMore bool         `json:"has_more"`
		AsOf    uint64       `json:"as_of"`
	}
	page.AsOf = r.revision
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, r.items[key])
	}
	writeJSON(w, http.StatusOK, page)
}

func (r *Records) serveWatch(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	era := r.era.Load()
	for {
		changed, answered := r.answerWatch(ctx, w, q.Get("prefix"), after, era)
		if answered {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// answerWatch answers a watch that began in an era, if there are events or its time is up.
// It cuts the connection if the era has ended. Otherwise it returns the channel that is
// closed at the next change. It writes the response under the lock, so that the era in its
// header is that of its events.
func (r *Records) answerWatch(ctx context.Context, w http.ResponseWriter, prefix string, after, era uint64) (changed <-chan struct{}, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLeases()
	if r.era.Load() != era {
		panic(http.ErrAbortHandler)
	}
	events, asOf, gone := r.eventsAfter(prefix, after)
	switch {
	case gone:
		w.WriteHeader(http.StatusGone)
	case len(events) > 0 || ctx.Err() != nil:
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
	default:
		return r.changed, false
	}
	return nil, true
}

// eventsAfter returns the events under a prefix after a revision, and the current
// revision. The result gone means that the history after that revision has been
// compacted, or that the store does not have the revision. The caller holds the lock.
func (r *Records) eventsAfter(prefix string, after uint64) (events []recordEvent, asOf uint64, gone bool) {
	if after < r.compacted || after > r.revision {
		return nil, 0, true
	}
	events = []recordEvent{}
	for _, e := range r.history {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, r.revision, false
}

// recordTxn is the body of a conditional transaction. It applies Writes and
// Remove only if each key in Expected still has the revision Rev.
type recordTxn struct {
	Expected []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (r *Records) serveTxn(w http.ResponseWriter, req *http.Request) {
	var txn recordTxn
	if err := json.NewDecoder(req.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	f := r.faults
	r.mu.Unlock()
	if rand.Float64() < f.LoseShare {
		time.Sleep(f.Late)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.applyTxn(txn)
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status, body := r.applyTxn(txn)
	writeJSON(w, status, body)
}

// applyTxn applies a transaction if its conditions hold. It returns the HTTP
// status and the body of the response. The caller holds the lock.
func (r *Records) applyTxn(txn recordTxn) (status int, body any) {
	r.expireLeases()
	for _, e := range txn.Expected {
		if r.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []recordItem{r.items[e.Key]}}
		}
	}
	for _, write := range txn.Writes {
		if _, ok := r.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	r.revision++
	for _, write := range txn.Writes {
		r.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		r.deleteKey(key)
	}
	r.notifyWatches()
	return http.StatusOK, map[string]uint64{"rev": r.revision}
}

func (r *Records) serveLease(w http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	r.leases[r.revision] = &recordLease{
		ttl:     ttl,
		expires: r.clock.Now().Add(ttl),
	}
	writeJSON(w, http.StatusOK, map[string]any{"lease": r.revision, "ttl_ms": body.TTL})
}

func (r *Records) serveKeepAlive(w http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(req.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLeases()
	l, ok := r.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = r.clock.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (r *Records) serveEndLease(w http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(req.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deleteLease(id)
	r.notifyWatches()
	writeJSON(w, http.StatusOK, map[string]any{})
}
