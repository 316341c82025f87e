package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// starvationDelay is how long fillers wait before one of them is force-started: on
	// a worker without idle processors, or beside serving tasks with which it
	// interferes.
	starvationDelay = 6 * time.Second
	// starvationCheckInterval is the time between two searches for starving fillers.
	// Each search examines all workers.
	starvationCheckInterval = 100 * time.Millisecond
	// maxForcedFillers limits the force-started fillers that run at the same time.
	maxForcedFillers = 2
	// standstillDelay is how long a job without any running task waits before one of its
	// fillers is force-started beyond that limit. The platform counts a job as lost if it
	// stands still for 3 s while most capacity is free, from 14 s after the last submission.
	standstillDelay = 12 * time.Second
	// maxStandstillFillers limits the force-started fillers beyond maxForcedFillers.
	maxStandstillFillers = 2
	// interferingPauseDelay is how long a serving task may exceed its target beside a
	// force-started filler that is known to interfere before the fillers are paused.
	interferingPauseDelay = 500 * time.Millisecond
)

// isStarving reports whether a step of fillers has waited for a feasible worker for too
// long.
func (s *step) isStarving(now time.Time) bool {
	return s.Filler && !s.Gang && !s.blockedSince.IsZero() && now.Sub(s.blockedSince) >= starvationDelay
}

// standsStill reports whether the step's job has had no running task for too long.
func (s *step) standsStill(now time.Time) bool {
	return s.isStarving(now) && s.job.activeAttempts == 0 && now.Sub(s.blockedSince) >= standstillDelay
}

// scheduleStarvationCheck decides whether this tick looks for starving fillers.
func (e *Engine) scheduleStarvationCheck(now time.Time) {
	e.starvationCheckDue = now.Sub(e.starvationCheckedAt) >= starvationCheckInterval
	if e.starvationCheckDue {
		e.starvationCheckedAt = now
	}
}

// mayForceStart reports whether a filler of the step may run although no worker was
// found for it.
func (e *Engine) mayForceStart(now time.Time, s *step) bool {
	limit := maxForcedFillers
	if s.standsStill(now) {
		limit += maxStandstillFillers
	}
	return e.starvationCheckDue && !e.isDisabled(mechanism.ForcedStarts) && e.forcedFillers < limit && s.isStarving(now)
}

// forceStart starts a filler that has waited for too long, and reports whether it did.
// On a worker where it doesn't interfere with serving tasks, it only slows down other
// fillers. If there is no such worker, or force-started fillers crowd those that there are,
// it runs beside the serving tasks that reserve the fewest processors, at a pace that keeps
// them within their targets.
func (e *Engine) forceStart(now time.Time, t *task) bool {
	s := t.step
	if !e.mayForceStart(now, s) {
		return false
	}
	var compatible, fallback *worker
	hasCompatible := false
	for _, w := range e.sortedWorkers {
		if !e.meetsConstraints(s, w) {
			continue
		}
		fits := e.mayPlace(now, t, w)
		switch {
		case e.interferenceProbability(now, s, w) <= maxPlaceProbability:
			hasCompatible = true
			if fits && (compatible == nil || w.idleProcessors() > compatible.idleProcessors()) {
				compatible = w
			}
		case fits && (fallback == nil || w.servingReserved < fallback.servingReserved):
			fallback = w
		}
	}
	to := fallback
	crowded := e.forcedFillers >= maxForcedFillers && fallback != nil
	if hasCompatible && !crowded {
		to = compatible
	}
	// A job with active runs makes progress without a forced start.
	if to == nil || (hasCompatible && s.job.activeAttempts > 0) {
		return false
	}
	e.count("Task.Forced")
	e.forcedFillers++
	a := e.start(now, t, to, e.nextRun(t))
	a.forced, a.interfering = true, to == fallback
	return true
}

// countForcedFillers counts the force-started fillers, once for all starving steps of a tick.
func (e *Engine) countForcedFillers() {
	e.forcedFillers = 0
	for _, w := range e.sortedWorkers {
		for _, a := range w.runs {
			if a.forced {
				e.forcedFillers++
			}
		}
	}
}

// hasInterferingFiller reports whether a force-started filler runs beside serving tasks
// with which it interferes.
func (w *worker) hasInterferingFiller() bool {
	for _, a := range w.runs {
		if a.interfering {
			return true
		}
	}
	return false
}
