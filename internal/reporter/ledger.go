package reporter

import (
	"slices"
	"sync"
	"time"
)

// Window is a time span over which the burn rate is reported.
type Window struct {
	Name string
	// Buckets is the number of buckets that the window spans.
	Buckets int
	// Hourly means that a bucket is an hour; otherwise it is a minute.
	Hourly bool
}

// Numbers of buckets in the two series of a key, and of minutes in an hourly bucket.
const (
	minuteBuckets  = 60
	hourBuckets    = 72
	minutesPerHour = 60
)

// windows are the time spans of the burn rates: short ones for alerts, long
// ones for the error budget.
var windows = []Window{
	{Name: "5m", Buckets: 5},
	{Name: "1h", Buckets: 60},
	{Name: "6h", Buckets: 6, Hourly: true},
	{Name: "3d", Buckets: 72, Hourly: true},
}

// history holds the tallies of one key.
type history struct {
	minutes *series
	hours   *series
}

// senderState identifies the last batch received from a sender.
type senderState struct {
	run        int64
	lastNumber int64
	minute     int64
}

// Ledger holds the tallies that an aggregator has received for its services. It
// is safe for concurrent use. The zero value is ready to use.
type Ledger struct {
	mu        sync.Mutex
	histories map[Key]*history
	senders   map[string]senderState
	// knownServices holds the services for which tallies were added or
	// imported.
	knownServices map[string]bool
}

// init allocates the maps of a zero Ledger.
func (l *Ledger) init() {
	if l.histories != nil {
		return
	}
	l.histories = map[Key]*history{}
	l.senders = map[string]senderState{}
	l.knownServices = map[string]bool{}
}

// Limits of a ledger.
const (
	// maxKeys is the maximum number of keys. Rows of further keys are ignored.
	maxKeys = 20_000
	// senderExpiry is the time after which the state of an inactive sender is
	// removed, in minutes.
	senderExpiry = 60
)

// Add adds the rows of a batch. It adds nothing and returns false if this batch
// or a later one of its sender was already received.
func (l *Ledger) Add(b Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isNew(b) {
		return false
	}
	for _, r := range b.Rows {
		l.add(b.Minute, r)
	}
	return true
}

// isNew reports whether a batch is newer than the last one from its sender. If
// so, it records the batch as the last one.
func (l *Ledger) isNew(b Batch) bool {
	l.init()
	previous := l.senders[b.From]
	if b.Run < previous.run || (b.Run == previous.run && b.Number <= previous.lastNumber) {
		return false
	}
	l.senders[b.From] = senderState{run: b.Run, lastNumber: b.Number, minute: b.Minute}
	if len(l.senders)%1024 == 0 {
		l.removeExpired(b.Minute)
	}
	return true
}

// removeExpired removes senders without a recent batch.
func (l *Ledger) removeExpired(minute int64) {
	for name, s := range l.senders {
		if s.minute < minute-senderExpiry {
			delete(l.senders, name)
		}
	}
}

// add adds a row to the history of its key.
func (l *Ledger) add(minute int64, r Row) {
	l.knownServices[r.Service] = true
	h := l.history(r.Key)
	if h == nil {
		return
	}
	h.minutes.add(minute, r.Tally)
	h.hours.add(minute, r.Tally)
}

// history returns the history of a key, or nil if the ledger already holds
// maxKeys keys and this is not one of them.
func (l *Ledger) history(k Key) *history {
	h := l.histories[k]
	if h != nil || len(l.histories) >= maxKeys {
		return h
	}
	h = &history{
		minutes: newSeries(1, minuteBuckets),
		hours:   newSeries(minutesPerHour, hourBuckets),
	}
	l.histories[k] = h
	return h
}

// Account holds the totals of one service.
type Account struct {
	Service string `json:"service"`
	// Windows holds the sums over the windows of the burn rates.
	Windows []WindowSum `json:"windows"`
	// Minutes holds the calls and bad calls of each minute of the last hour,
	// oldest first.
	Minutes []Tally `json:"minutes"`
	// Load holds the load of each version in each data centre over the last
	// hour.
	Load []Load `json:"carried,omitempty"`
}

// WindowSum is the sum of tallies over one window.
type WindowSum struct {
	Window string `json:"window"`
	Tally
}

// Load is the load of a version's targets in one data centre over the last
// hour.
type Load struct {
	Key
	Tally
	// Minutes holds the tallies of each minute of the hour, oldest first.
	Minutes []Tally `json:"minutes"`
}

// Account returns the totals of a service over each window and per minute, as of
// now.
func (l *Ledger) Account(service string, now time.Time) Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	minute := Minute(now)
	a := Account{Service: service}
	for k, h := range l.histories {
		switch {
		case k.Service != service:
		case k.Version == "":
			a.Windows = h.sums(minute)
			a.Minutes = h.minutes.last(minute, minuteBuckets)
		default:
			a.Load = append(a.Load, h.load(k, minute))
		}
	}
	slices.SortFunc(a.Load, func(a, b Load) int { return compareKeys(a.Key, b.Key) })
	return a
}

// sums returns the sum over each window of the burn rates.
func (h *history) sums(minute int64) []WindowSum {
	sums := make([]WindowSum, 0, len(windows))
	for _, w := range windows {
		from := h.minutes
		if w.Hourly {
			from = h.hours
		}
		sums = append(sums, WindowSum{Window: w.Name, Tally: from.sum(minute, w.Buckets)})
	}
	return sums
}

// load returns the load of a key over the last hour.
func (h *history) load(k Key, minute int64) Load {
	return Load{
		Key:     k,
		Tally:   h.minutes.sum(minute, minuteBuckets),
		Minutes: h.minutes.last(minute, minuteBuckets),
	}
}

// Minute returns t in minutes since the Unix epoch.
func Minute(t time.Time) int64 { return t.Unix() / 60 }

// Total returns the number of calls in the window with the most calls.
func (a Account) Total() int64 {
	var most int64
	for _, w := range a.Windows {
		most = max(most, w.Calls)
	}
	return most
}
