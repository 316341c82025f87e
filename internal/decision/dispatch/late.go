package dispatch

import "time"

// lateStartTime is how long after it was sent a start without an answer may be carried
// out.
const lateStartTime = 15 * time.Second

// recordUnansweredStart remembers a start without an answer.
func (n *node) recordUnansweredStart(now time.Time, r TaskRun) {
	for other, at := range n.unansweredStarts {
		if now.Sub(at) > lateStartTime {
			delete(n.unansweredStarts, other)
		}
	}
	n.unansweredStarts[r] = now
}

// stopLateStarts stops the starts without an answer on the new life of a worker. It
// knows no epoch and has a new clock, so that nothing else keeps it from carrying them
// out late.
func (e *Engine) stopLateStarts(now time.Time, n *node) {
	for r, at := range n.unansweredStarts {
		if now.Sub(at) > lateStartTime {
			continue
		}
		e.count("Task.LateStartStopped")
		if a := n.runs[r.Task]; a != nil && a.run == r.Run {
			e.sendStop(now, a)
			continue
		}
		e.commandStop(n, r)
	}
}
