package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// maxPollWait is how long a worker may delay its answer while no run ends.
	maxPollWait = time.Second
	// interferencePollWait replaces maxPollWait for a worker on which fillers may
	// interfere with serving tasks.
	interferencePollWait = 500 * time.Millisecond
	// uncertainRunPollWait replaces maxPollWait for a worker with a run that may not be active.
	// More frequent polls would starve an owner that has many such runs.
	uncertainRunPollWait = 500 * time.Millisecond
	// startedUpPercent is the progress of a long-running task that has started up.
	startedUpPercent = 100
	// finishedJobRetention is how long the outcome of a job is kept in memory. It is
	// longer than the retention of the stored row, so that a repeated submission never
	// replaces the outcome.
	finishedJobRetention = 5 * time.Minute
)

// Poll returns the next status request to a worker, and false if the worker is unknown. It is
// called when the request is sent, and not again before the result of that request is known.
// A worker that doesn't answer gets no renewals, so that its leases expire.
func (e *Engine) Poll(now time.Time, id membership.InstanceID) (Poll, bool) {
	w := e.workers[id]
	if w == nil {
		return Poll{}, false
	}
	w.polls, w.pollSentAt, w.pollFence = w.polls+1, now, e.fence(w)
	p := Poll{Address: w.Address, Fence: w.pollFence}
	if !w.reported || w.missedPolls > 0 {
		// The worker may have restarted. It then numbers its ends anew, and must not take
		// new ends for stored ones.
		return p, true
	}
	p.LastStoredEnd = w.lastEndStored
	if e.suspended || e.released {
		return p, true
	}
	p.Lease = w.renewLease(now, e.options.LeaseTerm)
	p.Wait = maxPollWait
	if w.fillerProcessors > 0 && w.servingReserved > 0 {
		p.Wait = interferencePollWait
	}
	if w.hasUncertainRun() {
		p.Wait = uncertainRunPollWait
	}
	p.Wait = min(p.Wait, e.recoveryPollWait(now, w))
	return p, true
}

// PollFailed records that a worker didn't answer.
func (e *Engine) PollFailed(now time.Time, id membership.InstanceID) {
	w := e.workers[id]
	if w == nil {
		return
	}
	w.missedPolls++
	w.failedPollSentAt = w.pollSentAt
	if w.missedPolls == 1 {
		e.count("Worker.Silent")
		e.record(now, Decision{Event: "WorkerSilent", Worker: id, Age: now.Sub(w.lastReportAt)})
	}
}

// WorkerReplaced records that another worker answered a poll at the address of this one,
// so this one has ended with all its runs. Its tasks can restart without waiting for its
// leases to expire. An answer from an address that the worker no longer has says nothing
// about it.
func (e *Engine) WorkerReplaced(now time.Time, id membership.InstanceID, address string) {
	w := e.workers[id]
	if w == nil {
		return
	}
	e.PollFailed(now, id)
	if w.replaced || w.Address != address {
		return
	}
	w.replaced = true
	e.count("Worker.Replaced")
	ev := w.evidence(now)
	e.record(now, Decision{Event: "WorkerReplaced", Worker: id, Reason: address, Age: ev.ReportAge, Evidence: &ev})
	e.loseRuns(now, w, "worker replaced")
	w.dropOrphans()
}

// Observe processes a worker's report.
func (e *Engine) Observe(now time.Time, id membership.InstanceID, r Report) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if w.hasRestarted(r) {
		e.handleRestart(now, w, r)
	}
	if r.Incarnation != 0 {
		w.incarnation = r.Incarnation
	}
	e.observeFence(now, w, r.Clock)
	if w.missedPolls > 0 {
		e.record(now, Decision{Event: "WorkerAnswers", Worker: id, Age: now.Sub(w.lastReportAt)})
	}
	e.observe("Age.Report", now.Sub(w.lastReportAt))
	e.observeFirstLists(now, w)
	w.reported, w.lastReportAt, w.reportedClock, w.missedPolls = true, now, r.Clock, 0
	w.hasMoreEnds, w.answeredPoll = r.MoreEnds, w.polls
	w.replaced = false
	e.observeEnds(now, w, r.Ended)
	e.observeRunning(now, w, r)
	e.handleMissingRuns(now, w, r)
	e.observeTailLatencies(now, w, r)
	e.accountServingTime(now, w, r)
}

// hasRestarted reports whether a report comes from a later process of the worker. Without its start
// only the clock can tell: it starts anew, and the reports arrive in the order in which they were
// made.
func (w *worker) hasRestarted(r Report) bool {
	if !w.reported {
		return false
	}
	if r.Incarnation != 0 && w.incarnation != 0 {
		return r.Incarnation != w.incarnation
	}
	return r.Clock < w.reportedClock
}

// handleRestart drops the runs of a worker whose process has restarted. Runs whose
// start got no answer stay, because the new process may still execute the command. Runs also stay
// if they were accepted after the last answered poll was sent: either process may have accepted
// them.
func (e *Engine) handleRestart(now time.Time, w *worker, r Report) {
	e.count("Worker.Restarted")
	ev := w.evidence(now)
	ev.EarlierIncarnation, ev.EarlierClock = ev.Incarnation, ev.Clock
	ev.Incarnation, ev.Clock = r.Incarnation, r.Clock
	e.record(now, Decision{Event: "WorkerRestarted", Worker: w.ID, Age: ev.ReportAge, Evidence: &ev})
	w.incarnation = r.Incarnation
	w.lastEndSeen, w.lastEndStored, w.leaseEndSent, w.possibleLeaseEnd = 0, 0, 0, 0
	w.fenced, w.unstoredEnds = false, nil
	e.raiseFence(w)
	w.dropOrphans()
	for _, a := range w.runs {
		switch _, unanswered := w.unansweredStarts[a.taskRun()]; {
		case a.phase == starting:
			a.restarted = true
		case unanswered:
			a.phase, a.stopAccepted = stopping, false
		case a.settledPoll >= w.answeredPoll:
		default:
			e.loseRun(now, a, "worker restarted")
		}
	}
	e.stopLateStarts(now, w)
}

// loseRuns gives up all runs on a worker, so that their tasks can start again.
func (e *Engine) loseRuns(now time.Time, w *worker, reason string) {
	for _, a := range w.runs {
		e.loseRun(now, a, reason)
	}
}

func (e *Engine) loseRun(now time.Time, a *attempt, reason string) {
	e.count("Task.Lost")
	a.task.beginDowntime(now, a.worker, reason)
	ev := a.evidence(now)
	e.record(now, Decision{Event: "TaskLost", Task: a.taskRun(), Worker: a.worker.ID, Reason: reason, Age: ev.ReportAge, Evidence: &ev})
	e.releaseRun(now, a)
}

// releaseRun frees the capacity of a run that has ended.
func (e *Engine) releaseRun(now time.Time, a *attempt) {
	a.worker.remove(a, now)
	a.task.dropRecord()
	e.forgetIfFinished(a.task.step.job)
}

// forgetIfFinished drops a job whose outcome is stored and which has no active runs.
func (e *Engine) forgetIfFinished(j *job) {
	if j.outcomeStored && j.activeAttempts == 0 {
		delete(e.jobs, j.ID)
	}
}

func (e *Engine) observeEnds(now time.Time, w *worker, ends []End) {
	for _, end := range ends {
		if end.Number <= w.lastEndSeen {
			continue
		}
		w.lastEndSeen = end.Number
		if e.affectsRecovery(end) {
			w.unstoredEnds = append(w.unstoredEnds, end)
		}
		e.observeEnd(now, w, end)
	}
}

func (e *Engine) observeEnd(now time.Time, w *worker, end End) {
	startedUp, ahead := false, true
	if a := w.runs[end.Task]; a != nil && a.run == end.Run {
		startedUp, ahead = a.percent >= startedUpPercent, a.hasMostProgress()
		a.confirmed = true
		a.task.beginDowntime(now, w, reasonEnded)
		if end.Kind == EndDone && a.firstProgress.percent == 0 {
			a.recordDuration(now)
			e.observeDuration(now, a)
			e.noteBackfillEnd(now, a)
		}
		if end.Kind == EndDone {
			e.recordCopyResult(a)
			e.countAvoidedMove(a)
		}
		e.releaseRun(now, a)
	}
	w.dropOrphan(end.TaskRun)
	t := e.findTask(end.Task)
	w.endAwaitedStop(t, end.TaskRun)
	if !e.HasJob(end.Task.Job) {
		e.earlyEnds.add(earlyEnd{end, w.ID, now})
	}
	if t == nil || t.step.job.outcome != "" {
		return
	}
	t.run = max(t.run, end.Run)
	e.record(now, Decision{Event: "TaskEnded", Task: end.TaskRun, Worker: w.ID, Reason: string(end.Kind)})
	e.count("End." + string(end.Kind))
	if end.Checkpoint != "" && ahead && t.checkpoint != end.Checkpoint {
		t.checkpoint = end.Checkpoint
		e.markDirty(t.step.job)
	}
	switch {
	case t.step.LongRunning:
		// A long-running task may fail at any time. Only a failure before it has
		// started up counts against its worker.
		if end.Kind == EndFailed && !startedUp {
			w.health.recordEnd(now, t.step.job.ID, true)
		}
	case end.Kind == EndDone:
		w.health.recordEnd(now, t.step.job.ID, false)
		e.succeed(now, t)
	case end.Kind == EndFailed:
		w.health.recordEnd(now, t.step.job.ID, true)
		if !t.done {
			e.fail(now, t, end.Run, w)
		}
	}
}

func (e *Engine) succeed(now time.Time, t *task) {
	t.step.job.started = true
	if t.step.Gang {
		for i := range t.step.tasks {
			t.step.task(i).succeed()
		}
	} else {
		t.succeed()
		e.stopAttempts(now, t, "another run of the task succeeded")
	}
	e.markDirty(t.step.job)
	e.completeIfDone(now, t.step.job)
}

func (e *Engine) fail(now time.Time, t *task, run Run, w *worker) {
	j := t.step.job
	j.started = true
	if !t.recordFailure(run, w) {
		return
	}
	e.markDirty(j)
	if j.queue.MaxAttempts > 0 && t.failures() >= j.queue.MaxAttempts {
		e.finish(now, j, Failed, "a task reached the maximum number of attempts of its queue")
	}
}

// observeRunning processes the list of running tasks. A worker may read its lists one after the
// other, so that a run that ends in between is in both or in neither.
func (e *Engine) observeRunning(now time.Time, w *worker, report Report) {
	ended := make(map[TaskRun]bool, len(report.Ended))
	for _, end := range report.Ended {
		ended[end.TaskRun] = true
	}
	for _, o := range w.orphans {
		o.listed = false
	}
	for _, r := range report.Running {
		if ended[r.TaskRun] {
			continue
		}
		a := w.runs[r.Task]
		if a == nil || a.run != r.Run {
			a = e.adopt(now, w, r.TaskRun)
		}
		if a == nil {
			e.stopOrphan(now, w, r.TaskRun)
			continue
		}
		e.observeRun(now, a, r)
	}
	e.dropMissingOrphans(w)
}

func (e *Engine) observeRun(now time.Time, a *attempt, r RunningTask) {
	if a.phase == unconfirmed {
		a.phase = running
	}
	a.confirmed, a.listed = true, true
	e.noteSeenRunning(a)
	a.task.step.job.started = true
	if r.Percent > a.percent {
		if a.percent == 0 && (a.adopted || a.task.checkpoint != "") {
			a.firstProgress = progressSample{r.Percent, now}
		}
		a.percent, a.progressAt = r.Percent, now
		if a.percent >= startedUpPercent && a.phase == running {
			e.endDowntime(now, a)
		}
	}
	a.measurement = r.Measurement
	if r.Checkpoint != "" && a.hasMostProgress() {
		a.task.checkpoint = r.Checkpoint
	}
}

// adopt records a run that an earlier owner started. A run that is no longer wanted is
// stopped, and occupies its capacity until it has ended.
func (e *Engine) adopt(now time.Time, w *worker, r TaskRun) *attempt {
	t := e.findTask(r.Task)
	if t == nil || t.elsewhere || t.attempt != nil && !e.mayAdoptCopy(t, w) {
		return nil
	}
	w.endAwaitedStop(t, r)
	w.dropOrphan(r)
	a := newAttempt(t, r.Run, w, now)
	a.phase, a.settledPoll, a.confirmed, a.listed = running, w.polls, true, true
	a.adopted = true
	t.down = downtime{}
	a.pace.percent = unknownPace
	w.add(a)
	e.record(now, Decision{Event: "TaskAdopted", Task: r, Worker: w.ID})
	e.count("Task.Adopted")
	if t.done || t.step.job.outcome != "" {
		e.stop(now, a, "no longer wanted")
		return a
	}
	if e.recovering {
		t.step.markDependentsUnstarted()
	}
	return a
}

// handleMissingRuns handles the runs that a worker should report but doesn't. It never compares
// times on the worker's clock: the worker may read the clock after the lists, and responses on
// different connections may overtake each other.
func (e *Engine) handleMissingRuns(now time.Time, w *worker, r Report) {
	listed := make(map[TaskRun]bool, len(r.Running))
	for _, run := range r.Running {
		listed[run.TaskRun] = true
	}
	for _, a := range w.runs {
		switch {
		case listed[a.taskRun()]:
			a.missingSince = time.Time{}
		case a.phase == unconfirmed:
			e.stop(now, a, "start unanswered")
		case !w.hasMoreEnds && a.mustBeReported() && e.isGone(now, a):
			e.dropMissingRun(now, a)
		}
	}
}

// mustBeReported reports whether the last report must list the run unless it has ended.
func (a *attempt) mustBeReported() bool {
	settled := a.phase == running || a.phase == stopping && a.stopAccepted
	return settled && a.worker.polls > a.settledPoll
}

// isGone reports whether a run that isn't reported, though it must be, can't be active any more.
// A run that is starting up, that ended while the report was made, or that is being stopped may
// be in neither list for a while.
func (e *Engine) isGone(now time.Time, a *attempt) bool {
	if a.missingSince.IsZero() {
		a.missingSince = now
		return false
	}
	minMissing := e.stopTimeout()
	if a.phase == running {
		minMissing = max(minMissing, minMissingTime)
	}
	return a.worker.pollSentAt.Sub(a.missingSince) >= minMissing
}

// dropMissingRun gives up a run that its worker doesn't have. The run is stopped first: after that,
// a worker that doesn't have the run refuses to start it.
func (e *Engine) dropMissingRun(now time.Time, a *attempt) {
	if a.phase != stopping {
		e.stop(now, a, "not reported by its worker")
		return
	}
	e.count("Task.MissingAfterStop")
	ev := a.evidence(now)
	e.record(now, Decision{Event: "TaskMissing", Task: a.taskRun(), Worker: a.worker.ID, Reason: "stopped", Age: ev.MissingFor, Evidence: &ev})
	e.releaseRun(now, a)
}

// findTask returns the task of an unfinished job, or nil if there is none.
func (e *Engine) findTask(id TaskID) *task {
	j := e.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id)
}
