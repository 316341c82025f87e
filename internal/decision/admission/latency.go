// Package admission implements admission control: it decides which requests are served
// and by which executor, which wait, and which are refused. It does no I/O and reads no
// clock; state and the current time are passed in. Its types are not safe for concurrent
// use.
package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramWindow is how long a histogram is filled before it is rotated.
	histogramWindow = 30 * time.Second
	// minSamples is the minimum number of samples for a percentile.
	minSamples = 100
	// percentileCacheTTL is how long a percentile is cached before it is recomputed.
	percentileCacheTTL = 50 * time.Millisecond
	// serviceMeanWeight is the weight of a new sample in the moving average of a service.
	serviceMeanWeight = 0.02
	maxLatency        = time.Hour
	// staleAfter is how long an estimate stays valid without new samples. A service that
	// refuses every request with DeadlineTooShort gets no new samples, so without this
	// limit it would refuse forever.
	staleAfter = 10 * time.Second
)

// LatencyEstimate tracks the mean and the percentiles of recent latencies. The zero value
// is empty.
type LatencyEstimate struct {
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	rotatedAt    time.Time
	lastRecorded time.Time
	meanSeconds  float64
	percentiles  map[float64]cachedPercentile
}

type cachedPercentile struct {
	value     time.Duration
	known     bool
	expiresAt time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Record adds a latency sample.
func (e *LatencyEstimate) Record(now time.Time, latency time.Duration) {
	if e.current == nil {
		e.current, e.previous, e.rotatedAt = newHistogram(), newHistogram(), now
	}
	if now.Sub(e.rotatedAt) >= histogramWindow {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.rotatedAt = now
	}
	e.lastRecorded = now
	// The value is clamped to the histogram's range, so RecordValue can't fail.
	_ = e.current.RecordValue(min(max(latency, 0), maxLatency).Microseconds())
	e.meanSeconds = movingAverage(e.meanSeconds, latency.Seconds(), serviceMeanWeight)
}

// resetIfStale clears the estimate if its last sample is older than staleAfter.
func (e *LatencyEstimate) resetIfStale(now time.Time) {
	if e.current != nil && now.Sub(e.lastRecorded) > staleAfter {
		*e = LatencyEstimate{}
	}
}

// movingAverage returns the exponentially weighted moving average after a new value. A
// mean of 0 means that there is no earlier value.
func movingAverage(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// Mean returns the exponentially weighted moving average, or 0 if nothing was recorded.
func (e *LatencyEstimate) Mean() time.Duration {
	return seconds(e.meanSeconds)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Percentile returns a percentile (0 to 100) of the current or previous window, whichever
// has more samples. It returns false if there are fewer than minSamples.
func (e *LatencyEstimate) Percentile(now time.Time, percentile float64) (time.Duration, bool) {
	if cached, ok := e.percentiles[percentile]; ok && now.Before(cached.expiresAt) {
		return cached.value, cached.known
	}
	value, known := e.computePercentile(percentile)
	if e.percentiles == nil {
		e.percentiles = map[float64]cachedPercentile{}
	}
	e.percentiles[percentile] = cachedPercentile{value: value, known: known, expiresAt: now.Add(percentileCacheTTL)}
	return value, known
}

func (e *LatencyEstimate) computePercentile(percentile float64) (time.Duration, bool) {
	source := e.current
	if source != nil && e.previous.TotalCount() > source.TotalCount() {
		source = e.previous
	}
	if source == nil || source.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(source.ValueAtPercentile(percentile)) * time.Microsecond, true
}
