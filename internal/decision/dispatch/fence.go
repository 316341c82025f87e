package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// fence returns the fence of the next command to a worker.
func (e *Engine) fence(w *worker) Fence {
	return Fence(e.options.Epoch) + Fence(e.restarts[w.ID])
}

// raiseFence gives the commands to a worker that has restarted a higher fence, while the owner has one.
func (e *Engine) raiseFence(w *worker) {
	if e.restarts[w.ID] == FencesPerEpoch-1 {
		e.count("Worker.FencesExhausted")
		return
	}
	e.restarts[w.ID]++
}

// IsCurrentFence reports whether commands to a worker still carry the fence. If not, a worker that has
// seen a higher one has seen a later command of this owner.
func (e *Engine) IsCurrentFence(id membership.InstanceID, f Fence) bool {
	w := e.workers[id]
	return w == nil || e.fence(w) == f
}

// observeFence updates the leases that unknown commands may have granted when a report arrives. Until the
// worker has answered a poll with the current fence, commands of an earlier owner, or to an earlier
// process with its clock, may have granted the longest lease.
func (e *Engine) observeFence(w *worker, clock time.Duration) {
	if w.fenced {
		return
	}
	w.possibleLeaseEnd = max(w.possibleLeaseEnd, clock+max(e.options.MaxLease, e.options.LeaseTerm))
	w.fenced = w.pollFence == e.fence(w)
}

// ObserveIncarnation records which process of a worker answered a start, and reports whether that shows a
// restart. A report would show it too, but only once the poll of the earlier process has timed out, and a
// worker that falls silent before sends none.
func (e *Engine) ObserveIncarnation(now time.Time, id membership.InstanceID, a StartAnswer) bool {
	w := e.workers[id]
	if w == nil || !w.reported || w.incarnation == 0 || a.Incarnation <= w.incarnation {
		return false
	}
	e.handleRestart(now, w, Report{Incarnation: a.Incarnation, Clock: a.Clock})
	w.lastReportAt, w.reportedClock = now, a.Clock
	e.observeFence(w, a.Clock)
	return true
}

// isOutdated reports whether a report comes from the process before a restart that an answer to a start
// has shown meanwhile.
func (w *worker) isOutdated(r Report) bool {
	return !w.restartSeenAt.IsZero() && r.Incarnation != 0 && r.Incarnation == w.earlierIncarnation && w.pollSentAt.Before(w.restartSeenAt)
}

// hasUnseenRestart reports whether the worker's entry in the list comes from a later process than the one
// that last answered.
func (w *worker) hasUnseenRestart() bool {
	return w.incarnation != 0 && w.RegisteredIncarnation > w.incarnation
}

// loseExpiredRuns gives up the runs of a silent worker whose leases have expired. A start without an answer
// may have reached a process that this owner doesn't know of, and which grants the longest lease. If the
// list shows such a process, it may also execute the start late.
func (e *Engine) loseExpiredRuns(now time.Time, w *worker) {
	longest := MaxCommandTime + maxLeaseDuration(max(e.options.MaxLease, e.options.LeaseTerm)) + leaseEndMargin
	if w.hasUnseenRestart() {
		longest += maxStartDelay
	}
	for _, a := range w.runs {
		if a.confirmed || now.After(a.sentAt.Add(longest)) {
			e.loseRun(now, a, "lease ended")
		}
	}
}
