package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// holdDelay is how long a long-running task waits for room before a worker is held
	// for it. Otherwise a steady flow of shorter tasks would take each gap first.
	holdDelay = 1200 * time.Millisecond
	// holdDuration is the maximum duration of a hold. It covers the time to stop a task
	// on the worker and to receive the next report.
	holdDuration = 2500 * time.Millisecond
	// holdInterval is the time between two searches for workers to hold.
	holdInterval = 250 * time.Millisecond
	// workersPerHold limits the workers that are held at the same time: at most one in
	// this many. For tasks that need an urgent restart, workersPerUrgentHold applies instead:
	// all tasks of a zone or of many draining workers may be down at once.
	workersPerHold       = 12
	workersPerUrgentHold = 4
)

// hold keeps the free capacity of a worker for one task.
type hold struct {
	task      *task
	expiresAt time.Time
	// excluded is the step whose task was stopped to make room. Its tasks must not take
	// the room again.
	excluded *step
	// moved reports that the task was stopped to run here. It would stay without a run if
	// another one took the room.
	moved bool
}

// isActive reports whether the worker is held for a task that hasn't started yet. A moved task
// may still be stopping on its earlier worker.
func (h *hold) isActive(now time.Time) bool {
	if h.task == nil || now.After(h.expiresAt) {
		return false
	}
	a := h.task.attempt
	return a == nil || h.moved && a.phase == stopping
}

// isForMoved reports whether the task was stopped to run on the held worker.
func (h *hold) isForMoved(now time.Time, t *task) bool {
	return h.moved && h.task == t && h.isActive(now)
}

// isForOtherMoved reports whether another task was stopped to run on the held worker.
func (h *hold) isForOtherMoved(now time.Time, t *task) bool {
	return h.moved && h.task != t && h.isActive(now)
}

// allows reports whether the step may use the free capacity. Besides the step of the
// held task, long-running steps other than the excluded one may, if the hold is for a
// long-running task that wasn't moved: one that fits now must not wait for a larger one. If
// the held task needs an urgent restart, these are only steps that need one too.
func (h *hold) allows(now time.Time, s *step) bool {
	if !h.isActive(now) || h.task.step == s {
		return true
	}
	own := h.task.step
	return s != h.excluded && !h.moved && s.LongRunning && own.LongRunning && (s.restartsUrgently || !own.restartsUrgently)
}

// allowsBeside reports whether the step may use the free capacity that the held task doesn't need.
func (h *hold) allowsBeside(now time.Time, s *step) bool {
	return h.allows(now, s) || h.moved && s != h.excluded
}

// isExcludedFromHold reports whether a worker is held that the step must not use,
// because one of its tasks was stopped there to make room.
func (e *Engine) isExcludedFromHold(now time.Time, s *step) bool {
	for _, w := range e.sortedWorkers {
		if w.hold.task != nil && w.hold.excluded == s && !now.After(w.hold.expiresAt) {
			return true
		}
	}
	return false
}

// defragment holds workers for long-running tasks that wait although the free capacity
// would suffice if it weren't fragmented. If waiting for short tasks to end doesn't
// make room, it moves a smaller long-running task to another worker.
func (e *Engine) defragment(now time.Time) {
	if now.Sub(e.holdsCheckedAt) < holdInterval || e.recovering || e.isDisabled(mechanism.Holds) {
		return
	}
	e.holdsCheckedAt = now
	held := e.countHeld(now)
	held += e.holdForUrgentRestarts(now, len(e.sortedWorkers)/workersPerUrgentHold+1-held)
	limit := len(e.sortedWorkers)/workersPerHold + 1
	for _, j := range e.jobs {
		if j.outcome != "" || !j.Steps[0].LongRunning || held >= limit {
			continue
		}
		for s := range j.openSteps() {
			if t := s.taskNeedingHold(now); t != nil && e.holdFor(now, t) {
				held++
			}
		}
	}
}

// countHeld returns the number of workers that are held as a whole. On a worker to which a task moves,
// others may use the rest of the room.
func (e *Engine) countHeld(now time.Time) int {
	held := 0
	for _, w := range e.sortedWorkers {
		if w.hold.isActive(now) && !w.hold.moved {
			held++
		}
	}
	return held
}

// taskNeedingHold returns a long-running task of the step that has waited for at
// least holdDelay and for which no worker is held, or nil.
func (s *step) taskNeedingHold(now time.Time) *task {
	if !s.LongRunning || s.Gang || s.blockedSince.IsZero() || now.Sub(s.blockedSince) < holdDelay {
		return nil
	}
	for i := range s.tasks {
		if t := s.view(i); t.isWaiting(now) && now.Sub(t.lastHeldAt) > holdDuration {
			return s.task(i)
		}
	}
	return nil
}

// holdFor holds a worker for a waiting task: one that shorter tasks will leave soon, or
// else one from which a smaller long-running task can be moved.
func (e *Engine) holdFor(now time.Time, t *task) bool {
	return e.holdAfterShortTasks(now, t) || !e.replacements.underWay && e.moveSmallerTask(now, t)
}

// holdAfterShortTasks holds the worker with the most free processors on which a waiting task fits
// once the short tasks there have ended, and reports whether there is one.
func (e *Engine) holdAfterShortTasks(now time.Time, t *task) bool {
	var best *worker
	for _, w := range e.sortedWorkers {
		if e.mayHold(now, t, w) && !w.hold.isActive(now) && t.step.Reserved().FitsIn(w.free().Add(w.shortTaskResources())) &&
			(best == nil || best.free().Processors < w.free().Processors) {
			best = w
		}
	}
	if best == nil {
		return false
	}
	e.count("Worker.Held")
	best.setHold(now, t, nil)
	return true
}

// mayHold reports whether a worker may be held for a task. It checks everything except
// whether the task fits in the free capacity.
func (e *Engine) mayHold(now time.Time, t *task, w *worker) bool {
	return e.meetsConstraints(t.step, w) && w.hold.allows(now, t.step) && e.isPermitted(now, t.step, w)
}

func (w *worker) setHold(now time.Time, t *task, excluded *step) {
	w.hold = hold{task: t, expiresAt: now.Add(holdDuration), excluded: excluded}
	t.lastHeldAt = now
}

// move stops a run and holds the worker on which its task will run instead. Tasks of the
// excluded step can't use that worker meanwhile.
func (e *Engine) move(now time.Time, a *attempt, to *worker, excluded *step, reason string) {
	a.task.movedAt = now
	to.setHold(now, a.task, excluded)
	to.hold.moved = true
	e.stop(now, a, reason)
}

// moveSmallerTask moves a smaller long-running task to another worker with room, so
// that the waiting task fits in its place.
func (e *Engine) moveSmallerTask(now time.Time, t *task) bool {
	need := t.step.Reserved()
	for _, w := range e.sortedWorkers {
		if !e.mayHold(now, t, w) || w.hold.isActive(now) && w.hold.task != t {
			continue
		}
		for _, a := range w.runs {
			if !a.task.step.LongRunning || !need.FitsIn(w.free().Add(a.reserved)) ||
				a.reserved.Processors >= need.Processors || !a.mayMove(now) {
				continue
			}
			if to := e.findRoom(now, a, w); to != nil {
				e.count("Task.MovedForRoom")
				e.displace(now, a, t, to, nil, "makes room for a larger task")
				return true
			}
		}
	}
	return false
}

// displace stops a run. Its place is held for another task, and a place on the
// destination worker is held for its own task. Tasks of the excluded step can't use the
// place at the destination.
func (e *Engine) displace(now time.Time, a *attempt, t *task, to *worker, excluded *step, reason string) {
	a.worker.setHold(now, t, a.task.step)
	e.move(now, a, to, excluded, reason)
}

// findRoom returns another worker that has room for a running task, or nil.
func (e *Engine) findRoom(now time.Time, a *attempt, own *worker) *worker {
	for _, w := range e.sortedWorkers {
		if w != own && e.mayHold(now, a.task, w) && a.reserved.FitsIn(w.free()) {
			return w
		}
	}
	return nil
}

// shortTaskResources returns the resources that are reserved by tasks which end without
// being stopped.
func (w *worker) shortTaskResources() resource.Vector {
	var sum resource.Vector
	for _, a := range w.runs {
		if !a.task.step.LongRunning && !a.task.step.Filler {
			sum = sum.Add(a.reserved)
		}
	}
	return sum
}
