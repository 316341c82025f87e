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
			if a.phase == running && e.moveOff(now, a) {
				e.count("Task.Evicted.Leaving")
				moved++
			}
		}
	}
}

// reasonDraining is the reason of stops on draining workers.
const reasonDraining = "its worker is draining"

// moveOff stops a run on a draining worker if its task can run on another worker, or if the worker is
// about to leave, and reports whether it did.
func (e *Engine) moveOff(now time.Time, a *attempt) bool {
	s := a.task.step
	switch {
	case s.Gang:
		return false
	case s.LongRunning:
		return e.moveLongRunningOff(now, a)
	case e.chooseWorker(now, a.task) == nil || !a.outlastsWorker(now):
		return false
	}
	e.stop(now, a, reasonDraining)
	return true
}

// moveLongRunningOff moves a long-running task off a draining worker once another worker has room that
// isn't held for anything else, and that no task of its step waits for: until then the task is better
// off where it is. Shortly before the worker leaves, the task is stopped all the same, because a run
// that ends with its worker counts as active until its lease has expired.
func (e *Engine) moveLongRunningOff(now time.Time, a *attempt) bool {
	if !a.task.step.hasWaiting(now) {
		if to := e.chooseDestination(now, a); to != nil {
			e.move(now, a, to, nil, reasonDraining)
			return true
		}
	}
	w := a.worker
	if w.Remaining == 0 || now.Before(w.drainingAt.Add(w.Remaining-e.stopTimeout()-drainMargin)) {
		return false
	}
	e.stop(now, a, reasonDraining)
	return true
}

// outlastsWorker reports whether a run on a draining worker won't end in time.
func (a *attempt) outlastsWorker(now time.Time) bool {
	total := a.projectedDuration()
	if total == 0 {
		total = a.task.step.Estimate
	}
	remaining := total - now.Sub(a.firstProgress.at)
	return remaining > a.worker.Remaining-now.Sub(a.worker.drainingAt)-drainMargin
}
