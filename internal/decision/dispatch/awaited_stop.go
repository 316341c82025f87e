package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// StoppingRun is a run that an owner has told its worker to stop.
type StoppingRun struct {
	TaskRun
	Worker membership.InstanceID
}

// StoppingRuns returns up to limit runs that are being stopped, those that this owner awaits itself
// included. Workers needn't list them until they have ended, so the next owner can't learn of them from
// reports.
func (e *Engine) StoppingRuns(now time.Time, limit int) []StoppingRun {
	var list []StoppingRun
	for _, w := range e.sortedWorkers {
		for _, r := range w.stoppingRuns(now) {
			if len(list) == limit {
				e.count("Task.StoppingNotListed")
				continue
			}
			list = append(list, StoppingRun{r, w.ID})
		}
	}
	return list
}

// stoppingRuns returns the runs on the worker that are being stopped.
func (w *worker) stoppingRuns(now time.Time) []TaskRun {
	var runs []TaskRun
	for _, a := range w.runs {
		if a.phase == stopping {
			runs = append(runs, a.taskRun())
		}
	}
	for r, until := range w.awaitedStops {
		if now.Before(until) {
			runs = append(runs, r)
		}
	}
	for r := range w.orphans {
		runs = append(runs, r)
	}
	return runs
}

// AwaitStops delays the tasks of runs that the earlier owner was stopping, and new tasks on their
// workers, until the runs are listed or must have ended. The jobs and workers must have been added.
func (e *Engine) AwaitStops(now time.Time, runs []StoppingRun) {
	until := now.Add(e.stopTimeout())
	for _, r := range runs {
		if t := e.findTask(r.Task); t != nil {
			t.otherRun, t.otherRunEndsBy = r.TaskRun, until
		}
		if w := e.workers[r.Worker]; w != nil {
			w.awaitedStops[r.TaskRun] = until
		}
	}
}

// isAwaitingStop reports whether a run that the earlier owner was stopping may still occupy resources
// of the worker.
func (w *worker) isAwaitingStop(now time.Time) bool {
	for _, until := range w.awaitedStops {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// endAwaitedStop ends the delays for a run that the worker lists as running or as ended. The task is
// nil if its job is unknown.
func (w *worker) endAwaitedStop(t *task, r TaskRun) {
	delete(w.awaitedStops, r)
	if t != nil && t.otherRun == r {
		t.otherRunEndsBy = time.Time{}
	}
}
