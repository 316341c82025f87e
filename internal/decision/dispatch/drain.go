package dispatch

import (
	"time"
)

const (
	// maxDrainStopsPerTick limits the runs that are moved off draining workers in one
	// tick.
	maxDrainStopsPerTick = 16
	// drainMargin is subtracted from the time for which a draining worker stays
	// available.
	drainMargin = 500 * time.Millisecond
)

// drainWorkers moves runs off draining workers that will leave before the runs end.
func (e *Engine) drainWorkers(now time.Time) {
	moved := 0
	for _, w := range e.sortedWorkers {
		if !w.Draining || w.missedPolls > 0 {
			continue
		}
		for _, a := range w.runs {
			if moved >= maxDrainStopsPerTick {
				return
			}
			if a.phase == running && e.shouldMoveOff(now, a) {
				e.count("Task.Evicted.Leaving")
				e.stop(now, a, "its worker is draining")
				moved++
			}
		}
	}
}

// shouldMoveOff reports whether a run on a draining worker won't end in time and can
// run on another worker.
func (e *Engine) shouldMoveOff(now time.Time, a *attempt) bool {
	s := a.task.step
	if s.Gang || e.chooseWorker(now, a.task) == nil {
		return false
	}
	if s.LongRunning {
		return true
	}
	total := a.projectedDuration()
	if total == 0 {
		total = s.Estimate
	}
	remaining := total - now.Sub(a.firstProgress.at)
	return remaining > a.worker.Remaining-now.Sub(a.worker.drainingAt)-drainMargin
}
