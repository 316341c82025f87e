package dispatch

import "time"

const (
	// starvationDelay is how long fillers wait before one of them runs nevertheless: on a
	// worker without idle processors, or beside serving tasks that it disturbs.
	starvationDelay = 6 * time.Second
	// starvationCheckInterval is the time between two searches for starving fillers, each of which
	// looks at all workers.
	starvationCheckInterval = 100 * time.Millisecond
	// maxForcedFillers bounds the fillers that run so at the same time.
	maxForcedFillers = 2
	// interferingPauseDelay is how long a serving task may be over its target beside a filler
	// that is known to disturb it before that is held still.
	interferingPauseDelay = 500 * time.Millisecond
)

// isStarving reports whether a step of fillers has waited in vain for long.
func (s *step) isStarving(now time.Time) bool {
	return s.Filler && !s.Gang && !s.blockedSince.IsZero() && now.Sub(s.blockedSince) >= starvationDelay
}

// scheduleStarvationCheck decides whether this tick looks for starving fillers.
func (e *Engine) scheduleStarvationCheck(now time.Time) {
	e.starvationCheckDue = now.Sub(e.starvationCheckedAt) >= starvationCheckInterval
	if e.starvationCheckDue {
		e.starvationCheckedAt = now
	}
}

// mayForceStart reports whether a filler of the step may run although it found no worker.
func (e *Engine) mayForceStart(now time.Time, s *step) bool {
	return e.starvationCheckDue && e.forcedFillers < maxForcedFillers && s.isStarving(now)
}

// forceStart starts a filler that has waited for long, and reports whether it did. On
// a worker where it disturbs nothing it only slows other fillers down. Where there is
// none it intrudes on the serving tasks that reserve least, as fast as they stand.
func (e *Engine) forceStart(now time.Time, t *task) bool {
	s := t.step
	if !e.mayForceStart(now, s) {
		return false
	}
	var harmless, least *node
	taken := false
	for _, n := range e.sortedWorkers {
		if !e.meetsConstraints(s, n) {
			continue
		}
		fits := e.mayPlace(now, t, n)
		switch {
		case e.interferenceProbability(now, s, n) <= placeBelow:
			taken = true
			if fits && (harmless == nil || n.idleProcessors() > harmless.idleProcessors()) {
				harmless = n
			}
		case fits && (least == nil || n.servingReserved < least.servingReserved):
			least = n
		}
	}
	to := least
	if taken {
		to = harmless
	}
	// A job of which something runs gets on without help.
	if to == nil || (taken && s.job.activeAttempts > 0) {
		return false
	}
	e.count("Task.Forced")
	e.forcedFillers++
	a := e.start(now, t, to, e.nextRun(t))
	a.forced, a.interfering = true, !taken
	return true
}

// countForced counts the fillers that were started although they starved, once for all
// starving steps of a tick.
func (e *Engine) countForced() {
	e.forcedFillers = 0
	for _, n := range e.sortedWorkers {
		for _, a := range n.runs {
			if a.forced {
				e.forcedFillers++
			}
		}
	}
}

// hasInterferingFiller reports whether a filler runs beside serving tasks that it disturbs.
func (n *node) hasInterferingFiller() bool {
	for _, a := range n.runs {
		if a.interfering {
			return true
		}
	}
	return false
}
