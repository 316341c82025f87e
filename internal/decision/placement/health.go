package placement

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// quarantineMinJobs is the number of distinct jobs that must fail on a worker, with
	// no success in between, before it is quarantined.
	quarantineMinJobs = 3
	// maxQuarantinedDivisor limits quarantined workers to a quarter of all. If more of
	// them fail, the workers are not the cause.
	maxQuarantinedDivisor = 4
	// parkProvenWorkers and parkAnyWorkers are the numbers of workers on which a job
	// must have failed, without a success of its own, before it is parked: proven
	// workers, on which tasks of other jobs succeeded, or any workers.
	parkProvenWorkers = 3
	parkAnyWorkers    = 5
	// defaultMaxAttempts is the limit for tasks of a class that declares none.
	defaultMaxAttempts = 5
	// maxAvoidedWorkers limits the workers that a job avoids because it failed there.
	maxAvoidedWorkers = 8
	// initialProbeDelay is the time from quarantine to the first probe. The delay
	// doubles after each failed probe, up to maxProbeDelay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
	// workerBackoff and jobBackoff are the delays after the first failure. They double
	// with each further failure, up to maxWorkerBackoff and maxJobBackoff. Without a
	// backoff, a worker on which every task fails at once would attract every task of
	// the queue.
	workerBackoff    = time.Second
	maxWorkerBackoff = 30 * time.Second
	jobBackoff       = 500 * time.Millisecond
	maxJobBackoff    = time.Minute
	// refusalBackoff is the delay after a worker refused to start a task.
	refusalBackoff = time.Second
	// maxProbeQueues limits the queues that are searched for a task to probe with.
	maxProbeQueues = 64
)

// health is the success and failure record of a worker.
type health struct {
	// state is empty for a worker that was never quarantined.
	state chart.WorkerState
	// succeeded reports whether any task has ever succeeded on the worker.
	succeeded bool
	// backoffUntil is the end of the delay after a failure.
	backoffUntil time.Time
	lastFailure  time.Time
	// trialAttempts counts the running attempts that started after a failure. Only one
	// such attempt may run at a time until one succeeds.
	trialAttempts int
	// consecutiveFailures counts the failures since the last success, and failedJobs
	// lists the distinct jobs that failed since then.
	consecutiveFailures int
	failedJobs          []worker.JobID
	probeDelay          time.Duration
	lastMessage         string
}

// quarantined reports whether the worker gets no tasks except probes.
func (h *health) quarantined() bool {
	return h.state != "" && h.state != chart.WorkerHealthy
}

// transition applies an event of the worker state chart. An event that has no transition
// in the current state is ignored.
func (h *health) transition(event chart.WorkerEvent) {
	from := h.state
	if from == "" {
		from = chart.Worker().Initial()
	}
	if next, err := chart.Worker().Next(from, event); err == nil {
		h.state = next
	}
}

// backOff keeps new tasks off a worker for the duration d.
func (e *Engine) backOff(now time.Time, n *node, d time.Duration) {
	n.health.backoffUntil = now.Add(d)
	e.timers.add(timer{at: n.health.backoffUntil, node: n})
	e.reindex(now, n)
}

// wakeNode makes a worker available after a backoff, or schedules its probe if it is
// quarantined.
func (e *Engine) wakeNode(now time.Time, n *node) {
	if n.removed() {
		return
	}
	if n.health.state == chart.WorkerQuarantined && !now.Before(n.health.backoffUntil) {
		n.health.transition(chart.WorkerOnProbe)
		e.dueProbes = append(e.dueProbes, n)
	}
	e.reindex(now, n)
}

// recordSuccess resets the failure record of a worker and readmits it after a
// successful probe.
func (e *Engine) recordSuccess(now time.Time, n *node, a *attempt) {
	h := &n.health
	failures := h.consecutiveFailures
	h.succeeded, h.consecutiveFailures, h.failedJobs = true, 0, nil
	if failures > 0 {
		e.reindex(now, n)
	}
	if h.quarantined() && a.isProbe {
		e.readmit(now, n, ReasonProbeSucceeded)
	}
}

// recordFailure counts a failure against the worker and the job. It quarantines the
// worker if tasks of several jobs failed there, and parks the job if it failed on several
// healthy workers or a task of it has used up its attempts.
func (e *Engine) recordFailure(now time.Time, n *node, a *attempt, reason string) {
	j, h := a.job, &n.health
	h.lastMessage = reason
	j.failureHistory.addRecent(Failure{TaskAttempt: worker.TaskAttempt{Task: a.taskID(), Attempt: a.number}, Worker: n.ID, At: now, Reason: reason})
	if h.quarantined() {
		// The worker is known to be faulty, so the failure says nothing about the job.
		if a.isProbe {
			e.postponeProbe(now, n)
		}
		return
	}
	j.failureHistory.addFailure(n.ID, a.index)
	if j.done == 0 || j.failureHistory.countByTask[a.index] > 1 {
		j.dequeue()
		j.notBefore = now.Add(exponentialBackoff(jobBackoff, j.failureHistory.total-1, maxJobBackoff))
	}
	if h.consecutiveFailures == 0 || !a.started.Before(h.lastFailure) {
		// Attempts that started before the last failure are not independent evidence.
		h.consecutiveFailures++
		e.backOff(now, n, exponentialBackoff(workerBackoff, h.consecutiveFailures-1, maxWorkerBackoff))
	}
	h.lastFailure = now
	if !slices.Contains(h.failedJobs, j.ID) && !j.failsEverywhere() {
		h.failedJobs = append(h.failedJobs, j.ID)
	}
	if len(h.failedJobs) >= quarantineMinJobs && e.quarantinedCount < max(len(e.nodes)/maxQuarantinedDivisor, 1) {
		e.quarantine(now, n)
	}
	e.parkIfFailing(now, j, a.index)
}

// recordOutgrown handles an attempt that failed because it needed more than was
// allocated to it. The next attempt is allocated more. A job that no longer fits any
// worker is parked after repeated failures.
func (e *Engine) recordOutgrown(now time.Time, n *node, a *attempt, reason string) {
	j := a.job
	j.failureHistory.addRecent(Failure{TaskAttempt: worker.TaskAttempt{Task: a.taskID(), Attempt: a.number}, Worker: n.ID, At: now, Reason: reason})
	if a.isProbe {
		e.postponeProbe(now, n)
	}
	if e.fitsAnyWorker(j.Resources.Max(j.peakUsage)) {
		return
	}
	j.failureHistory.outgrownCount++
	j.dequeue()
	j.notBefore = now.Add(exponentialBackoff(jobBackoff, j.failureHistory.outgrownCount, maxJobBackoff))
	if j.failureHistory.outgrownCount >= parkProvenWorkers {
		e.park(now, j, ReasonOutgrewWorkers)
	}
}

// failsEverywhere reports whether a job has failed on several workers and never
// succeeded.
func (j *job) failsEverywhere() bool {
	return j.done == 0 && len(j.failureHistory.failedOn) >= parkProvenWorkers
}

// parkIfFailing parks a job that failed on several healthy workers, or whose task with
// the given index has used up its attempts.
func (e *Engine) parkIfFailing(now time.Time, j *job, index int32) {
	healthyWorkers := max(len(e.nodes)-e.quarantinedCount, 1)
	limit := j.class.maxAttempts
	if limit <= 0 {
		limit = defaultMaxAttempts
	}
	distinct := len(j.failureHistory.failedOn)
	switch {
	case j.done == 0 && j.failureHistory.total >= parkProvenWorkers &&
		(e.countProvenWorkers(j) >= min(parkProvenWorkers, healthyWorkers) || distinct >= min(parkAnyWorkers, healthyWorkers)):
		e.park(now, j, ReasonFailsOnSeveralWorkers)
	case j.failureHistory.countByTask[index] >= limit && distinct >= min(2, healthyWorkers):
		e.park(now, j, ReasonAttemptsExceeded)
	}
}

// countProvenWorkers counts the workers on which the job failed but tasks of other jobs
// succeeded.
func (e *Engine) countProvenWorkers(j *job) int {
	count := 0
	for _, id := range j.failureHistory.failedOn {
		n := e.nodesByID[id]
		if n != nil && n.health.succeeded && len(n.health.failedJobs) < quarantineMinJobs {
			count++
		}
	}
	return count
}

// park takes a job out of placement and removes its failures from the records of
// workers.
func (e *Engine) park(now time.Time, j *job, reason DecisionReason) {
	if j.parked {
		return
	}
	j.dequeue()
	j.parked = true
	e.parkedCount++
	facts := Facts{Failures: j.failureHistory.total, Workers: len(j.failureHistory.failedOn)}
	if last := len(j.failureHistory.recent) - 1; last >= 0 {
		facts.Message = j.failureHistory.recent[last].Reason
	}
	e.record(Decision{Kind: Park, Job: j.ID, Class: j.Class, Reason: reason, Facts: facts})
	for _, id := range j.failureHistory.failedOn {
		e.clearFailuresOf(now, e.nodesByID[id], j)
	}
}

// clearFailuresOf removes a parked job from the failure record of a worker, and
// readmits the worker if too few failed jobs remain.
func (e *Engine) clearFailuresOf(now time.Time, n *node, j *job) {
	if n == nil {
		return
	}
	h := &n.health
	h.failedJobs = slices.DeleteFunc(h.failedJobs, func(id worker.JobID) bool { return id == j.ID })
	if len(h.failedJobs) == 0 {
		h.consecutiveFailures = 0
		h.backoffUntil = now
	}
	if h.quarantined() && len(h.failedJobs) < quarantineMinJobs {
		e.readmit(now, n, ReasonJobsAtFault)
	}
	e.reindex(now, n)
}

// quarantine takes a worker out of placement and removes the failures on it from the
// records of jobs.
func (e *Engine) quarantine(now time.Time, n *node) {
	h := &n.health
	h.transition(chart.WorkerOnQuarantine)
	h.probeDelay = initialProbeDelay
	e.quarantinedCount++
	for _, id := range h.failedJobs {
		if j := e.jobs[id]; j != nil {
			j.failureHistory.clearWorker(n.ID)
		}
	}
	facts := Facts{Failures: h.consecutiveFailures, Jobs: len(h.failedJobs), Message: h.lastMessage}
	e.record(Decision{Kind: Quarantine, Worker: n.ID, Reason: ReasonFailsSeveralJobs, Facts: facts})
	if n.reservation != nil {
		e.giveUp(now, n.reservation)
	}
	e.backOff(now, n, h.probeDelay)
}

// readmit ends a quarantine and resets the failure counts.
func (e *Engine) readmit(now time.Time, n *node, reason DecisionReason) {
	n.health.transition(chart.WorkerOnReadmit)
	n.health = health{state: n.health.state, succeeded: n.health.succeeded, failedJobs: n.health.failedJobs, trialAttempts: n.health.trialAttempts}
	e.quarantinedCount--
	e.record(Decision{Kind: Readmit, Worker: n.ID, Reason: reason})
	e.reindex(now, n)
}

// postponeProbe doubles the delay until the next probe after a failed one.
func (e *Engine) postponeProbe(now time.Time, n *node) {
	n.health.transition(chart.WorkerOnProbeFail)
	n.health.probeDelay = min(2*n.health.probeDelay, maxProbeDelay)
	e.backOff(now, n, n.health.probeDelay)
}

// startDueProbes starts one task on each quarantined worker whose probe is due.
func (e *Engine) startDueProbes(now time.Time) {
	var postponed []*node
	for _, n := range e.dueProbes {
		if n.removed() || !n.health.quarantined() {
			continue
		}
		if n.State != "" && n.State != WorkerAvailable || !e.startProbe(now, n) {
			postponed = append(postponed, n)
		}
	}
	e.dueProbes = postponed
}

// startProbe starts a task of a job without failures on a quarantined worker. It
// reports whether it found one.
func (e *Engine) startProbe(now time.Time, n *node) bool {
	checked := 0
	for _, t := range e.teamList {
		for _, queue := range t.queues {
			if len(queue.jobs) == 0 || queue.key.gang || queue.key.priority == Urgent {
				continue
			}
			checked++
			j := queue.jobs[0]
			demand := e.demand(j)
			if j.failureHistory.total == 0 && demand.FitsIn(n.free()) && t.quotaAllows(demand, j.Priority) && e.mayStart(1) {
				e.record(Decision{Kind: Probe, Worker: n.ID, Job: j.ID, Reason: ReasonProbe, Facts: Facts{Message: n.health.lastMessage}})
				e.startTask(now, j, n, demand, ReasonProbe, Facts{}).isProbe = true
				return true
			}
			if checked >= maxProbeQueues {
				return false
			}
		}
	}
	return false
}

// exponentialBackoff doubles first the given number of times, up to limit.
func exponentialBackoff(first time.Duration, times int, limit time.Duration) time.Duration {
	return min(first<<min(max(times, 0), 16), limit)
}

func (h *failureHistory) addRecent(f Failure) {
	h.recent = append(h.recent, f)
	if len(h.recent) > maxRecentFailures {
		h.recent = h.recent[1:]
	}
}

func (h *failureHistory) addFailure(id membership.InstanceID, index int32) {
	h.total++
	if h.countByTask == nil {
		h.countByTask = map[int32]int{}
	}
	h.countByTask[index]++
	if !slices.Contains(h.failedOn, id) && len(h.failedOn) < maxAvoidedWorkers {
		h.failedOn = append(h.failedOn, id)
	}
}

// clearWorker removes the failures on a quarantined worker. Failures are not counted
// per task and worker, so the counts of all tasks are reset.
func (h *failureHistory) clearWorker(id membership.InstanceID) {
	h.failedOn = slices.DeleteFunc(h.failedOn, func(other membership.InstanceID) bool { return other == id })
	h.total = len(h.failedOn)
	h.countByTask = nil
}
