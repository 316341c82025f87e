package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// holdDelay is how long a long-running task waits for room before a worker is held
	// for it. Shorter tasks would take each gap first for as long as they come.
	holdDelay = 1200 * time.Millisecond
	// holdDuration is how long a worker is held at most: a task on it has to stop, and the
	// next report to tell.
	holdDuration = 2500 * time.Millisecond
	// holdInterval is the time between two searches.
	holdInterval = 250 * time.Millisecond
	// workersPerHold bounds the workers that are held at once, to one in so many.
	workersPerHold = 12
)

// hold keeps the room of a worker for one task.
type hold struct {
	task  *task
	until time.Time
	// excluded is the step whose task made room; it must not take the room again.
	excluded *step
}

// isFor reports whether the room may be used for a step. Long-running tasks are kept off
// only by a short task: one that fits must not wait for a larger one.
func (h *hold) isFor(now time.Time, s *step) bool {
	if h.task == nil || now.After(h.until) || h.task.attempt != nil {
		return true
	}
	return h.task.step == s || (s != h.excluded && s.LongRunning && h.task.step.LongRunning)
}

// isExcludedFromHold reports whether a worker is held that the step must not take, since a task of
// it made room there.
func (e *Engine) isExcludedFromHold(now time.Time, s *step) bool {
	for _, n := range e.sortedWorkers {
		if n.hold.task != nil && n.hold.excluded == s && !now.After(n.hold.until) {
			return true
		}
	}
	return false
}

// defragment holds workers for long-running tasks that wait although the room for them is
// there in pieces, and moves a smaller long-running task away where that joins pieces.
func (e *Engine) defragment(now time.Time) {
	if now.Sub(e.holdsCheckedAt) < holdInterval || e.recovering {
		return
	}
	e.holdsCheckedAt = now
	held := e.countHeld(now)
	for _, j := range e.jobs {
		if j.outcome != "" || !j.Steps[0].LongRunning || held > len(e.sortedWorkers)/workersPerHold {
			continue
		}
		for _, s := range j.occurrences[0] {
			if t := s.taskNeedingHold(now); t != nil && e.holdFor(now, t) {
				held++
			}
		}
	}
}

func (e *Engine) countHeld(now time.Time) int {
	held := 0
	for _, n := range e.sortedWorkers {
		if n.hold.task != nil && now.Before(n.hold.until) && n.hold.task.attempt == nil {
			held++
		}
	}
	return held
}

// taskNeedingHold returns a long-running task of the step that has waited too long and for which
// no worker is held, nil for none.
func (s *step) taskNeedingHold(now time.Time) *task {
	if !s.LongRunning || s.Gang || s.blockedSince.IsZero() || now.Sub(s.blockedSince) < holdDelay {
		return nil
	}
	for _, t := range s.tasks {
		if t.isWaiting(now) && now.Sub(t.lastHeldAt) > holdDuration {
			return t
		}
	}
	return nil
}

// holdFor finds a worker for a waiting task: one that shorter tasks will soon leave, else
// one that a smaller long-running task can leave.
func (e *Engine) holdFor(now time.Time, t *task) bool {
	var best *node
	for _, n := range e.sortedWorkers {
		if e.mayHold(now, t, n) && t.step.Reserved().FitsIn(n.free().Add(n.shortTaskResources())) &&
			(best == nil || best.free().Processors < n.free().Processors) {
			best = n
		}
	}
	if best != nil {
		e.count("Worker.Held")
		best.setHold(now, t, nil)
		return true
	}
	return e.moveSmallerTask(now, t)
}

func (e *Engine) mayHold(now time.Time, t *task, n *node) bool {
	return e.meetsConstraints(t.step, n) && n.hold.isFor(now, t.step) && e.isPermitted(now, t.step, n)
}

func (n *node) setHold(now time.Time, t *task, moved *step) {
	n.hold = hold{t, now.Add(holdDuration), moved}
	t.lastHeldAt = now
}

// moveSmallerTask moves a smaller long-running task to another worker with room, so that the
// waiting one fits where it was.
func (e *Engine) moveSmallerTask(now time.Time, t *task) bool {
	need := t.step.Reserved()
	for _, n := range e.sortedWorkers {
		if !e.mayHold(now, t, n) {
			continue
		}
		for _, a := range n.runs {
			if !a.task.step.LongRunning || !need.FitsIn(n.free().Add(a.reserved)) ||
				a.reserved.Processors >= need.Processors || !a.mayMove(now) {
				continue
			}
			if to := e.findRoom(now, a, n); to != nil {
				e.count("Task.MovedForRoom")
				e.displace(now, a, t, to, nil, "makes room for a larger task")
				return true
			}
		}
	}
	return false
}

// displace stops a run, whose place is held for another task while a place on the worker to
// is held for its own. A task of the kept step must not take that one.
func (e *Engine) displace(now time.Time, a *attempt, t *task, to *node, kept *step, reason string) {
	a.task.movedAt = now
	a.worker.setHold(now, t, a.task.step)
	to.setHold(now, a.task, kept)
	e.stop(now, a, reason)
}

// findRoom returns a worker other than its own that has room for a running task.
func (e *Engine) findRoom(now time.Time, a *attempt, own *node) *node {
	for _, n := range e.sortedWorkers {
		if n != own && e.mayHold(now, a.task, n) && a.reserved.FitsIn(n.free()) {
			return n
		}
	}
	return nil
}

// shortTaskResources returns what tasks have reserved that end by themselves.
func (n *node) shortTaskResources() resource.Vector {
	var sum resource.Vector
	for _, a := range n.runs {
		if !a.task.step.LongRunning && !a.task.step.Filler {
			sum = sum.Add(a.reserved)
		}
	}
	return sum
}
