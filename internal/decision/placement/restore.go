package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// Restore enters a task that was found on a worker, after its worker and its job.
// A task whose job is unknown or whose index is done is counted and killed. Of two
// attempts of one task the higher stays and the other is counted and killed.
func (e *Engine) Restore(now time.Time, task RunningTask) {
	n := e.workers[task.Worker]
	if n == nil {
		return
	}
	id, index, ok := splitTask(task.Task)
	j := e.jobs[id]
	a := &attempt{
		number: task.Attempt, reserve: task.Resources.Max(task.Observed), observed: task.Observed,
		started: now, stopping: task.Stopping, index: index, share: 1000,
	}
	if !ok || j == nil {
		e.adopt(now, n, a, task.Task)
		return
	}
	if other := j.byIndex[index]; other != nil {
		if other.number == task.Attempt && other.node == n {
			return
		}
		if other.number >= task.Attempt {
			e.adopt(now, n, a, task.Task)
			return
		}
		e.supersede(now, other)
	}
	if j.byIndex[index] == nil && !j.takeIndex(index) {
		e.adopt(now, n, a, task.Task)
		return
	}
	j.keep(index, task.Checkpoint)
	j.team.add(0, -1)
	e.run(now, j, n, a)
	if j.pending() == 0 {
		j.dequeue()
	}
	if n.State == Leaving {
		e.leaving = append(e.leaving, n)
	}
}

// adopt counts an attempt that no job wants and has it killed.
func (e *Engine) adopt(now time.Time, n *node, a *attempt, task worker.TaskID) {
	key := worker.TaskAttempt{Task: task, Attempt: a.number}
	if e.orphans[key] != nil {
		return
	}
	if e.orphans == nil {
		e.orphans = map[worker.TaskAttempt]*attempt{}
	}
	a.job, a.orphan = nil, task
	e.orphans[key] = a
	e.attach(now, n, a)
	e.stops = append(e.stops, a)
}

// supersede makes an attempt an orphan; its task is pending again.
func (e *Engine) supersede(now time.Time, a *attempt) {
	n, task := a.node, a.task()
	j, index := a.job, a.index
	e.leave(now, a)
	j.again = append(j.again, index)
	j.team.add(0, 1)
	e.adopt(now, n, a, task)
}
