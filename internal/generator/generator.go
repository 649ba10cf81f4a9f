// Package generator calls HTTP endpoints at a fixed mean rate and measures their
// latencies. One run can call several endpoints in turn.
//
// The load is open-loop: each call starts at its scheduled time, even if earlier
// calls have not ended. Its latency is measured from the scheduled time, so that the
// results include the effect of a stall on all calls.
package generator

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Endpoint is one endpoint that is called.
type Endpoint struct {
	Name string
	URL  string
}

// Options configure a run.
type Options struct {
	// Endpoints are called in turn, each at an equal share of the rate.
	Endpoints []Endpoint
	// Rate is the mean number of calls per second over all endpoints.
	Rate int
	// Warmup is the time before the measurement, with calls at the same rate.
	Warmup time.Duration
	// Duration is the duration of the measurement.
	Duration time.Duration
	// Seed determines the intervals between calls.
	Seed uint64
	// Connections is the maximum number of idle connections per endpoint.
	Connections int
}

// Result contains the measurements of one endpoint.
type Result struct {
	Name string
	// Failed is the number of calls without a complete response of status 200.
	Failed int64
	// Latencies is a histogram in microseconds of the calls that succeeded.
	Latencies *hdrhistogram.Histogram
}

// Range of the histograms in microseconds, and their number of significant digits.
const (
	lowestLatency     = 1
	highestLatency    = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// meter collects the measurements of one endpoint.
type meter struct {
	mu     sync.Mutex
	result Result
}

func (m *meter) record(latency time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		m.result.Failed++
		return
	}
	_ = m.result.Latencies.RecordValue(latency.Microseconds())
}

// Run calls the endpoints until the measurement is over or ctx is done. It returns
// the results in the order of o.Endpoints.
func Run(ctx context.Context, o Options) []Result {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: o.Connections,
			DisableCompression:  true,
		},
	}
	defer client.CloseIdleConnections()
	meters := make([]*meter, 0, len(o.Endpoints))
	for _, e := range o.Endpoints {
		meters = append(meters, &meter{result: Result{
			Name:      e.Name,
			Latencies: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		}})
	}
	generate(ctx, o, client, meters)
	results := make([]Result, 0, len(meters))
	for _, m := range meters {
		results = append(results, m.result)
	}
	return results
}

// generate starts all calls on schedule and waits for them. The intervals between
// calls are distributed exponentially.
func generate(ctx context.Context, o Options, client *http.Client, meters []*meter) {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	meanInterval := float64(time.Second) / float64(o.Rate)
	start := time.Now()
	measureFrom := start.Add(o.Warmup)
	end := measureFrom.Add(o.Duration)
	var calls sync.WaitGroup
	defer calls.Wait()
	next := start
	for i := 0; next.Before(end) && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		scheduled, index := next, i%len(o.Endpoints)
		calls.Go(func() {
			ok := call(ctx, client, o.Endpoints[index].URL)
			if scheduled.After(measureFrom) {
				meters[index].record(time.Since(scheduled), ok)
			}
		})
		next = next.Add(time.Duration(random.ExpFloat64() * meanInterval))
	}
}

// call makes one call and reports whether it got a complete response of status 200.
func call(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
