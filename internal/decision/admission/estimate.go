// Package admission decides which requests are served, by which executor, and
// which are refused. It is pure: facts and the time are passed in. Its types are
// not safe for concurrent use.
package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is how long latencies are counted before the histogram is replaced.
	window = 30 * time.Second
	// minSamples is the fewest latencies from which a percentile is estimated.
	minSamples = 100
	// refreshEvery bounds how often a percentile is computed from its histogram.
	refreshEvery = 50 * time.Millisecond
	// serviceWeight is the weight of one latency in the mean of a service.
	serviceWeight = 0.02
	maxLatency    = time.Hour
	// staleAfter is how long a latency counts without newer ones. A service that refuses
	// everything for want of time gets no newer ones, and would refuse for ever.
	staleAfter = 10 * time.Second
)

// Estimate is the recent distribution of a latency. The zero value is empty.
type Estimate struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
	recorded time.Time
	mean     float64
	cache    map[float64]cached
}

type cached struct {
	value time.Duration
	known bool
	until time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Record adds a latency.
func (e *Estimate) Record(now time.Time, latency time.Duration) {
	if e.current == nil {
		e.current, e.previous, e.rotated = newHistogram(), newHistogram(), now
	}
	if now.Sub(e.rotated) >= window {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.rotated = now
	}
	e.recorded = now
	// Values are clamped to the range, so recording can't fail.
	_ = e.current.RecordValue(min(max(latency, 0), maxLatency).Microseconds())
	e.mean = blend(e.mean, latency.Seconds(), serviceWeight)
}

// forgetStale empties the estimate if its last latency is too old.
func (e *Estimate) forgetStale(now time.Time) {
	if e.current != nil && now.Sub(e.recorded) > staleAfter {
		*e = Estimate{}
	}
}

// blend moves mean towards value. A mean of 0 counts as unknown.
func blend(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// Mean returns the exponentially weighted mean, 0 if nothing was recorded.
func (e *Estimate) Mean() time.Duration {
	return seconds(e.mean)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Percentile returns a percentile (0 to 100) of the last one to two windows, and
// false if there are too few latencies.
func (e *Estimate) Percentile(now time.Time, percentile float64) (time.Duration, bool) {
	if hit, ok := e.cache[percentile]; ok && now.Before(hit.until) {
		return hit.value, hit.known
	}
	value, known := e.compute(percentile)
	if e.cache == nil {
		e.cache = map[float64]cached{}
	}
	e.cache[percentile] = cached{value: value, known: known, until: now.Add(refreshEvery)}
	return value, known
}

func (e *Estimate) compute(percentile float64) (time.Duration, bool) {
	source := e.current
	if source != nil && e.previous.TotalCount() > source.TotalCount() {
		source = e.previous
	}
	if source == nil || source.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(source.ValueAtPercentile(percentile)) * time.Microsecond, true
}
