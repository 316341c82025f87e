package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// AddJob validates and queues a job. The error is a *RefusalError.
func (e *Engine) AddJob(now time.Time, spec Job) error {
	if err := e.validate(spec); err != nil {
		return err
	}
	if err := e.checkAdmission(spec); err != nil {
		return err
	}
	e.acceptJob(now, spec)
	return nil
}

// RestoreJob queues an accepted job after a takeover. Unlike AddJob, it refuses only
// duplicate and invalid jobs, because the workers may not be known yet.
func (e *Engine) RestoreJob(now time.Time, spec Job) error {
	if err := e.validate(spec); err != nil {
		return err
	}
	e.acceptJob(now, spec)
	return nil
}

// validate checks a job independently of the workers and quotas.
func (e *Engine) validate(spec Job) error {
	switch {
	case spec.ID == "" || spec.Tasks <= 0:
		return refuse(spec, RefusedInvalid, "job ID is empty or the job has no tasks")
	case !resource.Vector{}.FitsIn(spec.Resources) || spec.Resources.IsZero():
		return refuse(spec, RefusedInvalid, "task resources are all zero or one is negative")
	case e.jobs[spec.ID] != nil:
		return refuse(spec, RefusedDuplicate, "a job with this ID already exists")
	}
	return nil
}

// checkAdmission checks whether a job can ever run with the known workers and quotas.
func (e *Engine) checkAdmission(spec Job) error {
	if limit := e.limits.MaxQueuedJobs; limit > 0 && len(e.jobs) >= limit {
		return refuse(spec, RefusedQueueFull, fmt.Sprintf("the shard already has %d jobs", len(e.jobs)))
	}
	t := e.teams[spec.Team]
	if t == nil || !t.declared {
		return refuse(spec, RefusedUnknownTeam, fmt.Sprintf("team %q is not in manifest version %d", spec.Team, e.manifestVersion))
	}
	if len(e.nodes) == 0 {
		return refuse(spec, RefusedNoWorkers, "the shard has no workers")
	}
	if !e.fitsAnyWorker(spec.Resources) {
		return refuse(spec, RefusedFitsNoWorker, fmt.Sprintf("no worker has %+v left for tasks besides its executors", spec.Resources))
	}
	total := spec.Resources
	if spec.Gang {
		total = multiply(spec.Resources, spec.Tasks)
		if e.countTaskSlots(spec.Resources, spec.Tasks) < spec.Tasks {
			return refuse(spec, RefusedGangTooBig, fmt.Sprintf("all workers together have room for fewer than %d tasks", spec.Tasks))
		}
	}
	if !t.quotaCanHold(total, spec.Priority) {
		return refuse(spec, RefusedQuota, fmt.Sprintf("the quotas of team %q and its parents are less than %+v", spec.Team, total))
	}
	return nil
}

func refuse(spec Job, reason RefusalReason, detail string) error {
	return &RefusalError{Job: spec.ID, Reason: reason, Detail: detail}
}

// fitsAnyWorker reports whether demand would fit on any worker without tasks.
func (e *Engine) fitsAnyWorker(demand resource.Vector) bool {
	for allocatable := range e.allocatableCounts {
		if demand.FitsIn(allocatable) {
			return true
		}
	}
	return false
}

// countTaskSlots returns how many tasks would fit on all workers without tasks,
// counting at most limit per worker.
func (e *Engine) countTaskSlots(demand resource.Vector, limit int) int {
	total := 0
	for allocatable, count := range e.allocatableCounts {
		total += countFits(allocatable, demand, limit) * count
	}
	return total
}

// countFits returns how many times demand fits in room, at most limit.
func countFits(room, demand resource.Vector, limit int) int {
	count := int64(limit)
	if demand.Processors > 0 {
		count = min(count, int64(room.Processors)/int64(demand.Processors))
	}
	if demand.Memory > 0 {
		count = min(count, int64(room.Memory)/int64(demand.Memory))
	}
	if demand.Accelerators > 0 {
		count = min(count, int64(room.Accelerators)/int64(demand.Accelerators))
	}
	return int(max(count, 0))
}

func multiply(v resource.Vector, count int) resource.Vector {
	return resource.Vector{
		Processors:   v.Processors * resource.MilliProcessors(count),
		Memory:       v.Memory * resource.Bytes(count),
		Accelerators: v.Accelerators * resource.Accelerators(count),
	}
}

func (e *Engine) acceptJob(now time.Time, spec Job) {
	j := &job{Job: spec, heapIndex: -1, queuedAt: now, class: e.classByName(spec.Class), team: e.teamByName(spec.Team)}
	if j.Priority != Urgent {
		j.Priority = Normal
	}
	j.unstarted, j.unstartedCount = remainingRanges(spec.Tasks, spec.Done)
	j.done = spec.Tasks - j.unstartedCount
	for i, key := range spec.Checkpoints {
		j.setCheckpoint(int32(i), key)
	}
	j.Done, j.Checkpoints = nil, nil
	e.setDeadlines(j)
	if j.unstartedCount == 0 {
		return
	}
	if e.jobs == nil {
		e.jobs = map[worker.JobID]*job{}
	}
	e.jobs[j.ID] = j
	j.team.addTaskCounts(0, j.unstartedCount)
	e.enqueue(now, j)
	e.markMovable(j)
}

// setDeadlines sets the effective deadline, which orders the job in its queue, and the
// latest start.
func (e *Engine) setDeadlines(j *job) {
	j.effectiveDeadline = j.Submitted.Add(assumedDeadline)
	if j.Deadline.IsZero() {
		return
	}
	j.latestStart = j.Deadline.Add(-max(j.ExpectedDuration, j.class.meanDuration))
	if j.Deadline.Before(j.effectiveDeadline) {
		j.effectiveDeadline = j.Deadline
	}
}

// remainingRanges returns the ranges of the tasks that are not done, and their number.
func remainingRanges(tasks int, done []TaskRange) ([]TaskRange, int) {
	sorted := append([]TaskRange(nil), done...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].First < sorted[b].First })
	var ranges []TaskRange
	next, count := 0, 0
	add := func(last int) {
		if next <= last {
			ranges = append(ranges, TaskRange{next, last})
			count += last - next + 1
		}
	}
	for _, r := range sorted {
		add(min(r.First, tasks) - 1)
		next = max(next, r.Last+1)
	}
	add(tasks - 1)
	return ranges, count
}

func (j *job) setCheckpoint(index int32, key object.Key) {
	if key == "" {
		return
	}
	if j.checkpoints == nil {
		j.checkpoints = map[int32]object.Key{}
	}
	j.checkpoints[index] = key
}

// addAttempt adds an attempt to its job, its worker and the usage of its team.
func (e *Engine) addAttempt(now time.Time, j *job, n *node, a *attempt) {
	a.job = j
	if j.attemptByTask == nil {
		j.attemptByTask = map[int32]*attempt{}
	}
	j.attemptByTask[a.index] = a
	a.inJob = int32(len(j.running))
	j.running = append(j.running, a)
	j.team.addUsage(a.allocated, j.Priority)
	j.team.addTaskCounts(1, 0)
	e.runningCount++
	e.addToNode(now, n, a)
	if e.evacuating {
		e.pendingStops = append(e.pendingStops, a)
	}
}

// removeAttempt removes an attempt from its job, its worker and the usage of its team.
func (e *Engine) removeAttempt(now time.Time, a *attempt) {
	j := a.job
	e.removeFromNode(now, a)
	last := len(j.running) - 1
	j.running[a.inJob] = j.running[last]
	j.running[a.inJob].inJob = a.inJob
	j.running[last] = nil
	j.running = j.running[:last]
	delete(j.attemptByTask, a.index)
	j.team.addUsage(resource.Vector{}.Sub(a.allocated), j.Priority)
	j.team.addTaskCounts(-1, 0)
	e.runningCount--
}

// CancelJob drops the pending tasks of a job and stops the running ones over the next
// ticks. It reports whether the job was known.
func (e *Engine) CancelJob(now time.Time, id worker.JobID) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelled {
		return true
	}
	j.dequeue()
	j.team.addTaskCounts(0, -j.pending())
	j.unstarted, j.unstartedCount, j.requeued = nil, 0, nil
	j.cancelled = true
	e.pendingStops = append(e.pendingStops, j.running...)
	e.reconcileJob(now, j)
	return true
}

// TaskStarted reports that a worker is running an attempt.
func (e *Engine) TaskStarted(now time.Time, attempt worker.TaskAttempt) {
	if a := e.findAttempt(attempt); a != nil {
		a.started = now
	}
}

// findAttempt returns an attempt by task and attempt number, or nil.
func (e *Engine) findAttempt(key worker.TaskAttempt) *attempt {
	if a := e.orphans[key]; a != nil {
		return a
	}
	id, index, ok := parseTaskID(key.Task)
	j := e.jobs[id]
	if !ok || j == nil {
		return nil
	}
	if a := j.attemptByTask[index]; a != nil && a.number == key.Attempt {
		return a
	}
	return nil
}

// TaskEnded reports that an attempt no longer uses any resources. Unknown attempts are
// ignored, so the report may be repeated.
func (e *Engine) TaskEnded(now time.Time, end TaskEnd) {
	if a := e.findAttempt(end.TaskAttempt); a != nil && (end.Worker == "" || a.node.ID == end.Worker) {
		e.endAttempt(now, a, end)
	}
}

func (e *Engine) endAttempt(now time.Time, a *attempt, end TaskEnd) {
	n, j := a.node, a.job
	if j == nil {
		delete(e.orphans, worker.TaskAttempt{Task: a.orphanTask, Attempt: a.number})
		e.removeFromNode(now, a)
		return
	}
	outgrew := !end.Observed.FitsIn(a.allocated)
	a.peakUsage = a.peakUsage.Max(end.Observed)
	j.recordUsage(end.Observed)
	e.subtractLogRise(n, a, now)
	e.removeAttempt(now, a)
	j.setCheckpoint(a.index, end.Checkpoint)
	if end.Outcome == Succeeded {
		j.done++
		delete(j.checkpoints, a.index)
		e.observeDuration(now, a)
		j.class.recordCompletion(now, a)
		e.recordSuccess(now, n, a)
	} else {
		e.requeue(now, j, a.index)
		e.handleUnsuccessfulEnd(now, n, a, end, outgrew)
	}
	e.reconcileJob(now, j)
}

// requeue makes a task pending again unless its job is cancelled.
func (e *Engine) requeue(now time.Time, j *job, index int32) {
	if j.cancelled {
		return
	}
	j.requeued = append(j.requeued, index)
	j.team.addTaskCounts(0, 1)
	j.queuedAt = now
}

// handleUnsuccessfulEnd handles an attempt that ended without finishing its task: it
// evicts the rest of a gang, records the failure and delays the next start.
func (e *Engine) handleUnsuccessfulEnd(now time.Time, n *node, a *attempt, end TaskEnd, outgrew bool) {
	j := a.job
	if j.Gang && !j.cancelled {
		for _, other := range j.running {
			e.evict(now, other, ReasonGangBroken, Facts{Beneficiary: j.ID})
		}
	}
	if end.Outcome == Failed && outgrew && !j.cancelled {
		e.recordOutgrown(now, n, a, end.Reason)
	} else if end.Outcome == Failed && !j.cancelled {
		e.recordFailure(now, n, a, end.Reason)
		return
	}
	if end.Outcome == Refused {
		e.backOff(now, n, refusalBackoff)
	}
	if a.isProbe {
		e.postponeProbe(now, n)
	}
}

// reconcileJob updates the job after a change: it removes a finished job, queues
// pending tasks and marks the job as movable during an evacuation.
func (e *Engine) reconcileJob(now time.Time, j *job) {
	if len(j.running) == 0 && (j.cancelled || j.pending() == 0) {
		if j.parked {
			e.parkedCount--
		}
		delete(e.jobs, j.ID)
		if e.reservingGang == j {
			e.reservingGang = nil
		}
		return
	}
	e.enqueue(now, j)
	e.markMovable(j)
}
