package dispatch

import (
	"time"
)

const (
	// maxDrainStopsPerTick limits the runs that are moved off draining workers in one
	// tick.
	maxDrainStopsPerTick = 16
	// drainMargin is subtracted from the time for which a draining worker stays available. It covers the age
	// of the list.
	drainMargin = 500 * time.Millisecond
)

// updateLeaveTime derives when the worker leaves from its entry in the list. While it drains, the entry is
// renewed with the remaining time. A list that arrives late doesn't postpone the leave time.
func (w *worker) updateLeaveTime(now time.Time, info *WorkerInfo) {
	if !info.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if info.Remaining == 0 || !w.leavesAt.IsZero() && info.Remaining == w.Remaining {
		return
	}
	leavesAt := now.Add(info.Remaining)
	if w.leavesAt.IsZero() || leavesAt.Before(w.leavesAt) || leavesAt.Sub(w.leavesAt) > drainMargin {
		w.leavesAt = leavesAt
	}
}

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
// about to leave, and reports whether it did. While the task couldn't start again because of a recovery, it
// stays.
func (e *Engine) moveOff(now time.Time, a *attempt) bool {
	s := a.task.step
	switch {
	case !a.worker.leavesAt.IsZero() && e.mustAwaitRecovery(now, a.task) && !e.isAboutToLeave(now, a.worker):
		return false
	case e.isBeingReplaced(a.worker) && !a.worker.leavesAt.IsZero():
		return e.moveOffReplaced(now, a)
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
	if !e.isAboutToLeave(now, a.worker) {
		return false
	}
	e.stop(now, a, reasonDraining)
	return true
}

// isAboutToLeave reports whether a run on a draining worker must be stopped now for its end to be known
// before the worker leaves.
func (e *Engine) isAboutToLeave(now time.Time, w *worker) bool {
	return !w.leavesAt.IsZero() && !now.Before(w.leavesAt.Add(-e.stopTimeout()-drainMargin))
}

// outlastsWorker reports whether a run on a draining worker won't end in time.
func (a *attempt) outlastsWorker(now time.Time) bool {
	total := a.projectedDuration()
	if total == 0 {
		total = a.task.step.Estimate
	}
	remaining := total - now.Sub(a.firstProgress.at)
	if a.worker.leavesAt.IsZero() {
		return true
	}
	return remaining > a.worker.leavesAt.Sub(now)-drainMargin
}
