package dispatch

import (
	"time"
)

const (
	// maxLeavesPerTick bounds the runs that are moved off leaving workers at once.
	maxLeavesPerTick = 16
	// leaveMargin is kept from the time that a leaving worker stays.
	leaveMargin = 500 * time.Millisecond
)

// emptyLeavingWorkers moves runs off workers that will leave before they end.
func (e *Engine) emptyLeavingWorkers(now time.Time) {
	moved := 0
	for _, n := range e.fleet {
		if !n.Draining || n.misses > 0 {
			continue
		}
		for _, a := range n.runs {
			if moved >= maxLeavesPerTick {
				return
			}
			if a.phase == running && e.shouldLeave(now, a) {
				e.count("Task.Evicted.Leaving")
				e.stop(now, a, "its worker leaves")
				moved++
			}
		}
	}
}

// shouldLeave reports whether a run on a leaving worker won't end in time and can go
// on elsewhere.
func (e *Engine) shouldLeave(now time.Time, a *attempt) bool {
	s := a.task.step
	if s.Gang || e.choose(now, a.task) == nil {
		return false
	}
	if s.LongRunning {
		return true
	}
	total := a.projected()
	if total == 0 {
		total = s.Estimate
	}
	left := total - now.Sub(a.begin.at)
	return left > a.node.Remaining-now.Sub(a.node.drainingAt)-leaveMargin
}

// hasLeft reports whether a worker that was leaving is gone: the platform has removed
// it from the list and it doesn't answer.
func (n *node) hasLeft() bool {
	return n.Draining && !n.listed && n.misses > 1
}
