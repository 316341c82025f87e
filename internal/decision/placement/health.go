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
	// no success between, before it is quarantined.
	quarantineMinJobs = 3
	// maxQuarantinedDivisor bounds the quarantined workers to one in so many. When more
	// fail, the cause is not the workers.
	maxQuarantinedDivisor = 4
	// parkProvenWorkers and parkAny are the numbers of workers on which a job must have
	// failed, without a success of its own, before it is parked: workers that ran
	// others' tasks well, or any.
	parkProvenWorkers = 3
	parkAnyWorkers    = 5
	// defaultMaxAttempts of a task for a class that declares none.
	defaultMaxAttempts = 5
	// maxAvoidedWorkers bounds the workers that a job avoids.
	maxAvoidedWorkers = 8
	// initialProbeDelay is the time from quarantine to the first probe; it doubles up to lastProbe.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
	// workerBackoff and jobRest are the first delays after a failure. They double for
	// each further one up to maxFailureRest and maxJobRest. A worker that fails
	// everything at once would otherwise attract every task of the queue.
	workerBackoff    = time.Second
	maxWorkerBackoff = 30 * time.Second
	jobBackoff       = 500 * time.Millisecond
	maxJobBackoff    = time.Minute
	// refusalBackoff is the delay after a worker refused a start.
	refusalBackoff = time.Second
	// maxProbeQueues bounds the lanes in which a task for a probe is sought.
	maxProbeQueues = 64
)

// health is what is known about a worker's ability to run tasks.
type health struct {
	// state is empty for a healthy worker that was never judged.
	state     chart.WorkerState
	succeeded bool
	// backoffUntil is the end of the rest after a failure.
	backoffUntil time.Time
	// lastFailure is the time of the last failure.
	lastFailure time.Time
	// trialAttempts counts the running attempts that started after a failure. There is one
	// at a time until one succeeds.
	trialAttempts int
	// consecutiveFailures counts those since the last success, streak the distinct jobs.
	consecutiveFailures int
	failedJobs          []worker.JobID
	probeDelay          time.Duration
	lastMessage         string
}

// quarantined reports whether the worker gets no tasks but probes.
func (h *health) quarantined() bool {
	return h.state != "" && h.state != chart.WorkerHealthy
}

// transition changes the state as the chart of workers says. An event that the chart
// refuses changes nothing.
func (h *health) transition(event chart.WorkerEvent) {
	from := h.state
	if from == "" {
		from = chart.Worker().Initial()
	}
	if next, err := chart.Worker().Next(from, event); err == nil {
		h.state = next
	}
}

// backOff keeps tasks off a worker for a while.
func (e *Engine) backOff(now time.Time, n *node, d time.Duration) {
	n.health.backoffUntil = now.Add(d)
	e.timers.add(timer{at: n.health.backoffUntil, node: n})
	e.reindex(now, n)
}

// wakeNode ends a rest or starts a probe.
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

// recordSuccess clears what speaks against a worker.
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

// recordFailure judges a failure: is it the worker or the job?
func (e *Engine) recordFailure(now time.Time, n *node, a *attempt, reason string) {
	j, h := a.job, &n.health
	h.lastMessage = reason
	j.failureHistory.addRecent(Failure{TaskAttempt: worker.TaskAttempt{Task: a.taskID(), Attempt: a.number}, Worker: n.ID, At: now, Reason: reason})
	if h.quarantined() {
		// The worker is known to be bad, so the failure says nothing about the job.
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
		// Attempts that started before the last failure tell nothing new.
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

// recordOutgrown handles a failure for want of reserved resources. The next attempt
// reserves more. A job that fits no worker any more is parked after some attempts.
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

// failsEverywhere reports whether a job fails wherever it runs.
func (j *job) failsEverywhere() bool {
	return j.done == 0 && len(j.failureHistory.failedOn) >= parkProvenWorkers
}

// parkIfFailing parks a job that fails on several good workers.
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
		e.park(now, j, ReasonFailsEverywhere)
	case j.failureHistory.countByTask[index] >= limit && distinct >= min(2, healthyWorkers):
		e.park(now, j, ReasonAttemptsExceeded)
	}
}

// countProvenWorkers counts the workers that failed the job but ran others' tasks well.
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

// park sets a job aside. Its failures no longer speak against workers.
func (e *Engine) park(now time.Time, j *job, reason Reason) {
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

// clearFailuresOf drops a parked job from the evidence against a worker.
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

// quarantine takes a worker out of placement. Its failures no longer speak
// against jobs.
func (e *Engine) quarantine(now time.Time, n *node) {
	h := &n.health
	h.transition(chart.WorkerOnCondemn)
	h.probeDelay = initialProbeDelay
	e.quarantinedCount++
	for _, id := range h.failedJobs {
		if j := e.jobs[id]; j != nil {
			j.failureHistory.clearWorker(n.ID)
		}
	}
	facts := Facts{Failures: h.consecutiveFailures, Jobs: len(h.failedJobs), Message: h.lastMessage}
	e.record(Decision{Kind: Quarantine, Worker: n.ID, Reason: ReasonFailsEverything, Facts: facts})
	if n.reservation != nil {
		e.release(now, n.reservation)
	}
	e.backOff(now, n, h.probeDelay)
}

// readmit ends a quarantine.
func (e *Engine) readmit(now time.Time, n *node, reason Reason) {
	n.health.transition(chart.WorkerOnReadmit)
	n.health = health{state: n.health.state, succeeded: n.health.succeeded, failedJobs: n.health.failedJobs, trialAttempts: n.health.trialAttempts}
	e.quarantinedCount--
	e.record(Decision{Kind: Readmit, Worker: n.ID, Reason: reason})
	e.reindex(now, n)
}

// postponeProbe waits twice as long for the next probe.
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
		if n.State != "" && n.State != Available || !e.startProbe(now, n) {
			postponed = append(postponed, n)
		}
	}
	e.dueProbes = postponed
}

// startProbe starts a task that failed nowhere on a quarantined worker.
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

// clearWorker forgets the failures on a worker that is bad. Failures are not kept by
// task and worker, so those of all tasks are forgotten.
func (h *failureHistory) clearWorker(id membership.InstanceID) {
	h.failedOn = slices.DeleteFunc(h.failedOn, func(other membership.InstanceID) bool { return other == id })
	h.total = len(h.failedOn)
	h.countByTask = nil
}
