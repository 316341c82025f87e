package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// RestoreTask adds a task that was found running on a worker. Its worker and job must be
// added first. If the job is unknown or the task is done, the attempt holds its
// resources and is killed. Of two attempts of one task the one with the higher number
// stays and the other is killed.
func (e *Engine) RestoreTask(now time.Time, task RunningTask) {
	n := e.nodesByID[task.Worker]
	if n == nil {
		return
	}
	id, index, ok := parseTaskID(task.Task)
	j := e.jobs[id]
	a := &attempt{
		number: task.Attempt, allocated: task.Resources.Max(task.Observed), peakUsage: task.Observed,
		started: now, stopping: task.Stopping, index: index, share: 1000,
	}
	if !ok || j == nil {
		e.addOrphan(now, n, a, task.Task)
		return
	}
	if other := j.attemptByTask[index]; other != nil {
		if other.number == task.Attempt && other.node == n {
			return
		}
		if other.number >= task.Attempt {
			e.addOrphan(now, n, a, task.Task)
			return
		}
		e.orphanAttempt(now, other)
	}
	if j.attemptByTask[index] == nil && !j.takePending(index) {
		e.addOrphan(now, n, a, task.Task)
		return
	}
	j.setCheckpoint(index, task.Checkpoint)
	j.team.addTaskCounts(0, -1)
	e.addAttempt(now, j, n, a)
	if j.pending() == 0 {
		j.dequeue()
	}
	if n.State == WorkerLeaving {
		e.leavingNodes = append(e.leavingNodes, n)
	}
}

// addOrphan allocates resources to an attempt that belongs to no job and schedules it
// to be killed.
func (e *Engine) addOrphan(now time.Time, n *node, a *attempt, taskID worker.TaskID) {
	key := worker.TaskAttempt{Task: taskID, Attempt: a.number}
	if e.orphans[key] != nil {
		return
	}
	if e.orphans == nil {
		e.orphans = map[worker.TaskAttempt]*attempt{}
	}
	a.job, a.orphanTask = nil, taskID
	e.orphans[key] = a
	e.addToNode(now, n, a)
	e.pendingStops = append(e.pendingStops, a)
}

// orphanAttempt turns an attempt into an orphan and makes its task pending again.
func (e *Engine) orphanAttempt(now time.Time, a *attempt) {
	n, task := a.node, a.taskID()
	j, index := a.job, a.index
	e.removeAttempt(now, a)
	j.requeued = append(j.requeued, index)
	j.team.addTaskCounts(0, 1)
	e.addOrphan(now, n, a, task)
}
