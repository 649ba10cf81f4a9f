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

// Handler serves the store under a path.
func (r *Records) Handler(base string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, kind string, limiter *rate.Limiter, h http.HandlerFunc) {
		method, path, _ := strings.Cut(pattern, " ")
		mux.HandleFunc(method+" "+base+path, func(w http.ResponseWriter, req *http.Request) {
			if r.fail(w, req, kind, limiter) {
				return
			}
			h(w, req)
		})
	}
	handle("GET kv-key", "get", r.reads, r.serveKey)
	handle("GET kv-range", "range", r.reads, r.serveRange)
	handle("GET kv-watch", "watch", r.reads, r.serveWatch)
	handle("POST kv-txn", "txn", r.writes, r.serveTxn)
	handle("POST kv-lease", "lease", r.writes, r.serveLease)
	handle("POST kv-keep/{id}", "keep", r.reads, r.serveKeep)
	handle("DELETE kv-lease-end/{id}", "end", r.writes, r.serveEnd)
	return mux
}

// fail plays the faults in force and reports whether the call is over.
func (r *Records) fail(w http.ResponseWriter, req *http.Request, kind string, limiter *rate.Limiter) bool {
	r.mu.Lock()
	r.calls[kind]++
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

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *Records) serveKey(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	i, ok := r.items[req.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, i)
}

func (r *Records) serveRange(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
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
		if len(page.Items) == recordsPage {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, r.items[key])
	}
	answerJSON(w, http.StatusOK, page)
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
	for {
		r.mu.Lock()
		r.expire()
		events, asOf, gone := r.since(q.Get("prefix"), after)
		changed := r.changed
		r.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (r *Records) since(prefix string, after uint64) (events []recordEvent, asOf uint64, gone bool) {
	if after < r.compacted {
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

// recordChange is a conditional change.
type recordChange struct {
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
	var c recordChange
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	f := r.faults
	r.mu.Unlock()
	if rand.Float64() < f.LoseShare {
		time.Sleep(f.Late)
		r.change(c)
		panic(http.ErrAbortHandler)
	}
	status, body := r.change(c)
	answerJSON(w, status, body)
}

// change makes a change if its conditions hold.
func (r *Records) change(c recordChange) (status int, body any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	for _, e := range c.Expected {
		if r.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []recordItem{r.items[e.Key]}}
		}
	}
	for _, write := range c.Writes {
		if _, ok := r.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	r.revision++
	for _, write := range c.Writes {
		r.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range c.Remove {
		r.remove(key)
	}
	r.wake()
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
	answerJSON(w, http.StatusOK, map[string]any{"lease": r.revision, "ttl_ms": body.TTL})
}

func (r *Records) serveKeep(w http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(req.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	l, ok := r.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = r.clock.Now().Add(l.ttl)
	answerJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (r *Records) serveEnd(w http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(req.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id)
	r.wake()
	answerJSON(w, http.StatusOK, map[string]any{})
}
