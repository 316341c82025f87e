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
// process with its clock, may have granted the longest lease. An earlier owner may have recorded the leases
// of the process.
func (e *Engine) observeFence(now time.Time, w *worker, clock time.Duration) {
	if w.fenced {
		return
	}
	lease := max(e.options.MaxLease, e.options.LeaseTerm)
	if r := e.recorded[w.ID]; r.incarnation != 0 && r.incarnation == w.incarnation {
		lease = max(r.leasesExpireAt.Sub(now), 0)
	}
	w.possibleLeaseEnd = max(w.possibleLeaseEnd, clock+lease)
	w.fenced = w.pollFence == e.fence(w)
}

// hasUnseenRestart reports whether the worker's entry in the list comes from a later process than the one
// that last answered.
func (w *worker) hasUnseenRestart() bool {
	return w.incarnation != 0 && w.RegisteredIncarnation > w.incarnation
}

// hasEarlierEntry reports whether the worker's entry in the list comes from an earlier process than the one that
// last answered. That one may have other labels and another capacity, or belong to another service.
func (w *worker) hasEarlierEntry() bool {
	return w.RegisteredIncarnation != 0 && w.RegisteredIncarnation < w.incarnation
}

// loseExpiredRuns gives up the runs of a silent worker whose leases have expired. A start that no report has
// shown since may have reached a process that this owner doesn't know of, and which grants the longest lease,
// whether the start was answered or not. If the list shows such a process, it may also execute commands
// late.
func (e *Engine) loseExpiredRuns(now time.Time, w *worker) {
	longest := e.longestRunWithoutRenewal(w)
	for _, a := range w.runs {
		if a.listed || now.After(a.startedBy().Add(longest)) {
			e.loseRun(now, a, "lease ended")
		}
	}
}

// longestRunWithoutRenewal returns how long a run may be active on the worker after its start was sent, if no
// report has shown the process that executes it.
func (e *Engine) longestRunWithoutRenewal(w *worker) time.Duration {
	longest := maxLeaseDuration(max(e.options.MaxLease, e.options.LeaseTerm)) + leaseEndMargin
	if w.hasUnseenRestart() {
		longest += maxStartDelay
	}
	return longest
}

// startedBy returns the latest time at which the worker may have executed the start, other than late.
func (a *attempt) startedBy() time.Time {
	if !a.answeredAt.IsZero() {
		return a.answeredAt
	}
	return a.sentAt.Add(MaxCommandTime)
}
