package dispatch

import (
	"time"
)

const (
	// preemptAfter is how long a step waits for room before it takes the room of less
	// urgent ones. Most room is freed by itself within that time.
	preemptAfter = 250 * time.Millisecond
	// preemptInterval is the time between two searches for a step: a stop takes that
	// long to free the room.
	preemptInterval = 400 * time.Millisecond
	// maxVictims bounds the runs that are stopped for a step at once.
	maxVictims = 4
)

// noteBlocked notes that a task of the step found no room, and after a while makes
// some by stopping runs of less urgent queues.
func (e *Engine) noteBlocked(now time.Time, t *task) {
	s := t.step
	if s.blockedSince.IsZero() {
		s.blockedSince = now
	}
	if s.Filler || s.LongRunning || now.Sub(s.blockedSince) < preemptAfter || now.Sub(s.preemptedAt) < preemptInterval {
		return
	}
	s.preemptedAt = now
	for range min(s.waitingTasks(now), maxVictims) {
		victim := e.victim(t)
		if victim == nil {
			return
		}
		e.count("Task.Evicted.Preempted")
		e.stop(now, victim, "makes room for a more urgent queue")
	}
}

// noteBlockedStep does the same for a step whose tasks weren't tried, because an
// equal one found no room.
func (e *Engine) noteBlockedStep(now time.Time, s *step) {
	for _, t := range s.tasks {
		if t.isWaiting(now) {
			e.noteBlocked(now, t)
			return
		}
	}
}

// waitingTasks returns the number of tasks that could start.
func (s *step) waitingTasks(now time.Time) int {
	count := 0
	for _, t := range s.tasks {
		if t.isWaiting(now) {
			count++
		}
	}
	return count
}

// victim returns the run of a less urgent queue whose end lets the task start and
// loses least work, nil if there is none.
func (e *Engine) victim(t *task) *attempt {
	var best *attempt
	for _, n := range e.sortedWorkers {
		if !e.meetsConstraints(t.step, n) {
			continue
		}
		for _, a := range n.runs {
			if a.isVictim(t.step) && t.step.Resources.FitsIn(n.free().Add(a.reserved)) && (best == nil || a.lostWork() < best.lostWork()) {
				best = a
			}
		}
	}
	return best
}

// isVictim reports whether a run may be stopped for a step.
func (a *attempt) isVictim(s *step) bool {
	own := a.task.step
	return a.phase == running && !own.Filler && !own.LongRunning && !own.Gang &&
		own.job.queue.Priority > s.job.queue.Priority
}

// lostWork returns what is done again if the run is stopped, in percent of the task.
func (a *attempt) lostWork() int {
	if a.task.step.Checkpointing {
		return 0
	}
	return a.percent + 1
}
