package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// AddJob queues a job. The error is a *RefusalError.
func (e *Engine) AddJob(now time.Time, spec Job) error {
	if err := e.check(spec); err != nil {
		return err
	}
	if err := e.checkRoom(spec); err != nil {
		return err
	}
	e.admit(now, spec)
	return nil
}

// RestoreJob queues an accepted job after a takeover. Unlike AddJob it refuses
// only duplicates and invalid jobs, since workers may not be known yet.
func (e *Engine) RestoreJob(now time.Time, spec Job) error {
	if err := e.check(spec); err != nil {
		return err
	}
	e.admit(now, spec)
	return nil
}

// check finds what is wrong with a job whatever the workers are.
func (e *Engine) check(spec Job) error {
	switch {
	case spec.ID == "" || spec.Tasks <= 0:
		return refuse(spec, RefusedInvalid, "a job needs an id and at least one task")
	case !resource.Vector{}.FitsIn(spec.Resources) || spec.Resources.IsZero():
		return refuse(spec, RefusedInvalid, "a task needs resources and none may be negative")
	case e.jobs[spec.ID] != nil:
		return refuse(spec, RefusedDuplicate, "the job is known already")
	}
	return nil
}

// checkRoom finds whether a job can ever run on the known workers.
func (e *Engine) checkRoom(spec Job) error {
	if limit := e.limits.MaxQueuedJobs; limit > 0 && len(e.jobs) >= limit {
		return refuse(spec, RefusedQueueFull, fmt.Sprintf("%d jobs are known", len(e.jobs)))
	}
	t := e.teams[spec.Team]
	if t == nil || !t.known {
		return refuse(spec, RefusedUnknownTeam, fmt.Sprintf("team %q isn't in manifest version %d", spec.Team, e.version))
	}
	if len(e.fleet) == 0 {
		return refuse(spec, RefusedNoWorkers, "no worker is known")
	}
	if !e.fits(spec.Resources) {
		return refuse(spec, RefusedFitsNowhere, fmt.Sprintf("no worker has %+v beside its executors", spec.Resources))
	}
	whole := spec.Resources
	if spec.Gang {
		whole = multiply(spec.Resources, spec.Tasks)
		if e.slots(spec.Resources, spec.Tasks) < spec.Tasks {
			return refuse(spec, RefusedGangTooBig, fmt.Sprintf("all workers together have no room for %d tasks", spec.Tasks))
		}
	}
	if !t.admits(whole, spec.Priority) {
		return refuse(spec, RefusedQuota, fmt.Sprintf("the quotas of team %q and its parents are less than %+v", spec.Team, whole))
	}
	return nil
}

func refuse(spec Job, reason RefusalReason, detail string) error {
	return &RefusalError{Job: spec.ID, Reason: reason, Detail: detail}
}

// fits reports whether any worker could hold the amount if it were empty.
func (e *Engine) fits(need resource.Vector) bool {
	for shape := range e.shapes {
		if need.FitsIn(shape) {
			return true
		}
	}
	return false
}

// slots counts up to limit how many tasks the empty workers could hold.
func (e *Engine) slots(need resource.Vector, limit int) int {
	total := 0
	for shape, count := range e.shapes {
		total += capacityFor(shape, need, limit) * count
	}
	return total
}

// capacityFor returns how many times need fits in room, at most limit.
func capacityFor(room, need resource.Vector, limit int) int {
	count := int64(limit)
	if need.Processors > 0 {
		count = min(count, int64(room.Processors)/int64(need.Processors))
	}
	if need.Memory > 0 {
		count = min(count, int64(room.Memory)/int64(need.Memory))
	}
	if need.Accelerators > 0 {
		count = min(count, int64(room.Accelerators)/int64(need.Accelerators))
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

func (e *Engine) admit(now time.Time, spec Job) {
	j := &job{Job: spec, pos: -1, queuedAt: now, class: e.class(spec.Class), team: e.team(spec.Team)}
	if j.Priority != Urgent {
		j.Priority = Normal
	}
	j.fresh, j.freshCount = remaining(spec.Tasks, spec.Done)
	j.done = spec.Tasks - j.freshCount
	for i, key := range spec.Checkpoints {
		j.keep(int32(i), key)
	}
	j.Done, j.Checkpoints = nil, nil
	e.setOrder(j)
	if j.freshCount == 0 {
		return
	}
	if e.jobs == nil {
		e.jobs = map[worker.JobID]*job{}
	}
	e.jobs[j.ID] = j
	j.team.add(0, j.freshCount)
	e.enqueue(now, j)
	e.offerMove(j)
}

// setOrder sets the order of the job among its like.
func (e *Engine) setOrder(j *job) {
	j.rank = j.Submitted.Add(ageLimit)
	if j.Deadline.IsZero() {
		return
	}
	j.latest = j.Deadline.Add(-max(j.ExpectedDuration, j.class.duration))
	if j.Deadline.Before(j.rank) {
		j.rank = j.Deadline
	}
}

// remaining returns the ranges of the tasks that are not done and their number.
func remaining(tasks int, done []TaskRange) ([]TaskRange, int) {
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

func (j *job) keep(index int32, key object.Key) {
	if key == "" {
		return
	}
	if j.checkpoints == nil {
		j.checkpoints = map[int32]object.Key{}
	}
	j.checkpoints[index] = key
}

// run enters an attempt of a job in all ledgers.
func (e *Engine) run(now time.Time, j *job, n *node, a *attempt) {
	a.job = j
	if j.byIndex == nil {
		j.byIndex = map[int32]*attempt{}
	}
	j.byIndex[a.index] = a
	a.inJob = int32(len(j.running))
	j.running = append(j.running, a)
	j.team.charge(a.reserve, j.Priority)
	j.team.add(1, 0)
	e.running++
	e.attach(now, n, a)
	if e.evacuating {
		e.stops = append(e.stops, a)
	}
}

// leave takes an attempt of a job out of all ledgers.
func (e *Engine) leave(now time.Time, a *attempt) {
	j := a.job
	e.detach(now, a)
	last := len(j.running) - 1
	j.running[a.inJob] = j.running[last]
	j.running[a.inJob].inJob = a.inJob
	j.running[last] = nil
	j.running = j.running[:last]
	delete(j.byIndex, a.index)
	j.team.charge(resource.Vector{}.Sub(a.reserve), j.Priority)
	j.team.add(-1, 0)
	e.running--
}

// CancelJob drops the pending tasks of a job and stops the running ones over the
// next ticks. It reports whether the job was known.
func (e *Engine) CancelJob(now time.Time, id worker.JobID) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelled {
		return true
	}
	j.dequeue()
	j.team.add(0, -j.pending())
	j.fresh, j.freshCount, j.again = nil, 0, nil
	j.cancelled = true
	e.stops = append(e.stops, j.running...)
	e.settle(now, j)
	return true
}

// TaskStarted reports that a worker runs an attempt.
func (e *Engine) TaskStarted(now time.Time, attempt worker.TaskAttempt) {
	if a := e.find(attempt); a != nil {
		a.started = now
	}
}

// find returns an attempt by its name, or nil.
func (e *Engine) find(name worker.TaskAttempt) *attempt {
	if a := e.orphans[name]; a != nil {
		return a
	}
	id, index, ok := splitTask(name.Task)
	j := e.jobs[id]
	if !ok || j == nil {
		return nil
	}
	if a := j.byIndex[index]; a != nil && a.number == name.Attempt {
		return a
	}
	return nil
}

// TaskEnded reports that an attempt uses nothing any more. An unknown attempt is
// ignored, so the report may be repeated.
func (e *Engine) TaskEnded(now time.Time, end TaskEnd) {
	if a := e.find(end.TaskAttempt); a != nil && (end.Worker == "" || a.node.ID == end.Worker) {
		e.end(now, a, end)
	}
}

func (e *Engine) end(now time.Time, a *attempt, end TaskEnd) {
	n, j := a.node, a.job
	if j == nil {
		delete(e.orphans, worker.TaskAttempt{Task: a.orphan, Attempt: a.number})
		e.detach(now, a)
		return
	}
	outgrew := !end.Observed.FitsIn(a.reserve)
	a.observed = a.observed.Max(end.Observed)
	j.seen(end.Observed)
	e.forgetRise(n, a, now)
	e.leave(now, a)
	j.keep(a.index, end.Checkpoint)
	if end.Outcome == Succeeded {
		j.done++
		delete(j.checkpoints, a.index)
		j.class.finished(now, a)
		e.succeeded(now, n, a)
	} else {
		e.again(now, j, a.index)
		e.unsuccessful(now, n, a, end, outgrew)
	}
	e.settle(now, j)
}

// again makes a task pending, unless its job is cancelled.
func (e *Engine) again(now time.Time, j *job, index int32) {
	if j.cancelled {
		return
	}
	j.again = append(j.again, index)
	j.team.add(0, 1)
	j.queuedAt = now
}

// unsuccessful handles an attempt that ended without finishing its task.
func (e *Engine) unsuccessful(now time.Time, n *node, a *attempt, end TaskEnd, outgrew bool) {
	j := a.job
	if j.Gang && !j.cancelled {
		for _, other := range j.running {
			e.evict(now, other, ReasonGangBroken, Facts{Beneficiary: j.ID})
		}
	}
	if end.Outcome == Failed && outgrew && !j.cancelled {
		e.outgrown(now, n, a, end.Reason)
	} else if end.Outcome == Failed && !j.cancelled {
		e.failed(now, n, a, end.Reason)
		return
	}
	if end.Outcome == Refused {
		e.rest(now, n, refusalRest)
	}
	if a.probe {
		e.probeLater(now, n)
	}
}

// settle queues, forgets or offers a job for moving after a change.
func (e *Engine) settle(now time.Time, j *job) {
	if len(j.running) == 0 && (j.cancelled || j.pending() == 0) {
		if j.parked {
			e.parked--
		}
		delete(e.jobs, j.ID)
		if e.gang == j {
			e.gang = nil
		}
		return
	}
	e.enqueue(now, j)
	e.offerMove(j)
}
