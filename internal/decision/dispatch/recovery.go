package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// newJobDelay is how long new jobs are delayed after a takeover. By then, an earlier
// owner that is still alive must have noticed the takeover: its transactions conflict,
// and workers refuse its polls.
const newJobDelay = 2 * time.Second

// Recover delays the tasks of recovered jobs until each worker that the earlier owner
// used has listed its runs, or until all of its leases must have expired. New jobs are delayed
// too, but for a shorter time. The earlier owner may keep acting for up to term before
// it suspends itself.
func (e *Engine) Recover(now time.Time, term time.Duration) {
	e.recovering, e.awaitsAnyRun = true, true
	e.recoveryEnds = now.Add(maxLeaseDuration(e.options.LeaseTerm) + leaseEndMargin + term)
	e.earlierOwnerActsUntil = now.Add(max(term, 0))
	e.newJobsStartAt = now.Add(newJobDelay)
}

// endRecovery ends the recovery once no run of a recovered job can be active without
// being known.
func (e *Engine) endRecovery(now time.Time) {
	if !e.recovering || e.awaitsEarlierRuns(now) {
		return
	}
	reason := "the leases of the earlier owner have expired"
	if now.Before(e.recoveryEnds) {
		reason = "all workers have listed their runs"
	}
	e.recovering = false
	e.forgetRecord()
	e.record(now, Decision{Event: "RecoveryEnded", Reason: reason})
}

// awaitsEarlierRuns reports whether any worker may have runs of the earlier owner that this owner doesn't
// know, and notes whether these may be of any task.
func (e *Engine) awaitsEarlierRuns(now time.Time) bool {
	e.awaitsAnyRun = false
	if !e.hasRecord {
		e.awaitsAnyRun = !e.workersListed && now.Before(e.recoveryEnds) ||
			slices.ContainsFunc(e.sortedWorkers, func(w *worker) bool { return e.mayHaveUnlistedRuns(now, w) })
		return e.awaitsAnyRun
	}
	awaits := false
	for id, r := range e.recorded {
		if (!awaits || r.anyRun) && e.mayHaveEarlierRuns(now, id) {
			awaits, e.awaitsAnyRun = true, e.awaitsAnyRun || r.anyRun
		}
	}
	return awaits
}

// mayHaveEarlierRuns is like mayHaveUnlistedRuns for a worker that needn't be known.
func (e *Engine) mayHaveEarlierRuns(now time.Time, id membership.InstanceID) bool {
	if w := e.workers[id]; w != nil {
		return e.mayHaveUnlistedRuns(now, w)
	}
	return now.Before(e.recorded[id].leasesExpireAt)
}

// mayHaveUnlistedRuns reports whether a worker may have runs, or ends of runs, of the earlier owner
// that this owner doesn't know. An unknown end may be that of a task which would run again. Those of a
// silent worker no longer count once its leases have expired. A worker that the earlier owner recorded
// without any run has none.
func (e *Engine) mayHaveUnlistedRuns(now time.Time, w *worker) bool {
	if _, recorded := e.recorded[w.ID]; e.hasRecord && !recorded || w.replaced {
		return false
	}
	expireAt := e.earlierRunsExpireAt(w.ID)
	if !w.reported {
		return now.Before(expireAt)
	}
	// A worker that first answers once the earlier owner's leases have expired has no run of it.
	mayBeHidden := !w.hasListedRuns && w.firstReportAt.Before(expireAt)
	return (w.hasMoreEnds || mayBeHidden) && (w.missedPolls == 0 || now.Before(w.leasesExpireAt()))
}

// earlierRunsExpireAt returns when no run of the earlier owner can be active on a worker that hasn't
// answered.
func (e *Engine) earlierRunsExpireAt(id membership.InstanceID) time.Time {
	if e.hasRecord {
		return e.recorded[id].leasesExpireAt
	}
	return e.recoveryEnds
}

// stopTimeout returns the time after which a run that was told to stop must have been listed as
// ended.
func (e *Engine) stopTimeout() time.Duration {
	return e.options.StopTimeout + stopTimeoutMargin
}

// observeFirstLists records whether the worker has listed all runs of the earlier owner but those
// that were being stopped.
func (e *Engine) observeFirstLists(now time.Time, w *worker) {
	if !w.reported {
		w.firstReportAt = now
	}
	if !w.hasListedRuns {
		w.hasListedRuns = w.pollSentAt.Sub(w.firstReportAt) >= listDelay
	}
}

// recoveryPollWait limits how long a worker may wait before it answers during a recovery, so that the
// poll after that one can end the recovery.
func (e *Engine) recoveryPollWait(now time.Time, w *worker) time.Duration {
	if !e.recovering || w.hasListedRuns {
		return maxPollWait
	}
	return max(w.firstReportAt.Add(listDelay).Sub(now), 0)
}

// mustAwaitRecovery reports whether a run of the task may be active, or have succeeded, on a worker that
// hasn't listed its runs to this owner yet.
func (e *Engine) mustAwaitRecovery(now time.Time, t *task) bool {
	switch {
	case !e.recovering || t.step.unstarted:
		return false
	case slices.ContainsFunc(t.recordedOn, func(id membership.InstanceID) bool { return e.mayHaveEarlierRuns(now, id) }):
		return true
	case t.seenRunning:
		return false
	case t.step.job.recovered:
		return e.awaitsAnyRun
	}
	return now.Before(e.newJobsStartAt)
}

// noteSeenRunning is called when a report shows a run of an earlier owner. The task has no other run, because
// an owner starts one only when all earlier ones have ended, and the end of this one is reported only to this
// owner from now on. There are two exceptions. While the earlier owner may still act, it may treat the run as
// lost because the worker doesn't answer it. A task of a step that allows copies may have another run.
func (e *Engine) noteSeenRunning(a *attempt) {
	if !e.recovering || !a.adopted {
		return
	}
	t := a.task
	t.recordedOn = slices.DeleteFunc(t.recordedOn, func(id membership.InstanceID) bool { return id == a.worker.ID })
	if !t.step.allowsCopies() && !a.worker.pollSentAt.Before(e.earlierOwnerActsUntil) {
		t.seenRunning = true
	}
}

// markDependentsUnstarted is called when a task of the step is found running. It marks
// the steps that depend on it, directly or not, as not started by any earlier owner:
// from now on the worker reports the end of the task only to this owner. Gangs are
// excluded, because a gang ends on all its workers, and the others may still report
// that to an earlier owner, and so are steps that allow copies, because an earlier owner may
// have seen the end of another copy.
func (s *step) markDependentsUnstarted() {
	if s.seenRunning || s.Gang || s.LongRunning || s.allowsCopies() {
		return
	}
	s.seenRunning = true
	steps := s.occurrence.steps
	dependent := make([]bool, len(steps))
	dependent[s.id.Step] = true
	// Steps depend only on earlier ones, so one pass is enough.
	for i := s.id.Step + 1; i < len(steps); i++ {
		for _, dependency := range steps[i].After {
			if dependent[dependency] {
				dependent[i], steps[i].unstarted = true, true
				break
			}
		}
	}
}
