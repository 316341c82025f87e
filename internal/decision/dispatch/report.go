package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// maxPollWait is how long a worker may hold back an answer when nothing ends.
	maxPollWait = time.Second
	// interferencePollWait is the same for a worker on which fillers may disturb serving tasks.
	interferencePollWait = 500 * time.Millisecond
	// startedUpPercent is the progress of a long-running task that has started up.
	startedUpPercent = 100
	// finishedJobRetention is how long the outcome of a job is kept in memory: longer than its
	// row, so that a repeated submission never replaces the outcome.
	finishedJobRetention = 5 * time.Minute
)

// Poll returns the next status request to a worker, and false when the worker
// is unknown. A worker that doesn't answer gets no renewals, so that the end of
// its leases can be waited out.
func (e *Engine) Poll(now time.Time, id membership.InstanceID) (Poll, bool) {
	n := e.workers[id]
	if n == nil {
		return Poll{}, false
	}
	p := Poll{Address: n.Address, Observed: n.lastEndStored}
	if !n.reported || n.missedPolls > 0 || e.suspended {
		return p, true
	}
	p.Lease = n.renewLease(now, e.options.LeaseTerm)
	p.Wait = maxPollWait
	if n.fillerProcessors > 0 && n.servingReserved > 0 {
		p.Wait = interferencePollWait
	}
	return p, true
}

// PollFailed notes that a worker didn't answer.
func (e *Engine) PollFailed(now time.Time, id membership.InstanceID) {
	n := e.workers[id]
	if n == nil {
		return
	}
	n.missedPolls++
	if n.missedPolls == 1 {
		e.count("Worker.Silent")
		e.record(now, Decision{Event: "WorkerSilent", Worker: id, Age: now.Sub(n.lastReportAt)})
	}
}

// WorkerReplaced notes that another worker answers at the address of this one, which has
// ended with all its runs. It needn't be waited for.
func (e *Engine) WorkerReplaced(now time.Time, id membership.InstanceID) {
	n := e.workers[id]
	if n == nil {
		return
	}
	e.PollFailed(now, id)
	if n.replaced {
		return
	}
	n.replaced = true
	e.count("Worker.Replaced")
	e.record(now, Decision{Event: "WorkerReplaced", Worker: id, Age: now.Sub(n.lastReportAt)})
	e.loseRuns(now, n, "worker replaced")
}

// Observe takes over the report of a worker.
func (e *Engine) Observe(now time.Time, id membership.InstanceID, r Report) {
	n := e.workers[id]
	if n == nil {
		return
	}
	if n.reported && n.incarnation != r.Born {
		e.handleRestart(now, n)
	}
	if n.missedPolls > 0 {
		e.record(now, Decision{Event: "WorkerAnswers", Worker: id, Age: now.Sub(n.lastReportAt)})
	}
	e.observe("Age.Report", now.Sub(n.lastReportAt))
	n.incarnation, n.reported, n.lastReportAt, n.reportedClock, n.missedPolls = r.Born, true, now, r.Clock, 0
	n.replaced = false
	e.observeEnds(now, n, r.Ended)
	e.observeRunning(now, n, r.Running)
	e.handleMissingRuns(now, n, r)
	e.observeTailLatencies(now, n, r)
}

// handleRestart drops the runs of a worker whose process is new.
func (e *Engine) handleRestart(now time.Time, n *node) {
	e.count("Worker.Restarted")
	e.record(now, Decision{Event: "WorkerRestarted", Worker: n.ID})
	n.lastEndSeen, n.lastEndStored, n.leaseEndSent = 0, 0, 0
	clear(n.orphanStops)
	for _, a := range n.runs {
		switch _, doubtful := n.unansweredStarts[a.taskRun()]; {
		case a.phase == starting:
			a.restarted = true
		case doubtful:
			a.phase, a.stopAcceptedClock = stopping, 0
		default:
			e.loseRun(now, a, "worker restarted")
		}
	}
	e.stopLateStarts(now, n)
}

// loseRuns makes the tasks of all runs on a worker wait again.
func (e *Engine) loseRuns(now time.Time, n *node, reason string) {
	for _, a := range n.runs {
		e.loseRun(now, a, reason)
	}
}

func (e *Engine) loseRun(now time.Time, a *attempt, reason string) {
	e.count("Task.Lost")
	e.record(now, Decision{Event: "TaskLost", Task: a.taskRun(), Worker: a.worker.ID, Reason: reason})
	e.releaseRun(now, a)
}

// releaseRun frees the capacity of a run that is over.
func (e *Engine) releaseRun(now time.Time, a *attempt) {
	a.worker.remove(a, now)
	e.forgetIfOver(a.task.step.job)
}

// forgetIfOver drops a job with a stored outcome when nothing of it runs.
func (e *Engine) forgetIfOver(j *job) {
	if j.outcomeStored && j.activeAttempts == 0 {
		delete(e.jobs, j.ID)
	}
}

func (e *Engine) observeEnds(now time.Time, n *node, ends []End) {
	for _, end := range ends {
		if end.Number <= n.lastEndSeen {
			continue
		}
		n.lastEndSeen = end.Number
		e.observeEnd(now, n, end)
	}
}

func (e *Engine) observeEnd(now time.Time, n *node, end End) {
	atWork := false
	if a := n.runs[end.Task]; a != nil && a.run == end.Run {
		atWork = a.percent >= startedUpPercent
		if end.Kind == EndDone && a.firstProgress.percent == 0 {
			a.noteDuration(now)
		}
		e.releaseRun(now, a)
	}
	delete(n.orphanStops, end.TaskRun)
	t := e.findTask(end.Task)
	if t == nil || t.step.job.outcome != "" {
		return
	}
	t.run = max(t.run, end.Run)
	e.record(now, Decision{Event: "TaskEnded", Task: end.TaskRun, Worker: n.ID, Reason: string(end.Kind)})
	e.count("End." + string(end.Kind))
	if end.Checkpoint != "" && t.checkpoint != end.Checkpoint {
		t.checkpoint = end.Checkpoint
		e.markDirty(t.step.job)
	}
	switch {
	case t.step.LongRunning:
		// A long-running task may fail at any time; only one that never got to work
		// speaks against its worker.
		if end.Kind == EndFailed && !atWork {
			n.health.noteEnd(now, t.step.job.ID, true)
		}
	case end.Kind == EndDone:
		n.health.noteEnd(now, t.step.job.ID, false)
		e.succeed(now, t)
	case end.Kind == EndFailed:
		n.health.noteEnd(now, t.step.job.ID, true)
		e.fail(now, t, end.Run, n)
	}
}

func (e *Engine) succeed(now time.Time, t *task) {
	t.step.job.started = true
	members := []*task{t}
	if t.step.Gang {
		members = t.step.tasks
	}
	for _, member := range members {
		member.succeed()
		if member.attempt != nil && !t.step.Gang {
			e.stop(now, member.attempt, "succeeded elsewhere")
		}
	}
	e.markDirty(t.step.job)
	e.completeIfDone(now, t.step.job)
}

func (e *Engine) fail(now time.Time, t *task, run Run, n *node) {
	j := t.step.job
	j.started = true
	if !t.noteFailure(run, n) {
		return
	}
	e.markDirty(j)
	if j.queue.MaxAttempts > 0 && t.failures() >= j.queue.MaxAttempts {
		e.finish(now, j, Failed, "a task failed as often as the queue allows")
	}
}

func (e *Engine) observeRunning(now time.Time, n *node, list []RunningTask) {
	n.untrackedRuns = 0
	for _, r := range list {
		a := n.runs[r.Task]
		if a == nil || a.run != r.Run {
			a = e.adopt(now, n, r.TaskRun)
		}
		if a == nil {
			n.untrackedRuns++
			e.stopOrphan(now, n, r.TaskRun)
			continue
		}
		e.observeRun(now, a, r)
	}
}

func (e *Engine) observeRun(now time.Time, a *attempt, r RunningTask) {
	if a.phase == unconfirmed {
		a.phase = running
	}
	a.task.step.job.started = true
	if r.Percent > a.percent {
		if a.percent == 0 && (a.adopted || a.task.checkpoint != "") {
			a.firstProgress = progress{r.Percent, now}
		}
		a.percent, a.progressAt = r.Percent, now
	}
	a.measure = r.Measure
	if r.Checkpoint != "" {
		a.task.checkpoint = r.Checkpoint
	}
}

// adopt enters a run that an earlier owner started. One that is no longer wanted is stopped,
// and takes its room until it has ended.
func (e *Engine) adopt(now time.Time, n *node, r TaskRun) *attempt {
	t := e.findTask(r.Task)
	if t == nil || t.attempt != nil {
		return nil
	}
	a := newAttempt(t, r.Run, n, now)
	a.phase = running
	a.adopted = true
	a.pace.percent = unknownPace
	n.add(a)
	e.record(now, Decision{Event: "TaskAdopted", Task: r, Worker: n.ID})
	e.count("Task.Adopted")
	if t.done || t.step.job.outcome != "" {
		e.stop(now, a, "no longer wanted")
		return a
	}
	if e.recovering {
		t.step.noteUnbegun()
	}
	return a
}

func (e *Engine) stopOrphan(now time.Time, n *node, r TaskRun) {
	if now.Sub(n.orphanStops[r]) < stopRetryInterval {
		return
	}
	n.orphanStops[r] = now
	e.count("Task.Stray")
	e.commandStop(n, r)
}

// handleMissingRuns deals with the runs that a worker should list and doesn't.
func (e *Engine) handleMissingRuns(now time.Time, n *node, r Report) {
	listed := make(map[TaskRun]bool, len(r.Running))
	for _, run := range r.Running {
		listed[run.TaskRun] = true
	}
	for _, a := range n.runs {
		if listed[a.taskRun()] {
			continue
		}
		switch {
		case a.phase == running && r.Clock > a.acceptedClock:
			e.loseRun(now, a, "not listed by its worker")
		case a.phase == unconfirmed:
			e.stop(now, a, "start unanswered")
		case a.phase == stopping && a.stopAcceptedClock > 0 && r.Clock > a.stopAcceptedClock:
			e.releaseRun(now, a)
		}
	}
}

// findTask returns the task of a live job, nil if there is none.
func (e *Engine) findTask(id TaskID) *task {
	j := e.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id)
}
