package generator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// percentiles are the latency percentiles in the table's columns.
var percentiles = []float64{50, 99, 99.9}

// WriteTable writes a table of the results, with the latency percentiles of each
// endpoint and their differences from those of the first one.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "WAY\tCALLS\tFAILED")
	for _, p := range percentiles {
		_, _ = fmt.Fprintf(w, "\tp%v\tadded", p)
	}
	_, _ = fmt.Fprintln(w)
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d", r.Name, r.Latencies.TotalCount(), r.Failed)
		for _, p := range percentiles {
			v := latencyAt(r.Latencies, p)
			_, _ = fmt.Fprintf(w, "\t%v\t%v", v, v-latencyAt(results[0].Latencies, p))
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

// latencyAt returns the latency at a percentile.
func latencyAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}
