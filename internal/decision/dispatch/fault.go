package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// faultRatio is the ratio of tail latency to target beyond what fillers cause:
	// requests wait for a worker that is slow or has stalled.
	faultRatio = 20
	// faultRatioWithoutFillers is the same for a worker without fillers. It is above
	// the load peaks of the serving tasks themselves.
	faultRatioWithoutFillers = 2
	// faultDuration is how long a worker counts as faulty after such a measurement: a
	// few measurement periods.
	faultDuration = 2 * time.Second
	// faultCost makes a faulty worker one of the last choices.
	faultCost = 2.0
)

// fault describes a worker that is slow for reasons other than its fillers.
type fault struct {
	faultyUntil time.Time
	// neighbors has the fillers that ran when the fault was detected, by serving image.
	// They were the cause after all if the tail latencies are good as soon as they have
	// left.
	neighbors map[Image][]interference.Neighbor
}

// detectFault marks a worker as faulty if its tail latencies, the worst of which has
// the given ratio, show a fault of the worker itself. They are then no evidence about
// the fillers beside the serving tasks, which would otherwise be blamed on all workers.
func (e *Engine) detectFault(now time.Time, w *worker, tails map[Image]tailSample, worst float64) {
	limit := float64(faultRatio)
	if w.hasNoFillers(now) {
		limit = faultRatioWithoutFillers
	}
	if worst < limit || e.isDisabled(mechanism.FaultyWorkers) {
		return
	}
	if !w.isFaulty(now) {
		e.count("Worker.Faulty")
		e.record(now, Decision{Event: "WorkerFaulty", Worker: w.ID, Reason: "serving tasks are too slow for fillers to be the cause"})
		w.fault.neighbors = map[Image][]interference.Neighbor{}
		for image, sample := range tails {
			w.fault.neighbors[image] = e.suspectedNeighbors(now, w, sample.step, sample.ratio)
		}
	}
	w.fault.faultyUntil = now.Add(faultDuration)
}

// reassessFault updates the interference estimates of a faulty worker once its fillers
// have left: they were the cause if the tail latency is good without them.
func (e *Engine) reassessFault(now time.Time, w *worker, sample tailSample) {
	if !w.hasNoFillers(now) {
		return
	}
	image := sample.step.Image
	if sample.ratio <= 1 {
		e.interferenceProbabilities.Observe(now, faultRatio, w.fault.neighbors[image])
		e.recordInterference(now, w, w.fault.neighbors[image])
	}
	delete(w.fault.neighbors, image)
}

// isFaulty reports whether the worker was recently slow for reasons other than its
// fillers.
func (w *worker) isFaulty(now time.Time) bool {
	return now.Before(w.fault.faultyUntil)
}

// hasNoFillers reports whether no filler has run on the worker within the period of the
// current measurement.
func (w *worker) hasNoFillers(now time.Time) bool {
	for _, at := range w.fillerReducedAt {
		if now.Sub(at) < measurementLag {
			return false
		}
	}
	return w.fillerProcessors == 0
}
