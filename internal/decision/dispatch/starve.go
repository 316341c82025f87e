package dispatch

import "time"

const (
	// starveAfter is how long fillers wait before one of them runs nevertheless: on a
	// worker without idle processors, or beside serving tasks that it disturbs.
	starveAfter = 6 * time.Second
	// starveInterval is the time between two searches for starving fillers, each of which
	// looks at all workers.
	starveInterval = 100 * time.Millisecond
	// maxForced bounds the fillers that run so at the same time.
	maxForced = 2
	// intruderPatience is how long a serving task may be over its target beside a filler
	// that is known to disturb it before that is held still.
	intruderPatience = 500 * time.Millisecond
)

// isStarving reports whether a step of fillers has waited in vain for long.
func (s *step) isStarving(now time.Time) bool {
	return s.Filler && !s.Gang && !s.blockedAt.IsZero() && now.Sub(s.blockedAt) >= starveAfter
}

// lookForStarving decides whether this tick looks for starving fillers.
func (e *Engine) lookForStarving(now time.Time) {
	e.starveDue = now.Sub(e.starvedAt) >= starveInterval
	if e.starveDue {
		e.starvedAt = now
	}
}

// mayForce reports whether a filler of the step may run although it found no worker.
func (e *Engine) mayForce(now time.Time, s *step) bool {
	return e.starveDue && e.forced < maxForced && s.isStarving(now)
}

// startStarving starts a filler that has waited for long, and reports whether it did. On
// a worker where it disturbs nothing it only slows other fillers down. Where there is
// none it intrudes on the serving tasks that reserve least, as fast as they stand.
func (e *Engine) startStarving(now time.Time, t *task) bool {
	s := t.step
	if !e.mayForce(now, s) {
		return false
	}
	var harmless, least *node
	taken := false
	for _, n := range e.fleet {
		if !e.suitsBut(s, n) {
			continue
		}
		fits := e.mayRun(now, t, n)
		switch {
		case e.expectedHarm(now, s, n) <= placeBelow:
			taken = true
			if fits && (harmless == nil || n.idle() > harmless.idle()) {
				harmless = n
			}
		case fits && (least == nil || n.serving < least.serving):
			least = n
		}
	}
	to := least
	if taken {
		to = harmless
	}
	// A job of which something runs gets on without help.
	if to == nil || (taken && s.job.live > 0) {
		return false
	}
	e.count("Task.Forced")
	e.forced++
	a := e.start(now, t, to, e.nextRun(t))
	a.forced, a.intruder = true, !taken
	return true
}

// countForced counts the fillers that were started although they starved, once for all
// starving steps of a tick.
func (e *Engine) countForced() {
	e.forced = 0
	for _, n := range e.fleet {
		for _, a := range n.runs {
			if a.forced {
				e.forced++
			}
		}
	}
}

// hasIntruder reports whether a filler runs beside serving tasks that it disturbs.
func (n *node) hasIntruder() bool {
	for _, a := range n.runs {
		if a.intruder {
			return true
		}
	}
	return false
}
