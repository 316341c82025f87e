package dispatch

import (
	"slices"
	"time"
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
	e.recovering = true
	e.recoveryEnds = now.Add(maxLeaseDuration(e.options.LeaseTerm) + leaseEndMargin + term)
	e.newJobsStartAt = now.Add(newJobDelay)
}

// endRecovery ends the recovery once no run of a recovered job can be active without
// being known.
func (e *Engine) endRecovery(now time.Time) {
	if !e.recovering || slices.ContainsFunc(e.sortedWorkers, func(w *worker) bool { return e.mayHaveUnlistedRuns(now, w) }) {
		return
	}
	reason := "the leases of the earlier owner have expired"
	if now.Before(e.recoveryEnds) {
		if !e.workersListed {
			return
		}
		reason = "all workers have listed their runs"
	}
	e.recovering = false
	e.record(now, Decision{Event: "RecoveryEnded", Reason: reason})
}

// mayHaveUnlistedRuns reports whether a worker may have runs, or ends of runs, of the earlier owner
// that this owner doesn't know. An unknown end may be that of a task which would run again. Those of a
// silent worker no longer count once its leases have expired.
func (e *Engine) mayHaveUnlistedRuns(now time.Time, w *worker) bool {
	switch {
	case w.replaced:
		return false
	case !w.reported:
		return now.Before(e.recoveryEnds)
	default:
		// A worker that first answers once the earlier owner's leases have expired has no run of it.
		mayBeHidden := !w.hasListedRuns && w.firstReportAt.Before(e.recoveryEnds)
		return (w.hasMoreEnds || mayBeHidden) && (w.missedPolls == 0 || now.Before(w.leasesExpireAt()))
	}
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

// mustAwaitRecovery reports whether a job may have runs on a worker that hasn't
// reported to this owner yet.
func (e *Engine) mustAwaitRecovery(now time.Time, j *job) bool {
	return e.recovering && (j.recovered || now.Before(e.newJobsStartAt))
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
	steps := s.job.occurrences[s.id.Occurrence]
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
