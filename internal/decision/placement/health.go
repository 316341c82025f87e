package placement

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// quarantineJobs is the number of distinct jobs that must fail on a worker, with
	// no success between, before it is quarantined.
	quarantineJobs = 3
	// quarantineShare bounds the quarantined workers to one in so many. When more
	// fail, the cause is not the workers.
	quarantineShare = 4
	// parkProven and parkAny are the numbers of workers on which a job must have
	// failed, without a success of its own, before it is parked: workers that ran
	// others' tasks well, or any.
	parkProven = 3
	parkAny    = 5
	// defaultMaxAttempts of a task for a class that declares none.
	defaultMaxAttempts = 5
	// maxFailedOn bounds the workers that a job avoids.
	maxFailedOn = 8
	// firstProbe is the time from quarantine to the first probe; it doubles up to lastProbe.
	firstProbe = 30 * time.Second
	lastProbe  = 10 * time.Minute
	// failureRest and jobRest are the first delays after a failure. They double for
	// each further one up to maxFailureRest and maxJobRest. A worker that fails
	// everything at once would otherwise attract every task of the queue.
	failureRest    = time.Second
	maxFailureRest = 30 * time.Second
	jobRest        = 500 * time.Millisecond
	maxJobRest     = time.Minute
	// refusalRest is the delay after a worker refused a start.
	refusalRest = time.Second
	// probeLanes bounds the lanes in which a task for a probe is sought.
	probeLanes = 64
)

// health is what is known about a worker's ability to run tasks.
type health struct {
	// state is empty for a healthy worker that was never judged.
	state     chart.WorkerState
	succeeded bool
	// until is the end of the rest after a failure.
	until time.Time
	// failed is the time of the last failure.
	failed time.Time
	// trials counts the running attempts that started after a failure. There is one
	// at a time until one succeeds.
	trials int
	// failures counts those since the last success, streak the distinct jobs.
	failures  int
	streak    []worker.JobID
	probeWait time.Duration
	message   string
}

// quarantined reports whether the worker gets no tasks but probes.
func (h *health) quarantined() bool {
	return h.state != "" && h.state != chart.WorkerHealthy
}

// move changes the state as the chart of workers says. An event that the chart
// refuses changes nothing.
func (h *health) move(event chart.WorkerEvent) {
	from := h.state
	if from == "" {
		from = chart.Worker().Initial()
	}
	if next, err := chart.Worker().Next(from, event); err == nil {
		h.state = next
	}
}

// rest keeps tasks off a worker for a while.
func (e *Engine) rest(now time.Time, n *node, d time.Duration) {
	n.health.until = now.Add(d)
	e.timers.add(timer{at: n.health.until, node: n})
	e.reindex(now, n)
}

// wakeNode ends a rest or starts a probe.
func (e *Engine) wakeNode(now time.Time, n *node) {
	if n.gone() {
		return
	}
	if n.health.state == chart.WorkerQuarantined && !now.Before(n.health.until) {
		n.health.move(chart.WorkerOnProbe)
		e.probes = append(e.probes, n)
	}
	e.reindex(now, n)
}

// succeeded clears what speaks against a worker.
func (e *Engine) succeeded(now time.Time, n *node, a *attempt) {
	h := &n.health
	failures := h.failures
	h.succeeded, h.failures, h.streak = true, 0, nil
	if failures > 0 {
		e.reindex(now, n)
	}
	if h.quarantined() && a.probe {
		e.readmit(now, n, ReasonProbeSucceeded)
	}
}

// failed judges a failure: is it the worker or the job?
func (e *Engine) failed(now time.Time, n *node, a *attempt, reason string) {
	j, h := a.job, &n.health
	h.message = reason
	j.evidence.note(Failure{TaskAttempt: worker.TaskAttempt{Task: a.task(), Attempt: a.number}, Worker: n.ID, At: now, Reason: reason})
	if h.quarantined() {
		// The worker is known to be bad, so the failure says nothing about the job.
		if a.probe {
			e.probeLater(now, n)
		}
		return
	}
	j.evidence.blame(n.ID, a.index)
	if j.done == 0 || j.evidence.byTask[a.index] > 1 {
		j.dequeue()
		j.notBefore = now.Add(doubled(jobRest, j.evidence.total-1, maxJobRest))
	}
	if h.failures == 0 || !a.started.Before(h.failed) {
		// Attempts that started before the last failure tell nothing new.
		h.failures++
		e.rest(now, n, doubled(failureRest, h.failures-1, maxFailureRest))
	}
	h.failed = now
	if !slices.Contains(h.streak, j.ID) && !j.suspect() {
		h.streak = append(h.streak, j.ID)
	}
	if len(h.streak) >= quarantineJobs && e.quarantined < max(len(e.fleet)/quarantineShare, 1) {
		e.quarantine(now, n)
	}
	e.judge(now, j, a.index)
}

// outgrown handles a failure for want of reserved resources. The next attempt
// reserves more. A job that fits no worker any more is parked after some attempts.
func (e *Engine) outgrown(now time.Time, n *node, a *attempt, reason string) {
	j := a.job
	j.evidence.note(Failure{TaskAttempt: worker.TaskAttempt{Task: a.task(), Attempt: a.number}, Worker: n.ID, At: now, Reason: reason})
	if a.probe {
		e.probeLater(now, n)
	}
	if e.fits(j.Resources.Max(j.peak)) {
		return
	}
	j.evidence.outgrown++
	j.dequeue()
	j.notBefore = now.Add(doubled(jobRest, j.evidence.outgrown, maxJobRest))
	if j.evidence.outgrown >= parkProven {
		e.park(now, j, ReasonOutgrewWorkers)
	}
}

// suspect reports whether a job fails wherever it runs.
func (j *job) suspect() bool {
	return j.done == 0 && len(j.evidence.failedOn) >= parkProven
}

// judge parks a job that fails on several good workers.
func (e *Engine) judge(now time.Time, j *job, index int32) {
	others := max(len(e.fleet)-e.quarantined, 1)
	limit := j.class.maxAttempts
	if limit <= 0 {
		limit = defaultMaxAttempts
	}
	distinct := len(j.evidence.failedOn)
	switch {
	case j.done == 0 && j.evidence.total >= parkProven &&
		(e.proven(j) >= min(parkProven, others) || distinct >= min(parkAny, others)):
		e.park(now, j, ReasonFailsEverywhere)
	case j.evidence.byTask[index] >= limit && distinct >= min(2, others):
		e.park(now, j, ReasonAttemptsExceeded)
	}
}

// proven counts the workers that failed the job but ran others' tasks well.
func (e *Engine) proven(j *job) int {
	count := 0
	for _, id := range j.evidence.failedOn {
		n := e.workers[id]
		if n != nil && n.health.succeeded && len(n.health.streak) < quarantineJobs {
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
	e.parked++
	facts := Facts{Failures: j.evidence.total, Workers: len(j.evidence.failedOn)}
	if last := len(j.evidence.failures) - 1; last >= 0 {
		facts.Message = j.evidence.failures[last].Reason
	}
	e.emit(Decision{Kind: Park, Job: j.ID, Class: j.Class, Reason: reason, Facts: facts})
	for _, id := range j.evidence.failedOn {
		e.acquit(now, e.workers[id], j)
	}
}

// acquit drops a parked job from the evidence against a worker.
func (e *Engine) acquit(now time.Time, n *node, j *job) {
	if n == nil {
		return
	}
	h := &n.health
	h.streak = slices.DeleteFunc(h.streak, func(id worker.JobID) bool { return id == j.ID })
	if len(h.streak) == 0 {
		h.failures = 0
		h.until = now
	}
	if h.quarantined() && len(h.streak) < quarantineJobs {
		e.readmit(now, n, ReasonJobsAtFault)
	}
	e.reindex(now, n)
}

// quarantine takes a worker out of placement. Its failures no longer speak
// against jobs.
func (e *Engine) quarantine(now time.Time, n *node) {
	h := &n.health
	h.move(chart.WorkerOnCondemn)
	h.probeWait = firstProbe
	e.quarantined++
	for _, id := range h.streak {
		if j := e.jobs[id]; j != nil {
			j.evidence.clear(n.ID)
		}
	}
	facts := Facts{Failures: h.failures, Jobs: len(h.streak), Message: h.message}
	e.emit(Decision{Kind: Quarantine, Worker: n.ID, Reason: ReasonFailsEverything, Facts: facts})
	if n.hold != nil {
		e.release(now, n.hold)
	}
	e.rest(now, n, h.probeWait)
}

// readmit ends a quarantine.
func (e *Engine) readmit(now time.Time, n *node, reason Reason) {
	n.health.move(chart.WorkerOnReadmit)
	n.health = health{state: n.health.state, succeeded: n.health.succeeded, streak: n.health.streak, trials: n.health.trials}
	e.quarantined--
	e.emit(Decision{Kind: Readmit, Worker: n.ID, Reason: reason})
	e.reindex(now, n)
}

// probeLater waits twice as long for the next probe.
func (e *Engine) probeLater(now time.Time, n *node) {
	n.health.move(chart.WorkerOnProbeFail)
	n.health.probeWait = min(2*n.health.probeWait, lastProbe)
	e.rest(now, n, n.health.probeWait)
}

// probeSome starts one task on each quarantined worker whose probe is due.
func (e *Engine) probeSome(now time.Time) {
	var left []*node
	for _, n := range e.probes {
		if n.gone() || !n.health.quarantined() {
			continue
		}
		if n.State != "" && n.State != Available || !e.probe(now, n) {
			left = append(left, n)
		}
	}
	e.probes = left
}

// probe starts a task that failed nowhere on a quarantined worker.
func (e *Engine) probe(now time.Time, n *node) bool {
	checked := 0
	for _, t := range e.order {
		for _, l := range t.lanes {
			if len(l.jobs) == 0 || l.key.gang || l.key.priority == Urgent {
				continue
			}
			checked++
			j := l.jobs[0]
			need := e.need(j)
			if j.evidence.total == 0 && need.FitsIn(n.free()) && t.allows(need, j.Priority) && e.mayStart(1) {
				e.emit(Decision{Kind: Probe, Worker: n.ID, Job: j.ID, Reason: ReasonProbe, Facts: Facts{Message: n.health.message}})
				e.start(now, j, n, need, ReasonProbe, Facts{}).probe = true
				return true
			}
			if checked >= probeLanes {
				return false
			}
		}
	}
	return false
}

func doubled(first time.Duration, times int, limit time.Duration) time.Duration {
	return min(first<<min(max(times, 0), 16), limit)
}

func (v *jobEvidence) note(f Failure) {
	v.failures = append(v.failures, f)
	if len(v.failures) > maxKeptFailures {
		v.failures = v.failures[1:]
	}
}

func (v *jobEvidence) blame(id membership.InstanceID, index int32) {
	v.total++
	if v.byTask == nil {
		v.byTask = map[int32]int{}
	}
	v.byTask[index]++
	if !slices.Contains(v.failedOn, id) && len(v.failedOn) < maxFailedOn {
		v.failedOn = append(v.failedOn, id)
	}
}

// clear forgets the failures on a worker that is bad. Failures are not kept by
// task and worker, so those of all tasks are forgotten.
func (v *jobEvidence) clear(id membership.InstanceID) {
	v.failedOn = slices.DeleteFunc(v.failedOn, func(other membership.InstanceID) bool { return other == id })
	v.total = len(v.failedOn)
	v.byTask = nil
}
