package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// preemptDelay is how long a step waits for room before runs of less urgent queues
	// are stopped for it. Most room becomes free without preemption within that time.
	preemptDelay = 250 * time.Millisecond
	// preemptInterval is the time between two preemptions for a step: a stop takes that
	// long to free capacity.
	preemptInterval = 400 * time.Millisecond
	// maxVictims limits the runs that are stopped for a step at the same time.
	maxVictims = 4
)

// handleBlocked records that no worker has room for a task of the step. After a delay
// it makes room by stopping runs of less urgent queues.
func (e *Engine) handleBlocked(now time.Time, t *task) {
	s := t.step
	s.beginWait(now)
	e.reservations.noteBlocked(s)
	if s.Filler || s.LongRunning || e.isDisabled(mechanism.Preemption) || now.Sub(s.blockedSince) < preemptDelay || now.Sub(s.preemptedAt) < preemptInterval {
		return
	}
	s.preemptedAt = now
	for range min(e.startableTasks(now, s), maxVictims) {
		victim := e.findVictim(now, t)
		if victim == nil {
			return
		}
		e.count("Task.Evicted.Preempted")
		e.stop(now, victim, "makes room for a more urgent queue")
	}
}

// beginWait records the time from which the step has waited for room.
func (s *step) beginWait(now time.Time) {
	if s.blockedSince.IsZero() {
		s.blockedSince = now
	}
}

// handleBlockedStep is like handleBlocked for a step whose tasks weren't tried because
// no worker was found for a task of the same shape.
func (e *Engine) handleBlockedStep(now time.Time, s *step) {
	for t := range s.views() {
		if e.mayStart(now, t) {
			e.handleBlocked(now, t)
			return
		}
	}
}

// startableTasks returns the number of tasks that may start.
func (e *Engine) startableTasks(now time.Time, s *step) int {
	return s.count(func(t *task) bool { return e.mayStart(now, t) })
}

// waitingTasks returns the number of tasks that wait, including those of which an unknown run may be active.
func (s *step) waitingTasks(now time.Time) int {
	return s.count(func(t *task) bool { return t.isWaiting(now) })
}

// findVictim returns the run of a less urgent queue whose end makes room for the task
// and loses the least work, or nil if there is none.
func (e *Engine) findVictim(now time.Time, t *task) *attempt {
	var best *attempt
	for _, w := range e.sortedWorkers {
		if !e.wouldStartOn(now, t.step, w) {
			continue
		}
		for _, a := range w.runs {
			if a.isVictim(t.step) && t.step.Resources.FitsIn(w.free().Add(a.reserved)) && (best == nil || a.lostWork() < best.lostWork()) {
				best = a
			}
		}
	}
	return best
}

// wouldStartOn reports whether the step's tasks could start on a worker if it had room: it has none yet, and
// room that becomes free there isn't reserved for others.
func (e *Engine) wouldStartOn(now time.Time, s *step, w *worker) bool {
	return e.meetsConstraints(s, w) && !s.Reserved().FitsIn(w.free()) && e.isPermitted(now, s, w) && e.leavesReservedRoom(now, s, w)
}

// isVictim reports whether the run may be stopped in favor of the step. Copies make room for first runs of
// their own priority, too.
func (a *attempt) isVictim(s *step) bool {
	own := a.task.step
	if a.isCopy() && a.phase == running {
		return own.job.queue.Priority >= s.job.queue.Priority
	}
	return a.phase == running && !own.Filler && !own.LongRunning && !own.Gang &&
		own.job.queue.Priority > s.job.queue.Priority
}

// lostWork returns the work that is repeated if the run is stopped, in percent of the
// task.
func (a *attempt) lostWork() int {
	if a.isCopy() {
		return 0
	}
	if a.task.step.Checkpointing {
		return 0
	}
	return a.percent + 1
}
