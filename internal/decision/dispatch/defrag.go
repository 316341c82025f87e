package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// holdAfter is how long a long-running task waits for room before a worker is held
	// for it. Shorter tasks would take each gap first for as long as they come.
	holdAfter = 1200 * time.Millisecond
	// holdTime is how long a worker is held at most: a task on it has to stop, and the
	// next report to tell.
	holdTime = 2500 * time.Millisecond
	// holdInterval is the time between two searches.
	holdInterval = 250 * time.Millisecond
	// maxHeldPart bounds the workers that are held at once, to one in so many.
	maxHeldPart = 12
)

// hold keeps the room of a worker for one task.
type hold struct {
	task  *task
	until time.Time
	// moved is the step whose task made room; it must not take the room again.
	moved *step
}

// isFor reports whether the room may be used for a step. Long-running tasks are kept off
// only by a short task: one that fits must not wait for a larger one.
func (h *hold) isFor(now time.Time, s *step) bool {
	if h.task == nil || now.After(h.until) || h.task.attempt != nil {
		return true
	}
	return h.task.step == s || (s != h.moved && s.LongRunning && h.task.step.LongRunning)
}

// isKeptOff reports whether a worker is held that the step must not take, since a task of
// it made room there.
func (e *Engine) isKeptOff(now time.Time, s *step) bool {
	for _, n := range e.fleet {
		if n.hold.task != nil && n.hold.moved == s && !now.After(n.hold.until) {
			return true
		}
	}
	return false
}

// makeRoom holds workers for long-running tasks that wait although the room for them is
// there in pieces, and moves a smaller long-running task away where that joins pieces.
func (e *Engine) makeRoom(now time.Time) {
	if now.Sub(e.heldAt) < holdInterval || e.recovering {
		return
	}
	e.heldAt = now
	held := e.countHeld(now)
	for _, j := range e.jobs {
		if j.ending != "" || !j.Steps[0].LongRunning || held > len(e.fleet)/maxHeldPart {
			continue
		}
		for _, s := range j.occurrences[0] {
			if t := s.starving(now); t != nil && e.holdFor(now, t) {
				held++
			}
		}
	}
}

func (e *Engine) countHeld(now time.Time) int {
	held := 0
	for _, n := range e.fleet {
		if n.hold.task != nil && now.Before(n.hold.until) && n.hold.task.attempt == nil {
			held++
		}
	}
	return held
}

// starving returns a long-running task of the step that has waited too long and for which
// no worker is held, nil for none.
func (s *step) starving(now time.Time) *task {
	if !s.LongRunning || s.Gang || s.blockedAt.IsZero() || now.Sub(s.blockedAt) < holdAfter {
		return nil
	}
	for _, t := range s.tasks {
		if t.isWaiting(now) && now.Sub(t.heldAt) > holdTime {
			return t
		}
	}
	return nil
}

// holdFor finds a worker for a waiting task: one that shorter tasks will soon leave, else
// one that a smaller long-running task can leave.
func (e *Engine) holdFor(now time.Time, t *task) bool {
	var best *node
	for _, n := range e.fleet {
		if e.mayHold(now, t, n) && t.step.Reserved().FitsIn(n.free().Add(n.shortLived())) &&
			(best == nil || best.free().Processors < n.free().Processors) {
			best = n
		}
	}
	if best != nil {
		e.count("Worker.Held")
		best.holdTask(now, t, nil)
		return true
	}
	return e.moveFor(now, t)
}

func (e *Engine) mayHold(now time.Time, t *task, n *node) bool {
	return e.suitsBut(t.step, n) && n.hold.isFor(now, t.step) && e.isPermitted(now, t.step, n)
}

func (n *node) holdTask(now time.Time, t *task, moved *step) {
	n.hold = hold{t, now.Add(holdTime), moved}
	t.heldAt = now
}

// moveFor moves a smaller long-running task to another worker with room, so that the
// waiting one fits where it was.
func (e *Engine) moveFor(now time.Time, t *task) bool {
	need := t.step.Reserved()
	for _, n := range e.fleet {
		if !e.mayHold(now, t, n) {
			continue
		}
		for _, a := range n.runs {
			if !a.task.step.LongRunning || !need.FitsIn(n.free().Add(a.reserved)) ||
				a.reserved.Processors >= need.Processors || !a.mayMove(now) {
				continue
			}
			if to := e.roomFor(now, a, n); to != nil {
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
	a.node.holdTask(now, t, a.task.step)
	to.holdTask(now, a.task, kept)
	e.stop(now, a, reason)
}

// roomFor returns a worker other than its own that has room for a running task.
func (e *Engine) roomFor(now time.Time, a *attempt, own *node) *node {
	for _, n := range e.fleet {
		if n != own && e.mayHold(now, a.task, n) && a.reserved.FitsIn(n.free()) {
			return n
		}
	}
	return nil
}

// shortLived returns what tasks have reserved that end by themselves.
func (n *node) shortLived() resource.Vector {
	var sum resource.Vector
	for _, a := range n.runs {
		if !a.task.step.LongRunning && !a.task.step.Filler {
			sum = sum.Add(a.reserved)
		}
	}
	return sum
}
