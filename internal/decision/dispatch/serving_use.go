package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// maxServingUsePercent is the percentage of its reserved processors that a serving task
	// is assumed to use at peak load, or while its load isn't known. Fillers may use the
	// rest.
	maxServingUsePercent = 65
	// minServingUsePercent is the least that is left to serving tasks.
	minServingUsePercent = 25
	// servingUseMargin is added to the estimated use, in percentage points, because the load
	// changes until the next measurements.
	servingUseMargin = 5
	// minTailHistory is how long an image must have been measured before its lowest tail
	// latency counts as that without load. Earlier, it may be that of a load peak.
	minTailHistory = 8 * time.Second
	// unloadedTailMemory is the time in which the lowest tail latency of an image is
	// forgotten.
	unloadedTailMemory = 5 * time.Minute
)

// unloadedTail is the ratio of tail latency to target that a serving image has without
// load: the lowest one that was seen.
type unloadedTail struct {
	ratio float64
	// since is when the image was first measured, and at when it was last measured.
	since, at time.Time
}

// observe records a ratio. The lowest one rises slowly towards it.
func (u *unloadedTail) observe(now time.Time, ratio float64) {
	if u.ratio > 0 && ratio > u.ratio {
		u.ratio += (ratio - u.ratio) * min(float64(now.Sub(u.at))/float64(unloadedTailMemory), 1)
	} else {
		u.ratio = ratio
	}
	u.at = now
	if u.since.IsZero() {
		u.since = now
	}
}

// use returns the share of its reserved processors that a serving task uses, given its ratio
// of tail latency to target. The latency of a queue grows as 1/(1-load). It returns 1 while
// the latency without load isn't known.
func (u *unloadedTail) use(ratio float64) float64 {
	if u.at.Sub(u.since) < minTailHistory {
		return 1
	}
	return 1 - u.ratio/ratio
}

// observeServingUse estimates from the tail latencies in a report how much of their
// reserved processors the serving tasks of the worker use. What fillers add to the latencies
// counts as use too.
func (e *Engine) observeServingUse(now time.Time, w *worker, tails map[Image]tailSample) {
	if e.isDisabled(mechanism.MeasuredUse) {
		return
	}
	highest, measured := 0.0, false
	for image, sample := range tails {
		if sample.ratio <= 0 {
			continue
		}
		measured = true
		unloaded := e.unloadedTails[image]
		unloaded.observe(now, sample.ratio)
		e.unloadedTails[image] = unloaded
		highest = max(highest, unloaded.use(sample.ratio))
	}
	if measured {
		w.servingUse += tailSmoothing * (highest - w.servingUse)
	}
}

// servingUsePercent returns the percentage of their reserved processors that is left to the
// serving tasks of the worker.
func (w *worker) servingUsePercent() int {
	return min(max(int(100*w.servingUse)+servingUseMargin, minServingUsePercent), maxServingUsePercent)
}
