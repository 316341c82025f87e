package dispatch

import "time"

// newJobWait is the time after a takeover in which an earlier owner that lives must
// have learned of it: its transactions conflict, and workers refuse its polls.
const newJobWait = 2 * time.Second

// Recover makes the tasks of recovered jobs wait until each worker that the
// earlier owner used has reported, at most until its leases have ended. New jobs
// wait as well, but for a shorter time.
// The earlier owner may act for a further term before it rests.
func (e *Engine) Recover(now time.Time, term time.Duration) {
	e.recovering = true
	e.recoveryEnds = now.Add(maxLeaseDuration(e.options.LeaseTerm) + leaseEndMargin + term)
	e.newJobsStartAt = now.Add(newJobWait)
}

// endRecovery lets recovered jobs go on once nothing of them can run unseen.
func (e *Engine) endRecovery(now time.Time) {
	if !e.recovering {
		return
	}
	if now.Before(e.recoveryEnds) {
		if !e.workersListed {
			return
		}
		for _, n := range e.sortedWorkers {
			if !n.reported && !n.replaced {
				return
			}
		}
	}
	e.recovering = false
	e.record(now, Decision{Event: "RecoveryEnded"})
}

// mustWait reports whether a job may be running unseen on a worker that hasn't
// reported to this owner yet.
func (e *Engine) mustWait(now time.Time, j *job) bool {
	return e.recovering && (j.recovered || now.Before(e.newJobsStartAt))
}

// noteUnbegun notes, when a task of the step is seen at work, that no earlier owner can have
// begun the steps that wait for it, directly or not: its worker tells the end only to this
// owner from now on. A gang ends on all its workers, of which others may still tell an
// earlier owner.
func (s *step) noteUnbegun() {
	if s.seenRunning || s.Gang || s.LongRunning {
		return
	}
	s.seenRunning = true
	steps := s.job.occurrences[s.id.Occurrence]
	waits := make([]bool, len(steps))
	waits[s.id.Step] = true
	// Steps wait for earlier ones only, so that one pass finds them all.
	for i := s.id.Step + 1; i < len(steps); i++ {
		for _, before := range steps[i].After {
			if waits[before] {
				waits[i], steps[i].unstarted = true, true
				break
			}
		}
	}
}
