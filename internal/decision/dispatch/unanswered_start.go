package dispatch

import "time"

// maxStartDelay is how long after it was sent a start command without an answer may
// still be executed.
const maxStartDelay = 15 * time.Second

// recordUnansweredStart records a start command that got no answer.
func (w *worker) recordUnansweredStart(now time.Time, r TaskRun) {
	for other, at := range w.unansweredStarts {
		if now.Sub(at) > maxStartDelay {
			delete(w.unansweredStarts, other)
		}
	}
	w.unansweredStarts[r] = now
}

// mayExecuteLateStart reports whether a start without an answer may still be executed, possibly by
// the worker's next process.
func (w *worker) mayExecuteLateStart(now time.Time) bool {
	for _, at := range w.unansweredStarts {
		if now.Sub(at) <= maxStartDelay {
			return true
		}
	}
	return false
}

// stopLateStarts stops the unanswered starts on the new incarnation of a worker. The
// new process knows no epoch and has a new clock, so nothing else prevents it from
// executing them late.
func (e *Engine) stopLateStarts(now time.Time, w *worker) {
	for r, at := range w.unansweredStarts {
		if now.Sub(at) > maxStartDelay {
			continue
		}
		e.count("Task.LateStartStopped")
		if a := w.runs[r.Task]; a != nil && a.run == r.Run {
			e.sendStop(now, a)
			continue
		}
		e.issueStopCommand(w, r)
	}
}
