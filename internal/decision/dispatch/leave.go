package dispatch

import (
	"time"
)

const (
	// maxDrainStopsPerTick bounds the runs that are moved off leaving workers at once.
	maxDrainStopsPerTick = 16
	// drainMargin is kept from the time that a leaving worker stays.
	drainMargin = 500 * time.Millisecond
)

// drainWorkers moves runs off workers that will leave before they end.
func (e *Engine) drainWorkers(now time.Time) {
	moved := 0
	for _, n := range e.sortedWorkers {
		if !n.Draining || n.missedPolls > 0 {
			continue
		}
		for _, a := range n.runs {
			if moved >= maxDrainStopsPerTick {
				return
			}
			if a.phase == running && e.shouldMoveOff(now, a) {
				e.count("Task.Evicted.Leaving")
				e.stop(now, a, "its worker leaves")
				moved++
			}
		}
	}
}

// shouldMoveOff reports whether a run on a leaving worker won't end in time and can go
// on elsewhere.
func (e *Engine) shouldMoveOff(now time.Time, a *attempt) bool {
	s := a.task.step
	if s.Gang || e.chooseWorker(now, a.task) == nil {
		return false
	}
	if s.LongRunning {
		return true
	}
	total := a.projected()
	if total == 0 {
		total = s.Estimate
	}
	left := total - now.Sub(a.firstProgress.at)
	return left > a.worker.Remaining-now.Sub(a.worker.drainingAt)-drainMargin
}

// hasLeft reports whether a worker that was leaving is gone: the platform has removed
// it from the list and it doesn't answer.
func (n *node) hasLeft() bool {
	return n.Draining && !n.listed && n.missedPolls > 1
}
