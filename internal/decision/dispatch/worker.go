package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// clockErrorPercent is how much slower than this process's clock a worker's clock
	// may run.
	clockErrorPercent = 3
	// leaseEndMargin covers the delivery time of a message and the time to kill runs
	// whose lease has expired.
	leaseEndMargin = 300 * time.Millisecond
	// maxReportAge is the age of the last report beyond which a worker gets no new
	// tasks. It allows for the longest poll wait and the retransmission of a few lost
	// packets.
	maxReportAge = 2500 * time.Millisecond
	// maxFailedPollAge is how long ago the last failed poll of a silent worker was sent at most,
	// unless the owner was paused: two timeouts of a poll, the interval between them, and 0.4 s for
	// timers that fire late.
	maxFailedPollAge = 2 * time.Second
	// listDelay is the minimum time between a worker's first report to a new owner and the poll whose
	// report counts as complete. The first report may lack a run that ended while it was made, or that
	// had just been accepted.
	listDelay = 100 * time.Millisecond
	// stopTimeoutMargin covers timers that fire late on the worker.
	stopTimeoutMargin = 100 * time.Millisecond
	// minMissingTime is how long an accepted run must be missing from the reports before it
	// counts as lost. A worker may list a run only once it has started up.
	minMissingTime = 2 * time.Second
	// stopRetryInterval is the time after which a stop command is sent again.
	stopRetryInterval = 400 * time.Millisecond
)

// phase is the state of an attempt.
type phase int

const (
	// starting attempts wait for the answer to the start command.
	starting phase = iota
	// running attempts were accepted, or reported by the worker.
	running
	// unconfirmed attempts got no answer to the start command and aren't reported yet.
	unconfirmed
	// stopping attempts were told to stop. The stop command also keeps the worker from
	// executing a start command that arrives late.
	stopping
)

// String returns the name of the phase for logs.
func (p phase) String() string {
	return [...]string{"starting", "running", "unconfirmed", "stopping"}[p]
}

// attempt is a run that may be active. It occupies capacity on its worker.
type attempt struct {
	task     *task
	run      Run
	worker   *worker
	phase    phase
	reserved resource.Vector
	// fillerProcessors is what a filler requests beyond the reserved resources.
	fillerProcessors resource.MilliProcessors
	sentAt           time.Time
	// settledPoll is the number of polls that had been sent to the worker when the answer to
	// the last start or stop command for the run arrived. Later polls reached the worker after
	// that command, so that only their reports tell whether it took effect.
	settledPoll int64
	// answeredAt is when that answer arrived, or zero.
	answeredAt time.Time
	// missingSince is when a report first should have listed the run and didn't, or zero.
	missingSince time.Time
	// confirmed reports that the worker accepted the run or listed it, listed that it listed it.
	confirmed bool
	listed    bool
	// previousRun is the task's run number before the placement of its gang, to restore
	// if the gang doesn't fit.
	previousRun Run
	// adopted reports that an earlier owner started the run.
	adopted bool
	// restarted reports that the worker restarted before it answered the start.
	restarted bool
	// startedAsCopy reports that another run of the task was active when this one was started.
	startedAsCopy bool
	// forced reports that a filler was started because it had waited too long.
	// interfering reports that it was started beside serving tasks with which it is
	// expected to interfere, at a pace that keeps them within their targets.
	forced      bool
	interfering bool
	// stopPending attempts are stopped once the start is answered.
	stopPending bool
	stopSentAt  time.Time
	// stopAccepted reports that the worker accepted the stop.
	stopAccepted bool
	// percent is the highest progress reported, and measurement the last measurement;
	// see RunningTask.
	percent     int
	measurement int
	// firstProgress is the progress at the first report.
	firstProgress progressSample
	// progressAt is when percent last increased.
	progressAt time.Time
	pace       pace
	// moveAvoided reports that the run would have been moved off its draining worker if no replacement were
	// under way. It is counted if the run ends there.
	moveAvoided bool
	// backfillEndsBy is when a run on reserved room should have ended, or zero.
	backfillEndsBy time.Time
}

// worker is the engine's record of a worker and of the runs that occupy its capacity.
type worker struct {
	WorkerInfo
	listed bool
	// schedulable workers may get tasks in this tick: they are available, not
	// quarantined and in an availability zone that is in service.
	schedulable bool
	// leavesSoon reports that the workers of its service are being replaced and this one hasn't been.
	leavesSoon bool
	unlistedAt time.Time
	// leavesAt is the earliest time at which a draining worker leaves, or zero if it didn't report that.
	leavesAt    time.Time
	incarnation int64
	// reported is true once the worker has answered this owner.
	reported bool
	// firstReportAt is when that answer arrived. hasListedRuns is true once a second report has shown
	// the earlier owner's runs and their ends. Runs that are being stopped may still be missing.
	firstReportAt time.Time
	hasListedRuns bool
	// hasMoreEnds reports that the last report didn't have all ends that aren't stored.
	hasMoreEnds  bool
	lastReportAt time.Time
	// reportedClock is the worker's clock in the last report.
	reportedClock time.Duration
	missedPolls   int
	// polls counts the polls that were sent to the worker, and pollSentAt is when the last one
	// was. A poll is sent only after the one before it has been answered or has failed.
	polls      int64
	pollSentAt time.Time
	// answeredPoll is the number of the last poll that the worker answered.
	answeredPoll int64
	// failedPollSentAt is when the last poll that failed was sent.
	failedPollSentAt time.Time
	// replaced reports that another worker answers at this worker's address, so nothing
	// runs on this one.
	replaced bool
	// pollFence is the fence of the last poll that was sent. fenced reports that the worker has
	// answered a poll with the current fence, so that it executes no earlier command any more.
	pollFence Fence
	fenced    bool
	// leaseEndSent is the latest lease end sent to the worker, on the worker's clock.
	// possibleLeaseEnd is the latest one that commands of an earlier owner, or to an earlier process,
	// may have granted.
	leaseEndSent     time.Duration
	possibleLeaseEnd time.Duration
	runs             map[TaskID]*attempt
	reserved         resource.Vector
	fillerProcessors resource.MilliProcessors
	// servingReserved is the part of reserved that belongs to serving tasks.
	servingReserved resource.MilliProcessors
	// suspectEvictedAt is when a filler was last stopped on suspicion of interference.
	suspectEvictedAt time.Time
	// sampledAt is when a measurement of each serving image was last used for learning.
	sampledAt map[Image]time.Time
	// fillerReducedAt is when a filler of each image last left or was slowed down.
	// Measurements still include its effect for a while.
	fillerReducedAt map[Image]time.Time
	// overTargets has the serving steps with tasks over their target.
	overTargets map[*step]*overTarget
	// servingImages counts the serving tasks by image.
	servingImages map[Image]int
	// lastEndSeen is the number of the last end that was processed, lastEndStored that
	// of the last one that is stored.
	lastEndSeen   int64
	lastEndStored int64
	// unstoredEnds has the ends that were seen but not stored yet and that the next owner must know before it
	// starts their tasks again.
	unstoredEnds []End
	// awaitedStops has the runs that the earlier owner was stopping when it released the shard, with
	// the time at which they must have ended.
	awaitedStops map[TaskRun]time.Time
	// unansweredStarts has the time of each start that got no answer.
	unansweredStarts map[TaskRun]time.Time
	// orphans has the runs that the worker has listed, that aren't in this owner's records and that may
	// still be active. Their resources are unknown.
	orphans map[TaskRun]*orphan
	// avoidUntil is when a worker that refused a start is tried again.
	avoidUntil      time.Time
	health          health
	slowdownSamples slowdownSamples
	fault           fault
	// slowdown is how many times longer than elsewhere tasks take, as of the last
	// search for stragglers.
	slowdown    float64
	paceControl paceControl
	// hold keeps the worker's free capacity for one task.
	hold hold
	// fillerValue is the filler demand that the worker can serve, weighted by scarcity;
	// the mean is 1.
	fillerValue float64
	// tailLatencyRatio is the smoothed ratio of tail latency to target of the slowest
	// serving task.
	tailLatencyRatio float64
	// servingUse is the smoothed share of their reserved processors that the serving tasks
	// use, as far as their tail latencies show.
	servingUse float64
}

func newWorker(info WorkerInfo, now time.Time) *worker {
	return &worker{
		WorkerInfo:       info,
		servingUse:       1,
		listed:           true,
		lastReportAt:     now,
		runs:             map[TaskID]*attempt{},
		servingImages:    map[Image]int{},
		fillerReducedAt:  map[Image]time.Time{},
		sampledAt:        map[Image]time.Time{},
		overTargets:      map[*step]*overTarget{},
		orphans:          map[TaskRun]*orphan{},
		unansweredStarts: map[TaskRun]time.Time{},
		awaitedStops:     map[TaskRun]time.Time{},
	}
}

// estimatedClock estimates the worker's clock at the given time.
func (w *worker) estimatedClock(now time.Time) time.Duration {
	return w.reportedClock + now.Sub(w.lastReportAt)
}

// renewLease returns the lease end to send, and records it.
func (w *worker) renewLease(now time.Time, term time.Duration) time.Duration {
	w.leaseEndSent = max(w.leaseEndSent, w.estimatedClock(now)+term)
	return w.leaseEndSent
}

// maxLeaseDuration returns the longest time that a lease of the given term can last on
// a slow clock.
func maxLeaseDuration(term time.Duration) time.Duration {
	return term + term*clockErrorPercent/100
}

// leasesExpireAt returns when no run can be active any more if the worker stays silent.
func (w *worker) leasesExpireAt() time.Time {
	leaseEnd := max(w.leaseEndSent, w.possibleLeaseEnd)
	return w.lastReportAt.Add(maxLeaseDuration(max(leaseEnd-w.reportedClock, 0)) + leaseEndMargin)
}

// hasLostRuns reports whether all runs of the worker have ended because it is silent. After a pause
// of the owner a failed poll says nothing about the worker, which may answer the next one with the
// ends of its runs.
func (w *worker) hasLostRuns(now time.Time) bool {
	expireAt := w.leasesExpireAt()
	if !w.reported || w.missedPolls == 0 || !now.After(expireAt) {
		return false
	}
	return now.Sub(w.failedPollSentAt) <= maxFailedPollAge || w.failedPollSentAt.After(expireAt)
}

// isAvailable reports whether the worker answers and may get new tasks.
func (w *worker) isAvailable(now time.Time) bool {
	return w.reported && w.listed && !w.Draining && w.missedPolls == 0 &&
		now.Sub(w.lastReportAt) < maxReportAge && !now.Before(w.avoidUntil)
}

// free returns the capacity that isn't reserved.
func (w *worker) free() resource.Vector {
	return w.Capacity.Sub(w.reserved)
}

// hasUncertainRun reports whether the next report may show that a run isn't active: one that the
// last report didn't list, or one that was stopped because its start got no answer.
func (w *worker) hasUncertainRun() bool {
	for _, a := range w.runs {
		_, unanswered := w.unansweredStarts[a.taskRun()]
		if !a.missingSince.IsZero() || unanswered && a.stopAccepted {
			return true
		}
	}
	return false
}

func (w *worker) hasLabel(label Label) bool {
	return slices.Contains(w.Labels, label)
}

// add records an attempt and the resources that it reserves.
func (w *worker) add(a *attempt) {
	w.runs[a.task.id] = a
	w.reserved = w.reserved.Add(a.reserved)
	w.fillerProcessors += a.fillerProcessors
	if a.task.step.Target > 0 {
		w.servingReserved += a.reserved.Processors
		w.servingImages[a.task.step.Image]++
	}
	a.task.step.perWorker[w]++
	a.task.step.job.activeAttempts++
	a.task.addAttempt(a)
	a.task.run = max(a.task.run, a.run)
}

// remove removes an attempt and frees its resources.
func (w *worker) remove(a *attempt, now time.Time) {
	if w.runs[a.task.id] != a {
		return
	}
	delete(w.runs, a.task.id)
	w.reserved = w.reserved.Sub(a.reserved)
	w.fillerProcessors -= a.fillerProcessors
	if a.fillerProcessors > 0 {
		w.fillerReducedAt[a.task.step.Image] = now
	}
	if a.task.step.Target > 0 {
		w.servingReserved -= a.reserved.Processors
		w.servingImages[a.task.step.Image]--
		if w.servingImages[a.task.step.Image] == 0 {
			delete(w.servingImages, a.task.step.Image)
		}
	}
	s := a.task.step
	s.perWorker[w]--
	if s.perWorker[w] == 0 {
		delete(s.perWorker, w)
	}
	s.job.activeAttempts--
	if a.task.attempt == a && a.confirmed {
		a.task.lastRunAt, a.task.deferredSince = w.lastReportAt, time.Time{}
	}
	a.task.removeAttempt(a)
}

// taskRun returns the ID of the run.
func (a *attempt) taskRun() TaskRun {
	return TaskRun{a.task.id, a.run}
}

// newAttempt returns an attempt of the task with the resources that it needs.
func newAttempt(t *task, run Run, w *worker, now time.Time) *attempt {
	a := &attempt{task: t, run: run, worker: w, reserved: t.step.Reserved(), sentAt: now, progressAt: now}
	a.firstProgress.at = now
	a.pace.percent = fullPacePercent
	if t.step.Filler {
		a.fillerProcessors = t.step.Resources.Processors
	}
	return a
}
