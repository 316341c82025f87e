package counter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a histogram can record.
	maxLatency = 5 * time.Minute
	// significantDigits is the precision of the values of a histogram.
	significantDigits = 2
)

// Histograms is a set of named latency histograms. The zero value is empty and ready to
// use.
type Histograms struct {
	lock   sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Observe records a latency. Observe on nil Histograms does nothing.
func (h *Histograms) Observe(name string, latency time.Duration) {
	if h == nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.byName == nil {
		h.byName = map[string]*hdrhistogram.Histogram{}
	}
	histogram := h.byName[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		h.byName[name] = histogram
	}
	// A latency above maxLatency is recorded as maxLatency, so that it is still counted.
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds()))
}

// TextHandler serves counters and latency histograms as text, one name and its values on
// each line. Latencies are in milliseconds.
type TextHandler struct {
	Counters   *Set
	Histograms *Histograms
}

// ServeHTTP writes all counters, then all histograms, each sorted by name.
func (h TextHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	values := h.Counters.Values()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
	h.Histograms.write(w)
}

// write writes the number of latencies and their percentiles for each histogram.
func (h *Histograms) write(w io.Writer) {
	if h == nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, name := range slices.Sorted(maps.Keys(h.byName)) {
		var line strings.Builder
		histogram := h.byName[name]
		fmt.Fprintf(&line, "%s count=%d", name, histogram.TotalCount())
		for _, percentile := range []float64{50, 90, 99, 100} {
			fmt.Fprintf(&line, " p%g=%.1f", percentile, float64(histogram.ValueAtQuantile(percentile))/1000)
		}
		fmt.Fprintln(w, line.String())
	}
}
