package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
)

const (
	// faultRatio is the tail latency against the target beyond what a neighbor causes:
	// requests wait for a worker that is slow or stands still.
	faultRatio = 20
	// loneFaultRatio is the same for a worker without fillers, beyond the peaks of load of
	// the serving tasks themselves.
	loneFaultRatio = 2
	// faultMemory is how long a worker counts as faulty after such a measurement: a few
	// periods of measurement.
	faultMemory = 2 * time.Second
	// faultCost makes a faulty worker one of the last choices.
	faultCost = 2.0
)

// fault is what is known of a worker that is slow by itself.
type fault struct {
	until time.Time
	// beside has the fillers that ran when the fault showed, by serving image. They are the
	// cause after all if the tails are good as soon as they have left.
	beside map[Image][]interference.Neighbor
}

// noteFault notes that the tails of a worker, of which the worst has a ratio, show a fault of
// its own. They tell nothing then of the fillers beside the serving tasks, which would be
// blamed wherever they run.
func (e *Engine) noteFault(now time.Time, n *node, tails map[Image]tailSample, worst float64) {
	limit := float64(faultRatio)
	if n.hasNoFillers(now) {
		limit = loneFaultRatio
	}
	if worst < limit {
		return
	}
	if !n.isFaulty(now) {
		e.count("Worker.Faulty")
		e.record(now, Decision{Event: "WorkerFaulty", Worker: n.ID, Reason: "serving tasks are too slow for fillers to be the cause"})
		n.fault.beside = map[Image][]interference.Neighbor{}
		for image, sample := range tails {
			n.fault.beside[image] = e.suspects(now, n, sample.step, sample.ratio)
		}
	}
	n.fault.until = now.Add(faultMemory)
}

// checkFault learns from a worker that counts as faulty once its fillers have left: they
// were the cause if that made the tail good.
func (e *Engine) checkFault(now time.Time, n *node, sample tailSample) {
	if !n.hasNoFillers(now) {
		return
	}
	image := sample.step.Image
	if sample.ratio <= 1 {
		e.interferenceOdds.Observe(now, faultRatio, n.fault.beside[image])
		e.noteVerdicts(now, n, n.fault.beside[image])
	}
	delete(n.fault.beside, image)
}

// isFaulty reports whether the worker was lately slow by itself.
func (n *node) isFaulty(now time.Time) bool {
	return now.Before(n.fault.until)
}

// hasNoFillers reports whether no filler has run on the worker for as long as a measurement shows.
func (n *node) hasNoFillers(now time.Time) bool {
	for _, at := range n.fillerReducedAt {
		if now.Sub(at) < measureLag {
			return false
		}
	}
	return n.fillerProcessors == 0
}
