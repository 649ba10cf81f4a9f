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
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// RecordFaults are what goes wrong at the users' store. The zero value is a
// healthy one.
type RecordFaults struct {
	// Silent answers nothing, and Refuse answers every call with a status code.
	Silent bool
	Refuse int
	// Slow delays every answer.
	Slow time.Duration
	// LoseShare is the part of the changes that are made and not answered, and
	// Late delays those.
	LoseShare float64
	Late      time.Duration
	// Only holds the faults to calls from these IP addresses; none means all.
	Only []string
	// PauseLeases keeps leases from lapsing.
	PauseLeases bool
}

// recordItem, recordEvent and recordLease are what the store holds.
type recordItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

type recordEvent struct {
	recordItem
	Deleted bool `json:"deleted,omitempty"`
}

type recordLease struct {
	ttl     time.Duration
	expires time.Time
}

// Records is the stand-in for the users' store: keys with one revision counter,
// ranges, watches of prefixes, conditional changes, leases.
type Records struct {
	clock  timekeeper.Clock
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	items     map[string]recordItem
	history   []recordEvent
	compacted uint64
	revision  uint64
	leases    map[uint64]*recordLease
	faults    RecordFaults
	calls     map[string]int
	changed   chan struct{}
}

// Shares of the store's rates.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	recordsPage     = 500
)

// NewRecords returns an empty store.
func NewRecords(clock timekeeper.Clock) *Records {
	return &Records{
		clock:    clock,
		writes:   rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:    rate.NewLimiter(readsPerSecond, readsPerSecond),
		items:    map[string]recordItem{},
		leases:   map[uint64]*recordLease{},
		revision: 1,
		calls:    map[string]int{},
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (r *Records) SetFaults(f RecordFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Calls returns the number of calls of a kind so far.
func (r *Records) Calls(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[kind]
}

// Put writes a key as the operator does, and returns the revision.
func (r *Records) Put(key string, value []byte) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.put(key, value, 0)
	r.wake()
	return r.revision
}

// Delete removes a key.
func (r *Records) Delete(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.remove(key)
	r.wake()
}

// Value returns a key's value.
func (r *Records) Value(key string) (value []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	i, ok := r.items[key]
	return i.Value, ok
}

// Compact forgets all history.
func (r *Records) Compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
	r.compacted = r.revision
	r.wake()
}

// Revoke ends all leases at once, and no call shows it but a renewal.
func (r *Records) Revoke() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.leases {
		r.drop(id)
	}
	r.wake()
}

func (r *Records) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// put writes an item at the current revision. The caller holds the lock.
func (r *Records) put(key string, value []byte, lease uint64) {
	i := recordItem{
		Key:     key,
		Value:   value,
		Rev:     r.revision,
		Created: r.revision,
		Lease:   lease,
	}
	if old, ok := r.items[key]; ok {
		i.Created = old.Created
	}
	r.items[key] = i
	r.history = append(r.history, recordEvent{recordItem: i})
}

func (r *Records) remove(key string) {
	if _, ok := r.items[key]; !ok {
		return
	}
	delete(r.items, key)
	r.history = append(r.history, recordEvent{
		recordItem: recordItem{Key: key, Rev: r.revision},
		Deleted:    true,
	})
}

func (r *Records) drop(id uint64) {
	delete(r.leases, id)
	r.revision++
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if r.items[key].Lease == id {
			r.remove(key)
		}
	}
}

func (r *Records) expire() {
	if r.faults.PauseLeases {
		return
	}
	now := r.clock.Now()
	for id, l := range r.leases {
		if now.After(l.expires) {
			r.drop(id)
		}
	}
}

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
